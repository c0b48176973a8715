use super::accusation::{Accusation, Record};
use super::failures::{Failure, Failures};
use super::subject::is_whole_request;
use super::{Crash, Decision, Report, SubjectId, Turn};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// Number of entries that may try a suspect. Two, so that the loss of one leaves another.
pub const TRIAL_ENTRIES: usize = 2;
/// Time for which an answer has to send events until it has lived. Harmful requests crash an upstream
/// within its first passes.
const LIFE: Duration = Duration::from_millis(500);
/// Number of times that events have to arrive until an answer has lived, as slow upstreams make
/// their first passes late.
const LIFE_EVENTS: u32 = 5;
/// Time after an accusation for which only the request that it is about may try the subject. By then
/// the outcome of that retry is known, and all entries have heard of it.
const SETTLING: Duration = Duration::from_millis(1_000);
/// Score at which a subject is condemned.
const CONDEMNING_SCORE: u32 = 4;
/// Score at which a part is condemned that an answer has survived within [`LIFE_MEMORY`]. Parts of most
/// requests are on each crashed upstream by chance.
const CONDEMNING_SCORE_OF_SURVIVED: u32 = 6;
/// Score at which a subject is condemned again whose verdict has lapsed.
const CONDEMNING_SCORE_OF_LAPSED: u32 = 1;
/// Time after an answer has lived within which its parts are no suspects, and a whole request may be
/// tried without settling. Whole requests are suspects all the same, as their trial tells more: nothing
/// else holds them.
const TRUST: Duration = Duration::from_secs(10);
/// Number of crashes since an answer has lived from which its parts are suspects all the same, and
/// trials condemn them like parts that no answer has survived: what they hold, or what upstreams run,
/// may have changed.
const DISTRUSTED_CRASHES: usize = 3;
/// Time for which requests with several suspected parts wait for one that has a single part of these,
/// while an upstream is there to try it. The crash of the latter tells which part caused it.
const SINGLE_PRECEDENCE: Duration = Duration::from_millis(2_000);
/// Time for which it is remembered that an answer has lived.
const LIFE_MEMORY: Duration = Duration::from_secs(60);
/// Time for which a subject is a suspect because of a single crash. It is longer than a group takes
/// to open after a crash; a later crash counts as well.
const SINGLE_SUSPICION_LIFETIME: Duration = Duration::from_secs(15);
/// Time after which an accusation lapses.
const ACCUSATION_LIFETIME: Duration = Duration::from_secs(600);
/// Time without a request after which a condemned subject is forgotten.
pub const CONDEMNED_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which a single crash condemns a subject again whose verdict has lapsed. Software that
/// crashes is replaced within days.
const LAPSED_LIFETIME: Duration = Duration::from_secs(24 * 3_600);
/// Time for which news is repeated in each report.
const NEWS_LIFETIME: Duration = Duration::from_millis(1_000);
/// Time for which an entry that reported a trial is taken to go on with it. Reports are at most 0.4 s
/// apart, and relays pass them on.
const TRIED_LIFETIME: Duration = Duration::from_millis(1_000);
/// Interval at which a report also contains subjects that are no news, in turn. They are for entries
/// that have started since.
const REMINDER_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of subjects in a reminder.
const REMINDER_SUBJECTS: usize = 4;
/// Maximum number of subjects in a report, of each sort.
const REPORT_LIMIT: usize = 24;
/// Maximum number of accusations of one subject.
const ACCUSATIONS_LIMIT: usize = 16;
/// Maximum number of accused subjects, and of condemned ones.
const SUBJECTS_LIMIT: usize = 1_024;
/// Maximum number of crashes of which it is remembered what caused them.
const EXPLAINED_LIMIT: usize = 256;
/// Maximum number of subjects of which it is remembered that an answer has lived.
const LIVED_LIMIT: usize = 16_384;

