//! The test deployment, its callers and the platform client that all failure scripts use.

use super::Plan;
use filberttrail_declare::sample;
use filberttrail_dev::{Caller, Estate, Options};
use filberttrail_kernel::{Disabled, Mechanism, Result};
use filberttrail_stand_in::platform::Faults;
use filberttrail_store::Platform;
use filberttrail_web::{Body, Client};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One test deployment and the clients that act on it.
pub struct Context {
    pub estate: Estate,
    pub seed: u64,
    pub platform: Platform,
    pub client: Client,
    without: Disabled,
}

/// Limit for the recovery of a deployment after a failure.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

impl Context {
    /// Starts a deployment; returns an error if it does not start.
    pub async fn new(plan: &Plan) -> Result<Self> {
        let options = Options { disabled: plan.without.clone(), ..Options::default() };
        let estate = Estate::start(options).await?;
        let platform = Platform::new(estate.platform);
        let without = plan.without.clone();
        let seed = plan.seed;
        Ok(Self { estate, seed, platform, client: Client::new(), without })
    }

    /// Returns whether the plan leaves a mechanism enabled.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.without.is_enabled(mechanism)
    }

    /// Returns a caller with the key of the first sample team.
    pub fn caller(&self) -> Caller {
        Caller::new(sample::team_key(0))
    }

    /// Replaces the faults that the platform stand-in injects.
    pub async fn set_faults(&self, faults: &Faults) {
        let body = serde_json::to_vec(faults).unwrap_or_default();
        self.put_body(self.estate.platform, "/control/faults", body).await;
    }

    /// Sends a JSON script of behaviour to an engine; does nothing if the engine is unknown.
    pub async fn script_engine(&self, name: &str, script: &str) {
        if let Some(address) = self.estate.upstream_address(name) {
            self.put_body(address, "/control/script", script.as_bytes().to_vec()).await;
        }
    }

    /// Sends a PUT request to a control address; errors are ignored.
    pub async fn put_body(&self, address: SocketAddr, path: &str, body: Vec<u8>) {
        let request = hyper::Request::put(path).header("host", "control").body(Body::new(body));
        if let Ok(request) = request {
            let _ = self.client.fetch(address, request, Duration::from_secs(5), 65_536).await;
        }
    }

    /// Fetches JSON from a control address; `None` if the request or the parsing fails.
    pub async fn get_json<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Option<T> {
        let request = hyper::Request::get(path).header("host", "control").body(Body::empty());
        let response = self.client.fetch(address, request.ok()?, Duration::from_secs(5), 16 << 20);
        serde_json::from_slice(response.await.ok()?.body()).ok()
    }

    /// Polls until a condition holds or the recovery limit has passed; returns the time that this
    /// took.
    pub async fn wait_until<F, R>(&self, condition: F) -> Duration
    where
        F: Fn() -> R,
        R: Future<Output = bool>,
    {
        let started_at = Instant::now();
        while started_at.elapsed() < RECOVERY_TIMEOUT && !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        started_at.elapsed()
    }

    /// Polls until an entry applies a generation or a later one, or the recovery limit has passed;
    /// returns the time that this took.
    pub async fn wait_for_generation(&self, admin: SocketAddr, generation: u64) -> Duration {
        self.wait_until(|| async move {
            let status: Option<serde_json::Value> = self.get_json(admin, "/status").await;
            status.is_some_and(|status| status["generation"].as_u64() >= Some(generation))
        })
        .await
    }

    /// Sends requests in groups of 16 to raise the engines' concurrency limits before a script
    /// begins.
    pub async fn warm_up(&self, requests: usize) {
        let mut running = tokio::task::JoinSet::new();
        for index in 0..requests {
            let caller = self.caller();
            let entry = self.estate.caller_addresses[index % self.estate.caller_addresses.len()];
            running.spawn(async move {
                let _ = caller.complete(entry, &format!("warm {index}"), 4, false).await;
            });
            if index % 16 == 15 {
                while running.join_next().await.is_some() {}
            }
        }
        while running.join_next().await.is_some() {}
    }

    /// Stops the deployment on a blocking thread, so that the runtime's threads stay free.
    pub async fn finish(self) {
        let estate = self.estate;
        let _ = tokio::task::spawn_blocking(move || estate.stop()).await;
    }
}
