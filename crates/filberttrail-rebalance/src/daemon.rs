//! Starts the parts of a rebalancer and connects them.

use crate::coordinator::Coordinator;
use crate::peer::{self, Responder};
use crate::{Interface, Settings};
use filberttrail_journal::journal::Priority;
use filberttrail_journal::{Journal, reload};
use filberttrail_kernel::{Result, clock};
use filberttrail_store::Objects;
use filberttrail_web::server::{self, Limits};
use serde_json::json;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Maximum number of connections from other rebalancers. Usually there is one per rank.
const MAX_CONNECTIONS: usize = 512;
/// Share of the descriptors for connections from other rebalancers: one in this many. The others are for
/// calls to other rebalancers and to engines.
const CONNECTIONS_SHARE: usize = 3;

/// Share of the VM's memory for the bytes of a list of the store: one in this many. Decoded, they take
/// a few times as much. The registrations of 4,096 engines, of 500 bytes each, have 2 MB.
const LIST_SHARE: usize = 16;

/// A rebalancer process.
pub struct Rebalancer {
    settings: Settings,
    interface: Interface,
}

impl Rebalancer {
    /// Creates a rebalancer; `run` starts it.
    pub fn new(settings: Settings, interface: Interface) -> Self {
        Self { settings, interface }
    }

    /// Runs until `stop` becomes true.
    ///
    /// Each message on `reloads` makes the rebalancer read its settings again through `reread`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listen address cannot be bound.
    pub async fn run(
        self,
        mut stop: watch::Receiver<bool>,
        reloads: mpsc::Receiver<()>,
        reread: impl Fn() -> Result<Settings> + Send + 'static,
    ) -> Result<()> {
        let Self { settings, interface } = self;
        let clock = clock::Boot::shared();
        let journal = Journal::new(settings.name.clone(), clock.clone());
        let journal_task = tokio::spawn(journal.clone().run());
        let connections = MAX_CONNECTIONS.min(settings.descriptors / CONNECTIONS_SHARE).max(1);
        let listener = server::bind(settings.listen).await?;
        let start = json!({
            "engine": settings.engine.to_string(), "listen": settings.listen.to_string(),
        });
        journal.record(Priority::Important, "start", start);
        tokio::spawn(reload::run(journal.clone(), settings.clone(), reloads, reread));
        let responder = Arc::new(Responder::new(&settings, interface.clone(), clock.clone()));
        let objects = Objects::new(settings.store, interface.dialect);
        objects.set_list_limit(settings.memory_bytes / LIST_SHARE);
        let coordinator = Coordinator::new(
            settings,
            interface,
            responder.clone(),
            objects,
            clock,
            journal.clone(),
        );
        let coordinator_task = tokio::spawn(coordinator.run());
        let (_close, closed) = watch::channel(false);
        let limits = Limits { connections, ..Limits::default() };
        tokio::spawn(server::serve(listener, limits, closed, move |request| {
            peer::handle_request(responder.clone(), request)
        }));
        server::wait_until_stopped(&mut stop).await;
        coordinator_task.abort();
        journal.record(Priority::Important, "stop", json!({}));
        journal.flush();
        journal_task.abort();
        Ok(())
    }
}
