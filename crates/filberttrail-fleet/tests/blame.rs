//! Which prompt parts are blamed for crashes, by one entry and by simulated estates whose messages
//! are late and lost.

use filberttrail_fleet::blame::{
    CONDEMNED_LIFETIME, Crash, Decision, Ledger, Reserve, SubjectId, TRIAL_ENTRIES, Turn, has_lived,
};
use filberttrail_kernel::digest::mix;
use std::time::Duration;

const BAD: SubjectId = 666;
const FIRST: SubjectId = 1;
const SUBJECT: SubjectId = 50;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn crash(number: u32) -> Crash {
    Crash { upstream: number, incarnation: 7 }
}

fn decide(ledger: &mut Ledger, at: Duration, parts: &[SubjectId]) -> Decision {
    ledger.decide(at, parts, || true, |_, _| Turn::Now)
}

#[test]
fn a_part_that_crashes_upstreams_is_condemned_and_its_companions_are_not() {
    let mut ledger = Ledger::new();
    ledger.record_lived(ms(0), &[FIRST, SUBJECT]);
    assert_eq!(decide(&mut ledger, ms(100), &[FIRST, BAD]), Decision::Free);
    assert!(ledger.record_crash(ms(200), crash(1), &[FIRST, BAD], &[]).is_empty());
    for (number, at) in [(2, 5_000), (3, 9_000)] {
        let trial = decide(&mut ledger, ms(at), &[FIRST, BAD]);
        assert_eq!(trial, Decision::Trial(vec![BAD]), "the first part has lived recently");
        ledger.begin_trial(&[BAD], crash(number));
        assert_eq!(decide(&mut ledger, ms(at + 1), &[SUBJECT, BAD]), Decision::Suspect(BAD));
        let condemned = ledger.record_crash(ms(at + 50), crash(number), &[FIRST, BAD], &[BAD]);
        ledger.end_trial(&[BAD]);
        assert_eq!(condemned, if number == 3 { vec![BAD] } else { Vec::new() });
    }
    assert_eq!(decide(&mut ledger, ms(9_100), &[SUBJECT, BAD]), Decision::Condemned(BAD));
    ledger.record_lived(ms(9_200), &[FIRST]);
    assert_eq!(decide(&mut ledger, ms(9_300), &[FIRST, SUBJECT]), Decision::Free);
}

#[test]
fn an_answer_that_lives_clears_its_parts() {
    let mut ledger = Ledger::new();
    ledger.record_crash(ms(0), crash(1), &[SUBJECT], &[]);
    let trial = decide(&mut ledger, ms(100), &[SUBJECT]);
    assert_eq!(trial, Decision::Trial(vec![SUBJECT]));
    ledger.end_trial(&[SUBJECT]);
    assert_eq!(ledger.record_lived(ms(900), &[SUBJECT]), [SUBJECT]);
    assert_eq!(decide(&mut ledger, ms(1_000), &[SUBJECT]), Decision::Free);
    assert!(!has_lived(4, ms(5_000)) && !has_lived(50, ms(499)) && has_lived(5, ms(500)));
}

#[test]
fn many_upstreams_that_crash_at_one_moment_condemn_nothing() {
    let mut ledger = Ledger::new();
    for number in 0..40 {
        let parts = [FIRST, SUBJECT, 1_000 + u64::from(number)];
        assert!(ledger.record_crash(ms(10), crash(number), &parts, &[]).is_empty());
    }
    assert_eq!(decide(&mut ledger, ms(20), &[SUBJECT]), Decision::Trial(vec![SUBJECT]));
}

#[test]
fn a_part_is_condemned_after_many_crashes_within_few_seconds() {
    let mut ledger = Ledger::new();
    ledger.record_lived(ms(0), &[BAD]);
    // More than are kept, within three seconds.
    for number in 0..40 {
        ledger.record_crash(ms(1_000 + 75 * u64::from(number)), crash(number), &[BAD], &[]);
    }
    let mut condemned = Vec::new();
    for number in 40..43 {
        let at = ms(20_000 + 2_000 * u64::from(number));
        assert_eq!(decide(&mut ledger, at, &[BAD]), Decision::Trial(vec![BAD]), "crash {number}");
        ledger.begin_trial(&[BAD], crash(number));
        condemned = ledger.record_crash(at, crash(number), &[BAD], &[BAD]);
        ledger.end_trial(&[BAD]);
        if !condemned.is_empty() {
            break;
        }
    }
    assert_eq!(condemned, [BAD]);
}

