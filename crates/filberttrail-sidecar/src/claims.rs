//! Claims on idempotency keys: one task an object, many claims a write.

use bytes::Bytes;
use filberttrail_kernel::Result;
use filberttrail_kernel::id::Version;
use filberttrail_state::Shard;
use filberttrail_state::claim::{Operation, Reply};
use filberttrail_store::Platform;
use filberttrail_store::client::Write;
use filberttrail_store::follow::jitter;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

/// The pause after a write that failed.
const PAUSE: Duration = Duration::from_millis(100);
/// The time between two writes of one busy object, since the platform counts each.
pub const PACE: Duration = Duration::from_millis(80);
/// How far writes of a quiet object may run ahead of that pace: a claim and its outcome, twice.
const BURST: Duration = Duration::from_millis(320);
/// Most operations in one write.
const BATCH_LIMIT: usize = 512;

/// An operation and whom to tell what it came to.
struct Job {
    operation: Operation,
    answer: oneshot::Sender<Reply>,
}

/// Access to claims objects.
#[derive(Clone)]
pub struct Claims {
    platform: Arc<Platform>,
    control: Handle,
    shards: Arc<Mutex<HashMap<String, mpsc::UnboundedSender<Job>>>>,
    counts: Arc<Counts>,
}

/// What is counted.
#[derive(Debug, Default)]
pub struct Counts {
    /// Writes sent.
    pub writes: AtomicU64,
    /// Operations asked for.
    pub operations: AtomicU64,
    /// Whether the platform's last answer was an error.
    pub failing: AtomicBool,
}

impl Claims {
    /// Makes the access; its tasks run on the control thread.
    pub fn new(platform: Arc<Platform>, control: Handle) -> Self {
        Self { platform, control, shards: Arc::default(), counts: Arc::default() }
    }

    /// Returns what was counted.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Asks for an operation on an object; the answer comes once it lasts.
    ///
    /// A caller that stops waiting does not stop the operation.
    pub fn submit(&self, object: &str, operation: Operation) -> oneshot::Receiver<Reply> {
        let (answer, answered) = oneshot::channel();
        self.counts.operations.fetch_add(1, Ordering::Relaxed);
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let jobs = shards.entry(object.to_string()).or_insert_with(|| self.start(object));
        let _ = jobs.send(Job { operation, answer });
        answered
    }

    fn start(&self, object: &str) -> mpsc::UnboundedSender<Job> {
        let (sender, jobs) = mpsc::unbounded_channel();
        let committer = Committer {
            platform: self.platform.clone(),
            counts: self.counts.clone(),
            object: object.to_string(),
            known: None,
        };
        self.control.spawn(committer.run(jobs));
        sender
    }
}

/// The task of one claims object.
struct Committer {
    platform: Arc<Platform>,
    counts: Arc<Counts>,
    object: String,
    known: Option<(Version, Shard)>,
}

impl Committer {
    async fn run(mut self, mut jobs: mpsc::UnboundedReceiver<Job>) {
        let mut batch = Vec::new();
        let mut free = tokio::time::Instant::now();
        while jobs.recv_many(&mut batch, BATCH_LIMIT).await > 0 {
            // A quiet object is written at once, a few times; a busy one gathers what comes.
            tokio::time::sleep_until(free.checked_sub(BURST).unwrap_or(free)).await;
            while batch.len() < BATCH_LIMIT
                && let Ok(job) = jobs.try_recv()
            {
                batch.push(job);
            }
            self.commit(&mut batch).await;
            free = free.max(tokio::time::Instant::now()) + PACE;
            batch.clear();
        }
    }

    /// Repeats until every operation lasts; each may be applied again without harm.
    async fn commit(&mut self, batch: &mut Vec<Job>) {
        loop {
            // A claim that nobody waits for any more must not be made now.
            batch.retain(|job| !is_abandoned(job));
            match self.commit_once(batch).await {
                Ok(Some(answers)) => {
                    self.counts.failing.store(false, Ordering::Relaxed);
                    for (job, answer) in batch.drain(..).zip(answers) {
                        let _ = job.answer.send(answer);
                    }
                    return;
                }
                Ok(None) => self.known = None,
                Err(fault) => {
                    log::warn!("claims wait for the platform: {}", fault.current_context());
                    self.known = None;
                    self.counts.failing.store(true, Ordering::Relaxed);
                    tokio::time::sleep(jitter(PAUSE)).await;
                }
            }
        }
    }

    /// Tries one conditional write; `None` if another writer came first.
    async fn commit_once(&mut self, batch: &[Job]) -> Result<Option<Vec<Reply>>> {
        let (version, shard) = match &self.known {
            Some(known) => known.clone(),
            None => self.read().await?,
        };
        let mut next = shard.clone();
        let now = since_epoch();
        let answers: Vec<Reply> = batch.iter().map(|job| next.apply(&job.operation, now)).collect();
        let doubtful = |answer: &Reply| matches!(answer, Reply::Held | Reply::Full);
        if self.known.is_some() && answers.iter().any(doubtful) {
            // Another writer may know more.
            self.known = None;
            return Ok(None);
        }
        if next == shard {
            self.known = Some((version, shard));
            return Ok(Some(answers));
        }
        let value = Bytes::from(serde_json::to_vec(&next).unwrap_or_default());
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        match self.platform.write(&self.object, version, value).await? {
            Write::Done(version) => {
                self.known = Some((version, next));
                Ok(Some(answers))
            }
            Write::Conflict => Ok(None),
        }
    }

    async fn read(&self) -> Result<(Version, Shard)> {
        let Some(object) = self.platform.read(&self.object).await? else {
            return Ok((0, Shard::default()));
        };
        let shard = serde_json::from_slice(&object.value).map_err(|fault| {
            let help = "claims are refused until the object is mended";
            filberttrail_kernel::Error::platform(&self.object, fault, help)
        })?;
        Ok((object.version, shard))
    }
}

fn is_abandoned(job: &Job) -> bool {
    matches!(job.operation, Operation::Claim { .. }) && job.answer.is_closed()
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
