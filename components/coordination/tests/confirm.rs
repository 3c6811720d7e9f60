//! Commits that wait until a second server holds them.

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

/// Forty bookings a second, and a replica that tells how far it has received: all
/// that it covers are acknowledged by one question, and none before.
#[test]
fn one_answer_confirms_all_that_it_covers() {
    let (now, [near, _]) = (Instant::now(), replicas());
    let mut confirm = ReplicaProgress::default();
    assert_eq!(confirm.verdict(point("3/7"), &replicas(), now, now), Verdict::Pending);
    confirm.record(&near, ProbeResult::Received(point("3/9")), now + ms(3));
    for commit in ["3/7", "3/8", "3/9"] {
        let verdict = confirm.verdict(point(commit), &replicas(), now, now + ms(3));
        assert_eq!(verdict, Verdict::Confirmed);
    }
    assert_eq!(confirm.verdict(point("3/10"), &replicas(), now, now + ms(3)), Verdict::Pending);
}

/// A leader is cut off from its replicas and acknowledges for 7 s. Callers were told
/// of 51 bookings that its successor never had. None is told now; further writes are
/// not sent, and the leader is replaced while the replicas can be reached.
#[test]
fn a_leader_that_is_cut_off_from_its_replicas_acknowledges_nothing() {
    let (start, ids) = (Instant::now(), replicas());
    let mut confirm = ReplicaProgress::default();
    confirm.note(point("3/9"));
    let led = start - ms(60_000);
    let late = start + CONFIRM_TIMEOUT;
    ids.iter()
        .for_each(|id| confirm.record(id, ProbeResult::Received(point("3/9")), start + ms(200)));
    assert_eq!(confirm.verdict(point("3/10"), &ids, start, late), Verdict::Unknown);
    assert!(confirm.is_stalled());
    assert!(!confirm.is_partitioned(led, late), "a stall of 300 ms replaces no leader");
    let then = late + STALL_TIMEOUT;
    assert!(!confirm.is_partitioned(led, then + ms(500)), "nobody has asked the replicas since");
    confirm.record(&ids[0], ProbeResult::Received(point("3/9")), then);
    assert!(confirm.is_partitioned(led, then));
    assert!(!confirm.is_partitioned(then - ms(5000), then), "another leader would do no better");
    confirm.record(&ids[0], ProbeResult::Received(point("3/10")), then);
    assert!(!confirm.is_stalled(), "they receive again");
}

/// Both replicas of a group crash. No other server could lead, so refusing all
/// bookings would protect nothing.
#[test]
fn without_replicas_the_leaders_word_counts() {
    let (start, ids) = (Instant::now(), replicas());
    let mut confirm = ReplicaProgress::default();
    ids.iter().for_each(|id| confirm.record(id, ProbeResult::Dead, start));
    assert_eq!(confirm.verdict(point("3/10"), &ids, start, start), Verdict::LeaderOnly);
    assert_eq!(confirm.verdict(point("3/10"), &[], start, start), Verdict::LeaderOnly);
    let one_dark = [ProbeResult::Dead, ProbeResult::Silent];
    ids.iter().zip(one_dark).for_each(|(id, heard)| confirm.record(id, heard, start));
    let late = start + CONFIRM_TIMEOUT;
    assert_eq!(confirm.verdict(point("3/10"), &ids, start, late), Verdict::Unknown);
}

/// All slots of the replicas are taken by slow reads, for seconds. A booking that is
/// kept must not be called uncertain because nobody has time to say so.
#[test]
fn busy_replicas_do_not_make_a_commit_uncertain() {
    let (start, ids) = (Instant::now(), replicas());
    let mut confirm = ReplicaProgress::default();
    ids.iter().for_each(|id| confirm.record(id, ProbeResult::Busy, start + ms(50)));
    assert_eq!(confirm.verdict(point("3/10"), &ids, start, start + ms(60)), Verdict::Pending);
    let late = start + CONFIRM_TIMEOUT;
    assert_eq!(confirm.verdict(point("3/10"), &ids, start, late), Verdict::LeaderOnly);
    assert!(!confirm.is_stalled());
}

/// A replica has promoted itself past the commit. Its position is further, but the
/// commit may have been taken back on the way.
#[test]
fn a_later_term_confirms_nothing_of_an_earlier_one() {
    let mut confirm = ReplicaProgress::default();
    confirm.note(point("4/30"));
    assert!(!confirm.covers(point("3/10")));
}
