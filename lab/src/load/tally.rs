//! Counts of requests by client account.

use std::collections::BTreeMap;

use bergamottrack_contract::ClientAccount;
use hdrhistogram::Histogram;

use super::caller::Outcome;

/// Maximum latency that the histogram records, in microseconds; longer ones are clamped.
const MAX_LATENCY_US: u64 = 60_000_000;

/// SQLSTATE of a refusal for rate.
pub const OVER_RATE: &str = "53400";

/// Creates an empty histogram of latencies in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("bounds that hdrhistogram accepts")
}

/// Token bucket with the rate and burst of a contract, shared by all hosts.
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

/// Counts of one client account.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests offered.
    pub offered: u64,
    /// Requests that a single token bucket shared by all hosts would have admitted.
    pub entitled: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused, by SQLSTATE.
    pub refused: BTreeMap<Box<str>, u64>,
    /// Requests refused for rate although a single token bucket shared by all hosts would
    /// have admitted them.
    pub wrongful: u64,
    /// Greatest number of requests served beyond rate and burst at any time.
    pub overshoot: f64,
    /// Reads that lack a write acknowledged to their session.
    pub stale: u64,
    /// Latencies of served requests in microseconds, from the time they were due.
    pub latency: Histogram<u64>,
    entitlement: Bucket,
    consumption: Bucket,
}

/// Times and outcome of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time at which it was due, in seconds since the start of the load.
    pub due: f64,
    /// Time of its answer, in seconds since the start of the load.
    pub done: f64,
    /// Outcome of the request.
    pub outcome: Outcome,
}

impl Tally {
    /// Creates an empty tally.
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

    /// Counts a request; requests must be passed in the order in which they were due.
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
                // The request was admitted at some time from `due` to `done`. Refilling the
                // bucket up to `done` ensures that any overshoot found is a real one.
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
