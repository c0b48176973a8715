//! Writes claims on idempotency keys to the platform. One task per claims object combines many
//! operations into each write.

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

/// Longest delay after a failed read or write; the actual one is at least half of it, at random.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Mean interval between writes to a busy object, because the platform counts every write.
pub const WRITE_PERIOD: Duration = Duration::from_millis(80);
/// How far writes to an object may run ahead of that interval after it was idle. This is enough for
/// two requests, each with a claim and an outcome.
const WRITE_BURST: Duration = Duration::from_millis(320);
/// Maximum number of operations in one write.
const BATCH_LIMIT: usize = 512;

/// A submitted operation and the channel for its result.
struct Job {
    operation: Operation,
    reply: oneshot::Sender<Reply>,
}

/// A handle for submitting operations on claims objects.
#[derive(Clone)]
pub struct Claims {
    platform: Arc<Platform>,
    control: Handle,
    shards: Arc<Mutex<HashMap<String, mpsc::UnboundedSender<Job>>>>,
    counts: Arc<Counts>,
}

/// Counters and state of the writes to the platform.
#[derive(Debug, Default)]
pub struct Counts {
    /// Number of writes sent to the platform.
    pub writes: AtomicU64,
    /// Number of submitted operations.
    pub operations: AtomicU64,
    /// Whether the last read or write failed.
    pub failing: AtomicBool,
}

impl Claims {
    /// Creates a handle whose tasks run on the given runtime.
    pub fn new(platform: Arc<Platform>, control: Handle) -> Self {
        Self { platform, control, shards: Arc::default(), counts: Arc::default() }
    }

    /// Returns the counters.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Submits an operation on an object. The receiver gets the result once it is stored.
    ///
    /// If the receiver is dropped, a claim that is not written yet is discarded. Other operations
    /// are still carried out.
    pub fn submit(&self, object: &str, operation: Operation) -> oneshot::Receiver<Reply> {
        let (reply, receiver) = oneshot::channel();
        self.counts.operations.fetch_add(1, Ordering::Relaxed);
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let jobs = shards.entry(object.to_string()).or_insert_with(|| self.start(object));
        let _ = jobs.send(Job { operation, reply });
        receiver
    }

    fn start(&self, object: &str) -> mpsc::UnboundedSender<Job> {
        let (sender, jobs) = mpsc::unbounded_channel();
        let committer = Committer {
            platform: self.platform.clone(),
            counts: self.counts.clone(),
            object: object.to_string(),
            cached: None,
        };
        self.control.spawn(committer.run(jobs));
        sender
    }
}

/// The task that writes one claims object.
struct Committer {
    platform: Arc<Platform>,
    counts: Arc<Counts>,
    object: String,
    cached: Option<(Version, Shard)>,
}

impl Committer {
    async fn run(mut self, mut jobs: mpsc::UnboundedReceiver<Job>) {
        let mut batch = Vec::new();
        let mut next_write = tokio::time::Instant::now();
        while jobs.recv_many(&mut batch, BATCH_LIMIT).await > 0 {
            // An idle object is written immediately, up to the burst limit. For a busy object,
            // operations are collected until the next write is due.
            tokio::time::sleep_until(next_write.checked_sub(WRITE_BURST).unwrap_or(next_write))
                .await;
            while batch.len() < BATCH_LIMIT
                && let Ok(job) = jobs.try_recv()
            {
                batch.push(job);
            }
            self.commit(&mut batch).await;
            next_write = next_write.max(tokio::time::Instant::now()) + WRITE_PERIOD;
            batch.clear();
        }
    }

    /// Retries until every operation is stored. This is safe because operations are idempotent.
    async fn commit(&mut self, batch: &mut Vec<Job>) {
        loop {
            // The submitter of a claim may have given up and will not run the request, so its claim
            // must not be written any more.
            batch.retain(|job| !is_abandoned(job));
            match self.commit_once(batch).await {
                Ok(Some(replies)) => {
                    self.counts.failing.store(false, Ordering::Relaxed);
                    for (job, reply) in batch.drain(..).zip(replies) {
                        let _ = job.reply.send(reply);
                    }
                    return;
                }
                Ok(None) => self.cached = None,
                Err(error) => {
                    log::warn!("cannot write claims, retrying: {}", error.current_context());
                    self.cached = None;
                    self.counts.failing.store(true, Ordering::Relaxed);
                    tokio::time::sleep(jitter(RETRY_DELAY)).await;
                }
            }
        }
    }

    /// Tries one conditional write. Returns `None` if the object must be read again, because
    /// another process has changed it or may have.
    async fn commit_once(&mut self, batch: &[Job]) -> Result<Option<Vec<Reply>>> {
        let (version, shard) = match &self.cached {
            Some(cached) => cached.clone(),
            None => self.read().await?,
        };
        let mut updated = shard.clone();
        let now = since_epoch();
        let replies: Vec<Reply> =
            batch.iter().map(|job| updated.apply(&job.operation, now)).collect();
        let may_be_stale = |reply: &Reply| matches!(reply, Reply::Held | Reply::Full);
        if self.cached.is_some() && replies.iter().any(may_be_stale) {
            // The cached object may be outdated: another sidecar may have recorded an outcome or
            // made room.
            self.cached = None;
            return Ok(None);
        }
        if updated == shard {
            self.cached = Some((version, shard));
            return Ok(Some(replies));
        }
        let value = Bytes::from(serde_json::to_vec(&updated).unwrap_or_default());
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        match self.platform.write(&self.object, version, value).await? {
            Write::Done(version) => {
                self.cached = Some((version, updated));
                Ok(Some(replies))
            }
            Write::Conflict => Ok(None),
        }
    }

    async fn read(&self) -> Result<(Version, Shard)> {
        let Some(object) = self.platform.read(&self.object).await? else {
            return Ok((0, Shard::default()));
        };
        let shard = serde_json::from_slice(&object.value).map_err(|error| {
            let help = "claims are refused until the object is repaired";
            filberttrail_kernel::Error::platform(&self.object, error, help)
        })?;
        Ok((object.version, shard))
    }
}

fn is_abandoned(job: &Job) -> bool {
    matches!(job.operation, Operation::Claim { .. }) && job.reply.is_closed()
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
