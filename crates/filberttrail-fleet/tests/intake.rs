//! Replays of the load that limits answer: all entries want to send more to an upstream than it takes.

use filberttrail_fleet::intake::{Limit, Named};
use filberttrail_fleet::{Intake, subset};
use filberttrail_kernel::digest::stable_hash;
use filberttrail_test_support::property::check;
use std::collections::VecDeque;
use std::time::Duration;

/// Span over which the platform counts the requests to an upstream.
const SPAN: Duration = Duration::from_millis(4_000);
const TICK: Duration = Duration::from_millis(20);

/// Requests that may arrive within [`SPAN`]: one and a half times what the limit allows, and five.
fn bound(limit: f64) -> usize {
    (1.5 * limit * SPAN.as_secs_f64()) as usize + 5
}

/// Entries that all know a limit, each with its own list of the others.
struct Estate {
    intakes: Vec<Intake>,
    counts: Vec<usize>,
    arrivals: VecDeque<Duration>,
    random: fastrand::Rng,
}

impl Estate {
    /// Of each entry's list, one in `missing` of the others is missing; with 0, none.
    fn new(count: usize, missing: usize, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let names: Vec<u64> =
            (0..count).map(|number| stable_hash(format!("entry-{number}").as_bytes())).collect();
        let upstream = random.u64(..);
        let mut known = |entry: &u64| -> Vec<u64> {
            let knows =
                |other: &&u64| *other == entry || missing == 0 || random.usize(..missing) > 0;
            names.iter().filter(knows).copied().collect()
        };
        let lists: Vec<Vec<u64>> = names.iter().map(&mut known).collect();
        let intakes = names.iter().zip(&lists).map(|(entry, list)| {
            let mut intake = Intake::new();
            intake.set_rank(subset::rank(*entry, list, upstream));
            intake
        });
        let intakes = intakes.collect();
        let counts = lists.iter().map(Vec::len).collect();
        Self { intakes, counts, arrivals: VecDeque::new(), random }
    }

    /// Lets each entry with a share send whatever it may; requests arrive up to 0.4 s later.
    fn tick(&mut self, now: Duration) -> usize {
        let mut sent = 0;
        for (intake, count) in self.intakes.iter_mut().zip(&self.counts) {
            while intake.is_open(now, *count) && sent < 10_000 {
                intake.record_send(now);
                let delay = Duration::from_millis(self.random.u64(..400));
                self.arrivals.push_back(now + delay);
                sent += 1;
            }
        }
        sent
    }

    /// Returns the highest number of requests that arrive within [`SPAN`].
    fn busiest(&self) -> usize {
        let mut arrivals: Vec<Duration> = self.arrivals.iter().copied().collect();
        arrivals.sort();
        let within = |(index, start): (usize, &Duration)| {
            arrivals[index..].iter().take_while(|at| **at <= *start + SPAN).count()
        };
        arrivals.iter().enumerate().map(within).max().unwrap_or_default()
    }
}

#[test]
fn the_requests_of_all_entries_stay_within_a_limit() {
    for count in [1, 2, 7, 9, 40, 149, 340] {
        for limit in [0.0, 0.1, 0.5, 1.0, 2.3, 5.0, 20.0, 300.0] {
            for missing in [0, 40] {
                let mut estate = Estate::new(count, missing, count as u64);
                for intake in &mut estate.intakes {
                    intake.record_named(Duration::ZERO, Duration::ZERO, Named::Limit(limit));
                }
                let mut now = Duration::ZERO;
                while now < Duration::from_secs(9) {
                    now += TICK;
                    estate.tick(now);
                }
                let busiest = estate.busiest();
                assert!(
                    busiest <= bound(limit),
                    "{count} entries, 1 in {missing} unknown, limit {limit}: {busiest} of {}",
                    bound(limit)
                );
                let used = estate.arrivals.len() as f64 / 9.0;
                assert!(missing > 0 || used >= 0.7 * limit, "{count}, {limit}: used {used}");
            }
        }
    }
}

