//! Confirmation of commits by a second server.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    Point, ServerId,
    confirm::{CONFIRM_TIMEOUT, ProbeResult, ReplicaProgress, STALL_TIMEOUT, Verdict},
};

fn replicas() -> [ServerId; 2] {
    ["s2", "s3"].map(|name| name.parse().unwrap())
}

fn point(text: &str) -> Point {
    text.parse().unwrap()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a probe for each commit at forty bookings a second: a replica reports the last
/// record that it has received, which confirms all commits up to it and no others.
#[test]
fn one_probe_confirms_all_commits_it_covers() {
    let (now, [near, _]) = (Instant::now(), replicas());
    let mut progress = ReplicaProgress::default();
    assert_eq!(progress.verdict(point("3/7"), &replicas(), false, now, now), Verdict::Pending);
    progress.record(&near, ProbeResult::Received(point("3/9")), now + ms(3));
    for commit in ["3/7", "3/8", "3/9"] {
        let verdict = progress.verdict(point(commit), &replicas(), false, now, now + ms(3));
        assert_eq!(verdict, Verdict::Confirmed);
    }
    assert_eq!(
        progress.verdict(point("3/10"), &replicas(), false, now, now + ms(3)),
        Verdict::Pending
    );
}

/// Guards against lost bookings: a leader that was partitioned from its replicas acknowledged 51
/// bookings in 7 s that its successor never received. Such commits are not confirmed, further
/// writes are not sent, and the leader is replaced while a replica is reachable.
#[test]
fn leader_partitioned_from_its_replicas_confirms_nothing_and_is_replaced() {
    let (start, ids) = (Instant::now(), replicas());
    let mut progress = ReplicaProgress::default();
    progress.note(point("3/9"));
    let led = start - ms(60_000);
    let late = start + CONFIRM_TIMEOUT;
    ids.iter()
        .for_each(|id| progress.record(id, ProbeResult::Received(point("3/9")), start + ms(200)));
    assert_eq!(progress.verdict(point("3/10"), &ids, false, start, late), Verdict::Unknown);
    assert!(progress.is_stalled(&ids, false));
    assert!(!progress.is_partitioned(led, late), "a stall of 300 ms does not replace the leader");
    let then = late + STALL_TIMEOUT;
    assert!(!progress.is_partitioned(led, then + ms(500)), "the replicas were not probed since");
    progress.record(&ids[0], ProbeResult::Received(point("3/9")), then);
    assert!(progress.is_partitioned(led, then));
    assert!(!progress.is_partitioned(then - ms(5000), then), "another leader would be no better");
    progress.record(&ids[0], ProbeResult::Received(point("3/10")), then);
    assert!(!progress.is_stalled(&ids, false), "the replicas receive records again");
}

/// Guards against lost bookings behind a network that refuses connections: the replicas run, lack
/// the commits of the leader, and one of them is the next leader.
#[test]
fn replicas_that_refuse_connections_confirm_nothing() {
    let (start, ids) = (Instant::now(), replicas());
    let mut progress = ReplicaProgress::default();
    ids.iter().for_each(|id| progress.record(id, ProbeResult::Silent, start));
    assert_eq!(progress.verdict(point("3/10"), &ids, false, start, start), Verdict::Pending);
    let late = start + CONFIRM_TIMEOUT;
    assert_eq!(progress.verdict(point("3/10"), &ids, false, start, late), Verdict::Unknown);
    assert!(progress.is_stalled(&ids, false));
}

/// Guards against refusal of all bookings after both replicas of a group have crashed and the list
/// has lost them: no other server could lead, so refusals would protect nothing. A replica that is
/// still listed may be promoted and must show the commit.
#[test]
fn acknowledgement_of_the_leader_suffices_without_listed_replicas() {
    let (start, ids) = (Instant::now(), replicas());
    let mut progress = ReplicaProgress::default();
    assert_eq!(progress.verdict(point("3/10"), &[], false, start, start), Verdict::LeaderOnly);
    progress.record(&ids[1], ProbeResult::Silent, start);
    let late = start + CONFIRM_TIMEOUT;
    assert_eq!(progress.verdict(point("3/10"), &ids[1..], false, start, late), Verdict::Unknown);
}

/// Guards against the loss of acknowledged commits: no replica is listed, the leader acknowledges a commit
/// that only a server outside of the recorded ones has received, and the next leader lacks it.
#[test]
fn acknowledgement_of_the_leader_does_not_suffice_if_a_confirmation_is_required() {
    let start = Instant::now();
    let mut progress = ReplicaProgress::default();
    assert!(progress.is_stalled(&[], true));
    assert_eq!(progress.verdict(point("3/10"), &[], true, start, start), Verdict::Pending);
    let late = start + CONFIRM_TIMEOUT;
    assert_eq!(progress.verdict(point("3/10"), &[], true, start, late), Verdict::Unknown);
    assert!(progress.is_stalled(&[], true));
    progress.note(point("3/10"));
    assert_eq!(progress.verdict(point("3/10"), &[], true, start, late), Verdict::Confirmed);
    assert!(!progress.is_stalled(&replicas(), true));
}

/// Guards against refusal of all bookings for as long as two crashed replicas stay away: a commit
/// was not confirmed before the list lost them, and no replica can receive it later.
#[test]
fn stall_ends_once_the_list_has_lost_all_replicas() {
    let (start, ids) = (Instant::now(), replicas());
    let mut progress = ReplicaProgress::default();
    let late = start + CONFIRM_TIMEOUT;
    assert_eq!(progress.verdict(point("3/10"), &ids, false, start, late), Verdict::Unknown);
    assert!(progress.is_stalled(&ids[..1], false), "one replica is still in the list");
    assert!(!progress.is_stalled(&[], false));
    assert_eq!(progress.verdict(point("3/11"), &[], false, late, late), Verdict::LeaderOnly);
    assert!(
        !progress.is_stalled(&ids, false),
        "the replicas are back, and the next commit decides"
    );
}

/// Guards against an unknown outcome of a booking that is kept: slow reads take all slots of the
/// replicas for seconds, and a replica without a free slot still returns its log position.
#[test]
fn position_of_a_busy_replica_confirms_a_commit() {
    let (start, ids) = (Instant::now(), replicas());
    let mut progress = ReplicaProgress::default();
    progress.record(&ids[0], ProbeResult::Busy(Some(point("3/9"))), start + ms(50));
    progress.record(&ids[1], ProbeResult::Busy(None), start + ms(50));
    assert_eq!(
        progress.verdict(point("3/10"), &ids, false, start, start + ms(60)),
        Verdict::Pending
    );
    progress.record(&ids[0], ProbeResult::Busy(Some(point("3/10"))), start + ms(70));
    assert_eq!(
        progress.verdict(point("3/10"), &ids, false, start, start + ms(70)),
        Verdict::Confirmed
    );
}

/// Guards against lost bookings of a leader that is partitioned from its replicas while these have
/// no capacity for a probe. Their positions include records with a delay, so a position that lacks
/// the commit is no reason to replace the leader.
#[test]
fn busy_replicas_without_the_commit_confirm_nothing_and_replace_no_leader() {
    let (start, ids) = (Instant::now(), replicas());
    let mut progress = ReplicaProgress::default();
    let late = start + CONFIRM_TIMEOUT;
    progress.record(&ids[0], ProbeResult::Busy(Some(point("3/9"))), late);
    progress.record(&ids[1], ProbeResult::Busy(None), late);
    assert_eq!(progress.verdict(point("3/10"), &ids, false, start, late), Verdict::Unknown);
    assert!(progress.is_stalled(&ids, false));
    assert!(!progress.is_partitioned(start - ms(60_000), late + STALL_TIMEOUT));
    progress.record(&ids[0], ProbeResult::Busy(Some(point("3/10"))), late + ms(50));
    assert!(!progress.is_stalled(&ids, false));
}

/// Guards against confirmation of a discarded commit: a replica was promoted and its position is
/// beyond the commit, but the commit may have been discarded before that term began.
#[test]
fn position_of_a_later_term_does_not_confirm_an_earlier_commit() {
    let mut progress = ReplicaProgress::default();
    progress.note(point("4/30"));
    assert!(!progress.covers(point("3/10")));
}
