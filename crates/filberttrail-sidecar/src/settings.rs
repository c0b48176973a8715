//! The settings of a sidecar, and their validation.

use bytes::Bytes;
use filberttrail_kernel::{Disabled, Error, Result};
use filberttrail_protocol::proof::MIN_SECRET_BYTES;
use std::net::SocketAddr;
use std::time::Duration;

/// Smallest number of connections: one of an entry, one of a lease holder, and their successors.
pub const CONNECTIONS_MINIMUM: usize = 4;
/// Smallest memory, in bytes. Half of the tenth of it that is for messages holds a message with the
/// largest body that an entry reads by default, 1 MiB.
pub const MEMORY_MINIMUM: usize = 32_000_000;

/// The settings of a sidecar.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Declared name of the upstream next to the sidecar.
    pub name: String,
    /// Address to listen on for connections from entries.
    pub listen: SocketAddr,
    /// Address of the admin port.
    pub admin: SocketAddr,
    /// Address of the engine or service.
    pub upstream: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Secret that all entries and sidecars share, of at least `MIN_SECRET_BYTES` bytes.
    pub secret: Bytes,
    /// Timeout for the head of the upstream's response, and for the whole response body if the
    /// request has an idempotency key.
    pub head_wait: Duration,
    /// Timeout for each next part of a response body that is streamed to the entry.
    pub pause_wait: Duration,
    /// How long a shutdown waits for accepted attempts to end.
    pub drain_wait: Duration,
    /// Maximum number of connections from entries.
    pub connections: usize,
    /// Memory of the machine for this process, in bytes.
    pub memory_bytes: usize,
    /// Mechanisms that are disabled, for tests that show what each one prevents.
    pub disabled: Disabled,
}

impl Settings {
    /// Checks the settings, and returns an error that names the wrong flag.
    pub fn check(&self) -> Result<()> {
        if self.secret.len() < MIN_SECRET_BYTES {
            let problem = format!("{} bytes", self.secret.len());
            let help = format!("use at least {MIN_SECRET_BYTES} bytes, the same everywhere");
            return Err(Error::setting("--secret", problem, help).into());
        }
        if self.listen == self.admin && self.listen.port() != 0 {
            let help = "give --listen and --admin different ports";
            return Err(Error::setting("--admin", "the same address as --listen", help).into());
        }
        if self.connections < CONNECTIONS_MINIMUM {
            let help = format!("allow at least {CONNECTIONS_MINIMUM}");
            return Err(Error::setting("--connections", self.connections, help).into());
        }
        if self.memory_bytes < MEMORY_MINIMUM {
            let help = format!("give at least {} MB", MEMORY_MINIMUM / 1_000_000);
            return Err(Error::setting("--memory-mb", self.memory_bytes / 1_000_000, help).into());
        }
        if self.upstream == self.listen {
            let help = "name the engine's or service's own address";
            return Err(Error::setting("--upstream", "the sidecar's own address", help).into());
        }
        Ok(())
    }
}
