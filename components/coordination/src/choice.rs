//! Which server of a group a read goes to.
//!
//! The load it answers: three servers of a few slots each, of which one may be
//! slow, silent, far behind or busy with writes, and requests of very unequal
//! length. Each server is judged by its own answers: the mean time they took,
//! and what this host still waits for.

use std::time::{Duration, Instant};

use crate::{Point, silence};

/// How much a new answer moves the mean, as one part of so many.
const MEAN_OVER: f64 = 8.0;

/// The first guess of an answer's time: a read's usual work.
const FIRST_GUESS: Duration = Duration::from_millis(35);

/// What a server in another failure domain is charged. The way there and back is
/// only 2 ms longer, but bytes between failure domains are dear, and callers aim
/// at latencies of several hundred milliseconds.
const FAR: Duration = Duration::from_millis(25);

/// What a server is charged that needs a new connection: it takes a slot for 12 ms.
const NEW_CONNECTION: Duration = Duration::from_millis(14);

/// What the leader is charged for a read: its slots are needed for writes, which
/// no other server can run.
const LEADER: f64 = 1.5;

/// How long a server that failed a request gets none, at first and at most.
const EJECTED: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(2000));

/// How long a server that lacked a position is passed over for that position or a
/// later one, at first and at most; twice as long each time in a row. A usual lag
/// is over after the first, and one of seconds does not cost each read a try.
const BEHIND_FOR: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(500));

/// How long a server is passed over that said where it stands: it may be promoted, or
/// start again with all that it received.
const LACKS_FOR: Duration = Duration::from_millis(1000);

/// Failures in a row that eject a server.
const FAILURES: u32 = 2;

/// What a host knows of a server by its answers.
#[derive(Clone, Debug)]
pub struct Health {
    mean: f64,
    silence: silence::AnswerTracker,
    failures: u32,
    ejected: Option<(Instant, Duration)>,
    /// A position that it lacked, until when it is passed over, and for how long.
    lacked: Option<(Point, Instant, Duration)>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            mean: FIRST_GUESS.as_secs_f64(),
            silence: silence::AnswerTracker::default(),
            failures: 0,
            ejected: None,
            lacked: None,
        }
    }
}

impl Health {
    /// A request is sent.
    pub fn begin(&mut self, now: Instant) {
        self.silence.begin(now);
    }

    /// A request has ended: with an answer after `took`, or without one.
    pub fn end(&mut self, answered: Option<Duration>, now: Instant) {
        self.silence.end(answered.is_some(), now);
        if let Some(took) = answered {
            self.mean += (took.as_secs_f64() - self.mean) / MEAN_OVER;
            self.failures = 0;
            self.ejected = None;
        }
    }

    /// Something failed that a sound server would not have failed.
    pub fn fail(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURES {
            let (first, most) = EJECTED;
            let last = self.ejected.map_or(first, |(_, last)| (last * 2).min(most));
            self.ejected = Some((now + last, last));
        }
    }

    /// It lacked a position. `missing` is how far it is expected to be from showing it, if
    /// that is known.
    ///
    /// A replica that is seconds behind shows in each refusal where it stands; asked again
    /// every half second by each host for each read, it refuses a hundred a second.
    pub fn behind(&mut self, point: Point, missing: Option<Duration>, now: Instant) {
        let (first, most) = BEHIND_FOR;
        let doubled = self.lacked.map_or(first, |(_, _, last)| (last * 2).min(most));
        let last = missing.map_or(doubled, |missing| missing.clamp(first, LACKS_FOR));
        self.lacked = Some((point, now + last, last));
    }

    /// Whether it is known to lack a position still.
    pub fn lacks(&self, need: Point, now: Instant) -> bool {
        self.lacked.is_some_and(|(point, until, _)| need >= point && now < until)
    }

    /// It had the position that it was asked for.
    pub fn clear_lag(&mut self) {
        self.lacked = None;
    }

    /// Requests that run there for this host.
    pub fn running(&self) -> usize {
        self.silence.running()
    }

    /// How long it has owed an answer without giving any.
    pub fn unanswered_for(&self, now: Instant) -> Duration {
        self.silence.lasts(now)
    }

    /// The mean time of its answers.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Whether it may be asked for a log that reaches `need`.
    fn fits(&self, need: Option<Point>, now: Instant) -> bool {
        let ejected = self.ejected.is_some_and(|(until, _)| now < until);
        !ejected && !need.is_some_and(|need| self.lacks(need, now))
    }
}

/// A server that a read may go to.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// What is known of it.
    pub health: &'a Health,
    /// Whether it stands in the host's own failure domain.
    pub same_domain: bool,
    /// Whether a connection waits.
    pub connected: bool,
    /// Whether it leads the group.
    pub leads: bool,
    /// Whether it may get only a few requests a second, having just started.
    pub cold: bool,
    /// Statements that it runs at once.
    pub slots: usize,
    /// How long a statement would wait at this host before it is sent.
    pub wait: Duration,
}

/// What sending a read there is expected to cost.
///
/// An answer that is overdue raises the estimate while it is still awaited: a
/// server that has gone silent loses its reads within one mean answer.
pub fn cost(candidate: &Candidate<'_>, now: Instant) -> Duration {
    let health = candidate.health;
    let mean = health.mean.max(health.unanswered_for(now).as_secs_f64());
    let share = 1.0 + health.running() as f64 / candidate.slots.max(1) as f64;
    let lead = if candidate.leads { LEADER } else { 1.0 };
    let mut cost = Duration::from_secs_f64(mean * share * lead) + candidate.wait;
    if !candidate.same_domain {
        cost += FAR;
    }
    if !candidate.connected {
        cost += NEW_CONNECTION;
    }
    cost
}

/// The places of the candidates in the order in which to try them: those that
/// fit first, warm ones before cold ones, by cost. Those that do not fit come last,
/// since a server is better asked in vain than a request refused.
pub fn order(candidates: &[Candidate<'_>], need: Option<Point>, now: Instant) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|i| {
        let candidate = &candidates[*i];
        // The leader lacks nothing.
        let fits = candidate.health.fits(need.filter(|_| !candidate.leads), now);
        (!fits, candidate.cold, cost(candidate, now))
    });
    order
}
