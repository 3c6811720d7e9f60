//! Requests to servers that have just started.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{cold, connections, units};

const TOLERANCE: cold::Tolerance = cold::Tolerance { overage: 1.5, slack: 5.0 };

fn limit(per_sec: f64) -> cold::Limit {
    cold::Limit { rate: units::Rate(per_sec), duration: Duration::from_secs(6) }
}

/// Guards against a sum over all hosts beyond the limit while two hosts hold a server's
/// connections and two stand by, as they may while views differ.
#[test]
fn all_parts_together_stay_within_the_limit() {
    for per_sec in [0.0, 1.0, 2.0, 5.0, 20.0, 200.0] {
        let max_requests = |role| cold::max_requests(limit(per_sec), TOLERANCE, role);
        let all = 2 * max_requests(connections::Role::Holder)
            + 2 * max_requests(connections::Role::Standby);
        let others = max_requests(connections::Role::Other);
        assert!(all as f64 <= per_sec * 1.5 + 5.0, "{all} of {per_sec}");
        assert_eq!(others, 0);
    }
    assert!(cold::max_requests(limit(2.0), TOLERANCE, connections::Role::Holder) >= 2);
}

/// Guards against more requests within any window than a host's part, and against a host
/// that starts again and forgets what it sent.
#[test]
fn a_window_holds_no_more_than_the_part() {
    let began = Instant::now();
    let mut warmth = cold::WarmUp::new(began);
    assert_eq!(warmth.take(4, began), Err(cold::WINDOW));
    let mut taken = Vec::new();
    for ms in (0..5000).step_by(7) {
        let now = began + cold::WINDOW + Duration::from_millis(ms);
        match warmth.take(4, now) {
            Ok(()) => taken.push(now),
            Err(wait) => assert!(warmth.clone().take(4, now + wait).is_ok(), "told too early"),
        }
    }
    assert!(taken.len() >= 16);
    for window in taken.windows(5) {
        assert!(window[4] - window[0] >= cold::WINDOW);
    }
    assert_eq!(warmth.take(0, began + 9 * cold::WINDOW), Err(cold::WINDOW));
}

/// Guards against a herd at a server that crashed and started again before it said so.
#[test]
fn a_server_that_may_have_started_again_counts_as_cold() {
    let now = Instant::now();
    let at = |secs| now + Duration::from_secs(secs);
    let mut warmth = cold::WarmUp::new(now);
    warmth.refused(None, now);
    warmth.lost(None, now);
    assert!(!warmth.is_cold(now), "where no limit is stated none is cold");
    warmth.lost(Some(limit(5.0)), now);
    assert!(warmth.is_cold(at(3)) && !warmth.is_cold(at(4)));
    warmth.refused(Some(limit(5.0)), now);
    assert!(warmth.is_cold(at(9)) && !warmth.is_cold(at(10)));
    // A report of the same run leaves the suspicion, one of a new run decides.
    warmth.report(None, false);
    assert!(warmth.is_cold(at(9)));
    warmth.report(Some(at(5)), true);
    assert!(warmth.is_cold(at(4)) && !warmth.is_cold(at(6)));
    warmth.report(None, false);
    assert!(!warmth.is_cold(at(4)));
}
