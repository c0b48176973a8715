//! Finds the prompt part that crashes upstreams, and keeps requests with it away from them.
//!
//! Load pattern: requests with one part crash every upstream that begins to answer them. They arrive
//! at any entry, several a second, and share nothing else that others lack: their callers and their
//! other parts also occur in sound requests. In a lock-step group each crash stops all ranks for
//! seconds, and requests with the part wait when the group is back.
//!
//! A crash accuses the shared parts of the requests whose answers had begun there but had not lived.
//! An answer that lives clears its parts. Entries tell each other about both. An accused part is a
//! suspect: few entries may send it, each one request at a time. A part that stays accused is
//! condemned, and requests with it are refused.

use crate::loads::IdHash;
use crate::upstream::Incarnation;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// The hash of a service's name and the id of a prompt part.
pub type PartId = u64;

/// Number of entries that may try a suspect. Two, so that the loss of one leaves another.
pub const TRIAL_ENTRIES: usize = 2;
/// Time for which an answer has to send events until it has lived. Harmful parts crash an upstream
/// within its first passes.
const LIFE: Duration = Duration::from_millis(500);
/// Number of times that events have to arrive until an answer has lived, as slow upstreams make
/// their first passes late.
const LIFE_EVENTS: u32 = 5;
/// Crashes outside trials count as one within this time: one cause, such as a lost data centre, may
/// end several upstreams.
const MOMENT: Duration = Duration::from_millis(1_000);
/// Score at which a part is condemned. A crash outside trials counts 1, so that a part which is on
/// crashed upstreams by chance needs at least one more crash than its first trial.
const CONDEMNING_SCORE: u32 = 4;
/// Score at which a part is condemned that an answer has survived within [`LIFE_MEMORY`]. Parts of
/// most requests are on each crashed upstream by chance.
const CONDEMNING_SCORE_OF_SURVIVED: u32 = 6;
/// Score of a crash during a trial, which leaves little else to blame.
const TRIAL_SCORE: u32 = 2;
/// Time after an answer has lived within which its parts are no suspects.
const TRUST: Duration = Duration::from_secs(10);
/// Time for which it is remembered that an answer has lived.
const LIFE_MEMORY: Duration = Duration::from_secs(60);
/// Time for which a part is a suspect because of a single crash. It is longer than a group takes to
/// open after a crash; a later crash counts as well.
const SINGLE_SUSPICION_LIFETIME: Duration = Duration::from_secs(15);
/// Time after which an accusation lapses.
const ACCUSATION_LIFETIME: Duration = Duration::from_secs(600);
/// Time without a request after which a condemned part is forgotten.
pub const CONDEMNED_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which news is repeated in each report.
const NEWS_LIFETIME: Duration = Duration::from_millis(1_000);
/// Interval at which a report also contains parts that are no news, in turn. They are for entries
/// that have started since.
const REMINDER_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of parts in a reminder.
const REMINDER_PARTS: usize = 4;
/// Maximum number of parts in a report, of each sort.
const REPORT_LIMIT: usize = 24;
/// Maximum number of accusations of one part.
const ACCUSATIONS_LIMIT: usize = 16;
/// Maximum number of accused parts, and of condemned ones.
const PARTS_LIMIT: usize = 1_024;
/// Maximum number of parts of which it is remembered that an answer has lived.
const LIVED_LIMIT: usize = 16_384;

/// The crash of one incarnation of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the upstream's id.
    pub upstream: IdHash,
    /// Incarnation that crashed.
    pub incarnation: Incarnation,
}

#[derive(Debug, Clone)]
struct Accusation {
    crash: Crash,
    at: Duration,
    in_trial: bool,
}

/// The accusations of a part.
#[derive(Debug, Default)]
struct Record {
    /// In the order of their times.
    accusations: Vec<Accusation>,
    /// Time until which each report contains them.
    news_until: Duration,
}

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// None of its parts is accused.
    Free,
    /// It may be sent to find out about these suspects, as their trial.
    Trial(Vec<PartId>),
    /// The part is a suspect that another request or entry tries.
    Suspect(PartId),
    /// The part crashes upstreams.
    Condemned(PartId),
}

/// What an entry reports to others. Ages are in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Accused parts, with the upstream that crashed, its incarnation, the age of the crash, and
    /// whether it ended a trial.
    pub accused: Vec<(PartId, IdHash, Incarnation, u64, bool)>,
    /// Parts that were accused before an answer with them lived, and the age of that.
    pub cleared: Vec<(PartId, u64)>,
    /// Condemned parts, and the age of the last request with them.
    pub condemned: Vec<(PartId, u64)>,
}

/// What one entry knows of the parts of prompts.
#[derive(Debug, Default)]
pub struct Ledger {
    accused: BTreeMap<PartId, Record>,
    /// Time at which an answer with the part last lived.
    lived: HashMap<PartId, Duration>,
    /// Accused parts that were cleared, with the time at which their answer lived, and the time
    /// since which that is reported.
    cleared: BTreeMap<PartId, (Duration, Duration)>,
    /// Condemned parts, and the time of the last request with them.
    condemned: BTreeMap<PartId, Duration>,
    in_trial: HashSet<PartId>,
    /// The last part of the last reminder, and the time of the next one.
    reminded_until: PartId,
    reminder_at: Duration,
}

