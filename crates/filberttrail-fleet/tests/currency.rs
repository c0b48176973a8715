//! A simulation of how current each entry of a large estate is while relays are in trouble.

use filberttrail_fleet::Overlay;
use filberttrail_fleet::currency::Ages;
use filberttrail_fleet::snapshot::Progress;
use std::collections::BTreeMap;
use std::time::Duration;

const ENTRIES: usize = 149;
const DATA_CENTRES: usize = 5;
/// Time within which a change has to be in force on the large deployment.
const APPLY_BOUND: Duration = Duration::from_millis(4_000);
/// Part of it that is left for fetching the change.
const FETCH_TIME: Duration = Duration::from_millis(1_000);
/// Time after trouble from which an entry has to be current again.
const STABILITY_WINDOW: Duration = Duration::from_millis(5_000);
/// Age of a proof from which an entry that watches the store asks it: the longest delay of a check.
const CHECK_AGE: Duration = APPLY_BOUND.checked_div(2).expect("a divisor");
const TICK: Duration = Duration::from_millis(100);

/// Trouble of one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// It neither sends nor answers.
    Frozen,
    /// It lost what it knew, and answers.
    Restarted,
    /// The store does not respond to it, though its watches stay open, and it answers.
    Deaf,
}

struct Entry {
    data_centre: String,
    overlay: Overlay,
    proven_at: Option<Duration>,
    trouble: Option<(Trouble, Duration)>,
    calm_since: Duration,
}

struct Estate {
    now: Duration,
    located: BTreeMap<String, String>,
    /// The entries of each data centre.
    zones: BTreeMap<String, BTreeMap<String, String>>,
    entries: BTreeMap<String, Entry>,
}

impl Estate {
    fn new() -> Self {
        let located: BTreeMap<String, String> = (0..ENTRIES)
            .map(|number| (format!("entry-{number}"), format!("zone-{}", number % DATA_CENTRES)))
            .collect();
        let mut zones: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
        for (name, zone) in &located {
            zones.entry(zone.clone()).or_default().insert(name.clone(), zone.clone());
        }
        let entry = |data_centre: &String| Entry {
            data_centre: data_centre.clone(),
            overlay: Overlay::new(Duration::ZERO, APPLY_BOUND),
            proven_at: Some(Duration::ZERO),
            trouble: None,
            calm_since: Duration::ZERO,
        };
        let entries = located.iter().map(|(name, zone)| (name.clone(), entry(zone))).collect();
        Self { now: Duration::ZERO, located, zones, entries }
    }

    fn entry(&mut self, name: &str) -> &mut Entry {
        self.entries.get_mut(name).expect("an entry")
    }

    fn is_in(&self, name: &str, trouble: Trouble) -> bool {
        self.entries[name].trouble.is_some_and(|(kind, _)| kind == trouble)
    }

