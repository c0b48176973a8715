//! Claims on idempotency keys, stored in objects of the platform.
//!
//! Invariant: a key is granted to one attempt at a time. Until the claim expires, another attempt
//! can get the key only after a release that names the first one, which is sent only if the
//! upstream certainly did not run that attempt. Each change is a compare-and-swap of the whole
//! object, and every operation is idempotent, so it can be retried if the response to a write was
//! lost.

use filberttrail_kernel::id::Attempt;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum time that a claim is kept, measured with the clocks of the sidecars that write. Older
/// claims are removed only when an object is full.
pub const RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Maximum estimated size of one object, in bytes; the platform accepts values of up to 1 MB.
pub const MAX_SHARD_BYTES: usize = 900_000;
/// Estimated size of a record without its outcome, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 320;

/// The claims that are stored in one object, by the digest of their key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shard {
    records: BTreeMap<String, Record>,
}

/// A claim on one key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The attempt that the key is granted to.
    pub attempt: Attempt,
    /// Digest of method, path and body, in hexadecimal.
    pub request: String,
    /// When the key was claimed, as time since the Unix epoch.
    #[serde(rename = "at")]
    pub claimed_at: Duration,
    /// The recorded response, or `None` while the attempt has not completed.
    pub outcome: Option<Outcome>,
}

/// The recorded response of a completed attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// The body, or an empty string if the body was not UTF-8 or too long to be recorded.
    pub body: String,
}

/// An operation on the claim of one key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Claims a key for an attempt.
    Claim {
        /// The key's digest.
        key: String,
        /// Digest of method, path and body, in hexadecimal.
        request: String,
        /// The attempt that is to be run.
        attempt: Attempt,
    },
    /// Records the response of the attempt that the key is granted to.
    Record {
        /// The key's digest.
        key: String,
        /// The attempt that ran.
        attempt: Attempt,
        /// The response of the attempt.
        outcome: Outcome,
    },
    /// Releases a key whose attempt the upstream certainly did not run.
    Release {
        /// The key's digest.
        key: String,
        /// The attempt that did not run.
        attempt: Attempt,
    },
}

/// The result of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The key is granted to the attempt.
    Granted,
    /// The key is granted to another attempt that has no recorded outcome yet.
    Held,
    /// The request with this key has completed with the given outcome.
    Done(Outcome),
    /// The key was used for a different request.
    Mismatch,
    /// The object has no room for another claim, even without its expired ones.
    Full,
    /// A record or release operation is done. It changes nothing if the key is not granted to its
    /// attempt or already has an outcome.
    Applied,
}

impl Shard {
    /// Applies an operation and returns its result; `now` is the time since the Unix epoch.
    pub fn apply(&mut self, operation: &Operation, now: Duration) -> Reply {
        match operation {
            Operation::Claim { key, request, attempt } => self.claim(key, request, *attempt, now),
            Operation::Record { key, attempt, outcome } => self.record(key, *attempt, outcome),
            Operation::Release { key, attempt } => self.release(key, *attempt),
        }
    }

    fn claim(&mut self, key: &str, request: &str, attempt: Attempt, now: Duration) -> Reply {
        if let Some(record) = self.records.get(key) {
            return match &record.outcome {
                _ if record.request != request => Reply::Mismatch,
                Some(outcome) => Reply::Done(outcome.clone()),
                None if record.attempt == attempt => Reply::Granted,
                None => Reply::Held,
            };
        }
        if self.bytes() + RECORD_OVERHEAD_BYTES > MAX_SHARD_BYTES {
            self.expire(now);
        }
        if self.bytes() + RECORD_OVERHEAD_BYTES > MAX_SHARD_BYTES {
            return Reply::Full;
        }
        let record =
            Record { attempt, request: request.to_string(), claimed_at: now, outcome: None };
        self.records.insert(key.to_string(), record);
        Reply::Granted
    }

    fn record(&mut self, key: &str, attempt: Attempt, outcome: &Outcome) -> Reply {
        if let Some(record) = self.records.get_mut(key)
            && record.attempt == attempt
            && record.outcome.is_none()
        {
            record.outcome = Some(outcome.clone());
        }
        Reply::Applied
    }

    fn release(&mut self, key: &str, attempt: Attempt) -> Reply {
        let is_pending = |record: &Record| record.attempt == attempt && record.outcome.is_none();
        if self.records.get(key).is_some_and(is_pending) {
            self.records.remove(key);
        }
        Reply::Applied
    }

    fn expire(&mut self, now: Duration) {
        self.records.retain(|_, record| now.saturating_sub(record.claimed_at) < RETENTION);
    }

    /// Returns the estimated size of the stored object, in bytes.
    pub fn bytes(&self) -> usize {
        let outcome_bytes = |record: &Record| record.outcome.as_ref().map_or(0, Outcome::bytes);
        self.records.values().map(|record| RECORD_OVERHEAD_BYTES + outcome_bytes(record)).sum()
    }

    /// Returns the number of claims, including expired ones that are not removed yet.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl Outcome {
    fn bytes(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len() + 8);
        self.body.len() + headers.sum::<usize>()
    }
}
