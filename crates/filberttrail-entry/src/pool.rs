//! The connections of an entry to the sidecars that the configuration declares.

use crate::upstream::Upstream;
use filberttrail_declare::View;
use filberttrail_declare::model::Upstream as DeclaredUpstream;
use filberttrail_kernel::clock;
use filberttrail_limit::Memory;
use filberttrail_protocol::link::Identity;
use filberttrail_relay::Inbox;
use filberttrail_route::subset;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use tokio::runtime::Handle;
use tokio::sync::{Notify, watch};

type Stop = watch::Sender<bool>;

/// The sidecar connections of one entry, by upstream name.
pub struct Pool {
    upstreams: RwLock<HashMap<String, (Arc<Upstream>, Stop)>>,
    /// Notified whenever an upstream may have free capacity.
    pub changed: Arc<Notify>,
    identity: Identity,
    replicator: Inbox,
    clock: clock::Shared,
    runtime: Handle,
    ordered: bool,
    subset: usize,
    responses: Memory,
    messages: Memory,
}

impl Pool {
    /// Creates a pool without connections. Connection tasks run on `runtime`.
    ///
    /// `ordered` is false only in tests that disable the ordering of response chunks.
    pub fn new(
        identity: Identity,
        replicator: Inbox,
        clock: clock::Shared,
        runtime: Handle,
        ordered: bool,
    ) -> Self {
        let changed = Arc::new(Notify::new());
        Self {
            upstreams: RwLock::default(),
            changed,
            identity,
            replicator,
            clock,
            runtime,
            ordered,
            subset: usize::MAX,
            responses: Memory::unlimited(),
            messages: Memory::unlimited(),
        }
    }

    /// Sets the maximum number of upstreams to connect to per model and service.
    pub fn with_subset(mut self, subset: usize) -> Self {
        self.subset = subset;
        self
    }

    /// Sets the memory for responses that callers have not read, and for messages that are being
    /// received.
    pub fn with_memory(self, responses: Memory, messages: Memory) -> Self {
        Self { responses, messages, ..self }
    }

    /// Returns the connection to the upstream with this name.
    pub fn find(&self, name: &str) -> Option<Arc<Upstream>> {
        let upstreams = self.upstreams.read().ok()?;
        upstreams.get(name).map(|(upstream, _)| upstream.clone())
    }

    /// Returns all connections.
    pub fn all(&self) -> Vec<Arc<Upstream>> {
        let Ok(upstreams) = self.upstreams.read() else { return Vec::new() };
        upstreams.values().map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Connects to a seed sidecar, whose name is not known yet, to receive the configuration.
    pub fn connect_seed(&self, address: SocketAddr) {
        self.add(format!("seed {address}"), String::new(), address);
    }

    /// Connects to the selected upstreams of a configuration, and closes all other connections.
    pub fn reconcile(&self, view: &View) {
        let declared = self.select_upstreams(view);
        for upstream in &declared {
            let known = self.find(&upstream.name);
            if known.is_none_or(|known| known.address != upstream.address) {
                let data_centre = upstream.data_centre.clone();
                self.add(upstream.name.clone(), data_centre, upstream.address);
            }
        }
        if let Ok(mut upstreams) = self.upstreams.write() {
            // Dropping the stop sender ends the connection's task.
            upstreams.retain(|name, _| declared.iter().any(|item| item.name == *name));
        }
    }

    /// Selects this entry's subset of the upstreams of each model and service.
    fn select_upstreams<'a>(&self, view: &'a View) -> Vec<&'a DeclaredUpstream> {
        let all = &view.declarations.estate.upstreams;
        let mut kinds: BTreeMap<_, Vec<&DeclaredUpstream>> = BTreeMap::new();
        for upstream in all {
            let model = view.model_of(upstream);
            kinds.entry((model, &upstream.service)).or_default().push(upstream);
        }
        let selected = kinds.into_values().flat_map(|kind| {
            let names: Vec<&str> = kind.iter().map(|upstream| upstream.name.as_str()).collect();
            let chosen = subset::choose(&self.identity.name, &names, self.subset);
            chosen.into_iter().map(|index| kind[index]).collect::<Vec<_>>()
        });
        selected.collect()
    }

    fn add(&self, name: String, data_centre: String, address: SocketAddr) {
        let (changed, clock) = (self.changed.clone(), self.clock.clone());
        let upstream = Upstream::new(name.clone(), data_centre, address, changed, clock);
        let upstream = Arc::new(
            upstream
                .with_order(self.ordered)
                .with_memory(self.responses.clone(), self.messages.clone()),
        );
        let (stop, stop_receiver) = watch::channel(false);
        let running =
            upstream.clone().run(self.identity.clone(), self.replicator.clone(), stop_receiver);
        self.runtime.spawn(running);
        if let Ok(mut upstreams) = self.upstreams.write() {
            upstreams.insert(name, (upstream, stop));
        }
    }

    /// Closes all connections.
    pub fn close(&self) {
        if let Ok(mut upstreams) = self.upstreams.write() {
            upstreams.clear();
        }
    }
}
