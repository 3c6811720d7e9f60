//! When a leader is replaced, and when not.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    Point,
    suspicion::{self, Advice, REPLICA_STALL_TIMEOUT, Suspicion},
};

const MS: Duration = Duration::from_millis(1);

/// The leader's process dies: connections are refused. Nobody waits for time-outs.
#[test]
fn a_dead_leader_is_replaced_at_once() {
    let start = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.refused(start);
    assert_eq!(suspicion.advice(start), Advice::Keep, "one refusal may be a restart");
    assert_eq!(suspicion.advice(start + 100 * MS), Advice::Replace);
}

/// The leader stalls for 300 ms and goes on. A change of leader would cost a second.
#[test]
fn a_stall_replaces_nobody() {
    let start = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.silent(start);
    suspicion.received(Point::new(1, 5), start + 10 * MS);
    assert_eq!(suspicion.advice(start + 300 * MS), Advice::AskReplicas);
    suspicion.answered();
    assert_eq!(suspicion.advice(start + 900 * MS), Advice::Keep);
}

/// This host is cut off from the leader, which serves all others: its replicas go
/// on receiving. Replacing it would stop everybody for the sake of one host.
#[test]
fn a_leader_whose_replicas_receive_is_kept() {
    let start = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.silent(start);
    for n in 0..50_u32 {
        let now = start + n * 100 * MS;
        suspicion.received(Point::new(1, u64::from(n)), now);
        assert_eq!(suspicion.advice(now), Advice::AskReplicas);
    }
}

/// The leader goes dark for all: its replicas receive nothing more.
#[test]
fn a_silent_leader_whose_replicas_stand_still_is_replaced() {
    let start = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.silent(start);
    suspicion.received(Point::new(1, 5), start);
    suspicion.received(Point::new(1, 5), start + 200 * MS);
    assert_eq!(suspicion.advice(start + 200 * MS), Advice::AskReplicas);
    assert_eq!(
        suspicion.advice(start + REPLICA_STALL_TIMEOUT),
        Advice::AskReplicas,
        "nobody was asked since"
    );
    suspicion.received(Point::new(1, 5), start + REPLICA_STALL_TIMEOUT);
    assert_eq!(suspicion.advice(start + REPLICA_STALL_TIMEOUT), Advice::Replace);
}

/// Guards against a replacement by a single answer of the replicas, whatever came after it.
#[test]
fn one_answer_of_the_replicas_does_not_show_that_they_stand_still() {
    let start = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.silent(start);
    suspicion.received(Point::new(1, 5), start);
    assert_eq!(suspicion.advice(start + 3 * REPLICA_STALL_TIMEOUT), Advice::AskReplicas);
    suspicion.received(Point::new(1, 6), start + 3 * REPLICA_STALL_TIMEOUT);
    assert_eq!(suspicion.advice(start + 3 * REPLICA_STALL_TIMEOUT), Advice::AskReplicas);
}

/// Guards against a herd of questions to the servers of a silent leader, and against hosts
/// that never act where the first ones are gone.
#[test]
fn hosts_act_on_a_leader_one_after_the_other() {
    let turns: Vec<_> = (0..300).map(suspicion::stagger_delay).collect();
    assert!(turns.is_sorted());
    assert_eq!(turns[0], Duration::ZERO);
    assert!(turns.iter().filter(|stagger_delay| stagger_delay.is_zero()).count() <= 8);
    assert!(turns[299] < Duration::from_secs(1));
}

/// Guards against a replacement by what replicas told long ago, while another host asks.
#[test]
fn a_leader_left_to_another_host_is_not_judged_by_old_answers() {
    let start = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.silent(start);
    suspicion.received(Point::new(1, 5), start);
    suspicion.reset_silence();
    assert_eq!(suspicion.advice(start + 2 * REPLICA_STALL_TIMEOUT), Advice::Keep);
    suspicion.refused(start);
    suspicion.reset_silence();
    assert_eq!(suspicion.advice(start + 100 * MS), Advice::Replace, "refusals are no silence");
}
