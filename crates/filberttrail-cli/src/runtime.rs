//! Threads and signals of a process.

use filberttrail_kernel::{Error, Result};
use filberttrail_relay::Threads;
use std::io::Write;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

fn fault(fault: std::io::Error) -> Error {
    Error::system("threads", fault, "raise the limit of threads")
}

/// Runs a short command on one thread.
pub fn block_on<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(fault)?;
    runtime.block_on(work)
}

/// The runtimes of a daemon: one thread for control state, others for traffic.
pub struct Daemon {
    control: Runtime,
    traffic: Runtime,
}

impl Daemon {
    /// Starts the threads.
    pub fn new() -> Result<Self> {
        let control = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("control")
            .enable_all()
            .build()
            .map_err(fault)?;
        let traffic = Builder::new_multi_thread()
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(fault)?;
        Ok(Self { control, traffic })
    }

    /// Runs a daemon until it ends after SIGINT or SIGTERM.
    pub fn run<F, R>(self, role: F) -> Result<()>
    where
        F: FnOnce(Threads, watch::Receiver<bool>) -> R,
        R: Future<Output = Result<()>>,
    {
        let threads = Threads::new(self.control.handle().clone(), self.traffic.handle().clone());
        let outcome = self.traffic.block_on(async {
            let stop = watch_stop_signals()?;
            role(threads, stop).await
        });
        self.control.shutdown_background();
        self.traffic.shutdown_background();
        outcome
    }
}

/// Turns true at the first SIGINT or SIGTERM; later ones change nothing.
pub fn watch_stop_signals() -> Result<watch::Receiver<bool>> {
    let help = "report this as a fault";
    let fault = |fault| Error::system("signals", fault, help);
    let mut interrupt = signal(SignalKind::interrupt()).map_err(fault)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(fault)?;
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        log::info!("asked to stop: open requests are served to their end");
        stop.send_replace(true);
        // The sender stays, so that nobody takes its end for another reason to stop.
        std::future::pending::<()>().await;
    });
    Ok(stopped)
}

/// Sends a message at each SIGHUP, for daemons that read their settings again.
pub fn watch_reload_signals() -> Result<mpsc::Receiver<()>> {
    let fault = |fault| Error::system("signals", fault, "report this as a fault");
    let mut hangup = signal(SignalKind::hangup()).map_err(fault)?;
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(
        async move { while hangup.recv().await.is_some() && sender.send(()).await.is_ok() {} },
    );
    Ok(receiver)
}

/// Tells on standard output that a daemon has started, in one write. A daemon whose output nobody
/// reads goes on.
pub fn announce(text: &str) {
    let mut output = std::io::stdout().lock();
    let written = output.write_all(format!("{text}\n").as_bytes()).and_then(|()| output.flush());
    if let Err(fault) = written {
        eprintln!("standard output takes nothing: {fault}");
    }
}