/// The trial of a subject by a request of this entry.
#[derive(Debug)]
struct Trial {
    /// The upstream that the request was sent to.
    at: Crash,
    /// Whether no other trial of this entry has been there at the same time. If one has, a crash
    /// doesn't tell which of them caused it.
    alone: bool,
}

/// What one entry knows of the subjects of requests.
#[derive(Debug, Default)]
pub struct Ledger {
    accused: BTreeMap<SubjectId, Record>,
    /// Time at which an answer with the subject last lived.
    lived: HashMap<SubjectId, Duration>,
    /// Accused subjects that were cleared, with the time at which their answer lived, and the time
    /// since which that is reported.
    cleared: BTreeMap<SubjectId, (Duration, Duration)>,
    /// Condemned subjects, and the time of the last request with them.
    condemned: BTreeMap<SubjectId, Duration>,
    /// Crashes of which a condemned subject was accused, oldest first. They accuse nothing else.
    explained: VecDeque<Crash>,
    /// Accusations of subjects that were condemned since the crashes were last explained.
    convicted: Vec<Record>,
    /// Verdicts that gave way to newer ones.
    displaced: Vec<SubjectId>,
    in_trial: HashMap<SubjectId, Trial>,
    /// Suspected parts of which requests with several were held back, with the time of the first one
    /// since the last crash.
    held_back: HashMap<SubjectId, Duration>,
    failures: Failures,
    /// Suspects that other entries try, with the time at which they were known to, and whether that
    /// is passed on.
    tried: BTreeMap<SubjectId, (Duration, bool)>,
    /// The last subject of the last reminder, and the time of the next one.
    reminded_until: SubjectId,
    reminder_at: Duration,
    /// The last condemned subject in the last report.
    condemned_until: SubjectId,
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

    /// Decides on a request with these subjects. `is_up` tells whether an upstream could take it, and
    /// `turn` when this entry may try a suspect with it, by the suspect and whether it is the only one.
    pub fn decide(
        &mut self,
        now: Duration,
        subjects: &[SubjectId],
        is_up: impl FnOnce() -> bool,
        turn: impl Fn(SubjectId, bool) -> Turn,
    ) -> Decision {
        if let Some(subject) = subjects.iter().find(|subject| self.condemned.contains_key(subject))
        {
            self.condemned.insert(*subject, now);
            return Decision::Condemned(*subject);
        }
        let suspects: Vec<SubjectId> =
            subjects.iter().copied().filter(|subject| self.is_suspect(now, *subject)).collect();
        let may_try = |subject: SubjectId| {
            let settled = || {
                self.has_survived(now, subject) && !self.is_distrusted(subject)
                    || self.accused[&subject].last_at().is_none_or(|at| now >= at + SETTLING)
            };
            !self.is_being_tried(now, subject)
                && match turn(subject, suspects.len() == 1) {
                    Turn::Now => true,
                    Turn::Retry => self.accused[&subject].accusations.len() == 1,
                    Turn::Settled => settled(),
                    Turn::Never => false,
                }
        };
        if let Some(subject) = suspects.iter().find(|subject| !may_try(**subject)).copied() {
            if self.is_being_tried(now, subject) {
                // Meanwhile, requests with a single suspect can't come first.
                self.held_back.retain(|part, _| !suspects.contains(part));
            }
            return Decision::Suspect(subject);
        }
        if suspects.is_empty() {
            return Decision::Free;
        }
        if !self.may_try_together(now, &suspects, is_up) {
            return Decision::Suspect(suspects[0]);
        }
        Decision::Trial(suspects)
    }

    /// Returns whether a trial of a suspect goes on, here or at another entry, or its outcome is open.
    fn is_being_tried(&self, now: Duration, subject: SubjectId) -> bool {
        let tried = self.tried.get(&subject);
        self.in_trial.contains_key(&subject)
            || self.failures.open_trials().any(|open| open == subject)
            || tried.is_some_and(|(at, _)| now < *at + TRIED_LIFETIME)
    }

