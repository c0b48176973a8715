//! Shares of an entry's capacity between teams, without a central counter.
//!
//! Each entry divides its own capacity between the teams that are active at it. A team may use
//! what others leave, but a reserve is kept for teams below their share, so that a team which
//! comes back finds room at once.

use filberttrail_kernel::id::TeamName;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The part of the capacity that teams above their share leave free.
const RESERVE_FRACTION: f64 = 0.1;
/// How long a team without requests counts as active.
const ACTIVE_PERIOD: Duration = Duration::from_secs(5);
/// The smoothing of the time between departures.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Names a request that waits.
pub type Ticket = u64;

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It goes on at once.
    Admit,
    /// It waits for its ticket.
    Wait(Ticket),
    /// It is refused, and may come back after this time.
    Refuse(Duration),
}

/// The bounds of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Requests in flight.
    pub capacity: u32,
    /// Requests that wait.
    pub queue: u32,
    /// The longest wait.
    pub wait: Duration,
}

#[derive(Debug, Clone, Default)]
struct Team {
    weight: f64,
    in_flight: u32,
    waiting: VecDeque<(Ticket, Duration)>,
    last_activity: Duration,
}

/// The shares at one entry.
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
    /// Starts with nobody.
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

    /// Changes the bounds; requests in flight stay.
    pub fn configure(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Decides on a request that arrives.
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

    /// Notes that a request of a team has ended; returns the tickets that go on.
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

    /// Takes a waiting request out; `false` if it is not waiting any more.
    pub fn cancel(&mut self, name: &str, ticket: Ticket) -> bool {
        let Some(team) = self.teams.get_mut(name) else { return false };
        let count = team.waiting.len();
        team.waiting.retain(|(waiting, _)| *waiting != ticket);
        let removed = count > team.waiting.len();
        self.waiting -= u32::from(removed);
        removed
    }

    /// Returns the requests in flight and waiting.
    pub fn usage(&self) -> (u32, u32) {
        (self.in_flight, self.waiting)
    }

    /// Returns a team's part of the capacity among the active teams.
    pub fn share(&self, name: &str, now: Duration) -> f64 {
        let active = |team: &&Team| {
            team.in_flight > 0
                || !team.waiting.is_empty()
                || now.saturating_sub(team.last_activity) < ACTIVE_PERIOD
        };
        let total: f64 = self.teams.values().filter(active).map(|team| team.weight).sum();
        let weight = self.teams.get(name).map_or(1.0, |team| team.weight);
        // Even a lone team leaves the reserve to one that comes back.
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

    /// Lets waiting requests go on, teams furthest below their share first.
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

    /// Estimates the wait of a new request of a team from the pace of departures.
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
