//! Upper bound on the age of a replica's data.

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

/// Guards against data that counts as newer than it is: its age is counted from the newest
/// sample of the primary that the data covers.
#[test]
fn age_counts_from_the_newest_sample_covered() {
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

/// Guards against old data for a caller that accepts data two seconds old: a primary that was
/// partitioned and replaced still reports that it leads, and its replica follows only that
/// primary. The report proves nothing, so the age grows, here beyond the
/// accepted one.
#[test]
fn report_of_a_replaced_primary_does_not_reset_the_age() {
    let start = Instant::now();
    let mut ages = PositionHistory::default();
    ages.note(primary(1, 10, start), &[replica(1, 1, start)]);
    let later = start + 5000 * MS;
    ages.note(primary(1, 10, later), &[replica(1, 2, later)]);
    ages.note(primary(1, 10, later), &[replica(1, 1, start)]);
    assert_eq!(ages.age(Point::new(1, 10), later), Some(5000 * MS));
}

/// Guards against data of an earlier term that counts as current because its position is
/// higher than that of the new term.
#[test]
fn higher_position_of_an_earlier_term_is_not_current() {
    let start = Instant::now();
    let mut ages = PositionHistory::default();
    ages.note(primary(1, 10, start), &[replica(1, 1, start)]);
    let later = start + 1000 * MS;
    ages.note(primary(2, 11, later), &[replica(2, 2, later)]);
    assert_eq!(ages.age(Point::new(1, 50), later), Some(1000 * MS));
    assert_eq!(ages.age(Point::new(2, 11), later), Some(Duration::ZERO));
}

/// Guards against reads that are all sent to the leader because a host has not observed its
/// position itself: samples from other hosts count, in whatever order they are received.
#[test]
fn samples_received_out_of_order_are_sorted_by_time() {
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
    assert_eq!(
        ages.floor(350 * MS, now),
        Some(Point::new(1, 90)),
        "a point beyond that of a later sample is dropped"
    );
    assert_eq!(ages.newest(), Some((start + 900 * MS, Point::new(1, 90))));
}
