//! The frames of the protocol and the values that they contain.
//!
//! Frames, fields and variants are written under their names, so the names are part of the wire
//! format.

use bytes::Bytes;
use derive_more::Display;
use filberttrail_fleet::blame::{Report, SubjectId};
use filberttrail_kernel::id::{Incarnation, MapVersion, Rank};
use serde::{Deserialize, Serialize};

/// A frame between an entry and a sidecar, or between a lease holder and a sidecar.
///
/// In frames about one attempt, the first number is that of the attempt within the incarnation of
/// its entry, as in `Offer::number`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Sidecar to entry, first frame: the nonce for the entry's proof.
    Challenge(Bytes),
    /// Entry to sidecar: the entry's identity and proof.
    Hello(Hello),
    /// Sidecar to entry: the sidecar's identity and proof.
    Welcome(Welcome),
    /// Entry to sidecar: a request to run.
    Offer(Box<Offer>),
    /// Entry to sidecar: resend the response from the chunk with this sequence number.
    Resume(u64, u64),
    /// Entry to sidecar: do not run the attempt unless it was already handed over to the upstream.
    Withdraw(u64),
    /// Entry to sidecar: the caller has disconnected; abort the attempt if it is repeatable.
    Cancel(u64),
    /// Entry to sidecar: the response was received completely and may be discarded.
    Acknowledge(u64),
    /// Sidecar to entry: the status and headers of a response.
    Head(u64, Head),
    /// Sidecar to entry: a chunk of a response body, with its sequence number, which starts at 0.
    Chunk(u64, u64, Bytes),
    /// Sidecar to entry: the response is complete and has this number of chunks.
    End(u64, u64),
    /// Sidecar to entry: the attempt failed, and no more of its response follows.
    Failed(u64, Failure),
    /// Sidecar to entry: the load of the upstream.
    Load(Load),
    /// Both directions: the manifest of the configuration in force, in JSON.
    Manifest(Bytes),
    /// Both directions: a request for the configuration part with this digest.
    Want(String),
    /// Both directions: a configuration part, with its digest.
    Part(String, Bytes),
    /// Both directions: what the sender blames for crashes of upstreams.
    Blame(Report),
    /// Lease holder to sidecar: stage the expert map with this version, given in JSON.
    Stage(MapVersion, Bytes),
    /// Sidecar to lease holder: the rank has staged the version.
    Staged(Rank, MapVersion),
    /// Lease holder to the sidecar of the group's leader, rank 0: run the next steps with this
    /// version.
    Activate(MapVersion),
    /// Sidecar of the leader to the lease holder: the version is active.
    Activated(MapVersion),
    /// Both directions: a heartbeat, sent when there is nothing else to send.
    Beat,
}

impl Frame {
    /// Returns the size of the parts of the frame that can be large, in bytes.
    pub fn payload_bytes(&self) -> usize {
        match self {
            Self::Offer(offer) => offer.body.len(),
            Self::Chunk(_, _, bytes)
            | Self::Manifest(bytes)
            | Self::Part(_, bytes)
            | Self::Stage(_, bytes) => bytes.len(),
            _ => 0,
        }
    }
}

/// The identity of the connecting peer: an entry, or a sidecar that holds a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The name of the peer.
    pub node: String,
    /// The incarnation of the peer.
    pub incarnation: Incarnation,
    /// The number of the peer's connection to this sidecar. Only the connection with the highest
    /// number may offer attempts.
    pub connection: u64,
    /// The nonce for the sidecar's proof.
    pub nonce: Bytes,
    /// Proves that the peer knows the secret.
    pub proof: Bytes,
}

/// The identity of a sidecar.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// The name of the sidecar's upstream.
    pub upstream: String,
    /// The incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Proves that the sidecar knows the secret.
    pub proof: Bytes,
}

