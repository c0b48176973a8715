//! What the scripts share: an estate, callers and the platform.

use super::Plan;
use filberttrail_declare::sample;
use filberttrail_dev::{Caller, Estate, Options};
use filberttrail_kernel::{Disabled, Mechanism, Result};
use filberttrail_stand_in::platform::Faults;
use filberttrail_store::Platform;
use filberttrail_web::{Body, Client};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One estate and its users.
pub struct Context {
    pub estate: Estate,
    pub seed: u64,
    pub platform: Platform,
    pub client: Client,
    without: Disabled,
}

/// How long an estate may take to recover.
const RECOVERY_LIMIT: Duration = Duration::from_secs(30);

impl Context {
    pub async fn new(plan: &Plan) -> Result<Self> {
        let options = Options { disabled: plan.without.clone(), ..Options::default() };
        let estate = Estate::start(options).await?;
        let platform = Platform::new(estate.platform);
        let without = plan.without.clone();
        let seed = plan.seed;
        Ok(Self { estate, seed, platform, client: Client::new(), without })
    }

    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.without.is_enabled(mechanism)
    }

    pub fn caller(&self) -> Caller {
        Caller::new(sample::team_key(0))
    }

    pub async fn set_faults(&self, faults: &Faults) {
        let body = serde_json::to_vec(faults).unwrap_or_default();
        self.put(self.estate.platform, "/control/faults", body).await;
    }

    pub async fn script_engine(&self, name: &str, script: &str) {
        if let Some(address) = self.estate.upstream_address(name) {
            self.put(address, "/control/script", script.as_bytes().to_vec()).await;
        }
    }

    pub async fn put(&self, address: SocketAddr, path: &str, body: Vec<u8>) {
        let request = hyper::Request::put(path).header("host", "control").body(Body::new(body));
        if let Ok(request) = request {
            let _ = self.client.fetch(address, request, Duration::from_secs(5), 65_536).await;
        }
    }

    pub async fn get<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Option<T> {
        let request = hyper::Request::get(path).header("host", "control").body(Body::empty());
        let answer = self.client.fetch(address, request.ok()?, Duration::from_secs(5), 16 << 20);
        serde_json::from_slice(answer.await.ok()?.body()).ok()
    }

    /// Waits until a condition holds; returns how long that took.
    pub async fn wait<F, R>(&self, condition: F) -> Duration
    where
        F: Fn() -> R,
        R: Future<Output = bool>,
    {
        let began = Instant::now();
        while began.elapsed() < RECOVERY_LIMIT && !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        began.elapsed()
    }

    /// Waits until an entry applies a generation; returns how long that took.
    pub async fn wait_for_generation(&self, admin: SocketAddr, generation: u64) -> Duration {
        self.wait(|| async move {
            let status: Option<serde_json::Value> = self.get(admin, "/status").await;
            status.is_some_and(|status| status["generation"].as_u64() >= Some(generation))
        })
        .await
    }

    /// Warms the engines, so that later scripts meet an estate at work.
    pub async fn warm(&self, requests: usize) {
        let mut running = tokio::task::JoinSet::new();
        for index in 0..requests {
            let caller = self.caller();
            let entry = self.estate.callers[index % self.estate.callers.len()];
            running.spawn(async move {
                let _ = caller.complete(entry, &format!("warm {index}"), 4, false).await;
            });
            if index % 16 == 15 {
                while running.join_next().await.is_some() {}
            }
        }
        while running.join_next().await.is_some() {}
    }

    /// Stops the estate, away from the runtime's threads.
    pub async fn finish(self) {
        let estate = self.estate;
        let _ = tokio::task::spawn_blocking(move || estate.stop()).await;
    }
}
