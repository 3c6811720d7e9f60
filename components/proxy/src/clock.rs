//! Monotonic clock that includes the time for which the machine was suspended.

use std::time::{Duration, Instant, SystemTime};

use bergamottrack_coordination::Clock;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock of the machine that includes suspended time.
///
/// Prevents the use of an expired lease: the usual monotonic clock stops while a machine is
/// suspended, so after resuming, a host would see its lease as valid as before although
/// another leader may have been promoted.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Instant,
    offset: Duration,
}

impl BootClock {
    /// Creates a clock that starts at the current [`Instant`].
    pub fn new() -> Self {
        Self { start: Instant::now(), offset: since_boot() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.start + since_boot().saturating_sub(self.offset)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns the time since the machine was booted, suspended time included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let (secs, nanos) = (u64::try_from(time.tv_sec), u32::try_from(time.tv_nsec));
    Duration::new(secs.unwrap_or_default(), nanos.unwrap_or_default())
}
