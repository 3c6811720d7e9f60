//! Conversion of the store's steady clock to the clock of a host.
//!
//! Hosts send each other the time of the store's clock at which no newer version existed. Such a
//! time remains valid however long the message is delayed. An age would not: in a message delayed
//! by a partition, old data would appear recent.

use std::time::{Duration, Instant};

/// Maximum drift between two clocks as a fraction of the elapsed time. The drift of machine
/// clocks is less than a tenth of this.
const MAX_DRIFT: f64 = 0.001;

/// Maps a time of the store's clock to a local time at which the store's clock had certainly not
/// passed it, and a local time to a store time that the store's clock had certainly reached.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// Local time, and a store time that was read at that local time or later; none before the
    /// first answered call.
    best: Option<(Instant, Duration)>,
    /// Local time, and a store time that was read at that local time or earlier; none before the first
    /// answered call.
    reached: Option<(Instant, Duration)>,
}

impl StoreClock {
    /// Records that a call sent at the local time `sent_at` was answered with the store time
    /// `store`, and that the answer was read at `received_at`.
    ///
    /// Only the calls with the tightest bounds on the store's clock are kept, usually those that
    /// took the least time to reach the store and to return. A call during which this host was suspended
    /// is no bound for one of the two directions.
    pub fn note(&mut self, sent_at: Instant, received_at: Instant, store: Duration) {
        let tighter = match self.local(store) {
            Some(bound) => sent_at >= bound,
            None => true,
        };
        if tighter {
            self.best = Some((sent_at, store));
        }
        if self.reached(received_at).is_none_or(|bound| store >= bound) {
            self.reached = Some((received_at, store));
        }
    }

    /// Returns a local time before which the store's clock had not reached `store`. Returns `None`
    /// before the first answered call, or if the local time is out of range.
    pub fn local(&self, store: Duration) -> Option<Instant> {
        let (local, known) = self.best?;
        let distance = store.abs_diff(known);
        let drift = distance.mul_f64(MAX_DRIFT);
        if store >= known {
            local.checked_add(distance - drift)
        } else {
            local.checked_sub(distance + drift)
        }
    }

    /// Returns a store time that the store's clock had reached at the local time `local`. Returns
    /// `None` before the first answered call.
    pub fn reached(&self, local: Instant) -> Option<Duration> {
        let (known, store) = self.reached?;
        let elapsed = local.saturating_duration_since(known);
        let before = known.saturating_duration_since(local);
        Some(
            (store + elapsed.mul_f64(1.0 - MAX_DRIFT))
                .saturating_sub(before.mul_f64(1.0 + MAX_DRIFT)),
        )
    }
}
