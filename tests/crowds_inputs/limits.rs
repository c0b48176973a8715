//! The limits of the processes under test, and what they use.

use filberttrail_test_support::process::Process;
use filberttrail_test_support::usage::{Buffered, Usage};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Interval at which descriptors are counted while a crowd sends.
const INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which the crowd's bytes are counted until they no longer change.
const SETTLING: Duration = Duration::from_millis(500);
/// Processor time in this interval below which a process has nothing to do, in ticks of 10 ms.
const IDLE_TICKS: u64 = 10;

/// The limits of each process.
pub struct Limits;

impl Limits {
    /// Memory of the process's VM, in megabytes.
    pub const MEMORY_MB: u64 = 64;
    /// File descriptors of the process.
    pub const DESCRIPTORS: usize = 400;

    /// Waits until a process reads nothing more of what a crowd has sent to an address, and has
    /// nothing to do.
    pub async fn wait_until_read(process_id: u32, address: SocketAddr) {
        let (mut last, mut last_ticks) = (Buffered::default(), 0);
        loop {
            tokio::time::sleep(SETTLING).await;
            let buffered = Buffered::read(address);
            let ticks = Usage::read(process_id).map_or(last_ticks, |usage| usage.ticks);
            if buffered == last && ticks < last_ticks + IDLE_TICKS {
                return;
            }
            (last, last_ticks) = (buffered, ticks);
        }
    }

    /// Checks that a process lives and is within its limits.
    pub fn check(process: &mut Process, crowd: &str, name: &str) {
        let ended = process.exit_status();
        assert_eq!(ended, None, "{crowd}: the {name} has ended");
        let usage = Usage::read(process.id()).expect("the process runs");
        println!("{crowd}: {name}: {usage:?}");
        let memory = usage.peak_memory;
        assert!(memory <= Self::MEMORY_MB * 1_000_000, "{crowd}: {name}: {memory} bytes of memory");
        let descriptors = usage.descriptors;
        assert!(descriptors <= Self::DESCRIPTORS, "{crowd}: {name}: {descriptors} descriptors");
    }
}

/// Counts the descriptors of processes until it is stopped.
pub struct Watch {
    stop: oneshot::Sender<()>,
    counting: JoinHandle<usize>,
}

impl Watch {
    /// Starts to count the descriptors of these processes.
    pub fn new(process_ids: Vec<u32>) -> Self {
        let (stop, mut stopped) = oneshot::channel();
        let counting = tokio::spawn(async move {
            let mut most = 0;
            while stopped.try_recv().is_err() {
                let usages = process_ids.iter().filter_map(|id| Usage::read(*id));
                most = usages.map(|usage| usage.descriptors).fold(most, usize::max);
                tokio::time::sleep(INTERVAL).await;
            }
            most
        });
        Self { stop, counting }
    }

    /// Stops to count and returns the largest number that one process had open.
    pub async fn stop(self) -> Most {
        let _ = self.stop.send(());
        Most(self.counting.await.expect("the count"))
    }
}

/// The largest number of descriptors of a process.
pub struct Most(usize);

impl Most {
    /// Checks that the number was within the limit.
    pub fn check(self, crowd: &str) {
        println!("{crowd}: at most {} descriptors", self.0);
        assert!(self.0 <= Limits::DESCRIPTORS, "{crowd}: {} descriptors", self.0);
    }
}