#[test]
fn a_part_of_most_requests_outlasts_crashes_that_another_part_causes() {
    // Nothing lives between the crashes, as each follows the opening of the only group.
    let mut ledger = Ledger::new();
    ledger.record_lived(ms(0), &[FIRST]);
    for number in 0..4 {
        let at = ms(5_000 * u64::from(number) + 1);
        assert!(ledger.record_crash(at, crash(number), &[FIRST], &[]).is_empty());
    }
}

#[test]
fn only_entries_that_may_try_a_suspect_send_it() {
    let mut ledger = Ledger::new();
    ledger.record_crash(ms(0), crash(1), &[BAD], &[]);
    assert_eq!(ledger.decide(ms(1), &[BAD], || true, |_, _| Turn::Never), Decision::Suspect(BAD));
}

#[test]
fn crashes_that_are_far_apart_condemn_a_part_too() {
    let mut ledger = Ledger::new();
    ledger.record_crash(ms(0), crash(1), &[BAD], &[]);
    assert_eq!(
        ledger.decide(ms(14_000), &[BAD], || true, |_, _| Turn::Never),
        Decision::Suspect(BAD)
    );
    assert_eq!(ledger.decide(ms(16_000), &[BAD], || true, |_, _| Turn::Never), Decision::Free);
    ledger.record_crash(ms(60_000), crash(2), &[BAD], &[]);
    assert_eq!(decide(&mut ledger, ms(200_000), &[BAD]), Decision::Trial(vec![BAD]));
    assert_eq!(ledger.record_crash(ms(200_050), crash(3), &[BAD], &[BAD]), [BAD]);
}

#[test]
fn a_condemned_part_is_forgotten_after_a_time_without_requests() {
    let mut ledger = Ledger::new();
    ledger.condemn(ms(0), BAD);
    assert_eq!(decide(&mut ledger, ms(5_000), &[BAD]), Decision::Condemned(BAD));
    assert!(ledger.remove_expired(CONDEMNED_LIFETIME).is_empty(), "it was requested since");
    assert_eq!(ledger.remove_expired(CONDEMNED_LIFETIME + ms(5_000)), [BAD]);
    assert_eq!(decide(&mut ledger, CONDEMNED_LIFETIME + ms(5_001), &[BAD]), Decision::Free);
}

#[test]
fn reports_are_small_and_remind_of_every_part_in_turn() {
    let mut ledger = Ledger::new();
    for part in 0..500 {
        ledger.record_crash(ms(0), crash(part as u32), &[part], &[]);
    }
    assert_eq!(ledger.report(ms(100)).accused.len(), 24 + 4, "the first one is a reminder too");
    assert_eq!(ledger.report(ms(200)).accused.len(), 24);
    let mut other = Ledger::new();
    for second in 2..130 {
        let at = ms(1_000 * second);
        other.receive(at, &ledger.report(at), false);
        assert_eq!(ledger.report(at + ms(100)).accused, [], "no news");
    }
    assert_eq!(other.report(ms(130_000)).accused.len(), 4, "a reminder, which is not passed on");
    for part in 0..500 {
        other.record_crash(ms(130_000), crash(1_000), &[part], &[]);
        let decision = other.decide(ms(150_000), &[part], || true, |_, _| Turn::Never);
        assert_eq!(decision, Decision::Suspect(part));
    }
}

#[test]
fn reports_tell_of_all_verdicts_in_turn_and_first_what_recurs() {
    let mut ledger = Ledger::new();
    let mut other = Ledger::new();
    for subject in 1_000..1_100 {
        ledger.condemn(ms(0), subject);
    }
    for round in 0..5 {
        other.receive(ms(round), &ledger.report(ms(round)), false);
    }
    assert_eq!(other.count_condemned(), 100);
    // A lost data centre accuses hundreds of subjects once; one of them was on a crash before.
    ledger.record_crash(ms(0), crash(1), &[900], &[]);
    ledger.report(ms(0));
    for subject in 0..901 {
        ledger.record_crash(ms(5_000), crash(2), &[subject], &[]);
    }
    let told = ledger.report(ms(5_100)).accused;
    assert!(told.iter().any(|(subject, ..)| *subject == 900), "{told:?}");
}

