//! A gateway under soak: its process and its links.

use crate::estate::{DATA_CENTRES, GRACE, data_centre};
use crate::link::Link;
use crate::run::Settings;
use filberttrail_fleet::budget::Terms;
use filberttrail_platform_stand_in::caller;
use filberttrail_test_support::process::{Process, ProcessSignal, free_ports};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A gateway.
pub struct Gateway {
    place: usize,
    file: PathBuf,
    /// Where callers connect.
    pub front: Link,
    /// Where it is asked whether it takes callers.
    pub ready: SocketAddr,
    /// Its way to the store.
    pub store: Link,
    process: Mutex<Option<Process>>,
    /// Counts its processes.
    pub life: AtomicUsize,
    /// Whether its present process was asked to end.
    pub asked: AtomicBool,
}

impl Gateway {
    /// Writes the settings of a gateway and starts its links; its process is started by `spawn`.
    pub async fn new(
        settings: &Settings,
        place: usize,
        store: SocketAddr,
        retries: Terms,
    ) -> io::Result<Self> {
        let ports = free_ports(3);
        let [front, ready] = [ports[0], ports[1]].map(|port| ([127, 0, 0, 1], port).into());
        let gateway = Self {
            place,
            file: settings.directory.join(format!("gateway-{place}.json")),
            front: Link::start(front).await?,
            ready,
            store: Link::start(store).await?,
            process: Mutex::new(None),
            life: AtomicUsize::new(0),
            asked: AtomicBool::new(false),
        };
        let wire = caller::gateway_settings(
            &format!("gateway-{place}"),
            DATA_CENTRES[data_centre(place)],
            [front, ready],
            [ports[2], ports[2]],
            gateway.store.address,
            caller::bounds(GRACE, retries.ratio, retries.slack, retries.span),
        );
        std::fs::write(&gateway.file, wire.to_string())?;
        Ok(gateway)
    }

    /// Starts a process, whose log is a file of its own.
    pub fn spawn(&self, settings: &Settings, life: usize) -> io::Result<()> {
        let log =
            File::create(settings.directory.join(format!("gateway-{}-{life}.log", self.place)))?;
        let file = self.file.display().to_string();
        let mut arguments = vec!["gateway", "--settings", file.as_str()];
        let mutant = settings.mutant.map(|mutant| mutant.to_string());
        if let Some(mutant) = &mutant {
            arguments.extend(["--without", mutant.as_str()]);
        }
        *self.lock() = Some(Process::start_logged(&settings.program, &arguments, log)?);
        Ok(())
    }

    /// Sends its process a signal.
    pub fn signal(&self, signal: ProcessSignal) {
        if let Some(process) = self.lock().as_ref() {
            process.signal(signal);
        }
    }

    /// Returns how its process ended, if it has.
    pub fn ended(&self) -> Option<ExitStatus> {
        self.lock().as_mut().and_then(Process::exit_status)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Process>> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
