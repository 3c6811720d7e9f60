//! A steady clock that counts the time a machine was suspended.

use std::time::{Duration, Instant, SystemTime};

use bergamottrack_coordination::Clock;
use rustix::time::{ClockId, clock_gettime};

/// The machine's steady clock, suspended time included.
///
/// Guards against a lease that outlives its end: the usual steady clock stands
/// still while a machine is suspended, so a host that wakes would find its lease
/// as fresh as before, while another leader was promoted.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Instant,
    offset: Duration,
}

impl BootClock {
    /// The clock.
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

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let (secs, nanos) = (u64::try_from(time.tv_sec), u32::try_from(time.tv_nsec));
    Duration::new(secs.unwrap_or_default(), nanos.unwrap_or_default())
}