    /// Returns whether suspects may be tried by one request: parts only after requests with one of them
    /// had the time to come first.
    fn may_try_together(
        &mut self,
        now: Duration,
        suspects: &[SubjectId],
        is_up: impl FnOnce() -> bool,
    ) -> bool {
        let is_part = |subject: &&SubjectId| !is_whole_request(**subject);
        let parts: Vec<SubjectId> = suspects.iter().filter(is_part).copied().collect();
        if parts.len() < 2 {
            return true;
        }
        if !is_up() {
            self.held_back.retain(|part, _| !parts.contains(part));
            return false;
        }
        let held_back = parts.iter().map(|part| *self.held_back.entry(*part).or_insert(now));
        held_back.max().is_some_and(|since| now >= since + SINGLE_PRECEDENCE)
    }

    /// Begins a trial at an upstream, during which no other request with these suspects is sent.
    pub fn begin_trial(&mut self, suspects: &[SubjectId], at: Crash) {
        if suspects.is_empty() {
            return;
        }
        let mut alone = true;
        for other in self.in_trial.values_mut().filter(|other| other.at == at) {
            other.alone = false;
            alone = false;
        }
        for suspect in suspects {
            self.in_trial.insert(*suspect, Trial { at, alone });
        }
    }

    /// Ends a trial, whatever its outcome.
    pub fn end_trial(&mut self, suspects: &[SubjectId]) {
        for subject in suspects {
            self.in_trial.remove(subject);
        }
    }

    fn is_alone(&self, suspects: &[SubjectId]) -> bool {
        let mut trials = suspects.iter().filter_map(|suspect| self.in_trial.get(suspect));
        trials.all(|trial| trial.alone)
    }

    fn is_suspect(&self, now: Duration, subject: SubjectId) -> bool {
        let Some(record) = self.accused.get(&subject) else { return false };
        let recent =
            record.accusations.last().is_some_and(|last| now < last.at + SINGLE_SUSPICION_LIFETIME);
        (recent || record.score() > 1) && !self.is_trusted(now, subject)
    }

    /// Returns whether a subject is no suspect because an answer with it has lived recently.
    pub fn is_trusted(&self, now: Duration, subject: SubjectId) -> bool {
        !is_whole_request(subject)
            && !self.is_distrusted(subject)
            && self.has_survived(now, subject)
    }

    /// Returns whether a subject has been on so many crashes since an answer with it lived that the
    /// answer no longer counts.
    fn is_distrusted(&self, subject: SubjectId) -> bool {
        let record = self.accused.get(&subject);
        record.is_some_and(|record| record.accusations.len() >= DISTRUSTED_CRASHES)
    }

    fn has_survived(&self, now: Duration, subject: SubjectId) -> bool {
        self.lived.get(&subject).is_some_and(|at| now < *at + TRUST)
    }

    /// Records that an answer to a request with these subjects has lived. Returns the subjects that
    /// were accused until then.
    pub fn record_lived(&mut self, now: Duration, subjects: &[SubjectId]) -> Vec<SubjectId> {
        let mut cleared = Vec::new();
        for subject in subjects {
            self.lived.insert(*subject, now);
            self.held_back.remove(subject);
            if self.accused.remove(subject).is_some() {
                self.cleared.insert(*subject, (now, now));
                cleared.push(*subject);
            }
        }
        cleared
    }

    /// Records that an upstream crashed while it answered a request with these subjects, of which
    /// `suspects` were on trial. Returns the subjects that are condemned by that.
    pub fn record_crash(
        &mut self,
        now: Duration,
        crash: Crash,
        subjects: &[SubjectId],
        suspects: &[SubjectId],
    ) -> Vec<SubjectId> {
        let (subjects, suspects) = (subjects.to_vec(), suspects.to_vec());
        let alone = self.is_alone(&suspects);
        self.accuse_all(now, &Failure { crash, subjects, suspects, alone, at: now })
    }

