//! Conversion of the store's steady clock to the clock of a host.
//!
//! Hosts send each other the time of the store's clock at which no newer version existed. That
//! remains true however long the message is delayed. An age would not: a message delayed by a
//! partition would make old data look recent.

use std::time::{Duration, Instant};

/// Maximum drift between two clocks as a fraction of the elapsed time. The drift of machine
/// clocks is less than a tenth of this.
const MAX_DRIFT: f64 = 0.001;

/// Maps a time of the store's clock to the latest local time at which the store's clock cannot
/// have reached it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// Local time, and a store time that was read at that local time or later.
    best: Option<(Instant, Duration)>,
}

impl StoreClock {
    /// Records that a call sent at the local time `sent_at` was answered with the store time
    /// `store`.
    ///
    /// The call with the tightest bound on the store's clock is kept: the one that took the
    /// least time to reach the store.
    pub fn note(&mut self, sent_at: Instant, store: Duration) {
        let tighter = match self.local(store) {
            Some(bound) => sent_at >= bound,
            None => true,
        };
        if tighter {
            self.best = Some((sent_at, store));
        }
    }

    /// Returns a local time before which the store's clock had not reached `store`, or `None`
    /// before the first answered call.
    pub fn local(&self, store: Duration) -> Option<Instant> {
        let (at, then) = self.best?;
        let distance = store.abs_diff(then);
        let drift = distance.mul_f64(MAX_DRIFT);
        if store >= then { Some(at + distance - drift) } else { at.checked_sub(distance + drift) }
    }
}
