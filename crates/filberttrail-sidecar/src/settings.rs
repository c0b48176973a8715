//! The sidecar's settings.

use bytes::Bytes;
use filberttrail_kernel::{Error, Result, Without};
use filberttrail_protocol::proof::MIN_SECRET_BYTES;
use std::net::SocketAddr;
use std::time::Duration;

/// How a sidecar is set up.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The declared name of its upstream.
    pub name: String,
    /// Where entries connect.
    pub listen: SocketAddr,
    /// Where operators look.
    pub admin: SocketAddr,
    /// Where the engine or service listens.
    pub upstream: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
    /// What entries and sidecars share.
    pub secret: Bytes,
    /// How long the head of an answer may take.
    pub head_wait: Duration,
    /// How long a stream may pause.
    pub pause_wait: Duration,
    /// How long a shutdown waits for open answers.
    pub drain_wait: Duration,
    /// Mechanisms that are left out, for tests that show what they are for.
    pub without: Without,
}

impl Settings {
    /// Refuses settings that cannot work.
    pub fn check(&self) -> Result<()> {
        if self.secret.len() < MIN_SECRET_BYTES {
            let fault = format!("{} bytes", self.secret.len());
            let help = format!("use at least {MIN_SECRET_BYTES} bytes, the same everywhere");
            return Err(Error::setting("--secret", fault, help).into());
        }
        if self.listen == self.admin && self.listen.port() != 0 {
            let help = "give --listen and --admin different ports";
            return Err(Error::setting("--admin", "the same address as --listen", help).into());
        }
        if self.upstream == self.listen {
            let help = "name the engine's or service's own address";
            return Err(Error::setting("--upstream", "the sidecar's own address", help).into());
        }
        Ok(())
    }
}
