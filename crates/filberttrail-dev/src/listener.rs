//! Listeners that are bound before the component that uses them starts, so that all addresses are
//! known up front.

use filberttrail_kernel::{Error, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::time::Duration;

/// Number of attempts to bind the address of a component that restarts, before the last one.
const REBIND_ATTEMPTS: u32 = 50;
/// The delay between two attempts.
const REBIND_DELAY: Duration = Duration::from_millis(20);
/// Range of the ports, below the system's ephemeral ports, so that none is given to a connection while
/// the component that listens there restarts. Tests that start processes use the ports above it.
const PORT_RANGE: Range<u16> = 10_000..20_000;
/// Number of ports that are tried before the system chooses one.
const PORT_ATTEMPTS: usize = 64;
/// A listener and the local address that it is bound to.
pub type BoundListener = (TcpListener, SocketAddr);

/// Binds an address in non-blocking mode and returns the listener with its actual port.
pub fn bind(address: SocketAddr) -> Result<BoundListener> {
    let help = "free the address, or let the system choose";
    let bind_error = |error: std::io::Error| Error::system(address, error, help);
    let listener = TcpListener::bind(address).map_err(bind_error)?;
    listener.set_nonblocking(true).map_err(bind_error)?;
    let address = listener.local_addr().map_err(bind_error)?;
    Ok((listener, address))
}

/// Binds an address that was in use until recently. Retries for a second, because another process
/// may hold the port for a short time.
pub fn bind_with_retry(address: SocketAddr) -> Result<BoundListener> {
    for _ in 0..REBIND_ATTEMPTS {
        if let Ok(bound) = bind(address) {
            return Ok(bound);
        }
        // There is no async runtime here; a timeout on a channel without messages serves as a
        // sleep.
        let (_sender, receiver) = std::sync::mpsc::channel::<()>();
        let _ = receiver.recv_timeout(REBIND_DELAY);
    }
    bind(address)
}

/// Binds a free loopback port from [`PORT_RANGE`].
pub fn bind_any_port() -> Result<BoundListener> {
    let draw = || SocketAddr::from((Ipv4Addr::LOCALHOST, fastrand::u16(PORT_RANGE)));
    let mut drawn = std::iter::repeat_with(draw).take(PORT_ATTEMPTS);
    match drawn.find_map(|address| bind(address).ok()) {
        Some(bound) => Ok(bound),
        None => bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
    }
}

/// Registers a bound listener with the current Tokio runtime; logs an error and returns `None` on
/// failure.
pub fn into_tokio(listener: TcpListener) -> Option<tokio::net::TcpListener> {
    tokio::net::TcpListener::from_std(listener)
        .inspect_err(|error| log::error!("cannot use a bound listener: {error}"))
        .ok()
}
