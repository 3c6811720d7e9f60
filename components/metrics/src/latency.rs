//! Latency histogram whose counts can be added up over hosts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Upper bound of the first bucket.
const FIRST_BOUND: Duration = Duration::from_micros(500);

/// Number of buckets; each is twice as long as the preceding one, and the last is unbounded.
const BUCKETS: usize = 16;

/// Histogram of request durations: a count for each bucket.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LatencyHistogram {
    counts: [u64; BUCKETS],
}

impl LatencyHistogram {
    /// Counts a request with the given duration.
    pub fn add(&mut self, took: Duration) {
        let bucket =
            (0..BUCKETS - 1).find(|bucket| took <= upper_bound(*bucket)).unwrap_or(BUCKETS - 1);
        self.counts[bucket] += 1;
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        self.counts.iter_mut().zip(other.counts).for_each(|(count, more)| *count += more);
    }

    /// Returns the number of counted requests.
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Returns the time within which the given fraction of the requests was answered, rounded up
    /// to the bound of its bucket; `None` without requests or if it is in the last bucket.
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

/// Returns the upper bound of a bucket other than the last.
fn upper_bound(bucket: usize) -> Duration {
    FIRST_BOUND * (1 << bucket)
}

/// Returns the upper bounds of all buckets but the last, in seconds.
pub fn upper_bounds() -> impl Iterator<Item = f64> {
    (0..BUCKETS - 1).map(|bucket| upper_bound(bucket).as_secs_f64())
}
