//! Each host's part of every account's rate and burst.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    AccountId, Allotment, Bucket, Burst, HostId, Rate, Revision, Share, Shares, bucket,
};

const FRESHNESS_PERIOD: Duration = Duration::from_secs(3);

fn account() -> AccountId {
    "baobab".parse().unwrap()
}

fn allotment(number: u64, hosts: &[&str], rate: f64, burst: f64) -> Allotment {
    Allotment {
        revision: Revision(number),
        fresh: FRESHNESS_PERIOD,
        roster: hosts.iter().map(|id| id.parse().unwrap()).collect(),
        contracts: [(account(), Share { rate: Rate(rate), burst: Burst(burst) })].into(),
    }
}

fn shares_of_h1() -> Shares {
    Shares::new("h1".parse::<HostId>().unwrap())
}

fn rate(shares: &Shares) -> f64 {
    shares.share(&account()).rate.0
}

/// Guards against exceeding the contract: h3 leaves and the other parts grow, but h3 may not
/// receive the revision during its freshness period, and tokens that it lent may be spent a while
/// longer.
#[test]
fn growing_part_is_used_only_when_no_host_can_use_an_old_one() {
    let now = Instant::now();
    let mut shares = shares_of_h1();
    shares.begin();
    shares.advance(allotment(1, &["h1", "h2", "h3"], 60.0, 60.0));
    assert_eq!(rate(&shares), 20.0);
    shares.advance(allotment(2, &["h1", "h2"], 60.0, 60.0));
    assert_eq!(rate(&shares), 20.0);
    assert!(
        shares.settle(now + FRESHNESS_PERIOD * 10).is_none(),
        "the revision is not acknowledged yet"
    );
    shares.acknowledged(Revision(2), now);
    assert!(shares.settle(now + FRESHNESS_PERIOD + bucket::LENDER_HOLD_TTL).is_none());
    assert_eq!(rate(&shares), 20.0);
    assert!(shares.settle(now + FRESHNESS_PERIOD * 2).is_some());
    assert_eq!(rate(&shares), 30.0);
}

/// Guards against exceeding the contract: a host that still uses its old part while another
/// host's has grown.
#[test]
fn shrinking_part_takes_effect_immediately() {
    let mut shares = shares_of_h1();
    shares.begin();
    shares.advance(allotment(1, &["h1", "h2"], 60.0, 60.0));
    shares.advance(allotment(2, &["h1", "h2", "h3"], 60.0, 60.0));
    assert_eq!(rate(&shares), 20.0);
    shares.advance(allotment(3, &["h1", "h2", "h3"], 30.0, 60.0));
    assert_eq!(rate(&shares), 10.0);
}

/// Guards against exceeding the contract when a host is replaced under its old name: its
/// predecessor may have used the part a moment ago.
#[test]
fn host_that_has_just_started_uses_no_part_before_it_settles() {
    let now = Instant::now();
    let mut shares = shares_of_h1();
    shares.advance(allotment(5, &["h1", "h2"], 60.0, 60.0));
    assert_eq!(rate(&shares), 0.0);
    shares.acknowledged(Revision(5), now);
    assert!(shares.settle(now + FRESHNESS_PERIOD * 2).is_some());
    assert_eq!(rate(&shares), 30.0);
}

/// Guards against refusing a caller that sends as many requests as the host's part of the burst
/// to a host that joined a while ago and had none since: tokens accrue from when the part
/// settled, not from the first request.
#[test]
fn burst_accrues_at_a_host_without_requests() {
    let now = Instant::now();
    let late = now + FRESHNESS_PERIOD * 10;
    let mut shares = shares_of_h1();
    shares.advance(allotment(5, &["h1", "h2"], 60.0, 60.0));
    let mut bucket = Bucket::new(shares.share(&account()), 0, now);
    shares.acknowledged(Revision(5), now);
    let at = shares.settle(late).unwrap();
    bucket.set_share(shares.share(&account()), at);
    assert_eq!(bucket.tokens(late), 30.0);
}

/// Guards against refusing accounts within their rate while hosts are replaced one after another,
/// each by a revision, seconds apart: a host that has just started would have no part until the
/// last of them settled. The part in use is the minimum over the remaining revisions.
#[test]
fn each_revision_settles_independently() {
    let now = Instant::now();
    let mut shares = shares_of_h1();
    shares.advance(allotment(5, &["h1", "h2"], 60.0, 60.0));
    shares.acknowledged(Revision(5), now);
    shares.advance(allotment(6, &["h1", "h2", "h3"], 60.0, 60.0));
    assert!(shares.settle(now + FRESHNESS_PERIOD).is_none());
    assert_eq!(rate(&shares), 0.0);
    assert!(shares.settle(now + FRESHNESS_PERIOD * 2).is_some());
    assert_eq!(rate(&shares), 20.0);
    shares.advance(allotment(7, &["h1"], 60.0, 60.0));
    shares.acknowledged(Revision(6), now + FRESHNESS_PERIOD * 2);
    assert!(shares.settle(now + FRESHNESS_PERIOD * 4).is_some());
    assert_eq!(rate(&shares), 20.0, "revision 7 is not acknowledged");
    assert!(shares.settle(now + FRESHNESS_PERIOD * 9).is_none());
    shares.acknowledged(Revision(7), now + FRESHNESS_PERIOD * 9);
    assert!(shares.settle(now + FRESHNESS_PERIOD * 11).is_some());
    assert_eq!(rate(&shares), 60.0);
}

/// Guards against admitting half as much again as the contract. A host is frozen during a
/// revision that gives a new host a part, and resumes at the next. Its own part is the same in
/// both that it received, but another host may still act on the missed one.
#[test]
fn host_that_missed_a_revision_uses_no_part_before_the_next_settles() {
    let now = Instant::now();
    let mut shares = shares_of_h1();
    shares.begin();
    shares.advance(allotment(1, &["h1", "h2"], 60.0, 60.0));
    // Missed: revision 2 with the roster h1, h3, h4.
    shares.advance(allotment(3, &["h1", "h3"], 60.0, 60.0));
    assert_eq!(rate(&shares), 0.0);
    shares.acknowledged(Revision(3), now);
    assert!(shares.settle(now + FRESHNESS_PERIOD).is_none());
    assert!(shares.settle(now + FRESHNESS_PERIOD * 2).is_some());
    assert_eq!(rate(&shares), 30.0);
}

/// Guards against parts of less than a token, which would never admit a request: of eight hosts
/// two hold a burst of five, and all hosts agree on which.
#[test]
fn account_with_a_small_burst_has_few_holders() {
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
