//! Selection of the backend server that serves a read.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    Point,
    choice::{self, Candidate, Health},
};

const MS: Duration = Duration::from_millis(1);

fn candidate(health: &Health) -> Candidate<'_> {
    Candidate {
        health,
        same_domain: true,
        connected: true,
        leads: false,
        cold: false,
        slots: 5,
        wait: Duration::ZERO,
    }
}

fn answered(times: &[u32], now: Instant) -> Health {
    let mut health = Health::default();
    for ms in times {
        health.begin(now);
        health.end(Some(*ms * MS), now);
    }
    health
}

/// Guards against reads at a server that answers five times as slowly as the others.
#[test]
fn slow_server_is_tried_last() {
    let now = Instant::now();
    let (slow, fast) = (answered(&[180; 12], now), answered(&[30; 12], now));
    let order = choice::order(&[candidate(&slow), candidate(&fast)], None, now);
    assert_eq!(order, [1, 0]);
}

/// Guards against further reads at a server that stops answering in the middle of a request:
/// the overdue answer moves reads to other servers before that request times out.
#[test]
fn server_with_an_overdue_answer_is_tried_last() {
    let now = Instant::now();
    let (mut overdue, fast) = (answered(&[20; 12], now), answered(&[40; 12], now));
    assert_eq!(choice::order(&[candidate(&overdue), candidate(&fast)], None, now), [0, 1]);
    overdue.begin(now);
    let later = now + 150 * MS;
    assert_eq!(choice::order(&[candidate(&overdue), candidate(&fast)], None, later), [1, 0]);
}

/// Guards against reads at a server that fails requests although it appears healthy. It is
/// ejected, longer each time, and gets a request again after that.
#[test]
fn failing_server_is_ejected_and_retried() {
    let now = Instant::now();
    let (mut failing, healthy) = (answered(&[20; 12], now), answered(&[60; 12], now));
    failing.fail(now);
    failing.fail(now);
    assert_eq!(choice::order(&[candidate(&failing), candidate(&healthy)], None, now), [1, 0]);
    let later = now + 300 * MS;
    assert_eq!(choice::order(&[candidate(&failing), candidate(&healthy)], None, later), [0, 1]);
    failing.fail(later);
    let retried = later + 300 * MS;
    assert_eq!(choice::order(&[candidate(&failing), candidate(&healthy)], None, retried), [1, 0]);
}

/// Guards against a lost round trip for each read that tries a replica with a lag of seconds
/// first: the replica is skipped for positions that it lacked, but not for older ones.
#[test]
fn lagging_replica_is_skipped_for_positions_it_lacked() {
    let now = Instant::now();
    let (mut behind, other) = (answered(&[20; 12], now), answered(&[60; 12], now));
    behind.mark_lagging(Point::new(1, 100), None, now);
    let both = [candidate(&behind), candidate(&other)];
    assert_eq!(choice::order(&both, Some(Point::new(1, 120)), now), [1, 0]);
    assert_eq!(choice::order(&both, Some(Point::new(1, 90)), now), [0, 1]);
    assert_eq!(choice::order(&both, Some(Point::new(1, 120)), now + 100 * MS), [0, 1]);
}

/// Guards against a hundred futile reads a second: both replicas of a group lag by 20 seconds,
/// and each read that their busy leader refused was sent to both. With the lag known, none is
/// retried before it may have the position; one with a lag of 100 ms is retried soon.
#[test]
fn replica_with_a_known_lag_is_skipped_until_it_may_have_caught_up() {
    let now = Instant::now();
    let mut health = answered(&[20; 12], now);
    let need = Point::new(1, 100);
    health.mark_lagging(need, Some(Duration::from_secs(18)), now);
    assert!(health.lacks(need, now + 900 * MS));
    assert!(!health.lacks(Point::new(1, 99), now));
    assert!(!health.lacks(need, now + 1100 * MS));
    health.mark_lagging(need, Some(100 * MS), now);
    assert!(health.lacks(need, now + 90 * MS) && !health.lacks(need, now + 110 * MS));
    health.clear_lag();
    assert!(!health.lacks(need, now));
}

/// Guards against reads that take the leader's slots, which are needed for writes, while a
/// replica is equally fast.
#[test]
fn replica_precedes_an_equally_fast_leader() {
    let now = Instant::now();
    let health = answered(&[30; 12], now);
    let leader = Candidate { leads: true, ..candidate(&health) };
    assert_eq!(choice::order(&[leader, candidate(&health)], None, now), [1, 0]);
}

/// Guards against refusal of all reads while all servers fail: a failed attempt is better than
/// none.
#[test]
fn ejected_servers_remain_candidates() {
    let now = Instant::now();
    let mut health = Health::default();
    health.fail(now);
    health.fail(now);
    assert_eq!(choice::order(&[candidate(&health)], None, now), [0]);
}

/// Guards against reads at a server that has just started while others can run them.
#[test]
fn cold_server_follows_warm_servers_and_precedes_ejected_ones() {
    let now = Instant::now();
    let (fast, slow) = (answered(&[10; 12], now), answered(&[80; 12], now));
    let cold = Candidate { cold: true, ..candidate(&fast) };
    let leader = Candidate { leads: true, ..candidate(&slow) };
    assert_eq!(choice::order(&[cold.clone(), leader, candidate(&slow)], None, now), [2, 1, 0]);
    let mut failed = Health::default();
    failed.fail(now);
    failed.fail(now);
    assert_eq!(choice::order(&[candidate(&failed), cold], None, now), [1, 0]);
}
