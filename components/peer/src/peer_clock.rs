//! Estimate of the clock of a link's accepting end, which dates messages for it.
//!
//! A message may arrive long after it was sent: a network that was cut delivers what it held back, and
//! a process that was suspended finds what arrived meanwhile. The clocks of two hosts cannot be
//! compared, but a reading of the receiver's clock that the sender has received bounds the age of a
//! message: it was sent after the reading was made.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Time after which a reading is replaced by any newer one: the rates of two clocks differ by less
/// than a thousandth.
const READING_TTL: Duration = Duration::from_secs(20);

/// Clock of the accepting end of one connection.
#[derive(Debug, Default)]
pub struct PeerClock {
    /// Reading, and the local time at which it was received; `None` before the first reading.
    reading: Cell<Option<(Duration, Instant)>>,
}

impl PeerClock {
    /// Discards the readings, for use with a new connection.
    pub fn reset(&self) {
        self.reading.set(None);
    }

    /// Records a reading received at `now`. Of the recent ones, the one with the shortest transit is
    /// kept.
    pub fn note(&self, elapsed: Duration, now: Instant) {
        let is_better = self.reading.get().is_none_or(|(_, at)| {
            now.saturating_duration_since(at) >= READING_TTL
                || self.earliest(now).is_none_or(|earliest| elapsed > earliest)
        });
        if is_better {
            self.reading.set(Some((elapsed, now)));
        }
    }

    /// Returns the earliest reading that the peer's clock may show at `now`; `None` before the first
    /// reading.
    pub fn earliest(&self, now: Instant) -> Option<Duration> {
        let (elapsed, at) = self.reading.get()?;
        Some(elapsed + now.saturating_duration_since(at))
    }
}
