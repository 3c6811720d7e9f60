//! What is counted while a load runs.

use std::collections::BTreeMap;

use bergamottrack_contract::ClientAccount;
use hdrhistogram::Histogram;

use super::caller::Outcome;

/// The longest latency told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The SQLSTATE of a refusal for rate.
pub const OVER_RATE: &str = "53400";

/// An empty histogram of microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("bounds that hdrhistogram accepts")
}

/// A contract's rate and burst, as one bucket for all hosts would keep it.
#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: f64,
}

impl Bucket {
    fn new(account: &ClientAccount) -> Self {
        let (rate, burst) = (account.rate.0, account.burst.0);
        Self { rate, burst, level: burst, at: 0.0 }
    }

    fn advance(&mut self, at: f64) {
        self.level = (self.level + (at - self.at).max(0.0) * self.rate).min(self.burst);
        self.at = self.at.max(at);
    }
}

/// What is counted of one client account.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests offered.
    pub offered: u64,
    /// Requests that one bucket for all hosts would have admitted.
    pub entitled: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused, by SQLSTATE.
    pub refused: BTreeMap<Box<str>, u64>,
    /// Refused for rate although one bucket for all hosts would have admitted them.
    pub wrongful: u64,
    /// The most that was served beyond rate and burst, at any time.
    pub overshoot: f64,
    /// Reads that lacked a write that their session was told of.
    pub stale: u64,
    /// Latencies of what was served, in microseconds from the planned time.
    pub latency: Histogram<u64>,
    entitlement: Bucket,
    consumption: Bucket,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When it was due, in seconds since the load began.
    pub due: f64,
    /// When its answer came.
    pub done: f64,
    /// What became of it.
    pub outcome: Outcome,
}

impl Tally {
    /// Nothing counted yet.
    pub fn new(account: &ClientAccount) -> Self {
        Self {
            offered: 0,
            entitled: 0,
            served: 0,
            refused: BTreeMap::new(),
            wrongful: 0,
            overshoot: 0.0,
            stale: 0,
            latency: histogram(),
            entitlement: Bucket::new(account),
            consumption: Bucket::new(account),
        }
    }

    /// Counts a request; they come in the order in which they were due.
    pub fn count(&mut self, sample: &Sample) {
        self.offered += 1;
        self.entitlement.advance(sample.due);
        let entitled = self.entitlement.level >= 1.0;
        if entitled {
            self.entitlement.level -= 1.0;
            self.entitled += 1;
        }
        match &sample.outcome {
            Outcome::Served { stale } => {
                self.served += 1;
                self.stale += u64::from(*stale);
                // It was admitted between the two: counted with what is due by its
                // answer, an overshoot that is seen is one for sure.
                self.consumption.advance(sample.done);
                self.consumption.level -= 1.0;
                self.overshoot = self.overshoot.max(-self.consumption.level);
                let micros = ((sample.done - sample.due) * 1e6) as u64;
                self.latency.saturating_record(micros.max(1));
            }
            Outcome::Refused(code) => {
                *self.refused.entry(code.clone()).or_default() += 1;
                self.wrongful += u64::from(entitled && &**code == OVER_RATE);
            }
        }
    }
}