    /// Records that a request to an upstream ended without an answer, and it is not known whether
    /// the upstream crashed.
    pub fn record_failure(
        &mut self,
        now: Duration,
        crash: Crash,
        subjects: &[SubjectId],
        suspects: &[SubjectId],
    ) {
        let (subjects, suspects) = (subjects.to_vec(), suspects.to_vec());
        let alone = self.is_alone(&suspects);
        self.failures.push(Failure { crash, subjects, suspects, alone, at: now });
    }

    /// Records that an upstream turned out to have crashed. Accuses the requests that ended there
    /// without an answer. Returns the subjects that were accused, and those condemned by that.
    pub fn record_end(&mut self, now: Duration, crash: Crash) -> [Vec<SubjectId>; 2] {
        if self.failures.is_empty() {
            return Default::default();
        }
        let failures = self.failures.take(crash);
        let accused = failures.iter().flat_map(|failure| failure.subjects.clone()).collect();
        let condemned = failures.iter().flat_map(|failure| self.accuse_all(now, failure)).collect();
        [accused, condemned]
    }

    fn accuse_all(&mut self, now: Duration, failure: &Failure) -> Vec<SubjectId> {
        let Failure { crash, subjects, suspects, alone, at } = failure;
        // Of several suspects any may be the cause, but whole requests hold all that may be.
        let accuse = |subject: &SubjectId| {
            let decisive = suspects.len() == 1 || is_whole_request(*subject);
            let in_trial = *alone && decisive && suspects.contains(subject);
            let accusation = Accusation { crash: *crash, at: *at, in_trial };
            self.accuse(now, *subject, accusation, true).then_some(*subject)
        };
        let condemned = subjects.iter().filter_map(accuse).collect();
        self.explain_crashes();
        condemned
    }

    /// Clears the other subjects of the crashes that those condemned by now have caused. They were
    /// there by chance, or are on the same requests.
    fn explain_crashes(&mut self) {
        let convicted = std::mem::take(&mut self.convicted);
        let crashes = convicted.iter().flat_map(|record| &record.accusations);
        let crashes: Vec<Crash> = crashes.map(|accusation| accusation.crash).collect();
        if crashes.is_empty() {
            return;
        }
        self.accused.retain(|_, record| {
            record.accusations.retain(|accusation| !crashes.contains(&accusation.crash));
            record.last_at().is_some()
        });
        self.explained.extend(crashes);
        let excess = self.explained.len().saturating_sub(EXPLAINED_LIMIT);
        self.explained.drain(..excess);
    }

    /// Records an accusation, which is reported to others if it is news to them. Returns whether the
    /// subject is condemned by it.
    fn accuse(
        &mut self,
        now: Duration,
        subject: SubjectId,
        accusation: Accusation,
        news: bool,
    ) -> bool {
        if self.condemned.contains_key(&subject) || self.explained.contains(&accusation.crash) {
            return false;
        }
        if let Some(at) = self.lived.get(&subject).filter(|at| **at > accusation.at) {
            // The accuser may not know yet that an answer has lived since.
            self.cleared.entry(subject).or_insert((*at, now));
            return false;
        }
        if !self.accused.contains_key(&subject) && self.accused.len() >= SUBJECTS_LIMIT {
            self.remove_oldest();
        }
        let in_trial = accusation.in_trial;
        let record = self.accused.entry(subject).or_default();
        if record.add(accusation, ACCUSATIONS_LIMIT) {
            self.held_back.remove(&subject);
            if news {
                record.news_until = now + NEWS_LIFETIME;
            }
        }
        let survived = !is_whole_request(subject)
            && self.lived.get(&subject).is_some_and(|at| now < *at + LIFE_MEMORY);
        let distrusted = in_trial && record.accusations.len() > DISTRUSTED_CRASHES;
        let needed = match record.lapsed_at {
            Some(_) => CONDEMNING_SCORE_OF_LAPSED,
            None if survived && !distrusted => CONDEMNING_SCORE_OF_SURVIVED,
            None => CONDEMNING_SCORE,
        };
        record.score() >= needed
            && self.decisive_score(subject) >= needed
            && self.condemn(now, subject)
    }

