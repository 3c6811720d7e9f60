//! Each host's part of every account's rate and burst.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    AccountId, Allotment, Bucket, Burst, HostId, Rate, Revision, Share, Shares, bucket,
};

const FRESH: Duration = Duration::from_secs(3);

fn account() -> AccountId {
    "baobab".parse().unwrap()
}

fn allotment(number: u64, hosts: &[&str], rate: f64, burst: f64) -> Allotment {
    Allotment {
        revision: Revision(number),
        fresh: FRESH,
        roster: hosts.iter().map(|id| id.parse().unwrap()).collect(),
        contracts: [(account(), Share { rate: Rate(rate), burst: Burst(burst) })].into(),
    }
}

fn me() -> Shares {
    Shares::new("h1".parse::<HostId>().unwrap())
}

fn rate(shares: &Shares) -> f64 {
    shares.share(&account()).rate.0
}

/// h3 leaves and the others' parts grow. h3 may not know of it for as long as
/// its freshness lasts, and what it lent may be spent a while longer: until
/// then the parts of before hold, or the account would get too much.
#[test]
fn a_part_that_grows_waits_until_no_host_uses_the_old_one() {
    let now = Instant::now();
    let mut shares = me();
    shares.begin();
    shares.advance(allotment(1, &["h1", "h2", "h3"], 60.0, 60.0));
    assert_eq!(rate(&shares), 20.0);
    shares.advance(allotment(2, &["h1", "h2"], 60.0, 60.0));
    assert_eq!(rate(&shares), 20.0);
    assert!(shares.settle(now + FRESH * 10).is_none(), "the revision was not told yet");
    shares.acknowledged(Revision(2), now);
    assert!(shares.settle(now + FRESH + bucket::LENDER_HOLD_TTL).is_none());
    assert_eq!(rate(&shares), 20.0);
    assert!(shares.settle(now + FRESH * 2).is_some());
    assert_eq!(rate(&shares), 30.0);
}

#[test]
fn a_part_that_shrinks_does_so_at_once() {
    let mut shares = me();
    shares.begin();
    shares.advance(allotment(1, &["h1", "h2"], 60.0, 60.0));
    shares.advance(allotment(2, &["h1", "h2", "h3"], 60.0, 60.0));
    assert_eq!(rate(&shares), 20.0);
    shares.advance(allotment(3, &["h1", "h2", "h3"], 30.0, 60.0));
    assert_eq!(rate(&shares), 10.0);
}

/// A host is replaced under its old name. Its predecessor may have served from
/// its part a moment ago, so the new one waits before it uses it.
#[test]
fn a_host_that_has_just_started_uses_nothing() {
    let now = Instant::now();
    let mut shares = me();
    shares.advance(allotment(5, &["h1", "h2"], 60.0, 60.0));
    assert_eq!(rate(&shares), 0.0);
    shares.acknowledged(Revision(5), now);
    assert!(shares.settle(now + FRESH * 2).is_some());
    assert_eq!(rate(&shares), 30.0);
}

/// A host has joined and nobody asks it for anything for a while. Then a caller
/// comes with as many requests as the host's part of the burst, and is refused:
/// the part was counted from the first request on, not from when it settled.
#[test]
fn a_burst_fills_at_a_host_that_nobody_asks() {
    let now = Instant::now();
    let late = now + FRESH * 10;
    let mut shares = me();
    shares.advance(allotment(5, &["h1", "h2"], 60.0, 60.0));
    let mut bucket = Bucket::new(shares.share(&account()), 0, now);
    shares.acknowledged(Revision(5), now);
    let at = shares.settle(late).unwrap();
    bucket.set_share(shares.share(&account()), at);
    assert_eq!(bucket.tokens(late), 30.0);
}

/// Hosts are replaced one after another, each a revision, seconds apart. A host
/// that has just started was without a part until the last of them had settled,
/// and refused accounts that were within their rate. Each revision now settles
/// by itself; what is used is the least part in those that are left.
#[test]
fn each_revision_settles_by_itself() {
    let now = Instant::now();
    let mut shares = me();
    shares.advance(allotment(5, &["h1", "h2"], 60.0, 60.0));
    shares.acknowledged(Revision(5), now);
    shares.advance(allotment(6, &["h1", "h2", "h3"], 60.0, 60.0));
    assert!(shares.settle(now + FRESH).is_none());
    assert_eq!(rate(&shares), 0.0);
    assert!(shares.settle(now + FRESH * 2).is_some());
    assert_eq!(rate(&shares), 20.0);
    shares.advance(allotment(7, &["h1"], 60.0, 60.0));
    shares.acknowledged(Revision(6), now + FRESH * 2);
    assert!(shares.settle(now + FRESH * 4).is_some());
    assert_eq!(rate(&shares), 20.0, "7 was not told");
    assert!(shares.settle(now + FRESH * 9).is_none());
    shares.acknowledged(Revision(7), now + FRESH * 9);
    assert!(shares.settle(now + FRESH * 11).is_some());
    assert_eq!(rate(&shares), 60.0);
}

/// A host is frozen while a revision comes that gives a new host a part, and
/// wakes to the next one. Another host may act on the revision in between for a
/// while. By the two revisions that the first host knows its part never changed:
/// with it in use the account would get half as much again.
#[test]
fn a_host_that_missed_a_revision_uses_nothing_at_first() {
    let now = Instant::now();
    let mut shares = me();
    shares.begin();
    shares.advance(allotment(1, &["h1", "h2"], 60.0, 60.0));
    // Missed: revision 2 with the roster h1, h3, h4.
    shares.advance(allotment(3, &["h1", "h3"], 60.0, 60.0));
    assert_eq!(rate(&shares), 0.0);
    shares.acknowledged(Revision(3), now);
    assert!(shares.settle(now + FRESH).is_none());
    assert!(shares.settle(now + FRESH * 2).is_some());
    assert_eq!(rate(&shares), 30.0);
}

/// A burst of five over eight hosts: parts of less than a token would never let
/// anything through, so two hosts hold a part, and all agree on which.
#[test]
fn an_account_of_a_small_burst_has_few_holders() {
    let hosts = ["h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8"];
    let allotment = allotment(1, &hosts, 60.0, 5.0);
    assert_eq!(allotment.holders(&account()).len(), 2);
    let parts = hosts.iter().map(|id| {
        let mut shares = Shares::new(id.parse().unwrap());
        shares.begin();
        shares.advance(allotment.clone());
        shares.share(&account()).burst.0
    });
    assert_eq!(parts.sum::<f64>(), 5.0);
}
