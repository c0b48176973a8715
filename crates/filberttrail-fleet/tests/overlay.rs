//! Simulations of a large estate: which entries relay and watch the store, which upstreams an entry
//! may send to, and the sums of loads.

use filberttrail_fleet::subset::{self, Share};
use filberttrail_fleet::{Loads, Overlay};
use filberttrail_kernel::digest::stable_hash;
use filberttrail_test_support::property::check;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const ENTRIES: usize = 149;
const UPSTREAMS: usize = 192;
const DATA_CENTRES: usize = 5;
/// Requests per second that a cold upstream of the large deployment can handle.
const COLD_RATE: f64 = 27.5;
/// Time within which a change has to be in force on small deployments.
const APPLY_BOUND: Duration = Duration::from_millis(2_000);
const TICK: Duration = Duration::from_millis(250);

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{prefix}-{number}")).collect()
}

fn hashes(names: &[String]) -> Vec<u64> {
    names.iter().map(|name| stable_hash(name.as_bytes())).collect()
}

#[test]
fn sums_equal_those_of_the_last_fresh_messages() {
    fn holds(messages: Vec<(u8, u8, u8, u16)>) -> bool {
        let mut loads = Loads::new();
        let mut last: HashMap<String, (Duration, Vec<(u32, u32)>)> = HashMap::new();
        let mut now = Duration::ZERO;
        messages.into_iter().all(|(sender, upstream, load, pause)| {
            now += Duration::from_millis(u64::from(pause % 400));
            let sender = format!("entry-{}", sender % 5);
            let upstream = u32::from(upstream % 7);
            let message = vec![(upstream, u32::from(load)), (upstream + 1, 1)];
            loads.remove_expired(now);
            loads.receive(now, &sender, message.clone());
            last.insert(sender.clone(), (now, message));
            let fresh = || {
                last.iter().filter(|(_, (at, _))| now < *at + filberttrail_fleet::loads::LIFETIME)
            };
            let expected = |upstream: u32, without: &str| -> u32 {
                fresh()
                    .filter(|(name, _)| *name != without)
                    .flat_map(|(_, (_, loads))| loads)
                    .filter(|(hash, _)| *hash == upstream)
                    .map(|(_, load)| load)
                    .sum()
            };
            let without: HashMap<u32, u32> =
                loads.sums_without(&sender, &Vec::from_iter(0..9)).into_iter().collect();
            (0..9).all(|upstream| {
                loads.sum(upstream) == expected(upstream, "")
                    && without.get(&upstream).copied().unwrap_or(0) == expected(upstream, &sender)
            })
        })
    }
    check(0x10ad_0001, holds as fn(Vec<(u8, u8, u8, u16)>) -> bool);
}

/// All entries send at once to one upstream that has turned cold. Some know lists of entries from
/// which others are missing, as while entries join or leave.
#[test]
fn entries_with_different_lists_stay_below_the_rate_of_a_cold_upstream() {
    let mut random = fastrand::Rng::with_seed(1);
    for count in [2, 9, 27, 28, 40, ENTRIES, 340] {
        let entries = hashes(&names("entry", count));
        for upstream in hashes(&names("upstream", 40)) {
            let mut sends = 0;
            for entry in &entries {
                let known: Vec<u64> = entries
                    .iter()
                    .copied()
                    .filter(|other| other == entry || random.u8(..) > 5)
                    .collect();
                let share = Share::divide(COLD_RATE, known.len());
                let member = share
                    .members
                    .is_none_or(|members| subset::is_member(*entry, &known, upstream, members));
                sends += if member { share.sends_per_second } else { 0 };
            }
            assert!(sends as f64 <= COLD_RATE, "{count} entries send {sends} a second");
        }
    }
}

#[test]
fn subsets_reach_enough_upstreams_and_move_little() {
    let entries = hashes(&names("entry", ENTRIES));
    let upstreams = hashes(&names("upstream", UPSTREAMS));
    let members = Share::divide(COLD_RATE, ENTRIES).members.expect("a subset");
    let reach = |entry: u64, entries: &[u64]| -> Vec<u64> {
        let is_member = |upstream: &&u64| subset::is_member(entry, entries, **upstream, members);
        upstreams.iter().filter(is_member).copied().collect()
    };
    let mean = UPSTREAMS * members / ENTRIES;
    let mut moved = 0;
    for entry in &entries[1..] {
        let before = reach(*entry, &entries);
        assert!(before.len() > mean / 2 && before.len() < mean * 2, "{}", before.len());
        moved += reach(*entry, &entries[1..]).len() - before.len();
    }
    assert_eq!(moved, reach(entries[0], &entries).len(), "each place goes to one other entry");
}

#[test]
fn the_usable_part_of_the_cold_rate_is_most_of_it_at_each_size() {
    for count in [10, 50, 150, 340] {
        let share = Share::divide(COLD_RATE, count);
        let used = share.sends_per_second * share.members.unwrap_or(count);
        assert!(used as f64 >= 0.7 * COLD_RATE, "{count} entries may use {used} a second");
    }
}

struct Estate {
    now: Duration,
    entries: BTreeMap<String, String>,
    overlays: BTreeMap<String, Overlay>,
}

