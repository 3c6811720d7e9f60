//! Proof that a host's revision of the configuration is recent enough to act on.

use std::time::Duration;

use bergamottrack_coordination::{
    Clock, Freshness, HostId, ManualClock, Revision,
    freshness::{self, Bounds, ConfigState, FreshnessVote},
};

const LIMIT: Duration = Duration::from_secs(3);

fn hosts(names: &[&str]) -> Vec<HostId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

fn vote(known: u64, confirmed: bool) -> FreshnessVote {
    FreshnessVote {
        known: Revision(known),
        confirmed,
        propagated: Revision(0),
        unreachable: Vec::new(),
    }
}

fn votes_of(list: &[(&str, u64, bool)]) -> Vec<(HostId, FreshnessVote)> {
    list.iter()
        .map(|(id, known, confirmed)| (id.parse().unwrap(), vote(*known, *confirmed)))
        .collect()
}

/// Guards against a single host that proves its own revision to be the newest: it takes votes of
/// a majority, none of which has a newer one.
#[test]
fn majority_without_a_newer_revision_proves_freshness() {
    let roster = hosts(&["h1", "h2", "h3"]);
    let votes = votes_of(&[("h1", 7, true), ("h2", 7, true)]);
    let tally = freshness::tally(Revision(7), &roster, &roster, &[], &votes);
    assert!(tally.newest && tally.propagated);
    let alone = votes_of(&[("h1", 7, true)]);
    assert!(!freshness::tally(Revision(7), &roster, &roster, &[], &alone).newest);
}

/// Guards against a host that acts on an old revision because a majority has none newer,
/// although one vote names a newer revision.
#[test]
fn one_vote_with_a_newer_revision_prevents_the_proof() {
    let roster = hosts(&["h1", "h2", "h3"]);
    let votes = votes_of(&[("h1", 7, true), ("h2", 8, true), ("h3", 7, true)]);
    let tally = freshness::tally(Revision(7), &roster, &roster, &[], &votes);
    assert!(!tally.newest);
    assert_eq!(tally.newer, Some(("h2".parse().unwrap(), Revision(8))));
}

/// Guards against a revoked key that continues to work: two of three hosts received the
/// revocation, one of them restarted and lost it, and the third requests its vote. Such a vote
/// must not count.
#[test]
fn vote_of_a_restarted_host_does_not_count() {
    let roster = hosts(&["h1", "h2", "h3"]);
    let votes = votes_of(&[("h3", 7, true), ("h2", 7, false)]);
    assert!(!freshness::tally(Revision(7), &roster, &roster, &[], &votes).newest);
}

/// Guards against a majority made up of second votes of a host and votes of hosts outside the
/// roster.
#[test]
fn second_votes_and_votes_from_outside_the_roster_do_not_count() {
    let roster = hosts(&["h1", "h2", "h3"]);
    let votes = votes_of(&[("h1", 7, true), ("h1", 7, true), ("h9", 7, true)]);
    let tally = freshness::tally(Revision(7), &roster, &roster, &[], &votes);
    assert!(!tally.newest && !tally.propagated);
}

/// Guards against hosts of the previous roster that act on an old revision after the roster has
/// changed from h1-h3 to h3-h5: they request votes of the old roster only. So the new revision
/// counts as propagated only when majorities of both rosters have it.
#[test]
fn roster_change_is_propagated_by_majorities_of_both_rosters() {
    let (before, after) = (hosts(&["h1", "h2", "h3"]), hosts(&["h3", "h4", "h5"]));
    let new_only = votes_of(&[("h3", 8, true), ("h4", 8, true), ("h5", 8, true)]);
    assert!(!freshness::tally(Revision(8), &after, &before, &[], &new_only).propagated);
    let both = votes_of(&[("h3", 8, true), ("h4", 8, true), ("h1", 8, true)]);
    assert!(freshness::tally(Revision(8), &after, &before, &[], &both).propagated);
}

/// Guards against blocked changes after the permanent loss of two of three hosts, which the
/// platform reports as dead: the third can propagate a roster without them, but its own vote
/// alone proves no freshness.
#[test]
fn revision_is_propagated_without_a_dead_majority() {
    let roster = hosts(&["h1", "h2", "h3"]);
    let dead = hosts(&["h2", "h3"]);
    let own = votes_of(&[("h1", 7, true)]);
    let tally = freshness::tally(Revision(7), &roster, &roster, &dead, &own);
    assert!(tally.propagated && !tally.newest);
    assert!(!freshness::tally(Revision(7), &roster, &roster, &[], &own).propagated);
}