    /// Returns the score of a subject without what trials add that other entries had of other subjects
    /// at the same upstream: the crash does not tell which of them caused it.
    fn decisive_score(&self, subject: SubjectId) -> u32 {
        let Some(record) = self.accused.get(&subject) else { return 0 };
        let others = || self.accused.iter().filter(|(other, _)| **other != subject);
        record.score_of(|crash| !others().any(|(_, other)| other.has_trial(crash)))
    }

    /// Condemns a subject, in place of the one that was not requested for the longest time if there
    /// are too many. Returns whether it was not condemned before.
    pub fn condemn(&mut self, now: Duration, subject: SubjectId) -> bool {
        if self.condemned.len() >= SUBJECTS_LIMIT && !self.condemned.contains_key(&subject) {
            let oldest = self.condemned.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(oldest, _)| *oldest) {
                self.condemned.remove(&oldest);
                self.displaced.push(oldest);
            }
        }
        self.convicted.extend(self.accused.remove(&subject));
        self.condemned.insert(subject, now).is_none()
    }

    /// Returns the number of condemned subjects.
    pub fn count_condemned(&self) -> usize {
        self.condemned.len()
    }

    /// Returns what to tell other entries. Of much news, the subjects with the highest score are
    /// told, as what a crash has in common with others is more likely its cause; condemned subjects
    /// are told in turn.
    pub fn report(&mut self, now: Duration) -> Report {
        let age = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let news = self.accused.iter().filter(|(_, record)| now < record.news_until);
        let mut news: Vec<(SubjectId, &Record)> =
            news.map(|(subject, record)| (*subject, record)).collect();
        if news.len() > REPORT_LIMIT {
            news.sort_by_key(|(_, record)| std::cmp::Reverse((record.score(), record.last_at())));
            news.truncate(REPORT_LIMIT);
        }
        let mut subjects: Vec<SubjectId> = news.iter().map(|(subject, _)| *subject).collect();
        if now >= self.reminder_at && !self.accused.is_empty() {
            self.reminder_at = now + REMINDER_INTERVAL;
            let reminded = take_next(&self.accused, &mut self.reminded_until, REMINDER_SUBJECTS);
            subjects.extend(reminded);
        }
        let rows = |subject: &SubjectId| {
            let row = |accusation: &Accusation| {
                let Accusation { crash, at, in_trial } = accusation;
                (*subject, crash.upstream, crash.incarnation, age(*at), *in_trial)
            };
            self.accused[subject].accusations.iter().map(row).collect::<Vec<_>>()
        };
        let accused = subjects.iter().flat_map(rows).collect();
        let cleared = self.cleared.iter().take(REPORT_LIMIT);
        let cleared = cleared.map(|(subject, (at, _))| (*subject, age(*at))).collect();
        let condemned = take_next(&self.condemned, &mut self.condemned_until, REPORT_LIMIT);
        let condemned = condemned.map(|subject| (subject, age(self.condemned[&subject])));
        let own = self.in_trial.keys().copied().chain(self.failures.open_trials());
        let own = own.map(|subject| (subject, 0));
        let heard = self.tried.iter().filter(|(_, (_, passed_on))| *passed_on);
        let heard = heard.map(|(subject, (at, _))| (*subject, age(*at)));
        let tried = own.chain(heard).take(REPORT_LIMIT).collect();
        Report { accused, cleared, tried, condemned: condemned.collect() }
    }

    /// Takes over what another entry reports, and reports it to others too if `pass_on` is set.
    /// Returns the subjects that are condemned by that.
    pub fn receive(&mut self, now: Duration, report: &Report, pass_on: bool) -> Vec<SubjectId> {
        let time = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        for (subject, age) in &report.cleared {
            let at = time(*age);
            let lived = self.lived.entry(*subject).or_insert(at);
            *lived = at.max(*lived);
            let lived = *lived;
            if let Some(record) = self.accused.get_mut(subject) {
                record.accusations.retain(|accusation| accusation.at > lived);
                if record.accusations.is_empty() {
                    self.accused.remove(subject);
                    if pass_on {
                        self.cleared.insert(*subject, (lived, now));
                    }
                }
            }
        }
        for (subject, age) in report.tried.iter().take(REPORT_LIMIT) {
            let (at, _) = self.tried.entry(*subject).or_insert((time(*age), pass_on));
            *at = time(*age).max(*at);
        }
        let mut condemned = Vec::new();
        for (subject, age) in &report.condemned {
            let at = time(*age);
            if at + CONDEMNED_LIFETIME <= now {
                continue;
            }
            if self.condemn(now, *subject) {
                condemned.push(*subject);
                self.condemned.insert(*subject, at);
            } else if let Some(requested_at) = self.condemned.get_mut(subject) {
                *requested_at = at.max(*requested_at);
            }
        }
        for (subject, upstream, incarnation, age, in_trial) in &report.accused {
            let at = time(*age);
            if at + ACCUSATION_LIFETIME <= now {
                continue;
            }
            let crash = Crash { upstream: *upstream, incarnation: *incarnation };
            let accusation = Accusation { crash, at, in_trial: *in_trial };
            if self.accuse(now, *subject, accusation, pass_on) {
                condemned.push(*subject);
            }
            // What this entry has lost there is accused as well.
            let [_, own] = self.record_end(now, crash);
            condemned.extend(own);
        }
        self.explain_crashes();
        condemned
    }

    /// Forgets what has expired. Returns the subjects that are no longer condemned.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<SubjectId> {
        self.accused.retain(|_, record| {
            record.accusations.retain(|accusation| now < accusation.at + ACCUSATION_LIFETIME);
            record.lapsed_at = record.lapsed_at.filter(|at| now < *at + LAPSED_LIFETIME);
            record.last_at().is_some()
        });
        self.failures.remove_expired(now);
        self.held_back.retain(|subject, _| self.accused.contains_key(subject));
        self.tried.retain(|_, (at, _)| now < *at + TRIED_LIFETIME);
        self.cleared.retain(|_, (_, since)| now < *since + NEWS_LIFETIME);
        if self.lived.len() > LIVED_LIMIT {
            self.lived.retain(|_, at| now < *at + LIFE_MEMORY);
        }
        if self.lived.len() > LIVED_LIMIT {
            self.lived.retain(|_, at| now < *at + TRUST);
        }
        let is_over = |at: &Duration| now >= *at + CONDEMNED_LIFETIME;
        let lapsed =
            self.condemned.iter().filter(|(_, at)| is_over(at)).map(|(subject, _)| *subject);
        let mut lapsed: Vec<SubjectId> = lapsed.collect();
        self.condemned.retain(|_, at| !is_over(at));
        lapsed.append(&mut self.displaced);
        for subject in &lapsed {
            if self.accused.len() >= SUBJECTS_LIMIT {
                self.remove_oldest();
            }
            self.accused.entry(*subject).or_default().lapsed_at = Some(now);
        }
        lapsed
    }

    fn remove_oldest(&mut self) {
        let oldest = self.accused.iter().min_by_key(|(_, record)| record.last_at());
        if let Some(subject) = oldest.map(|(subject, _)| *subject) {
            self.accused.remove(&subject);
        }
    }
}

/// Returns the next `count` subjects after `last` in the ring of all, and sets `last` to the last of
/// them.
fn take_next<T>(
    subjects: &BTreeMap<SubjectId, T>,
    last: &mut SubjectId,
    count: usize,
) -> impl Iterator<Item = SubjectId> + use<T> {
    let after = last.wrapping_add(1);
    let ring = subjects.range(after..).chain(subjects.range(..after));
    let next: Vec<SubjectId> = ring.map(|(subject, _)| *subject).take(count).collect();
    *last = next.last().copied().unwrap_or_default();
    next.into_iter()
}
