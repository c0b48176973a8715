//! What callers and upstreams saw, and what the soak did.

use filberttrail_platform_stand_in::Kind;
use std::time::Duration;

/// For how long after an upstream's notice its leaving counts as tried: the time that the rest of its
/// work may take, and half a second.
pub const LEAVE_SHOWN: Duration = Duration::from_millis(3_500);

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// An answer came to its end.
    Answered {
        /// Its status.
        status: u16,
        /// Whether an upstream's marks say that it answers this request.
        own: bool,
        /// Whether its body is the whole one.
        whole: bool,
    },
    /// The connection broke, or the time was over.
    Broken,
    /// The connection closed before the request was written.
    Unsent,
    /// The caller left.
    Left,
}

/// One request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// What it asked for.
    pub kind: Kind,
    /// The gateway.
    pub gateway: usize,
    /// Counts the gateway's processes.
    pub life: usize,
    /// The key, counted from the first one.
    pub key: usize,
    /// When it was sent.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How it ended.
    pub end: End,
    /// What a stream brought, if it did not come to its end.
    pub part: String,
}

impl Attempt {
    /// Tells whether it was answered with success.
    pub fn is_served(&self) -> bool {
        matches!(self.end, End::Answered { status: 200..=299, .. })
    }
}

/// One run of a request at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The request's id.
    pub request: String,
    /// The upstream, by its place.
    pub upstream: usize,
    /// The upstream's own id.
    pub instance: String,
    /// When it arrived.
    pub at: Duration,
    /// Whether method, path, body and team are the caller's.
    pub faithful: bool,
}

/// What a disturbance touched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Touched {
    /// A gateway or one of its links.
    Gateway(usize),
    /// An upstream or its link.
    Upstream(usize),
    /// The store.
    Store,
}

/// A disturbance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// When it began.
    pub from: Duration,
    /// When it ended.
    pub to: Duration,
    /// What it touched.
    pub touched: Touched,
    /// Whether it was planned work.
    pub planned: bool,
}

/// A gateway that was asked to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// The gateway.
    pub gateway: usize,
    /// Counts its processes.
    pub life: usize,
    /// When it was asked.
    pub at: Duration,
}

/// A caller's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// When it was in the store.
    pub added: Duration,
    /// When the store no longer had it.
    pub revoked: Option<Duration>,
}

/// An upstream that left with notice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leave {
    /// Its own id.
    pub instance: String,
    /// When the store said so.
    pub at: Duration,
}

/// A data centre out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Out {
    /// The data centre.
    pub data_centre: usize,
    /// When the store said so.
    pub from: Duration,
    /// When it was taken back.
    pub to: Duration,
}

/// All of it; times count from the start of traffic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Callers' requests.
    pub attempts: Vec<Attempt>,
    /// Runs at upstreams.
    pub runs: Vec<Run>,
    /// Disturbances.
    pub spans: Vec<Span>,
    /// Stops.
    pub stops: Vec<Stop>,
    /// Keys.
    pub keys: Vec<Key>,
    /// Upstreams that left with notice.
    pub leaves: Vec<Leave>,
    /// Data centres out of service.
    pub outs: Vec<Out>,
    /// Processes that ended though nobody had asked them to.
    pub own_ends: Vec<String>,
    /// From when on nothing disturbed the estate.
    pub calm_from: Duration,
}

impl Evidence {
    /// Tells whether any upstream had left, or any data centre was out, at a time.
    pub fn is_any_away(&self, at: Duration) -> bool {
        let left = self.leaves.iter().any(|leave| (leave.at..leave.at + LEAVE_SHOWN).contains(&at));
        left || self.outs.iter().any(|out| (out.from..out.to).contains(&at))
    }

    /// Tells whether no unplanned disturbance touched something in a span of time.
    pub fn is_calm(&self, touched: Touched, from: Duration, to: Duration) -> bool {
        !self.spans.iter().any(|span| {
            !span.planned && span.touched == touched && span.from <= to && from <= span.to
        })
    }
}
