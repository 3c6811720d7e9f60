//! Rate limit for cold backend servers.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{cold, connections, units};

const TOLERANCE: cold::Tolerance = cold::Tolerance { overage: 1.5, slack: 5.0 };

fn limit(per_sec: f64) -> cold::Limit {
    cold::Limit { rate: units::Rate(per_sec), duration: Duration::from_secs(6) }
}

/// Guards against a sum over all hosts beyond the limit while a server has two holders and two
/// standbys, as it may while views differ.
#[test]
fn shares_of_two_holders_and_two_standbys_stay_within_the_limit() {
    for per_sec in [0.0, 1.0, 2.0, 5.0, 20.0, 200.0] {
        let max_requests = |role| cold::max_requests(limit(per_sec), TOLERANCE, role);
        let all = 2 * max_requests(connections::Role::Holder)
            + 2 * max_requests(connections::Role::Standby);
        let others = max_requests(connections::Role::Other);
        assert!(all as f64 <= per_sec * 1.5 + 5.0, "{all} requests at a limit of {per_sec}/s");
        assert_eq!(others, 0);
    }
    assert!(cold::max_requests(limit(2.0), TOLERANCE, connections::Role::Holder) >= 2);
}

/// Guards against more requests within any window than a host's share, and against a restarted
/// host that has lost its count of the requests sent before.
#[test]
fn requests_within_any_window_stay_within_the_share() {
    let start = Instant::now();
    let mut warm_up = cold::WarmUp::new(start);
    assert_eq!(warm_up.take(4, start), Err(cold::WINDOW));
    let mut taken = Vec::new();
    for ms in (0..5000).step_by(7) {
        let now = start + cold::WINDOW + Duration::from_millis(ms);
        match warm_up.take(4, now) {
            Ok(()) => taken.push(now),
            Err(wait) => assert!(warm_up.clone().take(4, now + wait).is_ok(), "delay is too short"),
        }
    }
    assert!(taken.len() >= 16);
    for window in taken.windows(5) {
        assert!(window[4] - window[0] >= cold::WINDOW);
    }
    assert_eq!(warm_up.take(0, start + 9 * cold::WINDOW), Err(cold::WINDOW));
}

/// Guards against a burst of requests at a server that crashed and restarted but has not
/// reported it yet.
#[test]
fn server_that_may_have_restarted_counts_as_cold() {
    let now = Instant::now();
    let at = |secs| now + Duration::from_secs(secs);
    let mut warm_up = cold::WarmUp::new(now);
    warm_up.refused(None, now);
    warm_up.lost(None, now);
    assert!(!warm_up.is_cold(now), "no server is cold without a limit");
    warm_up.lost(Some(limit(5.0)), now);
    assert!(warm_up.is_cold(at(3)) && !warm_up.is_cold(at(4)));
    warm_up.refused(Some(limit(5.0)), now);
    assert!(warm_up.is_cold(at(9)) && !warm_up.is_cold(at(10)));
    // A report of the same process keeps the suspicion; one of a new process ends it.
    warm_up.report(None, false);
    assert!(warm_up.is_cold(at(9)));
    warm_up.report(Some(at(5)), true);
    assert!(warm_up.is_cold(at(4)) && !warm_up.is_cold(at(6)));
    warm_up.report(None, false);
    assert!(!warm_up.is_cold(at(4)));
}
