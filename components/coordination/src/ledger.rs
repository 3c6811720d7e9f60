//! One account's token bucket at one host, and its state as last reported to other hosts.

use std::time::{Duration, Instant};

use crate::{Burst, Rate, reserve::Reserve};

/// Time constant of the exponential decay of demand.
pub const DEMAND_DECAY: Duration = Duration::from_millis(2000);

/// Fraction of the tolerance that hosts use deliberately. The rest covers admissions of
/// a host that failed before it reported them, and differing clocks.
const TOLERANCE_USED: f64 = 0.5;

/// Initial level of a bucket when its host starts, as a fraction of the tolerance that hosts
/// do not use deliberately. The sum of 0.6 and the admissions that hosts have not reported
/// yet, in the same unit, stays below 1.
const INITIAL_FRACTION: f64 = 0.6;

/// Maximum excess over an account's rate and burst, over the whole fleet.
///
/// Hosts use part of the tolerance deliberately: with the bare rate, a host refuses requests
/// that a single bucket for all hosts would have admitted, whenever requests arrive at the
/// hosts unevenly while their tokens accrue evenly.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Relative excess, as a fraction of the rate and the burst.
    pub overage: f64,
    /// Absolute excess, in requests per window.
    pub slack: f64,
    /// Window over which the excess is measured.
    pub window: Duration,
}

impl Tolerance {
    /// Returns the initial level, in tokens, of a bucket whose previous level is unknown.
    pub fn start(&self, rate: Rate, burst: Burst) -> f64 {
        let overage_tokens = self.overage * (rate.0 * self.window.as_secs_f64() + burst.0);
        INITIAL_FRACTION * (1.0 - TOLERANCE_USED) * (overage_tokens + self.slack)
    }
}

/// Exponentially decaying measure of a request rate.
#[derive(Clone, Debug)]
pub struct Meter {
    rate: f64,
    updated: Instant,
    /// Time constant of the decay.
    decay: Duration,
}

impl Meter {
    /// Creates a measure of no requests that decays with the time constant `decay`.
    pub fn new(decay: Duration, now: Instant) -> Self {
        Self { rate: 0.0, updated: now, decay }
    }

    /// Returns the rate at `now`, in requests per second.
    pub fn decayed(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        self.rate * (-elapsed.as_secs_f64() / self.decay.as_secs_f64()).exp()
    }

    /// Records a request.
    pub fn add(&mut self, now: Instant) {
        self.raise(1.0 / self.decay.as_secs_f64(), now);
    }

    /// Adds `rate` requests per second that were observed elsewhere.
    pub fn raise(&mut self, rate: f64, now: Instant) {
        self.rate = self.decayed(now) + rate;
        self.updated = now;
    }
}

/// State of one account at this host.
#[derive(Debug)]
pub struct Ledger {
    /// Tokens per second over all hosts.
    pub rate: Rate,
    /// Maximum number of accumulated tokens over all hosts.
    pub burst: Burst,
    /// Requests received by this host.
    pub requests: Meter,
    /// Rate of `requests` that was last reported to the other hosts, in requests per
    /// second.
    pub reported: f64,
    /// Rate of requests, in requests per second, of the hosts that have changed to this host since
    /// the last report.
    pub arrived: f64,
    /// Requests admitted since the process started.
    pub admitted: u64,
    /// Number of admitted requests that were reported to the other hosts; at most
    /// `admitted`.
    pub admitted_reported: u64,
    /// Tokens remaining for this side of the fleet, which is this host and the hosts in
    /// contact with it, according to all reports. May be negative.
    pub level: f64,
    /// Time up to which `level` has been filled.
    pub updated: Instant,
    /// Part of the rate, from 0 to 1, that this side had at `updated`.
    pub side: f64,
    /// Tokens reserved for urgent requests.
    pub reserve: Reserve,
}

impl Ledger {
    /// Creates the state of an account whose bucket level is unknown.
    pub fn new(rate: Rate, burst: Burst, tolerance: &Tolerance, now: Instant) -> Self {
        Self {
            rate,
            burst,
            requests: Meter::new(DEMAND_DECAY, now),
            reported: 0.0,
            arrived: 0.0,
            admitted: 0,
            admitted_reported: 0,
            level: tolerance.start(rate, burst),
            updated: now,
            side: 1.0,
            reserve: Reserve::new(now),
        }
    }

    /// Returns the fill rate of this side in tokens per second.
    pub fn fill_rate(&self, tolerance: &Tolerance) -> f64 {
        let factor = 1.0 + TOLERANCE_USED * tolerance.overage;
        (self.rate.0 * self.side * factor).max(f64::MIN_POSITIVE)
    }

    /// Returns the maximum level of this side in tokens.
    pub fn max_level(&self, tolerance: &Tolerance) -> f64 {
        (self.burst.0 + TOLERANCE_USED * tolerance.slack) * self.side
    }

    /// Fills the bucket up to `now`. When `side` shrinks, reduces the level in proportion:
    /// the rest is left to the hosts that are no longer reachable.
    pub fn fill(&mut self, tolerance: &Tolerance, side: f64, now: Instant) {
        if side < self.side {
            self.level *= side / self.side;
        }
        self.side = side;
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.level =
            (self.level + elapsed * self.fill_rate(tolerance)).min(self.max_level(tolerance));
        self.updated = now;
    }

    /// Limits the level to a fraction of its maximum, from 0 to 1.
    pub fn cap(&mut self, tolerance: &Tolerance, fraction: f64) {
        self.level = self.level.min(fraction * self.max_level(tolerance));
    }

    /// Removes tokens for admitted requests. The level has a lower bound of minus one burst
    /// (of at least one token). Excess admissions, reported by a host that reconnects,
    /// therefore count against the account for no longer than the bucket takes to fill by one
    /// burst.
    pub fn spend(&mut self, tokens: f64) {
        self.level = (self.level - tokens).max(-self.burst.0.max(1.0));
    }
}
