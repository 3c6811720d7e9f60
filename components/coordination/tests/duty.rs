//! Who may call for a promotion.

use std::time::Duration;

use bergamottrack_coordination::duty::{CALL_DEADLINE, CALL_TIMEOUT, Duty};

/// Two groups lose their leaders at the same moment, and two hosts replace one
/// each. The first draws its token, is held up, and calls after the second: the
/// platform sees a token that is lower than one before.
#[test]
fn a_duty_in_use_is_not_taken() {
    let since = Duration::from_secs(100);
    let mut duty = Duty { holder: "first".parse().unwrap(), since, free: false };
    assert!(!duty.is_free(since));
    duty.free = true;
    assert!(duty.is_free(since));
}

/// The holder's machine freezes right after it took the duty. The group must get
/// its leader without it, but not before a call of the holder can be under way no more.
#[test]
fn a_duty_of_a_silent_holder_is_taken_when_its_call_is_over() {
    let since = Duration::from_secs(100);
    let duty = Duty { holder: "frozen".parse().unwrap(), since, free: false };
    assert!(!duty.is_free(since + CALL_DEADLINE + CALL_TIMEOUT));
    assert!(duty.is_free(since + Duration::from_secs(6)));
}
