//! Divides an entry's capacity between teams without a central counter.
//!
//! Each entry divides its own capacity between the teams that are active at it, in proportion to
//! their weights. A team may use capacity that other teams leave unused, except for a reserve for
//! teams below their share. A team that becomes active again is thus admitted immediately.

use filberttrail_kernel::id::TeamName;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Fraction of the capacity that teams at or above their share must leave free.
const RESERVE_FRACTION: f64 = 0.1;
/// How long a team without requests counts as active.
const ACTIVE_PERIOD: Duration = Duration::from_secs(5);
/// Weight of the newest interval in the smoothed time between departures.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Identifies a waiting request.
pub type Ticket = u64;

/// The decision on a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may start now.
    Admit,
    /// The request waits in the queue until `release` returns its ticket.
    Wait(Ticket),
    /// The request is refused; the caller may retry after this time.
    Refuse(Duration),
}

/// The bounds of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of requests in flight.
    pub capacity: u32,
    /// Maximum number of waiting requests.
    pub queue: u32,
    /// Longest expected wait with which a request is queued.
    pub wait: Duration,
}

#[derive(Debug, Clone, Default)]
struct Team {
    weight: f64,
    in_flight: u32,
    waiting: VecDeque<(Ticket, Duration)>,
    last_activity: Duration,
}

/// The capacity shares and the queue of one entry.
#[derive(Debug, Clone)]
pub struct Shares {
    bounds: Bounds,
    teams: HashMap<TeamName, Team>,
    in_flight: u32,
    waiting: u32,
    last_ticket: Ticket,
    departure_interval: Option<f64>,
    last_departure: Option<Duration>,
}

