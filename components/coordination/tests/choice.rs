//! Which server of a group a read goes to.

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

/// One server answers five times as slowly as the others. Reads leave it.
#[test]
fn a_slow_server_loses_its_reads() {
    let now = Instant::now();
    let (slow, fast) = (answered(&[180; 12], now), answered(&[30; 12], now));
    let order = choice::order(&[candidate(&slow), candidate(&fast)], None, now);
    assert_eq!(order, [1, 0]);
}

/// A server goes silent in the middle of a request. Reads leave it before that
/// request times out, since its answer is overdue.
#[test]
fn a_silent_server_loses_its_reads_within_an_answer() {
    let now = Instant::now();
    let (mut silent, fast) = (answered(&[20; 12], now), answered(&[40; 12], now));
    assert_eq!(choice::order(&[candidate(&silent), candidate(&fast)], None, now), [0, 1]);
    silent.begin(now);
    let later = now + 150 * MS;
    assert_eq!(choice::order(&[candidate(&silent), candidate(&fast)], None, later), [1, 0]);
}

/// A server fails requests while it looks healthy. It is passed over for a while,
/// longer each time, and gets a request again after that.
#[test]
fn a_failing_server_is_ejected_and_tried_again() {
    let now = Instant::now();
    let (mut failing, sound) = (answered(&[20; 12], now), answered(&[60; 12], now));
    failing.fail(now);
    failing.fail(now);
    assert_eq!(choice::order(&[candidate(&failing), candidate(&sound)], None, now), [1, 0]);
    let later = now + 300 * MS;
    assert_eq!(choice::order(&[candidate(&failing), candidate(&sound)], None, later), [0, 1]);
    failing.fail(later);
    let again = later + 300 * MS;
    assert_eq!(choice::order(&[candidate(&failing), candidate(&sound)], None, again), [1, 0]);
}

/// A replica is seconds behind. Each read that tried it first would lose a round
/// trip, so it is passed over for positions that it lacked, but not for older ones.
#[test]
fn a_replica_that_is_behind_is_passed_over() {
    let now = Instant::now();
    let (mut behind, other) = (answered(&[20; 12], now), answered(&[60; 12], now));
    behind.mark_lagging(Point::new(1, 100), None, now);
    let both = [candidate(&behind), candidate(&other)];
    assert_eq!(choice::order(&both, Some(Point::new(1, 120)), now), [1, 0]);
    assert_eq!(choice::order(&both, Some(Point::new(1, 90)), now), [0, 1]);
    assert_eq!(choice::order(&both, Some(Point::new(1, 120)), now + 100 * MS), [0, 1]);
}

/// Both replicas of a group are 20 seconds behind, and their leader is busy. Each read
/// that the leader refused went to both in vain, a hundred a second. They say where they
/// stand: none is asked again before it may be there, and one of 100 ms is soon.
#[test]
fn a_replica_that_said_where_it_stands_is_left_alone() {
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

/// The leader and a replica are equally quick. Reads go to the replica: the
/// leader's slots are needed for writes.
#[test]
fn the_leader_is_spared() {
    let now = Instant::now();
    let health = answered(&[30; 12], now);
    let leader = Candidate { leads: true, ..candidate(&health) };
    assert_eq!(choice::order(&[leader, candidate(&health)], None, now), [1, 0]);
}

/// All servers fail. They are still asked: better in vain than not at all.
#[test]
fn no_server_is_left_out_for_good() {
    let now = Instant::now();
    let mut health = Health::default();
    health.fail(now);
    health.fail(now);
    assert_eq!(choice::order(&[candidate(&health)], None, now), [0]);
}

/// Guards against reads at a server that has just started while others can run them.
#[test]
fn a_cold_server_gets_what_no_warm_one_takes() {
    let now = Instant::now();
    let (quick, slow) = (answered(&[10; 12], now), answered(&[80; 12], now));
    let cold = Candidate { cold: true, ..candidate(&quick) };
    let leader = Candidate { leads: true, ..candidate(&slow) };
    assert_eq!(choice::order(&[cold.clone(), leader, candidate(&slow)], None, now), [2, 1, 0]);
    let mut failed = Health::default();
    failed.fail(now);
    failed.fail(now);
    assert_eq!(choice::order(&[candidate(&failed), cold], None, now), [1, 0]);
}
