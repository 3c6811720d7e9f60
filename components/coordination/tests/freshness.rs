//! Whether a host may still act on the revision it knows.

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

fn answers(list: &[(&str, u64, bool)]) -> Vec<(HostId, FreshnessVote)> {
    list.iter()
        .map(|(id, known, confirmed)| (id.parse().unwrap(), vote(*known, *confirmed)))
        .collect()
}

#[test]
fn a_majority_that_knows_nothing_newer_shows_freshness() {
    let roster = hosts(&["h1", "h2", "h3"]);
    let told = answers(&[("h1", 7, true), ("h2", 7, true)]);
    let tally = freshness::tally(Revision(7), &roster, &roster, &[], &told);
    assert!(tally.newest && tally.propagated);
    let alone = answers(&[("h1", 7, true)]);
    assert!(!freshness::tally(Revision(7), &roster, &roster, &[], &alone).newest);
}

#[test]
fn one_host_that_knows_a_newer_revision_is_enough_to_stop() {
    let roster = hosts(&["h1", "h2", "h3"]);
    let told = answers(&[("h1", 7, true), ("h2", 8, true), ("h3", 7, true)]);
    let tally = freshness::tally(Revision(7), &roster, &roster, &[], &told);
    assert!(!tally.newest);
    assert_eq!(tally.newer, Some(("h2".parse().unwrap(), Revision(8))));
}

/// A key is withdrawn and two of three hosts are told. One of them restarts and
/// forgets; the third asks it. Did its ignorance count, the withdrawn key would
/// go on working at the third host.
#[test]
fn a_restarted_host_vouches_for_nothing() {
    let roster = hosts(&["h1", "h2", "h3"]);
    let told = answers(&[("h3", 7, true), ("h2", 7, false)]);
    assert!(!freshness::tally(Revision(7), &roster, &roster, &[], &told).newest);
}

#[test]
fn hosts_outside_the_roster_and_second_answers_do_not_count() {
    let roster = hosts(&["h1", "h2", "h3"]);
    let told = answers(&[("h1", 7, true), ("h1", 7, true), ("h9", 7, true)]);
    let tally = freshness::tally(Revision(7), &roster, &roster, &[], &told);
    assert!(!tally.newest && !tally.propagated);
}

/// The roster moves from h1-h3 to h3-h5. A host of the old one asks the old one
/// only, so the new revision counts as told when majorities of both know it.
#[test]
fn a_roster_change_is_told_to_both_rosters() {
    let (before, after) = (hosts(&["h1", "h2", "h3"]), hosts(&["h3", "h4", "h5"]));
    let new_only = answers(&[("h3", 8, true), ("h4", 8, true), ("h5", 8, true)]);
    assert!(!freshness::tally(Revision(8), &after, &before, &[], &new_only).propagated);
    let both = answers(&[("h3", 8, true), ("h4", 8, true), ("h1", 8, true)]);
    assert!(freshness::tally(Revision(8), &after, &before, &[], &both).propagated);
}

/// Two of three hosts die for good, and the platform says so. The third must be
/// able to go on to a roster without them, but not to vouch for itself alone.
#[test]
fn a_majority_that_is_dead_need_not_be_told() {
    let roster = hosts(&["h1", "h2", "h3"]);
    let dead = hosts(&["h2", "h3"]);
    let own = answers(&[("h1", 7, true)]);
    let tally = freshness::tally(Revision(7), &roster, &roster, &dead, &own);
    assert!(tally.propagated && !tally.newest);
    assert!(!freshness::tally(Revision(7), &roster, &roster, &[], &own).propagated);
}

#[test]
fn an_empty_roster_shows_nothing() {
    assert!(!freshness::tally(Revision(0), &[], &[], &[], &[]).newest);
}

#[test]
fn freshness_counts_from_the_question_and_runs_out() {
    let clock = ManualClock::new();
    let mut freshness = Freshness::default();
    freshness.raise(Revision(7));
    let asked = clock.now();
    assert!(!freshness.is_fresh(asked, LIMIT) && !freshness.may_vote());
    clock.advance(Duration::from_secs(2));
    freshness.confirm(Revision(7), asked);
    assert!(freshness.is_fresh(clock.now(), LIMIT));
    clock.advance(Duration::from_secs(1));
    assert!(!freshness.is_fresh(clock.now(), LIMIT), "a late answer is no younger");
}

#[test]
fn what_shows_a_newer_revision_does_not_make_an_older_one_fresh() {
    let clock = ManualClock::new();
    let mut freshness = Freshness::default();
    freshness.raise(Revision(7));
    freshness.confirm(Revision(8), clock.now());
    assert!(!freshness.is_fresh(clock.now(), LIMIT));
    freshness.raise(Revision(8));
    freshness.confirm(Revision(8), clock.now());
    assert!(freshness.is_fresh(clock.now(), LIMIT));
}

/// Half of the hosts are cut off from the store and from the other half for 7 s.
/// Every caller there was refused after 2.6 s, though nobody had asked for hosts
/// that stop so soon. Where a strict bound is set, they do.
#[test]
fn a_host_that_is_cut_off_goes_on_for_a_while() {
    let (loose, strict) = (bounds(None), bounds(Some(5)));
    assert!(aged(7).may_serve(loose));
    assert!(!aged(11).may_serve(loose));
    assert!(!aged(7).may_serve(strict));
    assert!(ConfigState { majority: true, ..aged(7) }.may_serve(strict));
    let nothing = ConfigState { age: None, majority: true, ..aged(0) };
    assert!(!nothing.may_serve(loose), "a host that knows nothing serves nobody");
}

/// A newer configuration is too large for the links of a host. It is told that there is one
/// and hears all others, and went on with withdrawn keys after the bound.
#[test]
fn a_host_that_knows_of_a_newer_configuration_stops_at_the_bound() {
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

/// A host whose configuration was the newest so many seconds ago.
fn aged(secs: u64) -> ConfigState {
    ConfigState { age: Some(Duration::from_secs(secs)), outdated: false, majority: false }
}

/// An operator's change must be in force within the bound of the deployment. With
/// times made for a bound of 3 s, a host whose hub had died heard of a change after
/// 2.4 s and a call, too late where the bound is 2 s.
#[test]
fn a_change_is_looked_for_within_its_bound() {
    for bound in [1000, 2000, 3000, 5000].map(Duration::from_millis) {
        let pace = freshness::PollIntervals::for_bound(bound);
        assert!(pace.wait < pace.ask && pace.ask < pace.read, "{pace:?}");
        assert!(bound - pace.read >= bound / 6, "time is left for the call: {pace:?}");
    }
}
