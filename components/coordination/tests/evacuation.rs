//! Failure domains that the operator has evacuated.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{evacuation, ids, store_clock};

const BOUND: Duration = Duration::from_secs(5);

fn domain(name: &str) -> ids::FailureDomain {
    name.parse().unwrap()
}

fn secs(number: u64) -> Duration {
    Duration::from_secs(number)
}

/// Returns the names of the evacuated failure domains.
fn names(set: &evacuation::Set) -> Vec<String> {
    set.domains().map(|(domain, _)| domain.to_string()).collect()
}

/// Returns the state of a host that read an empty set at the store time 100 s, which was `now`
/// locally.
fn initial_state(now: Instant) -> (evacuation::Set, store_clock::StoreClock) {
    let mut store = store_clock::StoreClock::default();
    store.note(now, now, secs(100));
    let mut set = evacuation::Set::default();
    set.read(&[], true, 1, secs(100));
    (set, store)
}

/// Guards against statements that reach a server later than `BOUND` after its failure domain was
/// evacuated.
#[test]
fn statements_are_forbidden_before_the_bound() {
    let now = Instant::now();
    let (mut set, store) = initial_state(now);
    set.read(&[(domain("a"), Some(2))], false, 2, secs(102));
    let at = |ms| set.placement(&domain("a"), &store, BOUND, now + Duration::from_millis(ms));
    // The domain may have been evacuated just after the previous read at 100 s.
    assert_eq!(at(2000), evacuation::Placement::Draining);
    assert_eq!(at(2600), evacuation::Placement::Forbidden);
    let other = set.placement(&domain("b"), &store, BOUND, now + secs(9));
    assert_eq!(other, evacuation::Placement::Allowed);
}

/// Guards against a host that starts during an evacuation and counts the bound from its start.
#[test]
fn evacuation_of_unknown_age_forbids_all_statements() {
    let now = Instant::now();
    let mut store = store_clock::StoreClock::default();
    store.note(now, now, secs(100));
    let mut set = evacuation::Set::default();
    assert!(!set.is_known());
    set.read(&[(domain("a"), Some(2))], true, 7, secs(100));
    assert!(set.is_known());
    let placement = set.placement(&domain("a"), &store, BOUND, now);
    assert_eq!(placement, evacuation::Placement::Forbidden);
}

/// Guards against a cancelled evacuation that stays in force: in a read of the whole table it has
/// no row. Also guards against a whole read that restarts the bound of an evacuation, and against
/// a new evacuation whose bound counts from a cancelled one.
#[test]
fn whole_read_replaces_the_set() {
    let now = Instant::now();
    let (mut set, store) = initial_state(now);
    let rows = [(domain("a"), Some(2)), (domain("b"), Some(3))];
    set.read(&rows, false, 3, secs(101));
    set.read(&[(domain("b"), Some(3))], true, 9, secs(103));
    assert_eq!(names(&set), ["b"]);
    // A whole read of the same row does not restart the bound of the evacuation.
    let placement = set.placement(&domain("b"), &store, BOUND, now + secs(3));
    assert_eq!(placement, evacuation::Placement::Forbidden);
    set.read(&[(domain("b"), None)], false, 10, secs(104));
    assert!(names(&set).is_empty());
    set.read(&[(domain("b"), Some(11))], false, 11, secs(105));
    let placement = set.placement(&domain("b"), &store, BOUND, now + secs(5));
    assert_eq!(placement, evacuation::Placement::Draining);
}

/// Guards against a delayed answer of the store that reverts newer changes.
#[test]
fn older_answer_is_ignored() {
    let (mut set, _) = initial_state(Instant::now());
    set.read(&[(domain("a"), Some(5))], false, 5, secs(105));
    let expected = set.clone();
    set.read(&[], true, 3, secs(103));
    set.read(&[(domain("a"), None)], false, 4, secs(104));
    assert_eq!(set, expected);
}

/// Guards against hosts that keep different sets because they receive them in different order.
#[test]
fn hosts_converge_on_the_newest_set_in_any_order() {
    let (mut reader, store) = initial_state(Instant::now());
    let (mut receiver, now) = (reader.clone(), Instant::now());
    reader.read(&[(domain("a"), Some(2))], false, 2, secs(101));
    let old = reader.clone();
    receiver.adopt(&reader);
    assert_eq!(receiver, reader);
    reader.read(&[(domain("a"), None), (domain("b"), Some(4))], false, 4, secs(104));
    receiver.adopt(&reader);
    receiver.adopt(&old);
    assert_eq!(names(&receiver), ["b"]);
    // A host with a later read at which the domain was not evacuated has the more precise bound.
    let mut precise = receiver.clone();
    precise.read(&[], false, 4, secs(106));
    reader.read(&[(domain("c"), Some(8))], false, 8, secs(107));
    precise.adopt(&reader);
    let after = |set: &evacuation::Set| {
        set.domains().find(|(of, _)| **of == domain("c")).map(|(_, evacuation)| evacuation.after)
    };
    assert_eq!((after(&reader), after(&precise)), (Some(secs(104)), Some(secs(106))));
    let placement = precise.placement(&domain("c"), &store, BOUND, now + secs(7));
    assert_eq!(placement, evacuation::Placement::Draining);
}
