//! An upstream endpoint: a fixed address at which upstream instances replace each other.

use crate::estate::{DATA_CENTRES, RESPONSE_DELAY, SERVICE, data_centre};
use crate::link::Link;
use filberttrail_platform::store::UPSTREAMS;
use filberttrail_platform_stand_in::{Crash, Store, Trigger, Upstream};
use std::io;

/// Body of the requests that end the upstreams that run them.
pub const HARMFUL_BODY: &str = "harmful";

/// An upstream endpoint.
pub struct Endpoint {
    index: usize,
    /// The link from all gateways to the current instance. The link's address is the endpoint's.
    pub link: Link,
    /// The current instance.
    pub upstream: Upstream,
    /// All instances so far, oldest first; the last one is the current instance.
    pub instances: Vec<Upstream>,
}

impl Endpoint {
    /// Starts the first instance of an endpoint, and its link. Fails if the link cannot listen.
    pub async fn new(index: usize) -> io::Result<Self> {
        let upstream = start_upstream(index, 0).await;
        let link = Link::start(upstream.address).await?;
        let instances = vec![upstream.clone()];
        Ok(Self { index, link, upstream, instances })
    }

    /// Starts another instance and directs new connections to it. Does not stop the previous one.
    pub async fn replace(&mut self) {
        self.upstream = start_upstream(self.index, self.instances.len()).await;
        self.link.set_target(self.upstream.address);
        self.instances.push(self.upstream.clone());
    }

    /// Writes the registration of the current instance to the store, with the address of the link.
    /// `state` is the state as it is stored.
    pub fn register(&self, store: &Store, state: &str) {
        let data_centre = DATA_CENTRES[data_centre(self.index)];
        let mut registration = self.upstream.registration(SERVICE, data_centre);
        registration["address"] = self.link.address.to_string().into();
        registration["state"] = state.into();
        store.write(UPSTREAMS, &self.upstream.id, registration);
    }
}

async fn start_upstream(index: usize, instance: usize) -> Upstream {
    let upstream = Upstream::start(&format!("upstream-{index}-{instance}")).await;
    upstream.set_delay(RESPONSE_DELAY);
    let trigger = Trigger::Body(HARMFUL_BODY.as_bytes().to_vec());
    upstream.set_crash(Crash { trigger, after: RESPONSE_DELAY, events: None, silent: false });
    upstream
}