impl Shares {
    /// Creates the shares of an entry without active teams.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            teams: HashMap::new(),
            in_flight: 0,
            waiting: 0,
            last_ticket: 0,
            departure_interval: None,
            last_departure: None,
        }
    }

    /// Changes the bounds. Requests in flight are not affected.
    pub fn configure(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Submits a new request of a team and decides whether it starts, waits or is refused.
    pub fn submit(&mut self, name: &str, weight: u32, now: Duration) -> Decision {
        if !self.teams.contains_key(name) {
            self.remove_idle_teams(now);
        }
        let team = self.teams.entry(name.to_string()).or_default();
        team.weight = f64::from(weight.max(1));
        team.last_activity = now;
        let share = self.share(name, now);
        if self.can_start(name, share) {
            self.start(name);
            return Decision::Admit;
        }
        let wait = self.estimate_wait(name);
        if wait > self.bounds.wait || !self.has_queue_room(name, share) {
            return Decision::Refuse(wait.max(Duration::from_millis(100)));
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        if let Some(team) = self.teams.get_mut(name) {
            team.waiting.push_back((ticket, now));
            self.waiting += 1;
        }
        Decision::Wait(ticket)
    }

    /// Records that a request of a team has ended. Returns the tickets of the waiting requests
    /// that start now.
    pub fn release(&mut self, name: &str, now: Duration) -> Vec<Ticket> {
        if let Some(team) = self.teams.get_mut(name) {
            team.in_flight = team.in_flight.saturating_sub(1);
            team.last_activity = now;
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(previous) = self.last_departure {
            let gap = now.saturating_sub(previous).as_secs_f64();
            let departure_interval = self.departure_interval.unwrap_or(gap);
            self.departure_interval =
                Some(departure_interval * (1.0 - SMOOTHING_FACTOR) + gap * SMOOTHING_FACTOR);
        }
        self.last_departure = Some(now);
        self.start_waiting(now)
    }

    /// Removes a waiting request from the queue; returns `false` if it is no longer waiting.
    pub fn cancel(&mut self, name: &str, ticket: Ticket) -> bool {
        let Some(team) = self.teams.get_mut(name) else { return false };
        let count = team.waiting.len();
        team.waiting.retain(|(waiting, _)| *waiting != ticket);
        let removed = count > team.waiting.len();
        self.waiting -= u32::from(removed);
        removed
    }

    /// Returns the numbers of requests in flight and waiting.
    pub fn usage(&self) -> (u32, u32) {
        (self.in_flight, self.waiting)
    }

    /// Returns a team's share of the capacity among the active teams, in requests.
    pub fn share(&self, name: &str, now: Duration) -> f64 {
        let active = |team: &&Team| {
            team.in_flight > 0
                || !team.waiting.is_empty()
                || now.saturating_sub(team.last_activity) < ACTIVE_PERIOD
        };
        let total: f64 = self.teams.values().filter(active).map(|team| team.weight).sum();
        let weight = self.teams.get(name).map_or(1.0, |team| team.weight);
        // Even a single active team leaves the reserve to teams that become active.
        let fraction = (weight / total.max(weight)).min(1.0 - RESERVE_FRACTION);
        f64::from(self.bounds.capacity) * fraction
    }

    fn can_start(&self, name: &str, share: f64) -> bool {
        if self.in_flight >= self.bounds.capacity {
            return false;
        }
        let Some(team) = self.teams.get(name) else { return false };
        if f64::from(team.in_flight) < share.max(1.0) {
            return true;
        }
        let free = f64::from(self.bounds.capacity - self.in_flight);
        free > f64::from(self.bounds.capacity) * RESERVE_FRACTION && team.waiting.is_empty()
    }

    fn start(&mut self, name: &str) {
        if let Some(team) = self.teams.get_mut(name) {
            team.in_flight += 1;
            self.in_flight += 1;
        }
    }

    /// Starts waiting requests while there is capacity, first those of the team with the fewest
    /// requests in flight relative to its weight.
    fn start_waiting(&mut self, now: Duration) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.in_flight < self.bounds.capacity {
            let waiting = self.teams.iter().filter(|(_, team)| !team.waiting.is_empty());
            let usage = |team: &Team| f64::from(team.in_flight) / team.weight;
            let next_team = waiting.min_by(|left, right| {
                usage(left.1).total_cmp(&usage(right.1)).then_with(|| left.0.cmp(right.0))
            });
            let Some(name) = next_team.map(|(name, _)| name.clone()) else { break };
            let share = self.share(&name, now);
            let Some(team) = self.teams.get_mut(&name) else { break };
            let free = f64::from(self.bounds.capacity - self.in_flight);
            let at_share = f64::from(team.in_flight) >= share.max(1.0);
            if at_share && free <= f64::from(self.bounds.capacity) * RESERVE_FRACTION {
                break;
            }
            if let Some((ticket, _)) = team.waiting.pop_front() {
                started.push(ticket);
                self.waiting -= 1;
                self.start(&name);
            }
        }
        started
    }

    fn has_queue_room(&self, name: &str, share: f64) -> bool {
        let Some(team) = self.teams.get(name) else { return false };
        let fraction = share / f64::from(self.bounds.capacity.max(1));
        let room = (f64::from(self.bounds.queue) * fraction).max(1.0);
        self.waiting < self.bounds.queue && (team.waiting.len() as f64) < room
    }

    /// Estimates how long a new request of a team would wait, from the time between departures and
    /// the team's weight among the waiting teams.
    fn estimate_wait(&self, name: &str) -> Duration {
        let Some(departure_interval) = self.departure_interval else { return Duration::ZERO };
        let Some(team) = self.teams.get(name) else { return Duration::ZERO };
        let waiting = |team: &&Team| !team.waiting.is_empty();
        let total: f64 = self.teams.values().filter(waiting).map(|team| team.weight).sum();
        let fraction = team.weight / total.max(team.weight);
        Duration::from_secs_f64(
            (departure_interval * (team.waiting.len() + 1) as f64 / fraction).min(3_600.0),
        )
    }

    fn remove_idle_teams(&mut self, now: Duration) {
        self.teams.retain(|_, team| {
            let busy = team.in_flight > 0 || !team.waiting.is_empty();
            busy || now.saturating_sub(team.last_activity) < ACTIVE_PERIOD
        });
    }
}
