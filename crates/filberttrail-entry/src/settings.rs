//! The entry's settings.

use bytes::Bytes;
use filberttrail_kernel::{Disabled, Error, Result};
use filberttrail_protocol::proof::MIN_SECRET_BYTES;
use filberttrail_web::Limits;
use filberttrail_web::server::HEADER_BYTES_MINIMUM;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum request body that fits into one frame to a sidecar, in bytes.
pub const BODY_LIMIT_MAXIMUM: usize = 8 << 20;

/// The smallest memory, in bytes.
pub const MEMORY_MINIMUM: usize = 32_000_000;
/// The smallest memory as a multiple of the largest body, so that a single body of that size fits into
/// half of the memory for bodies.
pub const MEMORY_PER_BODY: usize = 8;

/// The settings of one entry process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The entry's name.
    pub name: String,
    /// The name of the data centre that the entry runs in.
    pub data_centre: String,
    /// The address for callers' requests.
    pub listen: SocketAddr,
    /// The address of the admin port.
    pub admin: SocketAddr,
    /// The address of the platform's object API.
    pub platform: SocketAddr,
    /// The secret that entries and sidecars share, to authenticate each other.
    pub secret: Bytes,
    /// Sidecars from which to receive the configuration while the platform is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// The maximum number of upstreams to connect to per model and service.
    pub subset: usize,
    /// The name of the routing policy.
    pub policy: String,
    /// Resource limits of the callers' port.
    pub limits: Limits,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The memory of the machine for this process, in bytes.
    pub memory_bytes: usize,
    /// The timeout for reading a request body.
    pub body_wait: Duration,
    /// The timeout for the response head, over all attempts of a request.
    pub request_wait: Duration,
    /// How long the entry reports that it is not ready before it closes its port on shutdown.
    pub leave_notice: Duration,
    /// Safety mechanisms that a test has disabled; none in production.
    pub disabled: Disabled,
}

impl Settings {
    /// Returns an error if a setting is out of range or contradicts another.
    pub fn check(&self) -> Result<()> {
        if self.secret.len() < MIN_SECRET_BYTES {
            let message = format!("{} bytes", self.secret.len());
            let help = format!("use at least {MIN_SECRET_BYTES} bytes, the same everywhere");
            return Err(Error::setting("--secret", message, help).into());
        }
        if self.listen == self.admin && self.listen.port() != 0 {
            let help = "give --listen and --admin different ports";
            return Err(Error::setting("--admin", "the same address as --listen", help).into());
        }
        if self.body_bytes == 0 || self.body_bytes > BODY_LIMIT_MAXIMUM {
            let help = format!("use 1 to {BODY_LIMIT_MAXIMUM}");
            return Err(Error::setting("--body-bytes", self.body_bytes, help).into());
        }
        let needed = MEMORY_PER_BODY * self.body_bytes;
        if self.memory_bytes < needed.max(MEMORY_MINIMUM) {
            let minimum = needed.max(MEMORY_MINIMUM).div_ceil(1_000_000);
            let help = format!("give at least {minimum} MB for this --body-bytes");
            return Err(Error::setting("--memory-mb", self.memory_bytes / 1_000_000, help).into());
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
            let message = format!("--body-wait {:?} of {:?}", self.body_wait, self.request_wait);
            return Err(Error::setting("--request-wait", message, help).into());
        }
        filberttrail_kernel::plugin::find::<filberttrail_route::Policy>(&self.policy)?;
        Ok(())
    }
}
