//! How long requests took, counted in steps that can be added up over hosts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Upper bound of the first step.
const FIRST_BOUND: Duration = Duration::from_micros(500);

/// Steps, each twice as long as the one before; the last one has no bound.
const BUCKETS: usize = 16;

/// How long requests took: a count for each step.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LatencyHistogram {
    counts: [u64; BUCKETS],
}

impl LatencyHistogram {
    /// Counts a request.
    pub fn add(&mut self, took: Duration) {
        let bucket =
            (0..BUCKETS - 1).find(|bucket| took <= upper_bound(*bucket)).unwrap_or(BUCKETS - 1);
        self.counts[bucket] += 1;
    }

    /// Adds what another host counted.
    pub fn merge(&mut self, other: &Self) {
        self.counts.iter_mut().zip(other.counts).for_each(|(count, more)| *count += more);
    }

    /// Requests counted.
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// The time within which this share of the requests was answered, rounded up
    /// to its step; `None` when there is none, or it lies in the last step.
    pub fn quantile(&self, fraction: f64) -> Option<Duration> {
        let rank = (self.total() as f64 * fraction).ceil() as u64;
        let mut cumulative = 0;
        let reached = |count: &u64| {
            cumulative += count;
            cumulative >= rank.max(1)
        };
        let bucket = self.counts.iter().position(reached)?;
        (bucket < BUCKETS - 1).then(|| upper_bound(bucket))
    }
}

fn upper_bound(bucket: usize) -> Duration {
    FIRST_BOUND * (1 << bucket)
}

/// The upper bounds of all steps but the last, in seconds.
pub fn upper_bounds() -> impl Iterator<Item = f64> {
    (0..BUCKETS - 1).map(|bucket| upper_bound(bucket).as_secs_f64())
}
