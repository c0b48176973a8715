//! A place at which upstreams stand one after the other, under one address.

use crate::estate::{DATA_CENTRES, SERVICE, WORK, data_centre};
use crate::link::Link;
use filberttrail_platform::store::UPSTREAMS;
use filberttrail_platform_stand_in::{Store, Upstream};
use std::io;

/// A place.
pub struct Place {
    index: usize,
    /// The way of all gateways to whoever stands here; its address is the place's.
    pub link: Link,
    /// Who stands here.
    pub upstream: Upstream,
    /// All who stood here.
    pub all: Vec<Upstream>,
}

impl Place {
    /// Starts the first upstream of a place, and its link.
    pub async fn new(index: usize) -> io::Result<Self> {
        let upstream = start(index, 0).await;
        let link = Link::start(upstream.address).await?;
        let all = vec![upstream.clone()];
        Ok(Self { index, link, upstream, all })
    }

    /// Puts another upstream here.
    pub async fn replace(&mut self) {
        self.upstream = start(self.index, self.all.len()).await;
        self.link.turn_to(self.upstream.address);
        self.all.push(self.upstream.clone());
    }

    /// Writes the registration of who stands here, under the address of the link.
    pub fn register(&self, store: &Store, state: &str) {
        let data_centre = DATA_CENTRES[data_centre(self.index)];
        let mut registration = self.upstream.registration(SERVICE, data_centre);
        registration["address"] = self.link.address.to_string().into();
        registration["state"] = state.into();
        store.write(UPSTREAMS, &self.upstream.id, registration);
    }
}

async fn start(index: usize, number: usize) -> Upstream {
    let upstream = Upstream::start(&format!("upstream-{index}-{number}")).await;
    upstream.set_delay(WORK);
    upstream
}