#[test]
fn many_verdicts_displace_the_one_that_was_not_requested_for_the_longest_time() {
    let mut ledger = Ledger::new();
    for subject in 0..1_025 {
        assert!(ledger.condemn(ms(subject), subject));
    }
    assert_eq!(ledger.count_condemned(), 1_024);
    assert_eq!(ledger.remove_expired(ms(1_100)), [0], "so that it leaves the store too");
}

#[test]
fn a_single_crash_condemns_a_subject_again_whose_verdict_has_lapsed() {
    let mut ledger = Ledger::new();
    ledger.condemn(ms(0), BAD);
    let lapsed_at = CONDEMNED_LIFETIME;
    assert_eq!(ledger.remove_expired(lapsed_at), [BAD]);
    assert_eq!(decide(&mut ledger, lapsed_at + ms(1), &[BAD]), Decision::Free);
    let at = lapsed_at + ms(60_000);
    assert_eq!(ledger.record_crash(at, crash(9), &[BAD], &[]), [BAD]);
    assert_eq!(decide(&mut ledger, at + ms(1), &[BAD]), Decision::Condemned(BAD));
    // It is a matter of the software that runs, so it is not remembered for ever.
    let day = Duration::from_secs(24 * 3_600);
    assert_eq!(ledger.remove_expired(at + day), [BAD]);
    ledger.remove_expired(at + day + day);
    assert!(ledger.record_crash(at + day + day, crash(10), &[BAD], &[]).is_empty());
}

#[test]
fn a_crash_under_two_trials_of_one_entry_condemns_neither_sooner() {
    let mut ledger = Ledger::new();
    let sound = 51;
    ledger.record_crash(ms(0), crash(1), &[BAD], &[]);
    ledger.record_crash(ms(0), crash(1), &[sound], &[]);
    for (number, at) in [(2, 2_000), (3, 4_000)] {
        for subject in [BAD, sound] {
            ledger.begin_trial(&[subject], crash(number));
        }
        for subject in [BAD, sound] {
            let condemned = ledger.record_crash(ms(at), crash(number), &[subject], &[subject]);
            assert!(condemned.is_empty(), "the third crash of {subject}");
            ledger.end_trial(&[subject]);
        }
    }
}

#[test]
fn a_failure_is_accused_once_its_upstream_turns_out_to_have_crashed() {
    let mut ledger = Ledger::new();
    ledger.record_failure(ms(0), crash(1), &[BAD], &[]);
    assert_eq!(decide(&mut ledger, ms(10), &[BAD]), Decision::Free, "it may have been slow");
    assert_eq!(ledger.record_end(ms(100), crash(2)), [Vec::new(), Vec::new()], "another one");
    assert_eq!(ledger.record_end(ms(3_000), crash(1)), [vec![BAD], Vec::new()]);
    assert_eq!(
        ledger.decide(ms(3_001), &[BAD], || true, |_, _| Turn::Never),
        Decision::Suspect(BAD)
    );
    // While the outcome of a trial is open, nobody tries again.
    ledger.begin_trial(&[BAD], crash(3));
    ledger.record_failure(ms(4_000), crash(3), &[BAD], &[BAD]);
    ledger.end_trial(&[BAD]);
    assert_eq!(decide(&mut ledger, ms(5_000), &[BAD]), Decision::Suspect(BAD));
    let mut other = Ledger::new();
    other.receive(ms(5_000), &ledger.report(ms(5_000)), false);
    assert_eq!(decide(&mut other, ms(5_001), &[BAD]), Decision::Suspect(BAD));
    ledger.remove_expired(ms(10_000));
    assert_eq!(decide(&mut ledger, ms(10_000), &[BAD]), Decision::Trial(vec![BAD]));
    // The end of its upstream at another entry accuses what this one has lost there.
    other.record_failure(ms(5_500), crash(4), &[SUBJECT], &[]);
    let mut third = Ledger::new();
    third.record_crash(ms(5_600), crash(4), &[FIRST], &[]);
    other.receive(ms(5_700), &third.report(ms(5_700)), false);
    assert_eq!(decide(&mut other, ms(6_800), &[SUBJECT]), Decision::Trial(vec![SUBJECT]));
}

