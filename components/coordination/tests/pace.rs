//! How long a large answer may take.

use std::time::Duration;

use bergamottrack_coordination::pace::{MIN_PACE, time_for};

#[test]
fn time_grows_with_the_bytes_that_were_taken() {
    assert_eq!(time_for(0), Duration::ZERO);
    assert_eq!(time_for(MIN_PACE * 3), Duration::from_secs(3));
    assert_eq!(time_for(MIN_PACE / 2), Duration::from_millis(500));
    assert!(time_for(u64::MAX) > Duration::from_secs(3600));
}
