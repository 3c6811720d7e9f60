//! Tokens of an account's rate that are reserved for its urgent requests.
//!
//! Handles an account that sends several times its rate, with requests of several priorities. If
//! tokens were granted in order of arrival, urgent requests would be refused as often as the others.
//!
//! While an account is short of tokens, each priority but the most urgent is granted a token only if
//! the bucket holds more than the *reserve* of the more urgent ones. All hosts compute the reserve
//! from the same bucket level, so no report of the demand by priority is needed. No token is wasted:
//! the level settles at the reserve of the least urgent priority that still gets tokens, and
//! everything above it is granted. Each priority has a small minimum part of the rate.
//!
//! Without a recent shortage nothing is reserved: an account that never exceeds its rate and burst
//! is not affected.

use std::time::{Duration, Instant};

/// Fraction of the bucket's maximum level that is reserved against the least urgent priority, if
/// there are very many. It covers the requests of the urgent priorities within a report interval.
const RESERVED_FRACTION: f64 = 0.4;

/// Part of the rate that all priorities but the most urgent get together when the urgent requests
/// alone use the whole rate.
const MIN_PART: f64 = 0.05;

/// Time since the last shortage after which nothing is reserved. Longer than the interval at which
/// hosts learn the level of the bucket, so that reserves do not come and go within a second.
const SHORTAGE_TTL: Duration = Duration::from_secs(2);

/// Maximum time after which a refused caller is asked to return: after it, the load has changed.
pub const MAX_RETURN_DELAY: Duration = Duration::from_secs(5);

/// Urgency of a request among the priorities that the configuration uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Urgency {
    /// Number of more urgent priorities; less than `count`, or 0.
    pub rank: usize,
    /// Number of priorities.
    pub count: usize,
}

impl Urgency {
    /// Returns the urgency of `priority` among the priorities in ascending order; 0 is the most
    /// urgent. A priority that is not among them ranks by its number.
    pub fn new(priority: u32, priorities: &[u32]) -> Self {
        let rank = priorities.partition_point(|other| *other < priority);
        Self { rank: rank.min(priorities.len().saturating_sub(1)), count: priorities.len() }
    }

    /// Returns the fraction of the bucket's maximum level that is reserved against the request.
    fn reserved(self) -> f64 {
        RESERVED_FRACTION * self.rank as f64 / self.count.max(1) as f64
    }
}

/// State of one bucket at one host.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// Tokens that the host may grant.
    pub available: f64,
    /// Tokens that the host may grant of a full bucket.
    pub capacity: f64,
    /// Tokens per second that the host may grant.
    pub fill_rate: f64,
}

/// Decision on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The request gets a token.
    Granted,
    /// The bucket has no token.
    Empty,
    /// The remaining tokens are reserved for more urgent requests.
    Reserved,
}

/// Requests of one priority.
#[derive(Clone, Copy, Debug)]
struct Class {
    /// Tokens of the minimum part that have accrued; at most 1.
    minimum: f64,
    /// Time at which the last refused caller is expected to return.
    last_return: Instant,
}

/// Reserves of one account at one host.
#[derive(Clone, Debug)]
pub struct Reserve {
    /// Time of the last request that the bucket could not serve.
    shortage: Option<Instant>,
    /// Time up to which the minimum parts have accrued.
    updated: Instant,
    /// State by rank; has an entry for every rank that occurred.
    classes: Vec<Class>,
}

impl Reserve {
    /// Creates the state of an account without a shortage.
    pub fn new(now: Instant) -> Self {
        Self { shortage: None, updated: now, classes: Vec::new() }
    }

    /// Returns whether tokens are reserved.
    pub fn is_active(&self, now: Instant) -> bool {
        self.shortage.is_some_and(|at| now.saturating_duration_since(at) < SHORTAGE_TTL)
    }

    /// Decides on a request.
    pub fn decide(&mut self, urgency: Urgency, bucket: Bucket, now: Instant) -> Decision {
        self.accrue(urgency.count, bucket.fill_rate, now);
        if bucket.available < 1.0 {
            self.shortage = Some(now);
            return Decision::Empty;
        }
        if !self.is_active(now) || bucket.available - urgency.reserved() * bucket.capacity >= 1.0 {
            return Decision::Granted;
        }
        self.shortage = Some(now);
        let class = &mut self.classes[urgency.rank];
        if class.minimum >= 1.0 {
            class.minimum -= 1.0;
            return Decision::Granted;
        }
        Decision::Reserved
    }

    /// Returns the time after which a caller that was refused is to return. Callers of one priority
    /// get successive times at which tokens accrue, so that they do not all return at once.
    pub fn next_return(&mut self, urgency: Urgency, bucket: Bucket, now: Instant) -> Duration {
        self.accrue(urgency.count, bucket.fill_rate, now);
        let class = &mut self.classes[urgency.rank];
        let missing = 1.0 + urgency.reserved() * bucket.capacity - bucket.available;
        let interval = tokens_in(1.0, bucket.fill_rate);
        let first = now + tokens_in(missing.max(0.0), bucket.fill_rate);
        let next = first.max(class.last_return + interval);
        class.last_return = next.min(now + MAX_RETURN_DELAY);
        class.last_return.saturating_duration_since(now)
    }

    fn accrue(&mut self, count: usize, fill_rate: f64, now: Instant) {
        let len = self.classes.len().max(count).max(1);
        self.classes.resize(len, Class { minimum: 0.0, last_return: now });
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        let part = MIN_PART / (count.max(2) - 1) as f64;
        for class in &mut self.classes {
            class.minimum = (class.minimum + part * fill_rate * elapsed).min(1.0);
        }
    }
}

/// Returns the time in which tokens accrue, at most [`MAX_RETURN_DELAY`].
fn tokens_in(tokens: f64, fill_rate: f64) -> Duration {
    let time = Duration::try_from_secs_f64(tokens / fill_rate.max(f64::MIN_POSITIVE));
    time.unwrap_or(MAX_RETURN_DELAY).min(MAX_RETURN_DELAY)
}
