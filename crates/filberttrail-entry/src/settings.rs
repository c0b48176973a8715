//! The entry's settings.

use bytes::Bytes;
use filberttrail_kernel::{Error, Result, Without};
use filberttrail_protocol::proof::MIN_SECRET_BYTES;
use filberttrail_web::Limits;
use filberttrail_web::server::HEADER_BYTES_MINIMUM;
use std::net::SocketAddr;
use std::time::Duration;

/// The largest body that fits into a message between processes, in bytes.
pub const BODY_LIMIT_MAXIMUM: usize = 8 << 20;

/// How an entry is set up.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The entry's name.
    pub name: String,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators look.
    pub admin: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
    /// What entries and sidecars share.
    pub secret: Bytes,
    /// Sidecars to learn the configuration from while the platform is out.
    pub seeds: Vec<SocketAddr>,
    /// Upstreams of each model and service that are connected to.
    pub subset: usize,
    /// The routing policy.
    pub policy: String,
    /// Bounds of callers' connections.
    pub limits: Limits,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a body may take to arrive.
    pub body_wait: Duration,
    /// How long a caller waits for the head of an answer.
    pub request_wait: Duration,
    /// How long the entry tells that it is leaving before it closes its port.
    pub leave_notice: Duration,
    /// Mechanisms that are left out, for tests that show what they are for.
    pub without: Without,
}

impl Settings {
    /// Refuses settings that cannot work or contradict each other.
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
        if self.body_bytes == 0 || self.body_bytes > BODY_LIMIT_MAXIMUM {
            let help = format!("use 1 to {BODY_LIMIT_MAXIMUM}");
            return Err(Error::setting("--body-bytes", self.body_bytes, help).into());
        }
        if self.subset == 0 {
            let help = "connect to at least one upstream of each model and service";
            return Err(Error::setting("--subset", "0", help).into());
        }
        if self.limits.header_bytes < HEADER_BYTES_MINIMUM {
            let help = format!("use at least {HEADER_BYTES_MINIMUM}");
            return Err(Error::setting("--header-bytes", self.limits.header_bytes, help).into());
        }
        if self.limits.connections == 0 || self.limits.headers == 0 {
            let help = "allow at least one of each";
            return Err(Error::setting("--connections, --headers", "0", help).into());
        }
        if self.request_wait.is_zero() || self.body_wait > self.request_wait {
            let help = "use a --body-wait of at most --request-wait, and both above 0";
            let fault = format!("--body-wait {:?} of {:?}", self.body_wait, self.request_wait);
            return Err(Error::setting("--request-wait", fault, help).into());
        }
        filberttrail_kernel::plugin::find::<filberttrail_route::Policy>(&self.policy)?;
        Ok(())
    }
}
