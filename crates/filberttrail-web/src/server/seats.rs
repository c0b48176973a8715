//! The open connections of a server, of which the one that has been idle longest gives way to a new one.

use crate::memory::{Budget, Charge, Part};
use crate::server::seat::Seat;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Bytes that are charged for an open connection: the first buffers of the HTTP library for reading and
/// writing (8 KiB each), of which a part is resident, and the state of the connection and its task. An
/// idle connection was measured at 17 KiB with the allocator's share.
const CONNECTION_BYTES: usize = 16 << 10;

/// The open connections of a server.
pub(super) struct Seats {
    budget: Budget,
    limit: usize,
    open: Mutex<Open>,
    /// Whether a new connection waits for a seat.
    wanted: AtomicBool,
    freed: Notify,
}

#[derive(Default)]
struct Open {
    next: u64,
    seats: HashMap<u64, (Arc<Seat>, Charge)>,
}

/// The seat of a connection, which is returned when dropped.
pub(super) struct Taken {
    pub seat: Arc<Seat>,
    id: u64,
    seats: Arc<Seats>,
}

impl Seats {
    /// Creates seats for at most `limit` connections.
    pub fn new(budget: Budget, limit: usize) -> Arc<Self> {
        Arc::new(Self {
            budget,
            limit,
            open: Mutex::default(),
            wanted: AtomicBool::new(false),
            freed: Notify::new(),
        })
    }

    /// Takes a seat. If there is none, the connection that has been idle or in a head longest is asked to
    /// close. Returns nothing if a request is in progress on all connections.
    pub fn try_take(self: &Arc<Self>) -> Option<Taken> {
        // Set before the connections are looked at, so that one that becomes idle meanwhile is noticed.
        self.wanted.store(true, Ordering::SeqCst);
        let mut open = self.lock();
        let charge = loop {
            if open.seats.len() < self.limit
                && let Some(charge) = self.budget.try_charge(Part::Connections, CONNECTION_BYTES)
            {
                break charge;
            }
            let idle =
                open.seats.iter().filter_map(|(id, (seat, _))| Some((seat.idle_since()?, *id)));
            let (_, oldest) = idle.min()?;
            if let Some((seat, _)) = open.seats.remove(&oldest) {
                seat.close(false);
                self.budget.count_closed_connection();
            }
        };
        self.wanted.store(false, Ordering::SeqCst);
        open.next += 1;
        let id = open.next;
        let seats = Arc::downgrade(self);
        let on_idle = move || {
            if let Some(seats) = seats.upgrade() {
                seats.notify_freed();
            }
        };
        let seat = Arc::new(Seat::new(self.budget.clone(), on_idle));
        open.seats.insert(id, (seat.clone(), charge));
        Some(Taken { seat, id, seats: self.clone() })
    }

    /// Waits until a connection has closed or become idle since a seat was last wanted.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    fn notify_freed(&self) {
        if self.wanted.load(Ordering::SeqCst) {
            self.freed.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        let returned = self.seats.lock().seats.remove(&self.id);
        drop(returned);
        self.seats.notify_freed();
    }
}
