//! Clock interface, which lets tests control the time.

use std::{
    cell::Cell,
    time::{Duration, Instant, SystemTime},
};

/// Source of the current time.
pub trait Clock {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;
    /// Returns the wall-clock time; for display only.
    fn wall(&self) -> SystemTime;
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock that advances only when [`ManualClock::advance`] is called.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Cell<Duration>,
}

impl ManualClock {
    /// Creates a clock that starts at the current monotonic time, and at the Unix epoch as its
    /// wall-clock time.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Cell::new(Duration::ZERO) }
    }

    /// Advances the monotonic and the wall-clock time by `by`.
    pub fn advance(&self, by: Duration) {
        self.elapsed.set(self.elapsed.get() + by);
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed.get()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed.get()
    }
}