#[test]
fn a_lifted_limit_rises_step_by_step() {
    let (count, limit) = (149, 2.0);
    let mut estate = Estate::new(count, 0, 3);
    let mut now = Duration::ZERO;
    let mut sent_by_second = [0; 6];
    for intake in &mut estate.intakes {
        intake.record_named(Duration::ZERO, Duration::ZERO, Named::Limit(limit));
        intake.record_named(Duration::ZERO, Duration::ZERO, Named::Nothing);
    }
    while now < Duration::from_millis(4_900) {
        now += TICK;
        sent_by_second[now.as_secs() as usize] += estate.tick(now);
    }
    for (second, sent) in sent_by_second.iter().enumerate().take(5) {
        let most = 4.5 * limit * 2f64.powi(second as i32 + 1);
        assert!(*sent as f64 <= most, "second {second}: {sent} of {most}");
    }
    now = Duration::from_millis(5_100);
    assert_eq!(estate.intakes[0].limit(now), None);
}

#[test]
fn answers_that_overtake_each_other_keep_the_lower_limit() {
    let seconds = Duration::from_secs;
    let mut intake = Intake::new();
    assert!(intake.record_named(seconds(5), seconds(6), Named::Limit(2.0)));
    // The request was sent before the limit was named.
    assert!(!intake.record_named(seconds(4), seconds(7), Named::Nothing));
    assert!(!intake.record_named(seconds(4), seconds(7), Named::Limit(9.0)));
    assert_eq!(intake.limit(seconds(7)).expect("a limit").per_second, 2.0);
    assert!(!intake.record_named(seconds(8), seconds(8), Named::Unreadable));
    assert!(intake.record_named(seconds(8), seconds(9), Named::Limit(4.0)));
    assert!(intake.record_named(seconds(10), seconds(10), Named::Nothing));
    assert!(intake.limit(seconds(10)).expect("a limit").lifted_at.is_some());
    assert!(intake.record_named(seconds(11), seconds(11), Named::Limit(4.0)));
    assert_eq!(intake.limit(seconds(11)).expect("a limit").lifted_at, None);
    assert_eq!(intake.limit(seconds(22)), None, "nobody names it any more");
}

#[test]
fn an_older_limit_that_another_entry_tells_does_not_replace_a_newer_one() {
    let seconds = Duration::from_secs;
    let told = |per_second, at| Limit { per_second, named_at: seconds(at), lifted_at: None };
    let mut intake = Intake::new();
    intake.record_told(told(3.0, 5));
    intake.record_told(told(1.0, 4));
    assert_eq!(intake.limit(seconds(6)), Some(told(3.0, 5)));
    intake.record_told(told(2.0, 6));
    assert_eq!(intake.limit(seconds(6)), Some(told(2.0, 6)));
    intake.reset();
    assert_eq!(intake.limit(seconds(6)), None, "another incarnation has no limit");
}

#[test]
fn any_order_of_answers_leaves_a_share_or_a_time_to_come_back() {
    fn holds(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut intake = Intake::new();
        let mut now = Duration::ZERO;
        steps.into_iter().all(|(what, limit, pause)| {
            now += Duration::from_millis(u64::from(pause % 3_000));
            let sent_at = now.saturating_sub(Duration::from_millis(u64::from(limit) * 9));
            let named = match what % 4 {
                0 => Named::Nothing,
                1 => Named::Unreadable,
                _ => Named::Limit(f64::from(limit) / 16.0),
            };
            intake.record_named(sent_at, now, named);
            let entries = usize::from(what) + 1;
            let opens_at = intake.opens_at(now, entries);
            if opens_at <= now {
                intake.record_send(now);
            }
            opens_at <= now + filberttrail_fleet::intake::SPAN
        })
    }
    check(0x10ad_0026, holds as fn(Vec<(u8, u8, u16)>) -> bool);
}
