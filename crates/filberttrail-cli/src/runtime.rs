//! The async runtimes and signal handlers of a process.

use filberttrail_kernel::{Error, Result};
use filberttrail_relay::Threads;
use std::io::Write;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

fn thread_error(error: std::io::Error) -> Error {
    Error::system("threads", error, "raise the limit of threads")
}

/// Runs a future to completion on a runtime of the current thread.
pub fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(thread_error)?;
    runtime.block_on(future)
}

/// The runtimes of a daemon: one with a single thread for control state, and one with a thread
/// per core for traffic.
pub struct Daemon {
    control: Runtime,
    traffic: Runtime,
}

impl Daemon {
    /// Starts the threads of both runtimes.
    pub fn new() -> Result<Self> {
        let control = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("control")
            .enable_all()
            .build()
            .map_err(thread_error)?;
        let traffic = Builder::new_multi_thread()
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(thread_error)?;
        Ok(Self { control, traffic })
    }

    /// Runs `role` to completion. Its receiver turns true at the first SIGINT or SIGTERM. Tasks
    /// that still run when it returns are dropped.
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

/// Returns a receiver that turns true at the first SIGINT or SIGTERM. Later signals have no
/// effect.
pub fn watch_stop_signals() -> Result<watch::Receiver<bool>> {
    let help = "report this as a bug";
    let signal_error = |error| Error::system("signals", error, help);
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        log::info!("received a stop signal; finishing open requests");
        stop.send_replace(true);
        // Dropping the sender would close the channel, which receivers could take for a stop.
        // Keep it until the process exits.
        std::future::pending::<()>().await;
    });
    Ok(stopped)
}

/// Returns a channel that receives a message at each SIGHUP, at which daemons reload their
/// settings.
pub fn watch_reload_signals() -> Result<mpsc::Receiver<()>> {
    let signal_error = |error| Error::system("signals", error, "report this as a bug");
    let mut hangup = signal(SignalKind::hangup()).map_err(signal_error)?;
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(
        async move { while hangup.recv().await.is_some() && sender.send(()).await.is_ok() {} },
    );
    Ok(receiver)
}

/// Prints a line, such as the addresses of a daemon that has started, to standard output in one
/// write. If standard output is closed, reports that on standard error and returns normally, so
/// that a daemon keeps running without a reader of its output.
pub fn announce(text: &str) {
    let mut output = std::io::stdout().lock();
    let written = output.write_all(format!("{text}\n").as_bytes()).and_then(|()| output.flush());
    if let Err(error) = written {
        eprintln!("cannot write to standard output: {error}");
    }
}
