//! One role on a thread of its own.

use std::sync::mpsc as blocking;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::runtime::{Builder, Handle};
use tokio::sync::{mpsc, watch};

enum Signal {
    Kill,
    Freeze(blocking::Receiver<()>, Duration),
}

/// A role that can be stopped, killed and frozen.
pub struct Component {
    stop: watch::Sender<bool>,
    signals: mpsc::UnboundedSender<Signal>,
    thread: Option<JoinHandle<()>>,
}

impl Component {
    /// Starts a role; it is told to stop by its receiver.
    pub fn start<F, R>(name: &str, role: F) -> std::io::Result<Self>
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
                    () = role(handle, stopped) => {}
                    () = obey(received) => {}
                }
            });
            // Dropping the runtime ends all of its tasks and closes their sockets.
            runtime.shutdown_background();
        })?;
        Ok(Self { stop, signals, thread: Some(thread) })
    }

    /// Asks the role to stop, without waiting.
    pub fn request_stop(&self) {
        self.stop.send_replace(true);
    }

    /// Asks the role to stop, and waits until it has.
    pub fn stop(mut self) {
        self.request_stop();
        self.join();
    }

    /// Ends the role at once.
    pub fn kill(mut self) {
        let _ = self.signals.send(Signal::Kill);
        self.join();
    }

    /// Freezes the role until the returned sender is dropped, or for the longest time.
    pub fn freeze(&self, longest: Duration) -> blocking::Sender<()> {
        let (thaw, thawed) = blocking::channel();
        let _ = self.signals.send(Signal::Freeze(thawed, longest));
        thaw
    }

    fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn obey(mut signals: mpsc::UnboundedReceiver<Signal>) {
    while let Some(signal) = signals.recv().await {
        match signal {
            Signal::Kill => return,
            Signal::Freeze(thawed, longest) => {
                // Blocking the only thread of the runtime is what freezes the role.
                let _ = thawed.recv_timeout(longest);
            }
        }
    }
    std::future::pending().await
}
