//! Positions of leaders that a hub sends, for a fleet of 1,000 groups.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{GroupId, Point, Position, Term};
use bergamottrack_proxy::positions::Board;

const GROUPS: usize = 1000;

fn group(number: usize) -> GroupId {
    format!("bookings-{number}").parse().unwrap()
}

fn point(position: u64) -> Point {
    Point { term: Term(1), position: Position(position) }
}

/// Returns a board on which all groups are known as of `at`.
fn board(at: Instant) -> Board {
    let mut board = Board::default();
    for number in 0..GROUPS {
        board.note(&group(number), &"i-1".parse().unwrap(), point(7), at, at);
    }
    board
}

/// Guards against replies to heartbeats that grow with the number of groups: 50 KB, 2.5 times a
/// second, for each host of a failure domain.
#[test]
fn host_that_uses_5_of_1000_groups_receives_at_most_1_kb() {
    let now = Instant::now();
    let interest: Vec<_> = (0..5).map(|n| group(n * 100)).collect();
    let positions = board(now).newest(now, Some(&interest), None);
    assert_eq!(positions.len(), 5);
    let mut encoded = Vec::new();
    ciborium::into_writer(&positions, &mut encoded).unwrap();
    assert!(encoded.len() <= 1024, "{} bytes", encoded.len());
    assert!(board(now).newest(now, Some(&[]), None).is_empty());
}

/// Guards against hubs that send each other all positions with every heartbeat.
#[test]
fn hub_sends_only_positions_learned_since_the_last_reply() {
    let start = Instant::now();
    let mut board = board(start);
    let later = start + Duration::from_millis(400);
    board.note(&group(3), &"i-1".parse().unwrap(), point(9), later, later);
    let positions = board.newest(later, None, Some(start + Duration::from_millis(200)));
    assert_eq!(positions.iter().map(|p| &p.group).collect::<Vec<_>>(), [&group(3)]);
    assert_eq!(board.newest(later, None, None).len(), GROUPS);
}

/// Guards against an old position that replaces a newer one after a delayed message, and against
/// positions that are too old for any read.
#[test]
fn newest_position_counts_until_it_expires() {
    let start = Instant::now();
    let mut board = board(start + Duration::from_millis(100));
    board.note(&group(3), &"i-1".parse().unwrap(), point(5), start, start);
    let positions = board.newest(start, Some(&[group(3)]), None);
    assert_eq!(positions[0].point, point(7));
    let late = start + Duration::from_secs(3);
    assert!(board.newest(late, None, None).is_empty());
    board.expire(late);
    assert!(board.newest(start, None, None).is_empty());
}
