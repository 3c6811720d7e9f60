//! Conversion of the store's clock to a host's clock.

use std::time::{Duration, Instant};

use bergamottrack_coordination::StoreClock;

/// Guards against a host that ends at a time of the store's clock which no local time represents: any
/// writer of the table of servers can give such a time, and all hosts read it.
#[test]
fn time_beyond_the_range_of_the_local_clock_ends_no_host() {
    let (mut clock, now) = (StoreClock::default(), Instant::now());
    clock.note(now, now, Duration::from_secs(100));
    let greatest = Duration::from_secs(i64::MAX as u64);
    assert!(clock.local(greatest).is_none_or(|local| local > now));
    assert_eq!(clock.local(Duration::MAX), None);
}

/// Guards against an event that is dated too late: the host was suspended between the time of the request and
/// its dispatch, or the answer was delayed.
#[test]
fn store_time_that_was_reached_goes_by_the_time_of_the_answer() {
    let (mut clock, start) = (StoreClock::default(), Instant::now());
    let secs = Duration::from_secs;
    assert_eq!(clock.reached(start), None);
    clock.note(start, start + secs(5), secs(100));
    assert_eq!(clock.reached(start + secs(5)), Some(secs(100)));
    assert!(clock.reached(start + secs(6)).is_some_and(|time| time <= secs(101)));
    assert!(clock.reached(start + secs(4)).is_some_and(|time| time <= secs(99)));
    clock.note(start + secs(10), start + secs(10), secs(109));
    assert_eq!(clock.reached(start + secs(10)), Some(secs(109)), "a tighter bound is kept");
    clock.note(start + secs(10), start + secs(14), secs(110));
    assert!(
        clock.reached(start + secs(14)).is_some_and(|time| time > secs(112)),
        "a looser one is not"
    );
}