    fn disturb(&mut self, name: &str, trouble: Trouble, duration: Duration) {
        let (now, until) = (self.now, self.now + duration);
        let entry = self.entry(name);
        entry.trouble = Some((trouble, until));
        if trouble == Trouble::Restarted {
            entry.overlay = Overlay::new(now, APPLY_BOUND);
            entry.proven_at = None;
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        for name in self.located.keys().cloned().collect::<Vec<_>>() {
            let entry = self.entry(&name);
            if entry.trouble.is_some() {
                entry.calm_since = now;
            }
            entry.trouble = entry.trouble.filter(|(_, until)| now < *until);
            if self.is_in(&name, Trouble::Frozen) {
                continue;
            }
            let entry = &self.entries[&name];
            let watches = entry.overlay.watches_store(now, ENTRIES);
            let due = entry.proven_at.is_none_or(|at| now >= at + CHECK_AGE)
                || entry.overlay.is_unserved(now);
            if watches && due && !self.is_in(&name, Trouble::Deaf) {
                self.entry(&name).proven_at = Some(now);
            }
            self.send(&name);
        }
    }

    /// Lets an entry ask its relays and, if it is a relay, tell those of the other data centres.
    fn send(&mut self, name: &str) {
        let now = self.now;
        let entry = &self.entries[name];
        let choose = |zone: &str| entry.overlay.choose_relays(&self.zones[zone], zone, now);
        let asked = choose(&entry.data_centre);
        let mut told: Vec<String> = Vec::new();
        if entry.overlay.is_relay(now) {
            for zone in (0..DATA_CENTRES).map(|zone| format!("zone-{zone}")) {
                told.extend(choose(&zone).into_iter().filter(|_| zone != entry.data_centre));
            }
        }
        for relay in asked.iter().filter(|relay| *relay != name) {
            self.entry(name).overlay.record_sent(now, relay);
            if self.is_in(relay, Trouble::Frozen) {
                continue;
            }
            self.entry(relay).overlay.record_asked(now);
            let proven_at = self.entries[relay].proven_at;
            let entry = self.entry(name);
            entry.overlay.record_answer(now, relay, proven_at);
            entry.proven_at = entry.proven_at.max(proven_at);
        }
        let proven_at = self.entries[name].proven_at;
        for relay in told {
            self.entry(name).overlay.record_sent(now, &relay);
            if !self.is_in(&relay, Trouble::Frozen) {
                let relay = self.entry(&relay);
                relay.overlay.record_asked(now);
                relay.overlay.record_answer(now, name, None);
                relay.proven_at = relay.proven_at.max(proven_at);
            }
        }
    }

    fn relays(&self) -> Vec<String> {
        let is_relay = |(_, entry): &(&String, &Entry)| entry.overlay.is_relay(self.now);
        self.entries.iter().filter(is_relay).map(|(name, _)| name.clone()).collect()
    }

    /// Asserts that entries without trouble know what the store had acknowledged a while ago.
    fn assert_current(&self, seed: u64) {
        for (name, entry) in &self.entries {
            if entry.trouble.is_some() || self.now < entry.calm_since + STABILITY_WINDOW {
                continue;
            }
            let age = entry.proven_at.map(|at| self.now - at);
            assert!(
                age.is_some_and(|age| age + FETCH_TIME <= APPLY_BOUND),
                "seed {seed}: {name} knows at {:?} what was current {age:?} ago",
                self.now
            );
        }
    }
}

#[test]
fn an_entry_is_current_whatever_its_relays_answer() {
    for seed in 0..4 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut estate = Estate::new();
        for round in 0..250 {
            estate.tick();
            // In series and overlapping: some strike the relays that replaced the last ones.
            if round > 80 && random.u8(..) < 12 {
                let trouble = [Trouble::Frozen, Trouble::Restarted, Trouble::Deaf];
                let trouble = trouble[random.usize(..trouble.len())];
                let relays = estate.relays();
                let zone = format!("zone-{}", random.usize(..DATA_CENTRES));
                let whole = random.bool();
                for relay in relays {
                    if !whole && estate.located[&relay] != zone {
                        continue;
                    }
                    let duration = Duration::from_millis(random.u64(200..9_000));
                    estate.disturb(&relay, trouble, duration);
                }
            }
            if round > 80 {
                estate.assert_current(seed);
            }
        }
    }
}

#[test]
fn a_proof_holds_only_for_an_entry_that_knows_the_changes() {
    let ages = Ages { configuration: Some(5), outs: Some(7), ..Ages::default() };
    let changed = Progress { configuration: 9, ..Progress::default() };
    let behind = Progress { configuration: 8, outs: 3, ..Progress::default() };
    let expected = Ages { outs: Some(7), ..Ages::default() };
    assert_eq!(ages.held_by(&behind, &changed), expected);
    assert_eq!(ages.held_by(&changed, &changed), ages);
    assert_eq!(ages.oldest_bounded(), None, "nothing is known of the upstreams");
    let ages = Ages { upstreams: Some(3), ..ages };
    assert_eq!(ages.oldest_bounded(), Some(Duration::from_millis(7)));
}