/// Guards against hosts that act on an old revision after it counts as propagated: the platform did
/// not list them for a while and they were out of reach, and the list that shows their return has
/// not been read yet.
#[test]
fn host_that_votes_is_not_dead() {
    let roster = hosts(&["h1", "h2", "h3"]);
    let dead = hosts(&["h2", "h3"]);
    let votes = votes_of(&[("h1", 8, true), ("h2", 7, true), ("h3", 7, true)]);
    assert!(!freshness::tally(Revision(8), &roster, &roster, &dead, &votes).propagated);
}

/// Guards against a proof without any vote.
#[test]
fn empty_roster_proves_no_freshness() {
    assert!(!freshness::tally(Revision(0), &[], &[], &[], &[]).newest);
}

/// Guards against a delayed answer that extends freshness: it counts from the time at which the
/// request was sent.
#[test]
fn freshness_counts_from_the_request_and_expires() {
    let clock = ManualClock::new();
    let mut freshness = Freshness::default();
    freshness.raise(Revision(7));
    let sent_at = clock.now();
    assert!(!freshness.is_fresh(sent_at, LIMIT) && !freshness.may_vote());
    clock.advance(Duration::from_secs(2));
    freshness.confirm(Revision(7), sent_at);
    assert!(freshness.is_fresh(clock.now(), LIMIT));
    clock.advance(Duration::from_secs(1));
    assert!(!freshness.is_fresh(clock.now(), LIMIT), "a delayed answer does not extend freshness");
}

/// Guards against a host that acts on an old revision because of a proof for a newer one that it
/// does not have yet.
#[test]
fn proof_of_a_newer_revision_does_not_confirm_an_older_one() {
    let clock = ManualClock::new();
    let mut freshness = Freshness::default();
    freshness.raise(Revision(7));
    freshness.confirm(Revision(8), clock.now());
    assert!(!freshness.is_fresh(clock.now(), LIMIT));
    freshness.raise(Revision(8));
    freshness.confirm(Revision(8), clock.now());
    assert!(freshness.is_fresh(clock.now(), LIMIT));
}

/// Guards against refusal of all callers at isolated hosts: half of the hosts were partitioned
/// from the store and from the other half for 7 s, and stopped after 2.6 s although no setting
/// required it. With a strict bound, they stop.
#[test]
fn isolated_host_continues_for_a_while_without_a_strict_bound() {
    let (loose, strict) = (bounds(None), bounds(Some(5)));
    assert!(aged(7).may_serve(loose));
    assert!(!aged(11).may_serve(loose));
    assert!(!aged(7).may_serve(strict));
    assert!(ConfigState { majority: true, ..aged(7) }.may_serve(strict));
    let unconfigured = ConfigState { age: None, majority: true, ..aged(0) };
    assert!(!unconfigured.may_serve(loose), "a host without a configuration serves no caller");
}

/// Guards against a host that accepts revoked keys after the bound: a newer configuration is too
/// large for its links, but it has contact with all others and is notified that there is one.
#[test]
fn outdated_host_stops_at_the_bound() {
    for majority in [true, false] {
        let outdated = |age| ConfigState { outdated: true, majority, ..aged(age) };
        assert!(outdated(2).may_serve(bounds(None)));
        assert!(!outdated(3).may_serve(bounds(None)));
        assert!(outdated(1).may_serve(bounds(Some(2))));
        assert!(!outdated(2).may_serve(bounds(Some(2))));
    }
}

fn bounds(strict: Option<u64>) -> Bounds {
    Bounds { apply: Duration::from_secs(3), strict: strict.map(Duration::from_secs) }
}

/// Returns the state of an isolated host whose configuration was the newest `secs` seconds ago.
fn aged(secs: u64) -> ConfigState {
    ConfigState { age: Some(Duration::from_secs(secs)), outdated: false, majority: false }
}

/// Guards against changes that are in force only after the bound of the deployment: with
/// intervals for a bound of 3 s, a host whose hub had died read a change after 2.4 s and a call,
/// too late for a bound of 2 s.
#[test]
fn poll_intervals_leave_time_for_a_call_within_the_bound() {
    for bound in [1000, 2000, 3000, 5000].map(Duration::from_millis) {
        let intervals = freshness::PollIntervals::for_bound(bound);
        assert!(intervals.wait < intervals.ask && intervals.ask < intervals.read, "{intervals:?}");
        assert!(bound - intervals.read >= bound / 6, "no time left for the call: {intervals:?}");
    }
}