impl Estate {
    fn new() -> Self {
        let located = |number: usize| format!("zone-{}", number % DATA_CENTRES);
        let names = names("entry", ENTRIES).into_iter().enumerate();
        let entries: BTreeMap<String, String> =
            names.map(|(number, name)| (name, located(number))).collect();
        let overlays = entries
            .keys()
            .map(|name| (name.clone(), Overlay::new(Duration::ZERO, APPLY_BOUND)))
            .collect();
        Self { now: Duration::ZERO, entries, overlays }
    }

    /// Lets all entries send to their relays for `duration`. Messages arrive between entries for
    /// which `reaches` is true.
    fn run(&mut self, duration: Duration, reaches: impl Fn(&str, &str) -> bool) {
        self.run_with(duration, reaches, |_| true);
    }

    /// The same, with a store that responds only to the entries for which `available` is true.
    fn run_with(
        &mut self,
        duration: Duration,
        reaches: impl Fn(&str, &str) -> bool,
        available: impl Fn(&str) -> bool,
    ) {
        let until = self.now + duration;
        while self.now < until {
            self.now += TICK;
            let now = self.now;
            for (name, data_centre) in self.entries.clone() {
                let own = &self.overlays[&name];
                let mut relays: Vec<(String, bool)> = own
                    .choose_relays(&self.entries, &data_centre, self.now)
                    .into_iter()
                    .map(|relay| (relay, true))
                    .collect();
                if own.is_relay(self.now) {
                    for zone in (0..DATA_CENTRES).map(|zone| format!("zone-{zone}")) {
                        if zone != data_centre {
                            let others = own.choose_relays(&self.entries, &zone, self.now);
                            relays.extend(others.into_iter().map(|relay| (relay, false)));
                        }
                    }
                }
                for (relay, asks) in relays.into_iter().filter(|(relay, _)| *relay != name) {
                    self.overlay(&name).record_sent(now, &relay);
                    if !reaches(&name, &relay) {
                        continue;
                    }
                    self.overlay(&relay).record_asked(now);
                    if asks && reaches(&relay, &name) {
                        let proven_at = available(&relay).then_some(now);
                        self.overlay(&name).record_answer(now, &relay, proven_at);
                    }
                    if !asks {
                        self.overlay(&relay).record_answer(now, &name, Some(now));
                    }
                }
            }
        }
    }

    fn overlay(&mut self, name: &str) -> &mut Overlay {
        self.overlays.get_mut(name).expect("an entry")
    }

    fn watchers(&self) -> Vec<&String> {
        let watches = |(_, overlay): &(&String, &Overlay)| {
            overlay.watches_store(self.now, self.entries.len())
        };
        self.overlays.iter().filter(watches).map(|(name, _)| name).collect()
    }
}

#[test]
fn a_few_entries_of_each_data_centre_watch_the_store() {
    let mut estate = Estate::new();
    estate.run(Duration::from_secs(5), |_, _| true);
    assert_eq!(estate.watchers().len(), 2 * DATA_CENTRES);
}

#[test]
fn entries_whose_relays_are_lost_get_others_and_watch_the_store_meanwhile() {
    let mut estate = Estate::new();
    estate.run(Duration::from_secs(5), |_, _| true);
    let lost: Vec<String> = estate.watchers().into_iter().cloned().collect();
    let reaches =
        |from: &str, to: &str| !lost.iter().any(|name| [from, to].contains(&name.as_str()));
    estate.run(Duration::from_millis(1_250), reaches);
    let unserved = estate.watchers().len();
    assert!(unserved > ENTRIES - 2 * lost.len(), "{unserved} watch the store");
    estate.run(Duration::from_secs(4), reaches);
    let live = estate.watchers().into_iter().filter(|name| !lost.contains(name)).count();
    assert!(live <= 3 * DATA_CENTRES, "{live} live entries watch the store");
}

#[test]
fn entries_of_a_data_centre_that_is_cut_off_serve_each_other() {
    let mut estate = Estate::new();
    let located = estate.entries.clone();
    let reaches = |from: &str, to: &str| (located[from] == "zone-1") == (located[to] == "zone-1");
    estate.run(Duration::from_secs(6), reaches);
    let inside = estate.watchers().into_iter().filter(|name| located[*name] == "zone-1").count();
    assert!((2..=3).contains(&inside), "{inside} entries inside watch the store");
}

/// The store turns away a third of the entries, the relays of a data centre among them.
#[test]
fn entries_whose_relays_cannot_reach_the_store_watch_it_themselves() {
    let mut estate = Estate::new();
    estate.run(Duration::from_secs(5), |_, _| true);
    let relays: Vec<String> = estate.watchers().into_iter().cloned().collect();
    let located = estate.entries.clone();
    let turned_away =
        |name: &str| located[name] == "zone-1" && relays.iter().any(|relay| relay == name);
    estate.run_with(Duration::from_millis(1_500), |_, _| true, |name| !turned_away(name));
    let watching: Vec<&String> = estate.watchers();
    assert!(
        located
            .iter()
            .filter(|(_, zone)| *zone == "zone-1")
            .all(|(name, _)| { watching.contains(&name) })
    );
    assert!(watching.len() < ENTRIES / 2, "the other data centres are not affected");
}
