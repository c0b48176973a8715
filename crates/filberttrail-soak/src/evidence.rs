//! Evidence of a run: what callers and upstreams observed, and which faults were injected.

use filberttrail_platform_stand_in::Kind;
use std::time::Duration;

/// How long an upstream that leaves stays registered as draining, and counts as draining in the
/// verdict: the 3 s that the rest of its work may take
/// ([`Bounds::drain`](crate::verdict::Bounds::drain)), plus 0.5 s.
pub const DRAINING_TIME: Duration = Duration::from_millis(3_500);

/// The outcome of a request, as its caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// A response was received to its end.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Whether the headers show that the response comes from an upstream and belongs to this
        /// request.
        own: bool,
        /// Whether the body is complete and the expected one.
        whole: bool,
    },
    /// The connection broke, or the request timed out.
    Broken,
    /// The connection closed before the request was sent.
    Unsent,
    /// The caller cancelled the request by closing the connection.
    Left,
}

/// One request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The request id.
    pub id: String,
    /// The kind of request.
    pub kind: Kind,
    /// Index of the gateway.
    pub gateway: usize,
    /// Incarnation of the gateway: the number of its process, from 1.
    pub life: usize,
    /// Index of the API key in [`Evidence::keys`].
    pub key: usize,
    /// When the caller sent it.
    pub sent: Duration,
    /// When the caller had its outcome.
    pub ended: Duration,
    /// The outcome.
    pub end: End,
    /// The body as far as it was received. Empty if the response was not an upstream's own or its
    /// status was an error.
    pub part: String,
}

impl Attempt {
    /// Returns whether its response had a 2xx status.
    pub fn is_served(&self) -> bool {
        matches!(self.end, End::Answered { status: 200..=299, .. })
    }
}

/// One execution of a request by an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The request id.
    pub request: String,
    /// Index of the upstream's endpoint.
    pub upstream: usize,
    /// Id of the upstream instance.
    pub instance: String,
    /// When the upstream had received the complete request.
    pub at: Duration,
    /// Whether method, path, body and team match what the caller sent.
    pub faithful: bool,
}

/// One execution of a request that ends its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HarmfulRun {
    /// The kind of request. Those of one kind are the same request.
    pub kind: Kind,
    /// Index of the gateway that sent it.
    pub gateway: usize,
    /// When the upstream had received the complete request.
    pub at: Duration,
}

/// A component of the estate that a disturbance affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Component {
    /// The gateway with this index, or one of its links.
    Gateway(usize),
    /// The upstream endpoint with this index, or its link.
    Upstream(usize),
    /// The store.
    Store,
}

/// A period in which a fault affected a component.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disturbance {
    /// When the fault began.
    pub from: Duration,
    /// When the fault ended.
    pub to: Duration,
    /// The component that it affected.
    pub component: Component,
    /// Whether the fault was planned work.
    pub planned: bool,
}

/// A planned stop of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// Index of the gateway.
    pub gateway: usize,
    /// Incarnation of the gateway: the number of its process, from 1.
    pub life: usize,
    /// When it was sent SIGTERM.
    pub at: Duration,
}

/// An API key of the callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// When the store had the configuration that adds it.
    pub added: Duration,
    /// When the store had the configuration that removes it.
    pub revoked: Option<Duration>,
}

/// A planned departure of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// Id of the upstream instance.
    pub instance: String,
    /// When the store had its registration as draining.
    pub at: Duration,
}

/// A period in which a data centre was out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Out {
    /// Index of the data centre.
    pub data_centre: usize,
    /// When the store had the entry that takes it out.
    pub from: Duration,
    /// Immediately before that entry was removed.
    pub to: Duration,
}

/// The evidence of a run. All times count from the start of the estate.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Requests of callers, in the order of their outcomes.
    pub attempts: Vec<Attempt>,
    /// Executions by upstreams, grouped by upstream instance.
    pub runs: Vec<Run>,
    /// The executions of the requests that end upstreams, which are not among the others.
    pub harmful_runs: Vec<HarmfulRun>,
    /// Periods in which a fault or a start of a process affected a component.
    pub disturbances: Vec<Disturbance>,
    /// Planned stops of gateways.
    pub stops: Vec<Stop>,
    /// API keys of the callers, oldest first.
    pub keys: Vec<Key>,
    /// Planned departures of upstreams.
    pub departures: Vec<Departure>,
    /// Periods in which data centres were out of service.
    pub outs: Vec<Out>,
    /// Descriptions of gateway processes that could not be started, or that exited although the
    /// soak had neither stopped nor killed them.
    pub unexpected_exits: Vec<String>,
    /// When the last unplanned fault had ended, see [`Plan`](crate::Plan).
    pub undisturbed_from: Duration,
}

impl Evidence {
    /// Returns whether, at this time, an upstream was draining or a data centre was out of service.
    pub fn is_any_out_of_service(&self, at: Duration) -> bool {
        let is_draining = self
            .departures
            .iter()
            .any(|departure| (departure.at..departure.at + DRAINING_TIME).contains(&at));
        is_draining || self.outs.iter().any(|out| (out.from..out.to).contains(&at))
    }

    /// Returns whether no unplanned disturbance affected a component between two times.
    pub fn is_undisturbed(&self, component: Component, from: Duration, to: Duration) -> bool {
        !self.disturbances.iter().any(|disturbance| {
            !disturbance.planned
                && disturbance.component == component
                && disturbance.from <= to
                && from <= disturbance.to
        })
    }
}
