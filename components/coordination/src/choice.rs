//! Selection of the backend server that serves a read.
//!
//! Designed for groups of three servers with a few slots each, of which one may be slow,
//! unresponsive, lagging or busy with writes, and for requests of very unequal length. Each
//! server is rated by its mean response time and by the requests that this host has pending
//! there.

use std::time::{Duration, Instant};

use crate::{Point, silence};

/// Number of answers over which the mean response time is smoothed: each answer moves it by
/// one part in this many.
const MEAN_SAMPLES: f64 = 8.0;

/// Response time assumed before the first answer: that of a typical read.
const INITIAL_MEAN: Duration = Duration::from_millis(35);

/// Cost added for a server in another failure domain. The round trip is only 2 ms longer,
/// but traffic between failure domains is expensive, and callers expect latencies of several
/// hundred milliseconds.
const REMOTE_COST: Duration = Duration::from_millis(25);

/// Cost added for a server that needs a new connection: opening one takes a slot for 12 ms.
const CONNECT_COST: Duration = Duration::from_millis(14);

/// Factor on the cost of reading from the leader: its slots are needed for writes, which no
/// other server can run.
const LEADER_FACTOR: f64 = 1.5;

/// Shortest and longest time for which a failing server is ejected.
const EJECTION_RANGE: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(2000));

/// Shortest and longest time for which a server that lacked a position is skipped for reads
/// that require that position or a later one. The time doubles with each lag in a row: a
/// typical lag is over after the first, and a lag of seconds does not cost each read an
/// attempt.
const LAG_SKIP_RANGE: (Duration, Duration) =
    (Duration::from_millis(60), Duration::from_millis(500));

/// Longest time for which a server is skipped when its lag is known. It is bounded because
/// the server may be promoted, or restart with all that it received applied.
const MAX_LAG_SKIP: Duration = Duration::from_millis(1000);

/// Consecutive failures after which a server is ejected.
const EJECTION_FAILURES: u32 = 2;

/// Health of a backend server as observed by this host from its answers.
#[derive(Clone, Debug)]
pub struct Health {
    /// Smoothed response time in seconds.
    mean: f64,
    answers: silence::AnswerTracker,
    /// Consecutive failures.
    failures: u32,
    /// End and length of the current ejection.
    ejected: Option<(Instant, Duration)>,
    /// Position that the server lacked, with the end and length of the skip.
    lag: Option<(Point, Instant, Duration)>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            mean: INITIAL_MEAN.as_secs_f64(),
            answers: silence::AnswerTracker::default(),
            failures: 0,
            ejected: None,
            lag: None,
        }
    }
}

impl Health {
    /// Records that a request was sent.
    pub fn begin(&mut self, now: Instant) {
        self.answers.begin(now);
    }

    /// Records the end of a request; `answered` is the response time, or none if the request
    /// ended without an answer.
    pub fn end(&mut self, answered: Option<Duration>, now: Instant) {
        self.answers.end(answered.is_some(), now);
        if let Some(elapsed) = answered {
            self.mean += (elapsed.as_secs_f64() - self.mean) / MEAN_SAMPLES;
            self.failures = 0;
            self.ejected = None;
        }
    }

    /// Records a failure that a healthy server would not cause.
    pub fn fail(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= EJECTION_FAILURES {
            let (first, most) = EJECTION_RANGE;
            let last = self.ejected.map_or(first, |(_, last)| (last * 2).min(most));
            self.ejected = Some((now + last, last));
        }
    }

    /// Records that the server lacked the position `point`. `missing` is the estimated time
    /// until its reads show the position, if known.
    ///
    /// The estimate limits the refusals of a replica that lags by seconds: retried every half
    /// second by each host for each read, it would refuse a hundred reads a second.
    pub fn mark_lagging(&mut self, point: Point, missing: Option<Duration>, now: Instant) {
        let (first, most) = LAG_SKIP_RANGE;
        let doubled = self.lag.map_or(first, |(_, _, last)| (last * 2).min(most));
        let last = missing.map_or(doubled, |missing| missing.clamp(first, MAX_LAG_SKIP));
        self.lag = Some((point, now + last, last));
    }

    /// Returns whether the server is still skipped for lacking the position `need`.
    pub fn lacks(&self, need: Point, now: Instant) -> bool {
        self.lag.is_some_and(|(point, until, _)| need >= point && now < until)
    }

    /// Records that the server had the required position.
    pub fn clear_lag(&mut self) {
        self.lag = None;
    }

    /// Number of requests from this host that the server has not answered yet.
    pub fn running(&self) -> usize {
        self.answers.running()
    }

    /// How long the server has left requests of this host without any answer; zero while
    /// none is pending.
    pub fn unanswered_for(&self, now: Instant) -> Duration {
        self.answers.unanswered_for(now)
    }

    /// Mean response time.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns whether the server is neither ejected nor skipped for lacking `need`.
    fn fits(&self, need: Option<Point>, now: Instant) -> bool {
        let ejected = self.ejected.is_some_and(|(until, _)| now < until);
        !ejected && !need.is_some_and(|need| self.lacks(need, now))
    }
}

/// A backend server that may serve a read.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Health of the server.
    pub health: &'a Health,
    /// Whether the server is in the failure domain of this host.
    pub same_domain: bool,
    /// Whether an open connection is available.
    pub connected: bool,
    /// Whether the server leads its group.
    pub leads: bool,
    /// Whether the server has just started and may get only a few requests a second.
    pub cold: bool,
    /// Statements that the server runs concurrently.
    pub slots: usize,
    /// Time that a statement would be queued at this host before it is sent.
    pub wait: Duration,
}

/// Returns the estimated cost of sending a read to the candidate.
///
/// An overdue answer raises the estimate while it is pending, so that a server that stops
/// answering gets no more reads after one mean response time.
pub fn cost(candidate: &Candidate<'_>, now: Instant) -> Duration {
    let health = candidate.health;
    let mean = health.mean.max(health.unanswered_for(now).as_secs_f64());
    let load = 1.0 + health.running() as f64 / candidate.slots.max(1) as f64;
    let leader = if candidate.leads { LEADER_FACTOR } else { 1.0 };
    let mut cost = Duration::from_secs_f64(mean * load * leader) + candidate.wait;
    if !candidate.same_domain {
        cost += REMOTE_COST;
    }
    if !candidate.connected {
        cost += CONNECT_COST;
    }
    cost
}

/// Returns the indices of the candidates in the order in which to try them.
///
/// Servers that are neither ejected nor lagging come first, within them warm servers before
/// cold ones, then by cost. Unfit servers come last rather than being left out: a failed
/// attempt is better than refusing the request.
pub fn order(candidates: &[Candidate<'_>], need: Option<Point>, now: Instant) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|i| {
        let candidate = &candidates[*i];
        // The leader has every position.
        let fits = candidate.health.fits(need.filter(|_| !candidate.leads), now);
        (!fits, candidate.cold, cost(candidate, now))
    });
    order
}
