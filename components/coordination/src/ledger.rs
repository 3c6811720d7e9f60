//! One account's bucket at one host, and how much of it the others were told.

use std::time::{Duration, Instant};

use crate::{Burst, Rate};

/// How long demand counts: the time in which most of an old figure is forgotten.
pub const DEMAND_DECAY: Duration = Duration::from_millis(2000);

/// The part of the tolerance that hosts use on purpose. The rest is for what they
/// cannot know: what a host admitted that died before it told, and clocks that differ.
const TOLERANCE_USED: f64 = 0.5;

/// The part of the rest that a bucket begins with at the start of a host. Sums of 0.6 and
/// of what hosts admit before they have told it stay below 1.
const INITIAL_FRACTION: f64 = 0.6;

/// How far a rate may be exceeded over the whole fleet.
///
/// It is there to be used: with no more than just the rate, a host refuses
/// requests that one bucket for all would have admitted, whenever callers come to
/// the hosts in another rhythm than tokens do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// As a part of the rate and the burst.
    pub overage: f64,
    /// In requests, within one window.
    pub slack: f64,
    /// The window over which it is counted.
    pub window: Duration,
}

impl Tolerance {
    /// What a bucket begins with whose level is not known.
    pub fn start(&self, rate: Rate, burst: Burst) -> f64 {
        let overage_tokens = self.overage * (rate.0 * self.window.as_secs_f64() + burst.0);
        INITIAL_FRACTION * (1.0 - TOLERANCE_USED) * (overage_tokens + self.slack)
    }
}

/// How often something was asked for of late.
#[derive(Clone, Debug)]
pub struct Meter {
    rate: f64,
    updated: Instant,
}

impl Meter {
    /// Requests a second.
    pub fn decayed(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        self.rate * (-elapsed.as_secs_f64() / DEMAND_DECAY.as_secs_f64()).exp()
    }

    /// Notes a request.
    pub fn add(&mut self, now: Instant) {
        self.rate = self.decayed(now) + 1.0 / DEMAND_DECAY.as_secs_f64();
        self.updated = now;
    }
}

/// One account at this host.
#[derive(Debug)]
pub struct Ledger {
    /// What the account may use a second, over all hosts.
    pub rate: Rate,
    /// What it may save up, over all hosts.
    pub burst: Burst,
    /// What callers ask of this host.
    pub requests: Meter,
    /// What the others were told of `asked`.
    pub reported: f64,
    /// Requests admitted since the start.
    pub admitted: u64,
    /// How many of them the others were told of; never more than `admitted`.
    pub admitted_reported: u64,
    /// What is left for this side of the fleet, by all that was told.
    pub level: f64,
    /// Up to when `level` is filled.
    pub updated: Instant,
    /// The part of the rate that this side had at `updated`.
    pub side: f64,
}

impl Ledger {
    /// The bucket of an account whose level is not known.
    pub fn new(rate: Rate, burst: Burst, tolerance: &Tolerance, now: Instant) -> Self {
        Self {
            rate,
            burst,
            requests: Meter { rate: 0.0, updated: now },
            reported: 0.0,
            admitted: 0,
            admitted_reported: 0,
            level: tolerance.start(rate, burst),
            updated: now,
            side: 1.0,
        }
    }

    /// Tokens a second that this side has.
    pub fn fill_rate(&self, tolerance: &Tolerance) -> f64 {
        let factor = 1.0 + TOLERANCE_USED * tolerance.overage;
        (self.rate.0 * self.side * factor).max(f64::MIN_POSITIVE)
    }

    /// The most that this side may save up.
    pub fn max_level(&self, tolerance: &Tolerance) -> f64 {
        (self.burst.0 + TOLERANCE_USED * tolerance.slack) * self.side
    }

    /// Saves what has come, and leaves to hosts that are not heard any more what is theirs.
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

    /// Takes out what was admitted. What was admitted beyond what was known to be left,
    /// by a host that came back, is not held against the account for longer than it
    /// takes to fill the bucket once.
    pub fn spend(&mut self, tokens: f64) {
        self.level = (self.level - tokens).max(-self.burst.0.max(1.0));
    }
}
