use super::Crash;
use std::time::Duration;

/// Crashes outside trials count as one within this time: one cause, such as a lost data centre, may
/// end several upstreams.
const MOMENT: Duration = Duration::from_millis(1_000);
/// Score of a crash during a trial, which leaves little else to blame.
const TRIAL_SCORE: u32 = 2;

/// A crash of which a subject is accused.
#[derive(Debug, Clone)]
pub(super) struct Accusation {
    pub crash: Crash,
    pub at: Duration,
    pub in_trial: bool,
}

/// The accusations of a subject.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// In the order of their times.
    pub accusations: Vec<Accusation>,
    /// Time until which each report contains them.
    pub news_until: Duration,
    /// Time at which the subject ceased to be condemned, if it was.
    pub lapsed_at: Option<Duration>,
}

impl Record {
    /// Adds up the crashes. One outside trials counts 1, so that a subject which is on crashed
    /// upstreams by chance needs at least one more crash than its first trial.
    pub fn score(&self) -> u32 {
        self.score_of(|_| true)
    }

    /// The same, where only the trials at the crashes for which `is_decisive` is true count as such.
    pub fn score_of(&self, is_decisive: impl Fn(Crash) -> bool) -> u32 {
        let mut total = 0;
        let mut moment: Option<Duration> = None;
        for accusation in &self.accusations {
            if accusation.in_trial && is_decisive(accusation.crash) {
                total += TRIAL_SCORE;
            } else if moment.is_none_or(|since| accusation.at >= since + MOMENT) {
                total += 1;
                moment = Some(accusation.at);
            }
        }
        total
    }

    /// Adds an accusation, in place of one that counts for nothing if there are `limit`. Returns whether
    /// that changes the record: the same crash counts once, and as one in a trial if any entry saw it in
    /// one.
    pub fn add(&mut self, accusation: Accusation, limit: usize) -> bool {
        let known = self.accusations.iter().position(|known| known.crash == accusation.crash);
        match known {
            Some(index) => {
                let known = &mut self.accusations[index].in_trial;
                !std::mem::replace(known, *known || accusation.in_trial) && accusation.in_trial
            }
            None => {
                self.accusations.push(accusation);
                self.accusations.sort_by_key(|accusation| accusation.at);
                if self.accusations.len() > limit {
                    self.remove_one();
                }
                true
            }
        }
    }

    /// Removes the last accusation that adds nothing to the score, or else the oldest one.
    fn remove_one(&mut self) {
        let score = self.score();
        let counts_for_nothing = |index: &usize| {
            let mut others = self.accusations.clone();
            others.remove(*index);
            let others = Self { accusations: others, ..Self::default() };
            others.score() == score
        };
        let removed = (0..self.accusations.len()).rev().find(counts_for_nothing);
        self.accusations.remove(removed.unwrap_or_default());
    }

    /// Returns whether the subject was on trial at a crash.
    pub fn has_trial(&self, crash: Crash) -> bool {
        let mut accusations = self.accusations.iter();
        accusations.any(|accusation| accusation.in_trial && accusation.crash == crash)
    }

    /// Returns the time of the last accusation or verdict.
    pub fn last_at(&self) -> Option<Duration> {
        self.accusations.last().map(|last| last.at).max(self.lapsed_at)
    }
}
