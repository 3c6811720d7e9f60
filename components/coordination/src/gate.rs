//! How many statements a host has under way at a server, and who waits.
//!
//! The load it answers: a group whose reads all come to its leader, because its
//! replicas are seconds behind, so that more is asked of it than its slots can
//! run. A server queues what comes, first come first served. With all connections
//! of all hosts in that queue each answer takes ten times its work, and all are
//! late. Here the queue stands at the hosts: each keeps as many statements under
//! way as the server answers without queueing long, lets the more urgent go first and
//! then what has the least time left, and refuses at once what would wait for too long.
//! In the order of coming, long reads whose callers can wait would take the slots of
//! short ones whose callers cannot, which are refused meanwhile.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// The first guess of an answer's time: a read's usual work.
const INITIAL_MEAN: f64 = 0.035;

/// How much a new answer moves the mean, as one part of so many.
const MEAN_SAMPLES: f64 = 12.0;

/// How much a mean above the base moves the base: it follows servers that have
/// become slower for good, not queues.
const BASELINE_SAMPLES: f64 = 4000.0;

/// Answers may take so many times the base before less is kept under way. Work is
/// unequal, so a mean of a dozen answers wanders by half; a queue as long as the
/// slots doubles it.
const CONGESTION_RATIO: f64 = 2.2;

/// The factor while answers take long, once for each round of answers.
const SHRINK_FACTOR: f64 = 0.8;

/// Statements under way at first. More grow within a second, if they are needed.
const INITIAL_LIMIT: f64 = 6.0;

/// Statements under way at the least. Several hosts with one each fill the slots.
const MIN_LIMIT: f64 = 1.0;

/// What waits: the urgent first, then what has the least time left, then in the order
/// of coming.
pub type QueueKey = (u32, Instant, u64);

/// A host's gate to one server.
#[derive(Clone, Debug)]
pub struct Gate {
    limit: f64,
    min_limit: f64,
    max_limit: f64,
    running: usize,
    mean: f64,
    baseline: f64,
    waiting: BTreeSet<QueueKey>,
    next_sequence: u64,
    /// Answers until the limit may shrink again: those under way when it shrank
    /// still show the longer queue.
    cooldown: f64,
}

/// How a statement is received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may be sent now; it counts as under way.
    Admitted,
    /// It waits in this place.
    Queued(QueueKey),
    /// It would wait too long; come back after this time.
    Refused(Duration),
}

impl Gate {
    /// A gate that keeps `max_limit` statements under way at most.
    pub fn new(max_limit: usize) -> Self {
        Self {
            limit: INITIAL_LIMIT.min(max_limit.max(1) as f64),
            min_limit: MIN_LIMIT,
            max_limit: max_limit.max(1) as f64,
            running: 0,
            mean: INITIAL_MEAN,
            baseline: INITIAL_MEAN,
            waiting: BTreeSet::new(),
            next_sequence: 0,
            cooldown: 0.0,
        }
    }

    /// Sets the least and the most that may be under way.
    ///
    /// A host that alone sends to a server keeps its slots filled at the least, however
    /// long answers take: fewer would leave slots idle while callers are refused.
    pub fn set_bounds(&mut self, min_limit: usize, max_limit: usize) {
        self.max_limit = max_limit.max(1) as f64;
        self.min_limit = (min_limit as f64).clamp(MIN_LIMIT, self.max_limit);
        self.limit = self.limit.clamp(self.min_limit, self.max_limit);
    }

    /// Statements under way.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Statements that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// How many may be under way now.
    pub fn limit(&self) -> usize {
        self.limit.max(self.min_limit) as usize
    }

    /// How long the next one of that priority would wait that may wait until then.
    pub fn wait(&self, priority: u32, deadline: Instant) -> Duration {
        if self.running < self.limit() && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let ahead = self.waiting.range(..=(priority, deadline, u64::MAX)).count() + 1;
        Duration::from_secs_f64(ahead as f64 * self.mean / self.limit.max(self.min_limit))
    }

    /// Receives a statement that may wait for `queue_timeout`; 0 is the most urgent priority.
    pub fn enter(&mut self, priority: u32, queue_timeout: Duration, now: Instant) -> Admission {
        let deadline = now + queue_timeout;
        let wait = self.wait(priority, deadline);
        if wait.is_zero() {
            self.running += 1;
            return Admission::Admitted;
        }
        if wait > queue_timeout {
            return Admission::Refused(wait);
        }
        let key = (priority, deadline, self.next_sequence);
        self.next_sequence += 1;
        self.waiting.insert(key);
        Admission::Queued(key)
    }

    /// A statement of an open transaction goes on: it holds a connection, and
    /// perhaps locks, until its transaction ends.
    pub fn go_on(&mut self) {
        self.running += 1;
    }

    /// Gives up a place.
    pub fn leave(&mut self, key: QueueKey) {
        self.waiting.remove(&key);
    }

    /// A statement is under way no more; `took` if it was answered.
    pub fn end(&mut self, took: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        let Some(took) = took else { return };
        self.mean += (took.as_secs_f64() - self.mean) / MEAN_SAMPLES;
        if self.mean < self.baseline {
            self.baseline = self.mean;
        } else {
            self.baseline += (self.mean - self.baseline) / BASELINE_SAMPLES;
        }
        self.cooldown -= 1.0;
        if self.mean > CONGESTION_RATIO * self.baseline {
            if self.cooldown <= 0.0 {
                self.limit = (self.limit * SHRINK_FACTOR).max(self.min_limit);
                self.cooldown = self.limit + MEAN_SAMPLES / 2.0;
            }
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max_limit);
        }
    }

    /// The next that may be sent, if there is room; it counts as under way.
    pub fn next(&mut self, now: Instant) -> Option<QueueKey> {
        self.waiting.retain(|(_, deadline, _)| *deadline > now);
        if self.running >= self.limit() {
            return None;
        }
        let key = self.waiting.pop_first()?;
        self.running += 1;
        Some(key)
    }
}
