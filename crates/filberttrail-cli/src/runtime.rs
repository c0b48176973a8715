//! The Tokio runtimes and signal handlers of a process.

use filberttrail_kernel::{Error, Result};
use filberttrail_relay::RuntimeHandles;
use std::io::Write;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

/// Converts an error of building a Tokio runtime, which opens file descriptors and, if it is
/// multi-threaded, starts threads.
fn runtime_error(error: std::io::Error) -> Error {
    Error::system("runtime", error, "raise the thread and file limits")
}

/// Runs a future to completion on a single-threaded runtime, in the calling thread.
pub fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(runtime_error)?;
    runtime.block_on(future)
}

/// The two runtimes of a daemon: one with a single thread for control state, and one with a thread
/// per core for traffic.
pub struct Runtimes {
    control: Runtime,
    traffic: Runtime,
}

impl Runtimes {
    /// Starts the threads of both runtimes.
    pub fn new() -> Result<Self> {
        let control = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("control")
            .enable_all()
            .build()
            .map_err(runtime_error)?;
        let traffic = Builder::new_multi_thread()
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(runtime_error)?;
        Ok(Self { control, traffic })
    }

    /// Runs `main_task`, the daemon's main function, to completion and returns its result. It gets
    /// the handles of both runtimes and a receiver whose value becomes true at the first SIGINT or
    /// SIGTERM. Tasks that still run when it returns are dropped.
    pub fn run<F, R>(self, main_task: F) -> Result<()>
    where
        F: FnOnce(RuntimeHandles, watch::Receiver<bool>) -> R,
        R: Future<Output = Result<()>>,
    {
        let runtimes =
            RuntimeHandles::new(self.control.handle().clone(), self.traffic.handle().clone());
        let outcome = self.traffic.block_on(async {
            let stop = watch_stop_signals()?;
            main_task(runtimes, stop).await
        });
        self.control.shutdown_background();
        self.traffic.shutdown_background();
        outcome
    }
}

/// Returns a receiver whose value becomes true at the first SIGINT or SIGTERM. Later signals have
/// no effect.
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
        log::info!("received SIGINT or SIGTERM; stopping");
        stop.send_replace(true);
        // Keeps the sender, and so the channel, until the process exits: `changed()` fails at once
        // on a closed channel, so a receiver that waits for further changes would spin.
        std::future::pending::<()>().await;
    });
    Ok(stopped)
}

/// Returns a receiver that gets a message after a SIGHUP, at which daemons reload their settings.
/// Signals that arrive in quick succession may be merged into one message.
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
/// write. If that fails, for example because the reader has closed the pipe, reports the error on
/// standard error and returns normally, so that a daemon keeps running when nobody reads its
/// output.
pub fn announce(text: &str) {
    let mut output = std::io::stdout().lock();
    let written = output.write_all(format!("{text}\n").as_bytes()).and_then(|()| output.flush());
    if let Err(error) = written {
        eprintln!("cannot write to standard output: {error}");
    }
}
