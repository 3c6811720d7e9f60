//! How long requests took, counted in steps that can be added up over hosts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Upper bound of the first step.
const FIRST: Duration = Duration::from_micros(500);

/// Steps, each twice as long as the one before; the last one has no bound.
const STEPS: usize = 16;

/// How long requests took: a count for each step.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LatencyHistogram {
    counts: [u64; STEPS],
}

impl LatencyHistogram {
    /// Counts a request.
    pub fn add(&mut self, took: Duration) {
        let step = (0..STEPS - 1).find(|step| took <= bound(*step)).unwrap_or(STEPS - 1);
        self.counts[step] += 1;
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
    pub fn within(&self, share: f64) -> Option<Duration> {
        let wanted = (self.total() as f64 * share).ceil() as u64;
        let mut seen = 0;
        let reached = |count: &u64| {
            seen += count;
            seen >= wanted.max(1)
        };
        let step = self.counts.iter().position(reached)?;
        (step < STEPS - 1).then(|| bound(step))
    }
}

fn bound(step: usize) -> Duration {
    FIRST * (1 << step)
}

/// The upper bounds of all steps but the last, in seconds.
pub fn bounds() -> impl Iterator<Item = f64> {
    (0..STEPS - 1).map(|step| bound(step).as_secs_f64())
}