/// Returns whether an answer has lived, by how many times events have arrived and the time since the
/// first.
pub fn has_lived(arrivals: u32, since_first: Duration) -> bool {
    arrivals >= LIFE_EVENTS && since_first >= LIFE
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on a request with these shared parts. `may_try` tells whether this entry may try a
    /// part.
    pub fn decide(
        &mut self,
        now: Duration,
        parts: &[PartId],
        may_try: impl Fn(PartId) -> bool,
    ) -> Decision {
        if let Some(part) = parts.iter().find(|part| self.condemned.contains_key(part)) {
            self.condemned.insert(*part, now);
            return Decision::Condemned(*part);
        }
        let suspects: Vec<PartId> =
            parts.iter().copied().filter(|part| self.is_suspect(now, *part)).collect();
        if let Some(part) =
            suspects.iter().find(|part| self.in_trial.contains(part) || !may_try(**part))
        {
            return Decision::Suspect(*part);
        }
        if suspects.is_empty() {
            return Decision::Free;
        }
        Decision::Trial(suspects)
    }

    /// Begins a trial, during which no other request with these suspects is sent.
    pub fn begin_trial(&mut self, suspects: &[PartId]) {
        self.in_trial.extend(suspects);
    }

    /// Ends a trial, whatever its outcome.
    pub fn end_trial(&mut self, suspects: &[PartId]) {
        for part in suspects {
            self.in_trial.remove(part);
        }
    }

    fn is_suspect(&self, now: Duration, part: PartId) -> bool {
        let Some(Record { accusations, .. }) = self.accused.get(&part) else { return false };
        let recent =
            accusations.last().is_some_and(|last| now < last.at + SINGLE_SUSPICION_LIFETIME);
        (recent || score(accusations) > 1) && !self.is_trusted(now, part)
    }

    /// Returns whether an answer with this part has lived recently.
    pub fn is_trusted(&self, now: Duration, part: PartId) -> bool {
        self.lived.get(&part).is_some_and(|at| now < *at + TRUST)
    }

    /// Records that an answer to a request with these parts has lived. Returns the parts that were
    /// accused until then.
    pub fn record_lived(&mut self, now: Duration, parts: &[PartId]) -> Vec<PartId> {
        let mut cleared = Vec::new();
        for part in parts {
            self.lived.insert(*part, now);
            if self.accused.remove(part).is_some() {
                self.cleared.insert(*part, (now, now));
                cleared.push(*part);
            }
        }
        cleared
    }

    /// Records that an upstream crashed while it answered a request with these parts, of which
    /// `suspects` were on trial. Returns the parts that are condemned by that.
    pub fn record_crash(
        &mut self,
        now: Duration,
        crash: Crash,
        parts: &[PartId],
        suspects: &[PartId],
    ) -> Vec<PartId> {
        let accuse = |part: &PartId| {
            let accusation = Accusation { crash, at: now, in_trial: suspects.contains(part) };
            self.accuse(now, *part, accusation, true).then_some(*part)
        };
        parts.iter().filter_map(accuse).collect()
    }

    /// Records an accusation, which is reported to others if it is news to them. Returns whether the
    /// part is condemned by it.
    fn accuse(&mut self, now: Duration, part: PartId, accusation: Accusation, news: bool) -> bool {
        if self.condemned.contains_key(&part) {
            return false;
        }
        if let Some(at) = self.lived.get(&part).filter(|at| **at > accusation.at) {
            // The accuser may not know yet that an answer has lived since.
            self.cleared.entry(part).or_insert((*at, now));
            return false;
        }
        if !self.accused.contains_key(&part) && self.accused.len() >= PARTS_LIMIT {
            self.remove_oldest();
        }
        let record = self.accused.entry(part).or_default();
        let known = record.accusations.iter().position(|known| known.crash == accusation.crash);
        let changed = match known {
            Some(index) => {
                let known = &mut record.accusations[index].in_trial;
                !std::mem::replace(known, *known || accusation.in_trial) && accusation.in_trial
            }
            None if record.accusations.len() >= ACCUSATIONS_LIMIT => false,
            None => {
                record.accusations.push(accusation);
                record.accusations.sort_by_key(|accusation| accusation.at);
                true
            }
        };
        if changed && news {
            record.news_until = now + NEWS_LIFETIME;
        }
        let survived = self.lived.get(&part).is_some_and(|at| now < *at + LIFE_MEMORY);
        let needed = if survived { CONDEMNING_SCORE_OF_SURVIVED } else { CONDEMNING_SCORE };
        score(&record.accusations) >= needed && self.condemn(now, part)
    }

    /// Condemns a part. Returns whether it was not condemned before.
    pub fn condemn(&mut self, now: Duration, part: PartId) -> bool {
        if self.condemned.len() >= PARTS_LIMIT && !self.condemned.contains_key(&part) {
            return false;
        }
        self.accused.remove(&part);
        self.condemned.insert(part, now).is_none()
    }

    /// Returns the number of condemned parts.
    pub fn count_condemned(&self) -> usize {
        self.condemned.len()
    }

    /// Returns what to tell other entries.
    pub fn report(&mut self, now: Duration) -> Report {
        let age = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let news = self.accused.iter().filter(|(_, record)| now < record.news_until);
        let mut parts: Vec<PartId> = news.map(|(part, _)| *part).take(REPORT_LIMIT).collect();
        if now >= self.reminder_at && !self.accused.is_empty() {
            self.reminder_at = now + REMINDER_INTERVAL;
            let after = self.reminded_until.wrapping_add(1);
            let ring = self.accused.range(after..).chain(self.accused.range(..after));
            let reminded: Vec<PartId> = ring.map(|(part, _)| *part).take(REMINDER_PARTS).collect();
            self.reminded_until = reminded.last().copied().unwrap_or_default();
            parts.extend(reminded);
        }
        let rows = |part: &PartId| {
            let row = |accusation: &Accusation| {
                let Accusation { crash, at, in_trial } = accusation;
                (*part, crash.upstream, crash.incarnation, age(*at), *in_trial)
            };
            self.accused[part].accusations.iter().map(row).collect::<Vec<_>>()
        };
        let cleared = self.cleared.iter().take(REPORT_LIMIT);
        let condemned = self.condemned.iter().take(REPORT_LIMIT);
        Report {
            accused: parts.iter().flat_map(rows).collect(),
            cleared: cleared.map(|(part, (at, _))| (*part, age(*at))).collect(),
            condemned: condemned.map(|(part, at)| (*part, age(*at))).collect(),
        }
    }

    /// Takes over what another entry reports, and reports it to others too if `pass_on` is set.
    /// Returns the parts that are condemned by that.
    pub fn receive(&mut self, now: Duration, report: &Report, pass_on: bool) -> Vec<PartId> {
        let time = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        for (part, age) in &report.cleared {
            let at = time(*age);
            let lived = self.lived.entry(*part).or_insert(at);
            *lived = at.max(*lived);
            let lived = *lived;
            if let Some(record) = self.accused.get_mut(part) {
                record.accusations.retain(|accusation| accusation.at > lived);
                if record.accusations.is_empty() {
                    self.accused.remove(part);
                    if pass_on {
                        self.cleared.insert(*part, (lived, now));
                    }
                }
            }
        }
        let mut condemned = Vec::new();
        for (part, age) in &report.condemned {
            let at = time(*age);
            if at + CONDEMNED_LIFETIME <= now {
                continue;
            }
            if self.condemn(now, *part) {
                condemned.push(*part);
                self.condemned.insert(*part, at);
            } else if let Some(requested_at) = self.condemned.get_mut(part) {
                *requested_at = at.max(*requested_at);
            }
        }
        for (part, upstream, incarnation, age, in_trial) in &report.accused {
            let at = time(*age);
            if at + ACCUSATION_LIFETIME <= now {
                continue;
            }
            let crash = Crash { upstream: *upstream, incarnation: *incarnation };
            let accusation = Accusation { crash, at, in_trial: *in_trial };
            if self.accuse(now, *part, accusation, pass_on) {
                condemned.push(*part);
            }
        }
        condemned
    }

    /// Forgets what has expired. Returns the parts that are no longer condemned.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<PartId> {
        self.accused.retain(|_, record| {
            record.accusations.retain(|accusation| now < accusation.at + ACCUSATION_LIFETIME);
            !record.accusations.is_empty()
        });
        self.cleared.retain(|_, (_, since)| now < *since + NEWS_LIFETIME);
        if self.lived.len() > LIVED_LIMIT {
            self.lived.retain(|_, at| now < *at + LIFE_MEMORY);
        }
        if self.lived.len() > LIVED_LIMIT {
            self.lived.retain(|_, at| now < *at + TRUST);
        }
        let is_over = |at: &Duration| now >= *at + CONDEMNED_LIFETIME;
        let lapsed: Vec<PartId> =
            self.condemned.iter().filter(|(_, at)| is_over(at)).map(|(part, _)| *part).collect();
        self.condemned.retain(|_, at| !is_over(at));
        lapsed
    }

    fn remove_oldest(&mut self) {
        let oldest = self.accused.iter().min_by_key(|(_, record)| {
            record.accusations.iter().map(|accusation| accusation.at).max()
        });
        if let Some(part) = oldest.map(|(part, _)| *part) {
            self.accused.remove(&part);
        }
    }
}

/// Adds up the crashes of a part, which are in the order of their times.
fn score(accusations: &[Accusation]) -> u32 {
    let mut total = 0;
    let mut moment: Option<Duration> = None;
    for accusation in accusations {
        if accusation.in_trial {
            total += TRIAL_SCORE;
        } else if moment.is_none_or(|since| accusation.at >= since + MOMENT) {
            total += 1;
            moment = Some(accusation.at);
        }
    }
    total
}
