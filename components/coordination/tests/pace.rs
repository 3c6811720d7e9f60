//! How long a large answer may take.

use std::time::Duration;

use bergamottrack_coordination::pace::{MIN_THROUGHPUT, transfer_time};

#[test]
fn time_grows_with_the_bytes_that_were_taken() {
    assert_eq!(transfer_time(0), Duration::ZERO);
    assert_eq!(transfer_time(MIN_THROUGHPUT * 3), Duration::from_secs(3));
    assert_eq!(transfer_time(MIN_THROUGHPUT / 2), Duration::from_millis(500));
    assert!(transfer_time(u64::MAX) > Duration::from_secs(3600));
}
