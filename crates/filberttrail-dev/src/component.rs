//! A component of an estate that runs on a thread of its own.

use std::sync::mpsc as blocking;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::runtime::{Builder, Handle};
use tokio::sync::{mpsc, watch};

enum Signal {
    Kill,
    Freeze(blocking::Receiver<()>, Duration),
}

/// A component, such as an entry or a sidecar, that can be stopped, killed and frozen like a
/// process. It runs on a thread with a single-threaded runtime of its own.
pub struct Component {
    stop: watch::Sender<bool>,
    signals: mpsc::UnboundedSender<Signal>,
    thread: Option<JoinHandle<()>>,
}

impl Component {
    /// Starts `task` on a new thread called `name`. `task` gets a handle of its runtime and a
    /// receiver that turns true when it should stop.
    ///
    /// # Errors
    ///
    /// Any error of the system at the start of the runtime or thread.
    pub fn start<F, R>(name: &str, task: F) -> std::io::Result<Self>
    where
        F: FnOnce(Handle, watch::Receiver<bool>) -> R + Send + 'static,
        R: Future<Output = ()>,
    {
        let (stop, stopped) = watch::channel(false);
        let (signals, received) = mpsc::unbounded_channel();
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let builder = std::thread::Builder::new().name(name.to_string());
        let thread = builder.spawn(move || {
            let handle = runtime.handle().clone();
            runtime.block_on(async move {
                tokio::select! {
                    () = task(handle, stopped) => {}
                    () = handle_signals(received) => {}
                }
            });
            // Shutting the runtime down drops all of its tasks and closes their sockets.
            runtime.shutdown_background();
        })?;
        Ok(Self { stop, signals, thread: Some(thread) })
    }

    /// Requests a graceful stop without waiting for it.
    pub fn request_stop(&self) {
        self.stop.send_replace(true);
    }

    /// Requests a graceful stop and waits until the thread has ended.
    pub fn stop(mut self) {
        self.request_stop();
        self.join();
    }

    /// Drops the task without a graceful stop and waits until the thread has ended.
    pub fn kill(mut self) {
        let _ = self.signals.send(Signal::Kill);
        self.join();
    }

    /// Blocks the component's thread until the returned sender is dropped or sends, and for at most
    /// `max_duration`.
    pub fn freeze(&self, max_duration: Duration) -> blocking::Sender<()> {
        let (thaw, thawed) = blocking::channel();
        let _ = self.signals.send(Signal::Freeze(thawed, max_duration));
        thaw
    }

    fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Handles freeze signals; returns at a kill signal.
async fn handle_signals(mut signals: mpsc::UnboundedReceiver<Signal>) {
    while let Some(signal) = signals.recv().await {
        match signal {
            Signal::Kill => return,
            Signal::Freeze(thawed, max_duration) => {
                // This blocks the only thread of the runtime, so no task of the component can run.
                let _ = thawed.recv_timeout(max_duration);
            }
        }
    }
    std::future::pending().await
}
