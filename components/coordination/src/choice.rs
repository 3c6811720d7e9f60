//! Selection of the backend server that serves a read.
//!
//! Designed for groups of three servers with a few slots each, of which one may be slow,
//! unresponsive, lagging or busy with writes, and for requests of very unequal length. Each
//! server is rated by its mean response time and by the requests that this host has pending
//! there.

use std::time::{Duration, Instant};

use crate::{Point, silence};

/// Number of answers over which the mean response time is smoothed: each answer moves the mean
/// by one eighth of the difference between them.
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

/// Minimum and maximum time for which a failing server is ejected; the time doubles with each
/// further failure.
const EJECTION_RANGE: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(2000));

/// Minimum and maximum time for which a server that lacked a position is skipped for reads that
/// require that position or a later one, unless the duration of its lag is known. The time
/// doubles with each refusal in a row: a typical lag is over after the first skip, and a lag of
/// seconds does not cost each read an attempt.
const LAG_SKIP_RANGE: (Duration, Duration) =
    (Duration::from_millis(60), Duration::from_millis(500));

/// Maximum time for which a server is skipped when the duration of its lag is known. The time
/// is bounded because the server may be promoted, or restart with all received records applied.
const MAX_LAG_SKIP: Duration = Duration::from_millis(1000);

/// Number of failures without an answer between them after which a server is ejected.
const EJECTION_FAILURES: u32 = 2;

/// Health of a backend server as observed by this host from its answers.
#[derive(Clone, Debug)]
pub struct Health {
    /// Smoothed response time in seconds.
    mean: f64,
    answers: silence::AnswerTracker,
    /// Failures since the last answer.
    failures: u32,
    /// End and length of the last ejection; none since the last answer.
    ejected: Option<(Instant, Duration)>,
    /// Position that the server lacked, with the end and length of the skip; none if the server
    /// had the position required last.
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

    /// Records the end of a request; `response_time` is none if the request ended without an
    /// answer. An answer ends the ejection of the server.
    pub fn end(&mut self, response_time: Option<Duration>, now: Instant) {
        self.answers.end(response_time.is_some(), now);
        if let Some(elapsed) = response_time {
            self.mean += (elapsed.as_secs_f64() - self.mean) / MEAN_SAMPLES;
            self.failures = 0;
            self.ejected = None;
        }
    }

    /// Records a failure that a healthy server would not cause. The second failure since the last
    /// answer, and each further one, ejects the server.
    pub fn fail(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= EJECTION_FAILURES {
            let (min, max) = EJECTION_RANGE;
            let length = self.ejected.map_or(min, |(_, length)| (length * 2).min(max));
            self.ejected = Some((now + length, length));
        }
    }

    /// Records that the server lacked the position `point`. `remaining` is the estimated time
    /// until reads on the server show the position; none if there is no estimate.
    ///
    /// The estimate limits the refusals of a replica that lags by seconds: retried every half
    /// second by each host for each read, the replica would refuse a hundred reads a second.
    pub fn mark_lagging(&mut self, point: Point, remaining: Option<Duration>, now: Instant) {
        let (min, max) = LAG_SKIP_RANGE;
        let doubled = self.lag.map_or(min, |(_, _, length)| (length * 2).min(max));
        let length = remaining.map_or(doubled, |remaining| remaining.clamp(min, MAX_LAG_SKIP));
        self.lag = Some((point, now + length, length));
    }

    /// Returns whether the server is still skipped for reads that require the position `need`.
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

    /// Time for which requests of this host have been pending at the server without any answer;
    /// zero while no request is pending.
    pub fn unanswered_for(&self, now: Instant) -> Duration {
        self.answers.unanswered_for(now)
    }

    /// Smoothed response time; that of a typical read, 35 ms, before the first answer.
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
    /// Whether an open connection to the server is available.
    pub connected: bool,
    /// Whether the server leads its group.
    pub leads: bool,
    /// Whether the server has just started and may get only a few requests a second.
    pub cold: bool,
    /// Number of statements that the server runs concurrently.
    pub slots: usize,
    /// Time that a statement would be queued at this host before it is sent.
    pub wait: Duration,
}

/// Returns the estimated cost of sending a read to the candidate.
///
/// While answers are overdue by more than the mean response time, the estimate grows with the
/// time without an answer, so that a server that stops answering soon gets no more reads.
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
/// Servers that are neither ejected nor skipped for lacking `need` come before the others. Both
/// parts list warm servers before cold ones, each by ascending cost. Ejected and skipped servers
/// are not left out: a failed attempt is better than refusing the request.
pub fn order(candidates: &[Candidate<'_>], need: Option<Point>, now: Instant) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|i| {
        let candidate = &candidates[*i];
        // The leader is never skipped for lag: it has every position.
        let fits = candidate.health.fits(need.filter(|_| !candidate.leads), now);
        (!fits, candidate.cold, cost(candidate, now))
    });
    order
}
