//! Clock interface, which lets tests control the time.

use std::{
    cell::Cell,
    time::{Duration, Instant, SystemTime},
};

/// Source of the current time.
pub trait Clock {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;
    /// Returns the time of day; for display only.
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

/// Clock that advances only by [`ManualClock::advance`].
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Cell<Duration>,
}

impl ManualClock {
    /// Creates a stopped clock.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Cell::new(Duration::ZERO) }
    }

    /// Advances the clock.
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
