//! The memory budget of a process.

use crate::Body;
use crate::crowd::Report;
use crate::memory::account::{Account, Bodies, Eviction};
use crate::memory::{Buffer, Cause, Charge, Event, Hold, Part, Sizes};
use filberttrail_kernel::clock;
use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Size from which a body is large, in bytes.
const LARGE_BODY: usize = 64 << 10;
/// Fraction of a part that large bodies can use. The rest is for small ones, so that they find room even
/// if all large ones belong to requests that run and can't be evicted.
const LARGE_FRACTION: (usize, usize) = (3, 4);
/// Interval at which the end of a shortage is looked for while there is one.
const SHORTAGE_POLL: Duration = Duration::from_secs(1);

/// The memory that a process holds on behalf of others; clones share it.
#[derive(Clone)]
pub struct Budget(Arc<Shared>);

struct Shared {
    clock: clock::Shared,
    accounts: [Account; 4],
    lingering: AtomicUsize,
    log: OnceLock<Log>,
}

/// Logs the start or the end of a shortage.
type Log = Box<dyn Fn(&Event) + Send + Sync>;

impl Budget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: Sizes, clock: clock::Shared) -> Self {
        let accounts = Part::ALL.map(|part| Account::new(limits.of(part)));
        let lingering = AtomicUsize::new(0);
        Self(Arc::new(Shared { clock, accounts, lingering, log: OnceLock::new() }))
    }

    /// Sets how the start and the end of a shortage are logged. `log` must not use the budget.
    pub fn with_log(self, log: impl Fn(&Event) + Send + Sync + 'static) -> Self {
        if self.0.log.set(Box::new(log)).is_err() {
            log::error!("the log of a memory budget was set twice; report this as a bug");
        }
        self
    }

    /// Creates a budget that is never used up, for tests and stand-ins.
    pub fn unlimited() -> Self {
        let all = usize::MAX / 4;
        let sizes = Sizes { requests: all, responses: all, connections: all, peers: all };
        Self::new(sizes, clock::System::shared())
    }

    /// Returns the number of bytes of a part that are used.
    pub fn used(&self, part: Part) -> usize {
        self.account(part).used()
    }

    /// Returns the number of bytes of a part.
    pub fn size(&self, part: Part) -> usize {
        self.account(part).size
    }

    /// Returns how often memory of a part was denied for a cause.
    pub fn denied(&self, part: Part, cause: Cause) -> u64 {
        self.account(part).denied[cause as usize].load(Ordering::Relaxed)
    }

    /// Returns the current time of the budget's clock.
    pub fn now(&self) -> Duration {
        self.0.clock.now()
    }

    /// Charges bytes that can't be evicted. If the part has no room for them, a listed body gives way.
    /// Returns nothing if none can.
    pub fn charge(&self, part: Part, bytes: usize) -> Option<Charge> {
        let account = self.account(part);
        if !account.try_add(bytes, account.size) {
            let mut bodies = account.lock();
            let (room, evictions) = self.make_room(part, &mut bodies, None, bytes);
            if !room {
                self.count(part, Cause::Refused, &mut bodies);
            }
            drop(bodies);
            evictions.into_iter().for_each(|evict| evict());
            if !room {
                return None;
            }
        }
        Some(Charge::new(self.clone(), part, bytes))
    }

    /// Charges bytes of a part without displacing any listed body.
    pub fn try_charge(&self, part: Part, bytes: usize) -> Option<Charge> {
        let account = self.account(part);
        account.try_add(bytes, account.size).then(|| Charge::new(self.clone(), part, bytes))
    }

    /// Returns a response body of a team that can be evicted. Returns nothing if there is no room.
    pub fn hold(&self, part: Part, owner: &str, bytes: Vec<u8>) -> Option<Body> {
        let buffer = Buffer::with_bytes(self, part, owner, bytes)?;
        let (bytes, hold) = buffer.finish_evictable()?;
        Some(Body::Held(Some(bytes), hold))
    }

    /// Lists a body of a team, which holds nothing yet and is evicted by `evict`.
    pub(super) fn list(
        &self,
        part: Part,
        owner: &str,
        evict: impl Fn() + Send + Sync + 'static,
    ) -> Hold {
        let now = self.now();
        let mut bodies = self.account(part).lock();
        let id = bodies.ledger.insert(owner, now);
        bodies.evictions.insert(id, Box::new(evict));
        drop(bodies);
        Hold::new(self.clone(), part, id)
    }

    pub(super) fn resize(&self, part: Part, id: u64, bytes: usize) -> bool {
        let account = self.account(part);
        let mut bodies = account.lock();
        let Some(held) = bodies.ledger.get(id).map(|holder| holder.bytes) else { return false };
        if bytes <= held {
            bodies.ledger.set_bytes(id, bytes, self.now());
            drop(bodies);
            self.release(part, held - bytes);
            return true;
        }
        let (room, evictions) = self.make_room(part, &mut bodies, Some(id), bytes - held);
        if room {
            bodies.ledger.set_bytes(id, bytes, self.now());
        } else {
            bodies.ledger.remove(id);
            bodies.evictions.remove(&id);
            account.subtract(held);
            self.count(part, Cause::Refused, &mut bodies);
        }
        drop(bodies);
        evictions.into_iter().for_each(|evict| evict());
        room
    }

    pub(super) fn pin(&self, part: Part, id: u64) -> bool {
        let mut bodies = self.account(part).lock();
        let evict = bodies.evictions.remove(&id);
        let listed = bodies.ledger.pin(id);
        drop(bodies);
        drop(evict);
        listed
    }

    pub(super) fn set_eviction(&self, part: Part, id: u64, evict: Eviction) {
        let mut bodies = self.account(part).lock();
        if bodies.ledger.get(id).is_none() {
            drop(bodies);
            evict();
            return;
        }
        let before = bodies.evictions.insert(id, evict);
        drop(bodies);
        drop(before);
    }

    pub(super) fn remove(&self, part: Part, id: u64) {
        let mut bodies = self.account(part).lock();
        let holder = bodies.ledger.remove(id);
        let evict = bodies.evictions.remove(&id);
        drop(bodies);
        drop(evict);
        if let Some(holder) = holder {
            self.release(part, holder.bytes);
        }
    }

    pub(super) fn release(&self, part: Part, bytes: usize) {
        if !self.account(part).subtract(bytes) {
            let part = part.name();
            log::error!("memory of part {part} was released twice; report this as a bug");
        }
    }

    /// Counts a connection that gave way to another.
    pub(crate) fn count_closed_connection(&self) {
        let mut bodies = self.account(Part::Connections).lock();
        self.count(Part::Connections, Cause::Evicted, &mut bodies);
    }

    /// Counts one more lingering connection, unless there are `limit` already.
    pub(crate) fn start_lingering(&self, limit: usize) -> bool {
        let add = |count: usize| (count < limit).then_some(count + 1);
        self.0.lingering.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }

    /// Counts one lingering connection less.
    pub(crate) fn end_lingering(&self) {
        self.0.lingering.fetch_sub(1, Ordering::Relaxed);
    }

    fn account(&self, part: Part) -> &Account {
        &self.0.accounts[part as usize]
    }

    /// Charges bytes, for which bodies give way if that is needed. Returns whether the bytes are charged,
    /// and what evicts the bodies that gave way. It has to be called without the lock.
    fn make_room(
        &self,
        part: Part,
        bodies: &mut Bodies,
        growing: Option<u64>,
        added: usize,
    ) -> (bool, Vec<Eviction>) {
        let account = self.account(part);
        let held = growing.and_then(|id| bodies.ledger.get(id)).map_or(0, |holder| holder.bytes);
        let limit = match held + added > LARGE_BODY {
            true => account.size / LARGE_FRACTION.1 * LARGE_FRACTION.0,
            false => account.size,
        };
        let mut evictions = Vec::new();
        while !account.try_add(added, limit) {
            let now = self.now();
            match bodies.ledger.choose(growing, added, now) {
                Some(id) if growing != Some(id) => {
                    if let Some(holder) = bodies.ledger.remove(id) {
                        account.subtract(holder.bytes);
                    }
                    evictions.extend(bodies.evictions.remove(&id));
                    self.count(part, Cause::Evicted, bodies);
                }
                _ => return (false, evictions),
            }
        }
        (true, evictions)
    }

    fn count(&self, part: Part, cause: Cause, bodies: &mut Bodies) {
        self.account(part).denied[cause as usize].fetch_add(1, Ordering::Relaxed);
        if !bodies.shortage.record(self.now()) {
            return;
        }
        self.log(part, None, bodies.ledger.report());
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            let budget = self.clone();
            runtime.spawn(async move { budget.log_end(part).await });
        }
    }

    /// Logs the end of a shortage.
    async fn log_end(&self, part: Part) {
        loop {
            tokio::time::sleep(SHORTAGE_POLL).await;
            let now = self.now();
            let mut bodies = self.account(part).lock();
            let Some(denied) = bodies.shortage.end(now) else { continue };
            let report = bodies.ledger.report();
            drop(bodies);
            self.log(part, Some(denied), report);
            return;
        }
    }

    fn log(&self, part: Part, denied: Option<u64>, report: Report) {
        let (used, size) = (self.used(part), self.size(part));
        let event = Event { part, used, size, denied, report };
        match self.0.log.get() {
            Some(log) => log(&event),
            None => log::warn!("crowded {event:?}"),
        }
    }
}

impl fmt::Debug for Budget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let used = Part::ALL.map(|part| (part.name(), self.used(part), self.size(part)));
        formatter.debug_tuple("Budget").field(&used).finish()
    }
}