#[test]
fn one_place_of_several_is_kept_free_of_suspects() {
    let places = |list: &[(&'static str, bool)]| list.iter().copied().collect();
    assert_eq!(Reserve::choose(&places(&[("a", true)])), Reserve::Nothing);
    assert_eq!(Reserve::choose(&places(&[("a", true), ("b", false)])), Reserve::Everything);
    assert_eq!(Reserve::choose(&places(&[("a", false), ("b", false)])), Reserve::Everything);
    let three = places(&[("a", true), ("b", true), ("c", true)]);
    let Reserve::Place(kept) = Reserve::choose(&three) else { panic!("no place is kept") };
    let without: std::collections::BTreeMap<&str, bool> =
        three.keys().map(|name| (*name, *name != kept)).collect();
    assert!(matches!(Reserve::choose(&without), Reserve::Place(other) if other != kept));
}

#[test]
fn absurd_reports_are_harmless() {
    let mut ledger = Ledger::new();
    let mut report = ledger.report(ms(0));
    report.accused.push((1, 1, 7, u64::MAX, true));
    report.cleared.push((2, u64::MAX));
    report.condemned.push((3, u64::MAX));
    ledger.receive(ms(1_000_000), &report, true);
    assert_eq!(decide(&mut ledger, ms(1_000_000), &[1, 2, 3]), Decision::Free);
}

/// A request that an upstream answers.
struct Run {
    entry: usize,
    group: usize,
    upstream: u32,
    started: u64,
    parts: Vec<SubjectId>,
    /// The parts that are on trial.
    suspects: Vec<SubjectId>,
}

/// An estate in simulated time: entries with a ledger each, and groups of upstreams.
struct Estate {
    entries: Vec<Ledger>,
    /// Time at which each group is open again.
    open_at: Vec<u64>,
    running: Vec<Run>,
    /// Entries that have news for the others.
    urgent: Vec<bool>,
    /// Time of each crash that the bad part caused, and of each request with it that was sent.
    crashes: Vec<u64>,
    bad_sends: Vec<u64>,
    sound_sent: usize,
    sound_refused: usize,
    /// Times of the sound requests while a group was open, and whether they were sent.
    sound: Vec<(u64, bool)>,
    condemned: Vec<SubjectId>,
    next_crash: u32,
    harmful_from_ms: u64,
}

/// The load and the troubles of a simulated estate.
#[derive(Clone, Copy)]
struct Terms {
    entries: usize,
    groups: usize,
    ranks: u32,
    /// Mean number of sound requests and of requests with the bad part in 10 ms.
    sound: f64,
    bad: f64,
    /// Time that a message takes, and the fraction that is lost.
    delay_ms: u64,
    loss: f64,
    /// Whether entries report what they have only heard.
    passes_on: bool,
    /// Mean time between crashes with another cause; 0 for none.
    other_crashes_ms: u64,
    /// Mean time between restarts of an entry, which then asks the others; 0 for none.
    restarts_ms: u64,
    /// Time until which upstreams survive the bad part.
    harmful_from_ms: u64,
    /// The first part of all requests from when the bad part comes, as with a new template.
    new_first: SubjectId,
}

const TERMS: Terms = Terms {
    entries: 7,
    groups: 2,
    ranks: 8,
    sound: 0.7,
    bad: 0.05,
    delay_ms: 2,
    loss: 0.05,
    passes_on: false,
    other_crashes_ms: 0,
    restarts_ms: 0,
    harmful_from_ms: 0,
    new_first: FIRST,
};
/// Time from which the bad part comes, when the estate has been in use for some seconds.
const BAD_FROM_MS: u64 = 5_000;
/// Time that a group takes to open after a crash.
const CLOSED_MS: u64 = 4_500;
/// Times from the start of an answer until it crashes its upstream, has lived, and ends.
const CRASH_AFTER_MS: u64 = 60;
const LIVED_AFTER_MS: u64 = 600;
const ENDS_AFTER_MS: u64 = 1_500;

impl Estate {
    fn play(terms: Terms, seed: u64, until_ms: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut estate = Self {
            entries: (0..terms.entries).map(|_| Ledger::new()).collect(),
            open_at: vec![0; terms.groups],
            running: Vec::new(),
            urgent: vec![false; terms.entries],
            crashes: Vec::new(),
            bad_sends: Vec::new(),
            sound_sent: 0,
            sound_refused: 0,
            sound: Vec::new(),
            condemned: Vec::new(),
            next_crash: 0,
            harmful_from_ms: terms.harmful_from_ms,
        };
        let mut messages = Vec::new();
        for now in (0..until_ms).step_by(10) {
            messages.retain(|(at, to, report): &(u64, usize, _)| {
                if *at <= now {
                    let condemned = estate.entries[*to].receive(ms(now), report, terms.passes_on);
                    estate.condemned.extend(condemned);
                }
                *at > now
            });
            for from in 0..terms.entries {
                // An entry that accuses or clears parts reports at once, and otherwise each 0.1 s.
                let urgent = std::mem::take(&mut estate.urgent[from]);
                if urgent || (now / 10 + from as u64).is_multiple_of(10) {
                    let report = estate.entries[from].report(ms(now));
                    for to in (0..terms.entries).filter(|to| *to != from) {
                        if random.f64() >= terms.loss {
                            messages.push((now + terms.delay_ms, to, report.clone()));
                        }
                    }
                }
            }
            let count = |random: &mut fastrand::Rng, mean: f64| {
                mean as usize + usize::from(random.f64() < mean.fract())
            };
            for _ in 0..count(&mut random, terms.sound) {
                // Few subjects are asked for often, most of them rarely.
                let subject = 100 + (random.f64().powi(3) * 400.0) as u64;
                let first = if now >= BAD_FROM_MS { terms.new_first } else { FIRST };
                estate.send(&mut random, now, terms, vec![first, subject]);
            }
            if now >= BAD_FROM_MS {
                for _ in 0..count(&mut random, terms.bad) {
                    estate.send(&mut random, now, terms, vec![terms.new_first, BAD]);
                }
            }
            if terms.other_crashes_ms > 0 && random.u64(0..terms.other_crashes_ms / 10) == 0 {
                let group = random.usize(0..terms.groups);
                estate.crash(now, group, random.u32(0..terms.ranks));
            }
            if terms.restarts_ms > 0 && random.u64(0..terms.restarts_ms / 10) == 0 {
                let restarted = random.usize(0..terms.entries);
                estate.entries[restarted] = Ledger::new();
                estate.running.retain(|run| run.entry != restarted);
            }
            estate.advance(now);
        }
        estate
    }

    fn send(&mut self, random: &mut fastrand::Rng, now: u64, terms: Terms, parts: Vec<SubjectId>) {
        let entry = random.usize(0..terms.entries);
        let open: Vec<usize> =
            (0..terms.groups).filter(|group| self.open_at[*group] <= now).collect();
        let is_bad = parts.contains(&BAD);
        if open.is_empty() {
            return;
        }
        let may_try = |part: SubjectId, _| {
            let rank = |entry: usize| mix(entry as u64, part);
            let ahead = (0..terms.entries).filter(|other| rank(*other) > rank(entry));
            if ahead.count() < TRIAL_ENTRIES { Turn::Now } else { Turn::Never }
        };
        let decision = self.entries[entry].decide(ms(now), &parts, || true, may_try);
        let suspects = match decision {
            Decision::Free => Vec::new(),
            Decision::Trial(suspects) => suspects,
            Decision::Suspect(_) | Decision::Condemned(_) => {
                self.sound_refused += usize::from(!is_bad);
                if !is_bad {
                    self.sound.push((now, false));
                }
                return;
            }
        };
        match is_bad {
            true if now >= self.harmful_from_ms => self.bad_sends.push(now),
            _ => {
                self.sound_sent += 1;
                self.sound.push((now, true));
            }
        }
        let group = open[random.usize(0..open.len())];
        let upstream = random.u32(0..terms.ranks);
        let target = Crash { upstream: group as u32 * terms.ranks + upstream, incarnation: 0 };
        self.entries[entry].begin_trial(&suspects, target);
        self.running.push(Run { entry, group, upstream, started: now, parts, suspects });
    }

    fn advance(&mut self, now: u64) {
        let crashing = self.running.iter().find(|run| {
            run.parts.contains(&BAD)
                && run.started >= self.harmful_from_ms
                && now >= run.started + CRASH_AFTER_MS
        });
        if let Some(Run { group, upstream, .. }) = crashing {
            let (group, upstream) = (*group, *upstream);
            self.crashes.push(now);
            self.crash(now, group, upstream);
        }
        for Run { entry, started, parts, suspects, .. } in &self.running {
            if now == started + LIVED_AFTER_MS || now == started + ENDS_AFTER_MS {
                let cleared = self.entries[*entry].record_lived(ms(now), parts);
                self.urgent[*entry] |= !cleared.is_empty();
                self.entries[*entry].end_trial(suspects);
            }
        }
        self.running.retain(|run| now < run.started + ENDS_AFTER_MS);
        if now.is_multiple_of(100) {
            self.entries.iter_mut().for_each(|ledger| drop(ledger.remove_expired(ms(now))));
        }
    }

    /// Ends all work of a group. The upstream that crashed accuses what had not lived there.
    fn crash(&mut self, now: u64, group: usize, upstream: u32) {
        if self.open_at[group] > now {
            return;
        }
        self.next_crash += 1;
        let crash = crash(self.next_crash);
        self.open_at[group] = now + CLOSED_MS;
        for run in self.running.iter().filter(|run| run.group == group) {
            let ledger = &mut self.entries[run.entry];
            if run.upstream == upstream && now < run.started + LIVED_AFTER_MS {
                let condemned = ledger.record_crash(ms(now), crash, &run.parts, &run.suspects);
                self.condemned.extend(condemned);
                self.urgent[run.entry] = true;
            }
            ledger.end_trial(&run.suspects);
        }
        self.running.retain(|run| run.group != group);
    }
}

/// The bound of the estate's users: at most this many requests with the part may be sent later than
/// [`SETTLING_MS`] after the fifth crash.
const SENDS_AFTER_FIFTH_CRASH: usize = 3;
const SETTLING_MS: u64 = 3_000;

#[test]
fn requests_with_a_crashing_part_stop_within_five_crashes_in_estates_of_all_sizes() {
    let small = TERMS;
    let one_group = Terms { groups: 1, ranks: 12, ..small };
    let plain = Terms { groups: 16, ranks: 1, ..small };
    let grown = Terms { entries: 40, groups: 1, ranks: 63, sound: 2.5, bad: 0.1, ..small };
    let large = Terms {
        entries: 149,
        ranks: 96,
        sound: 5.0,
        bad: 0.2,
        delay_ms: 300,
        passes_on: true,
        ..small
    };
    for (name, terms, seeds) in [
        ("small", small, 60),
        ("one group", one_group, 60),
        ("plain", plain, 60),
        ("grown", grown, 10),
        ("large", large, 2),
    ] {
        for seed in 0..seeds {
            let estate = Estate::play(terms, seed, 30_000);
            let late = estate.crashes.get(4).map_or(0, |fifth| {
                let late = estate.bad_sends.iter().filter(|at| **at > fifth + SETTLING_MS);
                late.count()
            });
            assert!(late <= SENDS_AFTER_FIFTH_CRASH, "{name}, seed {seed}: {late} sends too late");
            assert!(
                estate.crashes.len() <= 5,
                "{name}, seed {seed}: crashes at {:?}",
                estate.crashes
            );
            let sound = estate.condemned.iter().find(|part| **part != BAD);
            assert_eq!(sound, None, "{name}, seed {seed}: a sound part was condemned");
        }
    }
}

/// Plays estates in which a part becomes harmful after answers survived it.
fn check_later_harm(name: &str, terms: Terms) {
    let terms = Terms { harmful_from_ms: 12_000, ..terms };
    for seed in 300..360 {
        let estate = Estate::play(terms, seed, 60_000);
        let late = estate.crashes.get(4).map_or(0, |fifth| {
            estate.bad_sends.iter().filter(|at| **at > fifth + SETTLING_MS).count()
        });
        assert!(late <= SENDS_AFTER_FIFTH_CRASH, "{name}, seed {seed}: {late} sends too late");
        let sound = estate.condemned.iter().find(|part| **part != BAD);
        assert_eq!(sound, None, "{name}, seed {seed}: a sound part was condemned");
    }
}

#[test]
fn requests_with_a_part_that_becomes_harmful_after_answers_survived_it_stop() {
    check_later_harm("small", TERMS);
    check_later_harm("one group", Terms { groups: 1, ranks: 12, ..TERMS });
}

#[test]
fn requests_with_a_part_that_becomes_harmful_to_plain_upstreams_stop() {
    check_later_harm("plain", Terms { groups: 16, ranks: 1, ..TERMS });
}

#[test]
fn entries_that_restart_learn_of_a_condemned_part_from_the_others() {
    for seed in 100..140 {
        let estate = Estate::play(Terms { restarts_ms: 2_000, ..TERMS }, seed, 40_000);
        let fifth = estate.crashes.get(4).copied().unwrap_or(u64::MAX - SETTLING_MS);
        let late = estate.bad_sends.iter().filter(|at| **at > fifth + SETTLING_MS).count();
        assert!(late <= SENDS_AFTER_FIFTH_CRASH, "seed {seed}: {late} sends too late");
    }
}

#[test]
fn crashes_with_other_causes_condemn_no_part_and_refuse_few_requests() {
    for seed in 200..260 {
        let terms = Terms { bad: 0.0, other_crashes_ms: 3_000, ..TERMS };
        let estate = Estate::play(terms, seed, 60_000);
        assert_eq!(estate.condemned, [], "seed {seed}");
        let all = estate.sound_sent + estate.sound_refused;
        assert!(estate.sound_refused * 20 < all, "seed {seed}: {} of {all}", estate.sound_refused);
    }
}

/// Guards against a sound part that is condemned with the harmful one, as all harmful requests have
/// both: requests with it were refused for good.
#[test]
fn a_sound_part_of_all_harmful_requests_outlasts_the_harmful_one() {
    for seed in 400..460 {
        for (entries, bad) in [(2, 0.42), (3, 0.14), (3, 0.42), (7, 0.42)] {
            let new_first = 10_000 + seed;
            let terms =
                Terms { entries, groups: 1, ranks: 12, sound: 0.14, bad, new_first, ..TERMS };
            let estate = Estate::play(terms, seed, 50_000);
            let case = format!("seed {seed}, {entries} entries, {bad} bad requests");
            let sound = estate.condemned.iter().find(|part| **part != BAD);
            assert_eq!(sound, None, "{case}: a sound part was condemned");
            assert!(estate.crashes.len() <= 5, "{case}: crashes at {:?}", estate.crashes);
            let last = estate.crashes.last().copied().expect("a crash");
            let judged = estate.sound.iter().filter(|(at, _)| *at > last + 2 * SETTLING_MS);
            let (all, sent) = judged.fold((0, 0), |(all, sent), (_, was_sent)| {
                (all + 1, sent + usize::from(*was_sent))
            });
            assert!(2 * sent >= all, "{case}: {sent} of {all} sound requests were sent");
        }
    }
}

#[test]
fn a_crash_under_a_trial_of_several_parts_condemns_none_of_them_sooner() {
    let mut ledger = Ledger::new();
    ledger.record_crash(ms(0), crash(1), &[FIRST, BAD], &[]);
    assert_eq!(
        ledger.decide(ms(5_000), &[FIRST, BAD], || false, |_, _| Turn::Now),
        Decision::Suspect(FIRST),
        "no upstream could try one of them alone"
    );
    assert_eq!(decide(&mut ledger, ms(6_000), &[FIRST, BAD]), Decision::Suspect(FIRST));
    assert_eq!(decide(&mut ledger, ms(6_100), &[FIRST]), Decision::Trial(vec![FIRST]));
    let both = Decision::Trial(vec![FIRST, BAD]);
    assert_eq!(decide(&mut ledger, ms(8_100), &[FIRST, BAD]), both, "none came with one of them");
    for number in 2..4 {
        let at = ms(u64::from(number) * 10_000);
        ledger.begin_trial(&[FIRST, BAD], crash(number));
        assert!(ledger.record_crash(at, crash(number), &[FIRST, BAD], &[FIRST, BAD]).is_empty());
        ledger.end_trial(&[FIRST, BAD]);
    }
}

/// Guards against a wait that is over when the upstreams return: all suspects were tried by the first
/// request then.
#[test]
fn the_wait_for_a_request_with_a_single_suspect_begins_when_upstreams_return() {
    let mut ledger = Ledger::new();
    ledger.record_crash(ms(0), crash(1), &[FIRST, BAD], &[]);
    // A crash is known before the registrations of the group tell of it.
    let held_back = Decision::Suspect(FIRST);
    assert_eq!(decide(&mut ledger, ms(100), &[FIRST, BAD]), held_back);
    let down = ledger.decide(ms(1_000), &[FIRST, BAD], || false, |_, _| Turn::Now);
    assert_eq!(down, held_back);
    assert_eq!(decide(&mut ledger, ms(5_600), &[FIRST, BAD]), held_back);
    assert_eq!(decide(&mut ledger, ms(7_500), &[FIRST, BAD]), held_back);
    let both = Decision::Trial(vec![FIRST, BAD]);
    assert_eq!(decide(&mut ledger, ms(7_700), &[FIRST, BAD]), both);
}

/// Guards against a wait that passes while a trial without an outcome keeps the single suspects from
/// being tried.
#[test]
fn the_wait_for_a_request_with_a_single_suspect_begins_when_it_may_be_tried() {
    let mut ledger = Ledger::new();
    ledger.record_crash(ms(0), crash(1), &[FIRST, BAD], &[]);
    let held_back = Decision::Suspect(FIRST);
    assert_eq!(decide(&mut ledger, ms(100), &[FIRST, BAD]), held_back);
    // The group of the trial stalls, and nothing tells what became of it for 6 s.
    ledger.begin_trial(&[FIRST], crash(2));
    ledger.record_failure(ms(1_500), crash(2), &[FIRST], &[FIRST]);
    ledger.end_trial(&[FIRST]);
    assert_eq!(decide(&mut ledger, ms(7_400), &[FIRST]), held_back);
    assert_eq!(decide(&mut ledger, ms(7_400), &[FIRST, BAD]), held_back);
    ledger.remove_expired(ms(7_510));
    assert_eq!(decide(&mut ledger, ms(7_510), &[FIRST, BAD]), held_back, "before the sound one");
    assert_eq!(decide(&mut ledger, ms(7_550), &[FIRST]), Decision::Trial(vec![FIRST]));
}

/// Guards against suspects that are never tried: what others repeat of a crash began the wait anew.
#[test]
fn reminders_of_a_crash_do_not_hold_back_a_request_with_several_suspects() {
    let (mut ledger, mut other) = (Ledger::new(), Ledger::new());
    ledger.record_crash(ms(0), crash(1), &[FIRST, BAD], &[]);
    other.receive(ms(0), &ledger.report(ms(0)), false);
    assert_eq!(decide(&mut ledger, ms(1_000), &[FIRST, BAD]), Decision::Suspect(FIRST));
    for second in 1..=3 {
        let at = ms(1_000 * second);
        ledger.receive(at, &other.report(at), false);
    }
    let both = Decision::Trial(vec![FIRST, BAD]);
    assert_eq!(decide(&mut ledger, ms(3_000), &[FIRST, BAD]), both);
}

/// Guards against requests that are sent again at once although their part has crashed upstreams since
/// an answer survived it: several reached upstreams before the outcome of the first was known.
#[test]
fn a_part_that_is_no_longer_trusted_settles_before_it_is_tried_again() {
    let mut ledger = Ledger::new();
    ledger.record_lived(ms(0), &[BAD]);
    for number in 1..=3 {
        ledger.record_crash(ms(500 * u64::from(number)), crash(number), &[BAD], &[]);
    }
    let settled =
        |ledger: &mut Ledger, at| ledger.decide(ms(at), &[BAD], || true, |_, _| Turn::Settled);
    assert_eq!(settled(&mut ledger, 1_600), Decision::Suspect(BAD));
    assert_eq!(settled(&mut ledger, 2_500), Decision::Trial(vec![BAD]));
}

/// Guards against parts that stay suspects for crashes that a condemned one has caused.
#[test]
fn a_verdict_clears_the_others_of_the_crashes_that_it_explains() {
    let mut ledger = Ledger::new();
    for number in 1..4 {
        let at = ms(u64::from(number) * 5_000);
        let suspects: &[SubjectId] = if number == 1 { &[] } else { &[BAD] };
        ledger.begin_trial(suspects, crash(number));
        ledger.record_crash(at, crash(number), &[FIRST, BAD], suspects);
        ledger.end_trial(suspects);
    }
    assert_eq!(decide(&mut ledger, ms(16_000), &[BAD]), Decision::Condemned(BAD));
    assert_eq!(decide(&mut ledger, ms(16_000), &[FIRST]), Decision::Free);
    assert!(ledger.record_crash(ms(16_100), crash(3), &[FIRST], &[]).is_empty());
    assert_eq!(decide(&mut ledger, ms(16_200), &[FIRST]), Decision::Free, "late news of it");
    ledger.record_crash(ms(17_000), crash(9), &[FIRST], &[]);
    assert_eq!(decide(&mut ledger, ms(17_100), &[FIRST]), Decision::Trial(vec![FIRST]));
}
