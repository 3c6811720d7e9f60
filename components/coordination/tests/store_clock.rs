//! Conversion of the store's clock to a host's clock.

use std::time::{Duration, Instant};

use bergamottrack_coordination::StoreClock;

/// Guards against a host that ends at a time of the store's clock which no local time represents: any
/// writer of the table of servers can give such a time, and all hosts read it.
#[test]
fn time_beyond_the_range_of_the_local_clock_ends_no_host() {
    let (mut clock, now) = (StoreClock::default(), Instant::now());
    clock.note(now, Duration::from_secs(100));
    let greatest = Duration::from_secs(i64::MAX as u64);
    assert!(clock.local(greatest).is_none_or(|local| local > now));
    assert_eq!(clock.local(Duration::MAX), None);
}
