//! The age of a replica's data.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    Point, Term,
    ages::{Observed, PositionHistory},
    leadership::{Role, Status},
};

const MS: Duration = Duration::from_millis(1);

fn status(role: Role, term: u64, promised: u64, position: u64) -> Status {
    let point = Point::new(term, position);
    Status { role, term: Term(term), promised: Term(promised), held: point, applied: point }
}

fn primary(term: u64, position: u64, sent: Instant) -> Observed {
    Observed { status: status(Role::Primary, term, term, position), sent }
}

fn replica(term: u64, promised: u64, sent: Instant) -> Observed {
    Observed { status: status(Role::Replica, term, promised, 0), sent }
}

#[test]
fn the_age_is_that_of_the_newest_point_shown() {
    let start = Instant::now();
    let mut ages = PositionHistory::default();
    for i in 0..10 {
        let at = start + i * 100 * MS;
        ages.note(primary(1, u64::from(i) * 10, at), &[replica(1, 1, at)]);
    }
    let now = start + 1000 * MS;
    assert_eq!(ages.age(Point::new(1, 55), now), Some(500 * MS));
    assert_eq!(ages.age(Point::new(1, 95), now), Some(100 * MS));
    assert_eq!(ages.floor(250 * MS, now), Some(Point::new(1, 80)));
    assert_eq!(ages.floor(50 * MS, now), None);
}

/// A caller accepts data two seconds old. The primary is cut off and replaced,
/// but still says that it leads, and its replica follows it alone: what it says
/// proves nothing, and the age grows.
#[test]
fn a_replaced_primary_proves_no_age() {
    let start = Instant::now();
    let mut ages = PositionHistory::default();
    ages.note(primary(1, 10, start), &[replica(1, 1, start)]);
    let later = start + 5000 * MS;
    ages.note(primary(1, 10, later), &[replica(1, 2, later)]);
    ages.note(primary(1, 10, later), &[replica(1, 1, start)]);
    assert_eq!(ages.age(Point::new(1, 10), later), Some(5000 * MS));
}

#[test]
fn a_stale_log_that_runs_further_is_not_fresh() {
    let start = Instant::now();
    let mut ages = PositionHistory::default();
    ages.note(primary(1, 10, start), &[replica(1, 1, start)]);
    let later = start + 1000 * MS;
    ages.note(primary(2, 11, later), &[replica(2, 2, later)]);
    assert_eq!(ages.age(Point::new(1, 50), later), Some(1000 * MS));
    assert_eq!(ages.age(Point::new(2, 11), later), Some(Duration::ZERO));
}

/// Guards against reads that all go to the leader because a host has not seen its position
/// itself: samples of other hosts count, in whatever order they are received.
#[test]
fn samples_of_other_hosts_are_put_in_order() {
    let start = Instant::now();
    let mut ages = PositionHistory::default();
    ages.note_point(start + 900 * MS, Point::new(1, 90));
    ages.note_point(start + 300 * MS, Point::new(1, 30));
    ages.note_point(start + 600 * MS, Point::new(1, 60));
    ages.note_point(start + 610 * MS, Point::new(1, 61));
    ages.note_point(start + 750 * MS, Point::new(1, 95));
    let now = start + 1000 * MS;
    assert_eq!(ages.floor(800 * MS, now), Some(Point::new(1, 30)));
    assert_eq!(ages.floor(500 * MS, now), Some(Point::new(1, 60)));
    assert_eq!(ages.floor(350 * MS, now), Some(Point::new(1, 90)), "a point that falls is refused");
    assert_eq!(ages.newest(), Some((start + 900 * MS, Point::new(1, 90))));
}
