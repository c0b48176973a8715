//! The frames.

use bytes::Bytes;
use derive_more::Display;
use filberttrail_kernel::id::{Incarnation, MapVersion, Rank};
use serde::{Deserialize, Serialize};

/// One message between an entry and a sidecar. `number` counts the attempts of the entry's life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Sidecar to entry, first: what the entry's proof must cover.
    Challenge(Bytes),
    /// Entry to sidecar: who it is, and its proof.
    Hello(Hello),
    /// Sidecar to entry: who it is, and its proof.
    Welcome(Welcome),
    /// Entry to sidecar: a request to run.
    Offer(Box<Offer>),
    /// Entry to sidecar: send again from the chunk with this sequence number.
    Resume(u64, u64),
    /// Entry to sidecar: do not run it if it has not been handed over.
    Withdraw(u64),
    /// Entry to sidecar: the caller has gone; stop it if it may be stopped.
    Cancel(u64),
    /// Entry to sidecar: the answer has arrived whole.
    Acknowledge(u64),
    /// Sidecar to entry: the head of an answer.
    Head(u64, Head),
    /// Sidecar to entry: a chunk of an answer's body, with its sequence number.
    Chunk(u64, u64, Bytes),
    /// Sidecar to entry: the answer ended after so many chunks.
    End(u64, u64),
    /// Sidecar to entry: there will be no (more) answer.
    Failed(u64, Failure),
    /// Sidecar to entry: how loaded the upstream is.
    Load(Load),
    /// Both ways: the manifest in force, in JSON.
    Manifest(Bytes),
    /// Both ways: asks for a part by its digest.
    Want(String),
    /// Both ways: a part, by its digest.
    Part(String, Bytes),
    /// Lease holder to sidecar: stage an expert map, given in JSON.
    Stage(MapVersion, Bytes),
    /// Sidecar to lease holder: the rank has staged a version.
    Staged(Rank, MapVersion),
    /// Lease holder to the leader's sidecar: steps carry this version from now on.
    Activate(MapVersion),
    /// The leader's sidecar to the lease holder: the version is active.
    Activated(MapVersion),
    /// Both ways: the connection is alive.
    Beat,
}

/// An entry's introduction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The entry's name.
    pub node: String,
    /// The entry's life.
    pub incarnation: Incarnation,
    /// Counts the entry's connections to this sidecar; the highest one counts.
    pub connection: u64,
    /// What the sidecar's proof must cover.
    pub nonce: Bytes,
    /// Proves that the entry knows the secret.
    pub proof: Bytes,
}

/// A sidecar's introduction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// The upstream that the sidecar stands beside.
    pub upstream: String,
    /// The sidecar's life.
    pub incarnation: Incarnation,
    /// Proves that the sidecar knows the secret.
    pub proof: Bytes,
}

/// A request to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Counts the attempts of the entry's life.
    pub number: u64,
    /// The upstream that it is meant for.
    pub upstream: String,
    /// The sidecar's life that it is meant for.
    pub incarnation: Incarnation,
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// The caller's idempotency key, if it gave one.
    pub key: Option<Key>,
    /// How long the caller waits for the head of the answer, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
}

/// An idempotency key within its scope.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The service whose claims hold it.
    pub service: String,
    /// The digest of team and key, in hexadecimal.
    pub digest: String,
    /// The digest of method, path and body, in hexadecimal.
    pub request: String,
    /// The claims object that holds it.
    pub shard: u32,
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<(String, Bytes)>,
}

/// Whether a request that got no answer was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Ran {
    /// It was not handed over, and never will be.
    #[display("no")]
    No,
    /// It may have been.
    #[display("unknown")]
    Unknown,
}

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Failure {
    /// Whether it was run.
    pub ran: Ran,
    /// The cause.
    pub cause: Cause,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u64,
}

/// The causes of a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Cause {
    /// The upstream bears no more at present.
    #[display("full")]
    Full,
    /// Operators have taken it out.
    #[display("out")]
    Out,
    /// It is shutting down.
    #[display("draining")]
    Draining,
    /// The offer came over a connection that a later one replaced.
    #[display("superseded")]
    Superseded,
    /// The offer was withdrawn before it was handed over.
    #[display("withdrawn")]
    Withdrawn,
    /// The offer was meant for another upstream or an earlier life.
    #[display("misdirected")]
    Misdirected,
    /// The platform did not answer in time, so the key could not be claimed.
    #[display("platform-unavailable")]
    Platform,
    /// The key is claimed by a request whose outcome is not known (yet).
    #[display("key-in-use")]
    KeyInUse,
    /// The key was used for a different request.
    #[display("key-mismatch")]
    KeyMismatch,
    /// The claims object of the key has no room.
    #[display("claims-full")]
    ClaimsFull,
    /// The connection to the upstream failed before anything was sent.
    #[display("unreachable")]
    Unreachable,
    /// The upstream broke off.
    #[display("broken-off")]
    BrokenOff,
    /// The upstream did not answer in time.
    #[display("timed-out")]
    TimedOut,
    /// The sidecar was lost.
    #[display("sidecar-lost")]
    Lost,
    /// The caller does not read its answer.
    #[display("caller-slow")]
    CallerSlow,
    /// The caller has gone.
    #[display("cancelled")]
    Cancelled,
}

/// How loaded an upstream is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight, of all entries together.
    pub in_flight: u32,
    /// Requests in flight that it bears now.
    pub limit: u32,
    /// Time between tokens, smoothed, in microseconds.
    pub step_us: u64,
    /// The generation that the sidecar applies.
    pub generation: u64,
    /// Whether it takes work at all.
    pub ready: bool,
    /// The number of the last offer over this connection that the load counts in.
    pub seen: u64,
}
