//! Failure detection for leaders: the evidence that starts a failover.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    Point,
    suspicion::{self, Advice, REPLICA_STALL_TIMEOUT, Suspicion},
};

const MS: Duration = Duration::from_millis(1);

/// Guards against waiting for timeouts after the leader's process has died and connections are
/// refused.
#[test]
fn leader_that_refuses_connections_is_replaced_without_a_silence_timeout() {
    let start = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.refused(start);
    assert_eq!(suspicion.advice(start), Advice::Keep, "a single refusal may be a restart");
    assert_eq!(suspicion.advice(start + 100 * MS), Advice::Replace);
}

/// Guards against a failover, which costs a second, because of a leader that stalls for 300 ms
/// and continues.
#[test]
fn leader_that_stalls_for_300_ms_is_kept() {
    let start = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.silent(start);
    suspicion.received(Point::new(1, 5), start + 10 * MS);
    assert_eq!(suspicion.advice(start + 300 * MS), Advice::AskReplicas);
    suspicion.answered();
    assert_eq!(suspicion.advice(start + 900 * MS), Advice::Keep);
}

/// Guards against a failover that interrupts all hosts because this one is cut off from the
/// leader: the leader serves the others, and its replicas continue to receive its log.
#[test]
fn leader_unreachable_from_one_host_is_kept_while_its_replicas_receive() {
    let start = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.silent(start);
    for n in 0..50_u32 {
        let now = start + n * 100 * MS;
        suspicion.received(Point::new(1, u64::from(n)), now);
        assert_eq!(suspicion.advice(now), Advice::AskReplicas);
    }
}

/// Guards against keeping a leader that has stopped for all hosts: its replicas receive nothing
/// more.
#[test]
fn silent_leader_is_replaced_once_its_replicas_have_stalled() {
    let start = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.silent(start);
    suspicion.received(Point::new(1, 5), start);
    suspicion.received(Point::new(1, 5), start + 200 * MS);
    assert_eq!(suspicion.advice(start + 200 * MS), Advice::AskReplicas);
    assert_eq!(
        suspicion.advice(start + REPLICA_STALL_TIMEOUT),
        Advice::AskReplicas,
        "no replica was queried since"
    );
    suspicion.received(Point::new(1, 5), start + REPLICA_STALL_TIMEOUT);
    assert_eq!(suspicion.advice(start + REPLICA_STALL_TIMEOUT), Advice::Replace);
}

/// Guards against a failover based on a single report of the replicas, whatever they received
/// after it.
#[test]
fn single_report_of_a_replica_does_not_prove_a_stall() {
    let start = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.silent(start);
    suspicion.received(Point::new(1, 5), start);
    assert_eq!(suspicion.advice(start + 3 * REPLICA_STALL_TIMEOUT), Advice::AskReplicas);
    suspicion.received(Point::new(1, 6), start + 3 * REPLICA_STALL_TIMEOUT);
    assert_eq!(suspicion.advice(start + 3 * REPLICA_STALL_TIMEOUT), Advice::AskReplicas);
}

/// Guards against hundreds of hosts that query the servers of a silent leader at once, and
/// against hosts that never act when the first batches are gone.
#[test]
fn hosts_act_on_a_silent_leader_in_staggered_batches() {
    let delays: Vec<_> = (0..300).map(suspicion::stagger_delay).collect();
    assert!(delays.is_sorted());
    assert_eq!(delays[0], Duration::ZERO);
    assert!(delays.iter().filter(|delay| delay.is_zero()).count() <= 8);
    assert!(delays[299] < Duration::from_secs(1));
}

/// Guards against a failover based on reports of the replicas that became outdated while another
/// host probed the leader.
#[test]
fn evidence_of_silence_is_discarded_while_another_host_probes() {
    let start = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.silent(start);
    suspicion.received(Point::new(1, 5), start);
    suspicion.reset_silence();
    assert_eq!(suspicion.advice(start + 2 * REPLICA_STALL_TIMEOUT), Advice::Keep);
    suspicion.refused(start);
    suspicion.reset_silence();
    assert_eq!(suspicion.advice(start + 100 * MS), Advice::Replace, "refusals are kept");
}

/// Guards against hosts that replace each other's leader in turn, because a network refuses each of
/// them the connections to the server that the other one has promoted.
#[test]
fn new_leader_that_refuses_connections_is_kept_while_its_replicas_receive() {
    let start = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.start_leadership(start);
    suspicion.answered();
    suspicion.refused(start);
    for n in 0..17_u32 {
        let now = start + (100 + n * 200) * MS;
        suspicion.received(Point::new(2, u64::from(n)), now);
        assert_eq!(suspicion.advice(now), Advice::AskReplicas);
    }
    assert_eq!(suspicion.advice(start + suspicion::NEW_LEADER_DURATION), Advice::Replace);
}

/// Guards against seconds without a leader after a server that was just promoted has crashed.
#[test]
fn new_leader_that_refuses_connections_is_replaced_once_its_replicas_have_stalled() {
    let start = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.start_leadership(start);
    suspicion.refused(start);
    assert_eq!(suspicion.advice(start + 100 * MS), Advice::AskReplicas);
    suspicion.received(Point::new(2, 5), start + 100 * MS);
    suspicion.received(Point::new(2, 5), start + 100 * MS + REPLICA_STALL_TIMEOUT);
    assert_eq!(suspicion.advice(start + 100 * MS + REPLICA_STALL_TIMEOUT), Advice::Replace);
}
