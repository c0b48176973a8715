//! Puts the rebalancer's parts together.

use crate::coordinator::Coordinator;
use crate::engine::Engine;
use crate::peer::{self, Rank};
use crate::{Interface, Settings};
use filberttrail_journal::journal::Priority;
use filberttrail_journal::{Journal, reload};
use filberttrail_kernel::{Result, clock};
use filberttrail_store::Objects;
use filberttrail_web::server::{self, Limits};
use serde_json::json;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Connections from other rebalancers; one a rank is usual.
const CONNECTIONS: usize = 512;

/// A rebalancer.
pub struct Rebalancer {
    settings: Settings,
    interface: Interface,
}

impl Rebalancer {
    /// Makes a rebalancer.
    pub fn new(settings: Settings, interface: Interface) -> Self {
        Self { settings, interface }
    }

    /// Runs until told to stop.
    ///
    /// Each message of `reloads` has it read its settings again through `reread`.
    pub async fn run(
        self,
        mut stop: watch::Receiver<bool>,
        reloads: mpsc::Receiver<()>,
        reread: impl Fn() -> Result<Settings> + Send + 'static,
    ) -> Result<()> {
        let Self { settings, interface } = self;
        let clock = clock::Boot::shared();
        let journal = Journal::new(settings.name.clone(), clock.clone());
        let writing = tokio::spawn(journal.clone().run());
        let listener = server::bind(settings.listen).await?;
        let start = json!({
            "engine": settings.engine.to_string(), "listen": settings.listen.to_string(),
        });
        journal.record(Priority::Important, "start", start);
        tokio::spawn(reload::run(journal.clone(), settings.clone(), reloads, reread));
        let engine = Engine::new(settings.engine, interface.clone());
        let rank = Arc::new(Rank::new(engine, clock.clone()));
        let objects = Objects::new(settings.store, interface.dialect);
        let coordinator =
            Coordinator::new(settings, interface, rank.clone(), objects, clock, journal.clone());
        let coordinating = tokio::spawn(coordinator.run());
        let (_close, closed) = watch::channel(false);
        let limits = Limits { connections: CONNECTIONS, ..Limits::default() };
        tokio::spawn(server::serve(listener, limits, closed, move |request| {
            peer::handle(rank.clone(), request)
        }));
        server::wait_until_stopped(&mut stop).await;
        coordinating.abort();
        journal.record(Priority::Important, "stop", json!({}));
        journal.flush();
        writing.abort();
        Ok(())
    }
}
