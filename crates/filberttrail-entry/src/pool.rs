//! The sidecars that an entry keeps connections to, as the configuration names them.

use crate::upstream::Upstream;
use filberttrail_declare::View;
use filberttrail_declare::model::Upstream as Upstreams;
use filberttrail_kernel::clock;
use filberttrail_protocol::link::Identity;
use filberttrail_relay::Inbox;
use filberttrail_route::subset;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use tokio::runtime::Handle;
use tokio::sync::{Notify, watch};

type Stop = watch::Sender<bool>;

/// The connections of one entry.
pub struct Pool {
    upstreams: RwLock<HashMap<String, (Arc<Upstream>, Stop)>>,
    /// Told whenever an upstream may have room.
    pub changed: Arc<Notify>,
    me: Identity,
    replicator: Inbox,
    clock: clock::Shared,
    traffic: Handle,
    ordered: bool,
    subset: usize,
}

impl Pool {
    /// Makes a pool without connections; its tasks run with the traffic.
    pub fn new(
        me: Identity,
        replicator: Inbox,
        clock: clock::Shared,
        traffic: Handle,
        ordered: bool,
    ) -> Self {
        let changed = Arc::new(Notify::new());
        Self {
            upstreams: RwLock::default(),
            changed,
            me,
            replicator,
            clock,
            traffic,
            ordered,
            subset: usize::MAX,
        }
    }

    /// Sets how many upstreams of each model and service are connected to.
    pub fn with_subset(mut self, subset: usize) -> Self {
        self.subset = subset;
        self
    }

    /// Finds a sidecar by its upstream's name.
    pub fn find(&self, name: &str) -> Option<Arc<Upstream>> {
        let upstreams = self.upstreams.read().ok()?;
        upstreams.get(name).map(|(upstream, _)| upstream.clone())
    }

    /// Lists the sidecars.
    pub fn all(&self) -> Vec<Arc<Upstream>> {
        let Ok(upstreams) = self.upstreams.read() else { return Vec::new() };
        upstreams.values().map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Connects to a sidecar whose name is not known yet, to learn the configuration.
    pub fn connect_seed(&self, address: SocketAddr) {
        self.add(format!("seed {address}"), String::new(), address);
    }

    /// Connects to what the configuration names, and ends connections to what it does not.
    pub fn follow(&self, view: &View) {
        let declared = self.pick(view);
        for upstream in &declared {
            let known = self.find(&upstream.name);
            if known.is_none_or(|known| known.address != upstream.address) {
                let data_centre = upstream.data_centre.clone();
                self.add(upstream.name.clone(), data_centre, upstream.address);
            }
        }
        if let Ok(mut upstreams) = self.upstreams.write() {
            // Dropping the sender ends the connection's task.
            upstreams.retain(|name, _| declared.iter().any(|item| item.name == *name));
        }
    }

    /// Picks upstreams, so many of each model and service.
    fn pick<'a>(&self, view: &'a View) -> Vec<&'a Upstreams> {
        let all = &view.declarations.estate.upstreams;
        let mut kinds: BTreeMap<_, Vec<&Upstreams>> = BTreeMap::new();
        for upstream in all {
            let model = view.model_of(upstream);
            kinds.entry((model, &upstream.service)).or_default().push(upstream);
        }
        let picked = kinds.into_values().flat_map(|kind| {
            let names: Vec<&str> = kind.iter().map(|upstream| upstream.name.as_str()).collect();
            let chosen = subset::choose(&self.me.name, &names, self.subset);
            chosen.into_iter().map(|index| kind[index]).collect::<Vec<_>>()
        });
        picked.collect()
    }

    fn add(&self, name: String, data_centre: String, address: SocketAddr) {
        let (changed, clock) = (self.changed.clone(), self.clock.clone());
        let upstream = Upstream::new(name.clone(), data_centre, address, changed, clock);
        let upstream = Arc::new(upstream.with_order(self.ordered));
        let (stop, stopped) = watch::channel(false);
        let running = upstream.clone().run(self.me.clone(), self.replicator.clone(), stopped);
        self.traffic.spawn(running);
        if let Ok(mut upstreams) = self.upstreams.write() {
            upstreams.insert(name, (upstream, stop));
        }
    }

    /// Ends every connection.
    pub fn close(&self) {
        if let Ok(mut upstreams) = self.upstreams.write() {
            upstreams.clear();
        }
    }
}
