//! Time limit for sending a large answer.

use std::time::Duration;

use bergamottrack_coordination::pace::{MIN_THROUGHPUT, transfer_time};

/// Guards against abandoning a large answer while its caller receives it at the minimum
/// throughput.
#[test]
fn transfer_time_grows_with_the_bytes_received() {
    assert_eq!(transfer_time(0), Duration::ZERO);
    assert_eq!(transfer_time(MIN_THROUGHPUT * 3), Duration::from_secs(3));
    assert_eq!(transfer_time(MIN_THROUGHPUT / 2), Duration::from_millis(500));
    assert!(transfer_time(u64::MAX) > Duration::from_secs(3600));
}