/// An attempt to run a request at an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// The number of the attempt, unique within the incarnation of the entry.
    pub number: u64,
    /// The name of the upstream that is to run the request.
    pub upstream: String,
    /// The incarnation of the sidecar that the offer is meant for.
    pub incarnation: Incarnation,
    /// The HTTP method.
    pub method: String,
    /// The path and query of the URL.
    pub path: String,
    /// Names and values of the request headers to forward.
    pub headers: Vec<(String, Bytes)>,
    /// The complete request body.
    pub body: Bytes,
    /// Whether the request may be run more than once without harm.
    pub repeatable: bool,
    /// The idempotency key of the request, if the caller sent one.
    pub key: Option<Key>,
    /// Hash of what the request asks for, by which it is recognized if it crashes upstreams.
    pub subject: SubjectId,
    /// Whether an upstream crashed under an earlier attempt of the same request.
    pub crashed: bool,
    /// How long the caller waits for the head of the response, in milliseconds.
    pub patience_ms: u64,
}

/// An idempotency key and where its claim is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The service whose claims include the key.
    pub service: String,
    /// Digest of the team and the key, in hexadecimal.
    pub digest: String,
    /// Digest of the method, path and body of the request, in hexadecimal.
    pub request: String,
    /// The number of the claims object that stores the key.
    pub shard: u32,
}

/// The status and headers of a response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// Names and values of the response headers to forward.
    pub headers: Vec<(String, Bytes)>,
}

/// Whether the request of a failed attempt was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Ran {
    /// The request was not run and never will be.
    #[display("no")]
    No,
    /// The request may have been run.
    #[display("unknown")]
    Unknown,
}

/// Why an attempt has no complete response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Failure {
    /// Whether the request was run.
    pub ran: Ran,
    /// The cause of the failure.
    pub cause: Cause,
    /// How long to wait before a retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// The cause of a failure. The `Display` text is used in log lines and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Cause {
    /// The upstream has reached its concurrency limit, or the ledger its capacity.
    #[display("full")]
    Full,
    /// Operators have taken the upstream out of service.
    #[display("out")]
    Out,
    /// The sidecar is shutting down.
    #[display("draining")]
    Draining,
    /// The offer arrived over a connection that the entry has since replaced.
    #[display("superseded")]
    Superseded,
    /// The attempt was withdrawn before it was handed over.
    #[display("withdrawn")]
    Withdrawn,
    /// The offer was meant for another upstream, or for an earlier incarnation of the sidecar or
    /// engine, or contained an invalid request.
    #[display("misdirected")]
    Misdirected,
    /// The platform did not respond in time, so the key could not be claimed.
    #[display("platform-unavailable")]
    Platform,
    /// The key is claimed by another attempt whose outcome is not known yet.
    #[display("key-in-use")]
    KeyInUse,
    /// The key was used for a different request.
    #[display("key-mismatch")]
    KeyMismatch,
    /// The claims object of the key is full.
    #[display("claims-full")]
    ClaimsFull,
    /// The connection to the upstream failed before anything was sent.
    #[display("unreachable")]
    Unreachable,
    /// The upstream closed the connection before the response was complete, or the response body of
    /// a request with an idempotency key was too slow or too large.
    #[display("broken-off")]
    BrokenOff,
    /// The upstream crashed before the response was complete.
    #[display("crashed")]
    Crashed,
    /// The request is suspected to crash upstreams, and may not be tried now at this one.
    #[display("suspect")]
    Suspect,
    /// The request crashes upstreams.
    #[display("harmful")]
    Harmful,
    /// The upstream did not send the head or the next part of the response in time.
    #[display("timed-out")]
    TimedOut,
    /// The sidecar restarted or cannot be reached, or it no longer has the response.
    #[display("sidecar-lost")]
    Lost,
    /// The caller reads its response too slowly, or the response exceeds the size that the sidecar
    /// buffers.
    #[display("caller-slow")]
    CallerSlow,
    /// The caller has disconnected.
    #[display("cancelled")]
    Cancelled,
}

/// The load of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests in flight, from all entries.
    pub in_flight: u32,
    /// Current concurrency limit, in requests.
    pub limit: u32,
    /// Smoothed time between tokens, in microseconds.
    pub step_us: u64,
    /// Generation of the sidecar's configuration, or 0 if it has none.
    pub generation: u64,
    /// Whether the upstream accepts new requests.
    pub ready: bool,
    /// The highest number of an offer over this connection that `in_flight` includes.
    pub seen: u64,
}
