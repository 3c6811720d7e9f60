//! Lock on promotion calls.

use std::time::Duration;

use bergamottrack_coordination::duty::{CALL_DEADLINE, CALL_TIMEOUT, Duty};

/// Guards against tokens that reach the platform in decreasing order: two groups lose their
/// leaders at the same time and two hosts replace one each; the host that acquires its token
/// first is delayed and calls after the other.
#[test]
fn held_duty_is_not_free_until_released() {
    let since = Duration::from_secs(100);
    let mut duty = Duty { holder: "first".parse().unwrap(), since, free: false };
    assert!(!duty.is_free(since));
    duty.free = true;
    assert!(duty.is_free(since));
}

/// Guards against a group without a leader after the holder's machine froze right after it
/// acquired the duty, and against a second call while a call of the holder may be in flight.
#[test]
fn duty_of_a_frozen_holder_is_free_after_the_timeout_of_its_call() {
    let since = Duration::from_secs(100);
    let duty = Duty { holder: "frozen".parse().unwrap(), since, free: false };
    assert!(!duty.is_free(since + CALL_DEADLINE + CALL_TIMEOUT));
    assert!(duty.is_free(since + Duration::from_secs(6)));
}
