//! The clock, passed in so that tests can move it.

use std::{
    cell::Cell,
    time::{Duration, Instant, SystemTime},
};

/// Tells the time.
pub trait Clock {
    /// A time that never goes back.
    fn now(&self) -> Instant;
    /// The time of day; only for people to read.
    fn wall(&self) -> SystemTime;
}

/// The machine's clock.
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

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    passed: Cell<Duration>,
}

impl ManualClock {
    /// A clock that stands still.
    pub fn new() -> Self {
        Self { start: Instant::now(), passed: Cell::new(Duration::ZERO) }
    }

    /// Moves the clock on.
    pub fn advance(&self, by: Duration) {
        self.passed.set(self.passed.get() + by);
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.passed.get()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.passed.get()
    }
}
