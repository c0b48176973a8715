//! A gateway under test: its process and its links.

use crate::estate::{DATA_CENTRES, STOP_GRACE, data_centre};
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

/// A gateway under test. Its process is killed when it is dropped.
pub struct Gateway {
    index: usize,
    settings_file: PathBuf,
    /// The link from the callers; they connect to its address.
    pub front: Link,
    /// Address of the readiness probe.
    pub ready: SocketAddr,
    /// The link from the gateway to the store.
    pub store: Link,
    process: Mutex<Option<Process>>,
    /// Incarnation: the number of its current process, from 1; 0 before the first one.
    pub incarnation: AtomicUsize,
    /// Whether the current process was sent a signal that ends it.
    pub stop_requested: AtomicBool,
}

impl Gateway {
    /// Writes the settings file of a gateway and starts its links. [`spawn`](Self::spawn) starts
    /// the process. Fails if a link cannot listen or the file cannot be written.
    pub async fn new(
        settings: &Settings,
        index: usize,
        store: SocketAddr,
        retries: Terms,
    ) -> io::Result<Self> {
        let ports = free_ports(3);
        let [front, ready] = [ports[0], ports[1]].map(|port| ([127, 0, 0, 1], port).into());
        let gateway = Self {
            index,
            settings_file: settings.directory.join(format!("gateway-{index}.json")),
            front: Link::start(front).await?,
            ready,
            store: Link::start(store).await?,
            process: Mutex::new(None),
            incarnation: AtomicUsize::new(0),
            stop_requested: AtomicBool::new(false),
        };
        let file_contents = caller::gateway_settings(
            &format!("gateway-{index}"),
            DATA_CENTRES[data_centre(index)],
            [front, ready],
            [ports[2], ports[2]],
            gateway.store.address,
            caller::bounds(STOP_GRACE, retries.ratio, retries.slack, retries.span),
        );
        std::fs::write(&gateway.settings_file, file_contents.to_string())?;
        Ok(gateway)
    }

    /// Starts a process with a log file of its own. Fails if the file or the process cannot be
    /// created.
    pub fn spawn(&self, settings: &Settings, incarnation: usize) -> io::Result<()> {
        let log_file = File::create(
            settings.directory.join(format!("gateway-{}-{incarnation}.log", self.index)),
        )?;
        let settings_file = self.settings_file.display().to_string();
        let mut arguments = vec!["gateway", "--settings", settings_file.as_str()];
        let mutant = settings.mutant.map(|mutant| mutant.to_string());
        if let Some(mutant) = &mutant {
            arguments.extend(["--without", mutant.as_str()]);
        }
        *self.lock() = Some(Process::start_logged(&settings.program, &arguments, log_file)?);
        Ok(())
    }

    /// Sends a signal to the current process, if there is one.
    pub fn signal(&self, signal: ProcessSignal) {
        if let Some(process) = self.lock().as_ref() {
            process.signal(signal);
        }
    }

    /// Returns the exit status of the current process, or `None` while it runs.
    pub fn exit_status(&self) -> Option<ExitStatus> {
        self.lock().as_mut().and_then(Process::exit_status)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Process>> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
