//! A component of an estate that runs on a thread of its own.

// `blocking` is the synchronous channel of the standard library; `mpsc` is Tokio's.
use std::sync::mpsc as blocking;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::runtime::{Builder, Handle};
use tokio::sync::{mpsc, watch};

/// A command to the thread of a component.
enum Command {
    /// Drops the task.
    Kill,
    /// Blocks the thread until the receiver gets a message or its sender is dropped, and for at
    /// most this duration.
    Freeze(blocking::Receiver<()>, Duration),
}

/// A component, such as an entry or a sidecar, that can be stopped, killed and frozen like a
/// process. It runs on a thread with a single-threaded runtime of its own.
pub struct Component {
    stop: watch::Sender<bool>,
    commands: mpsc::UnboundedSender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl Component {
    /// Starts `task` on a new thread called `name`. `task` gets a handle of its runtime and a
    /// receiver whose value becomes true when it should stop.
    ///
    /// # Errors
    ///
    /// Any error of the operating system when the runtime is built or the thread is started.
    pub fn start<F, R>(name: &str, task: F) -> std::io::Result<Self>
    where
        F: FnOnce(Handle, watch::Receiver<bool>) -> R + Send + 'static,
        R: Future<Output = ()>,
    {
        let (stop, stopped) = watch::channel(false);
        let (commands, received_commands) = mpsc::unbounded_channel();
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let builder = std::thread::Builder::new().name(name.to_string());
        let thread = builder.spawn(move || {
            let handle = runtime.handle().clone();
            runtime.block_on(async move {
                tokio::select! {
                    () = task(handle, stopped) => {}
                    () = handle_commands(received_commands) => {}
                }
            });
            // Shutting the runtime down drops all of its tasks and closes their sockets.
            runtime.shutdown_background();
        })?;
        Ok(Self { stop, commands, thread: Some(thread) })
    }

    /// Requests a graceful stop without waiting for it.
    pub fn request_stop(&self) {
        self.stop.send_replace(true);
    }

    /// Requests a graceful stop and waits until the thread has ended. A frozen component stops only
    /// after it has thawed.
    pub fn stop(mut self) {
        self.request_stop();
        self.join();
    }

    /// Drops the task without a graceful stop and waits until the thread has ended. A frozen
    /// component ends only after it has thawed.
    pub fn kill(mut self) {
        let _ = self.commands.send(Command::Kill);
        self.join();
    }

    /// Requests that the component's thread block until the returned sender is dropped or sends,
    /// and for at most `max_duration`. Returns at once; the thread blocks when its runtime next
    /// polls the commands.
    pub fn freeze(&self, max_duration: Duration) -> blocking::Sender<()> {
        let (thaw, thawed) = blocking::channel();
        let _ = self.commands.send(Command::Freeze(thawed, max_duration));
        thaw
    }

    fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Handles freeze commands; returns at a kill command.
async fn handle_commands(mut commands: mpsc::UnboundedReceiver<Command>) {
    while let Some(command) = commands.recv().await {
        match command {
            Command::Kill => return,
            Command::Freeze(thawed, max_duration) => {
                // This blocks the only thread of the runtime, so no task of the component can run.
                let _ = thawed.recv_timeout(max_duration);
            }
        }
    }
    // The `Component` was dropped, so no more commands can arrive. Returning would end the task as
    // a kill does; it may run on until it ends by itself.
    std::future::pending().await
}
