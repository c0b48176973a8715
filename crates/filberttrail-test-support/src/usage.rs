//! What a process uses of its VM, as the kernel counts it.

use std::fs;
use std::net::SocketAddr;

/// The memory, the file descriptors and the processor time of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Largest resident memory so far, in bytes.
    pub peak_memory: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
    /// Processor time so far, in the kernel's clock ticks of 10 ms.
    pub ticks: u64,
}

impl Usage {
    /// Reads the usage of a process. Returns `None` if it has ended.
    pub fn read(process_id: u32) -> Option<Self> {
        let status = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kilobytes: u64 = peak.trim().trim_end_matches(" kB").parse().ok()?;
        let descriptors = fs::read_dir(format!("/proc/{process_id}/fd")).ok()?.count();
        // The name of the program, which may contain spaces, stands in parentheses before these fields.
        let stat = fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        Some(Self { peak_memory: kilobytes * 1_024, descriptors, ticks })
    }
}

/// Bytes in the kernel's buffers of TCP connections to an IPv4 address on this machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Buffered {
    /// Bytes that arrived at the address and that no process has read yet.
    pub unread: u64,
    /// Bytes that peers have written and that have not arrived yet.
    pub unsent: u64,
}

impl Buffered {
    /// Reads the buffers of all connections to an address.
    pub fn read(address: SocketAddr) -> Self {
        let SocketAddr::V4(address) = address else { return Self::default() };
        let ip = u32::from_ne_bytes(address.ip().octets());
        let address = format!("{ip:08X}:{:04X}", address.port());
        let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let mut buffered = Self::default();
        for line in table.lines() {
            let mut fields = line.split_whitespace().skip(1);
            let (Some(local), Some(peer), Some(state), Some(queues)) =
                (fields.next(), fields.next(), fields.next(), fields.next())
            else {
                continue;
            };
            let Some((sending, receiving)) = queues.split_once(':') else { continue };
            let parse = |text| u64::from_str_radix(text, 16).unwrap_or_default();
            // For a listener, the kernel shows the number of waiting connections instead.
            if local == address && state != "0A" {
                buffered.unread += parse(receiving);
            }
            if peer == address {
                buffered.unsent += parse(sending);
            }
        }
        buffered
    }
}
