//! Adaptive concurrency limit of one host's statements at one server, with a priority
//! queue.
//!
//! Guards against overload of a leader that serves all reads of its group because its
//! replicas are seconds behind, so that the load exceeds the leader's slots. A server runs
//! statements in order of arrival. With all connections of all hosts in the server's queue,
//! each answer would take ten times its execution time and all answers would be late. The
//! queue is therefore kept at the hosts: each host limits its statements in flight to the
//! number that the server answers without long queueing, sends queued statements by
//! priority and then by earliest queue deadline, and refuses statements at once whose wait
//! would exceed their queue timeout. In order of arrival, long reads with long queue
//! timeouts would take the slots of short reads with short queue timeouts, and the short
//! reads would be refused.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Initial mean answer time in seconds: a usual read.
const INITIAL_MEAN: f64 = 0.035;

/// Smoothing of the mean answer time: inverse of the weight of each new answer.
const MEAN_SAMPLES: f64 = 12.0;

/// Smoothing of the baseline while the mean is above it: inverse of the weight of each new
/// answer. The baseline adapts to servers that have become permanently slower, but not to
/// queues.
const BASELINE_SAMPLES: f64 = 4000.0;

/// Ratio of mean to baseline above which the limit shrinks. Execution times vary, so the
/// mean of a dozen answers varies by half; a queue as long as the slots doubles it.
const CONGESTION_RATIO: f64 = 2.2;

/// Factor applied to the limit, at most once per round of answers, while answers are slow.
const SHRINK_FACTOR: f64 = 0.8;

/// Initial limit. If the load requires more statements in flight, the limit grows within a
/// second.
const INITIAL_LIMIT: f64 = 6.0;

/// Minimum limit unless set by [`Gate::set_bounds`]. Several hosts with one statement each
/// fill the slots.
const MIN_LIMIT: f64 = 1.0;

/// Sort key of a queued statement: priority (0 is the most urgent), queue deadline, arrival
/// sequence number.
pub type QueueKey = (u32, Instant, u64);

/// Concurrency limiter of one host for one server, with the queue of statements above the
/// limit.
#[derive(Clone, Debug)]
pub struct Gate {
    limit: f64,
    min_limit: f64,
    max_limit: f64,
    /// Statements in flight; may exceed `limit` by statements of open transactions.
    running: usize,
    /// Moving mean of the answer time, in seconds.
    mean: f64,
    /// Estimated answer time without queueing at the server, in seconds.
    baseline: f64,
    waiting: BTreeSet<QueueKey>,
    next_sequence: u64,
    /// Number of answers until the limit may shrink again: statements that were in flight
    /// when the limit shrank still reflect the longer queue.
    cooldown: f64,
}

/// Outcome of [`Gate::enter`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The statement may be sent now and counts as in flight.
    Admitted,
    /// The statement is queued under this key.
    Queued(QueueKey),
    /// The estimated wait exceeds the queue timeout; retry after this time.
    Refused(Duration),
}

impl Gate {
    /// Creates a gate with at most `max_limit` (at least 1) statements in flight.
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

    /// Sets the minimum and maximum limit.
    ///
    /// The only host that sends to a server needs a minimum that keeps the server's slots
    /// filled, however long answers take: with fewer statements in flight, slots would be
    /// idle while callers are refused.
    pub fn set_bounds(&mut self, min_limit: usize, max_limit: usize) {
        self.max_limit = max_limit.max(1) as f64;
        self.min_limit = (min_limit as f64).clamp(MIN_LIMIT, self.max_limit);
        self.limit = self.limit.clamp(self.min_limit, self.max_limit);
    }

    /// Returns the number of statements in flight.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of queued statements.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the current limit.
    pub fn limit(&self) -> usize {
        self.limit.max(self.min_limit) as usize
    }

    /// Estimates the wait of a new statement with this priority and queue deadline; zero if
    /// it would be admitted at once.
    pub fn wait(&self, priority: u32, deadline: Instant) -> Duration {
        if self.running < self.limit() && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let ahead = self.waiting.range(..=(priority, deadline, u64::MAX)).count() + 1;
        Duration::from_secs_f64(ahead as f64 * self.mean / self.limit.max(self.min_limit))
    }

    /// Admits, queues or refuses a statement that may wait for `queue_timeout`; 0 is the
    /// most urgent priority.
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

    /// Admits a statement of an open transaction regardless of the limit: the transaction
    /// holds a connection, and possibly locks, until it ends.
    pub fn force(&mut self) {
        self.running += 1;
    }

    /// Removes a statement from the queue.
    pub fn leave(&mut self, key: QueueKey) {
        self.waiting.remove(&key);
    }

    /// Ends a statement in flight and adapts the limit to its answer time `took`; `None` if
    /// the statement was not answered, which leaves the limit unchanged.
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

    /// Drops statements whose queue deadline has passed and, if the limit allows it,
    /// dequeues the next statement, which then counts as in flight.
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
