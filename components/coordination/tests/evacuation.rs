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

/// The names of the evacuated domains.
fn names(known: &evacuation::Set) -> Vec<String> {
    known.domains().map(|(domain, _)| domain.to_string()).collect()
}

/// A host that read an empty set at the store's time 100 s, which was `now` here.
fn known(now: Instant) -> (evacuation::Set, store_clock::StoreClock) {
    let mut store = store_clock::StoreClock::default();
    store.note(now, secs(100));
    let mut known = evacuation::Set::default();
    known.read(&[], true, 1, secs(100));
    (known, store)
}

/// Guards against statements that reach a server after the bound of an evacuation.
#[test]
fn work_ends_before_the_bound() {
    let now = Instant::now();
    let (mut known, store) = known(now);
    known.read(&[(domain("a"), Some(2))], false, 2, secs(102));
    let at = |ms| known.placement(&domain("a"), &store, BOUND, now + Duration::from_millis(ms));
    // It may have been evacuated just after the read before, at 100 s.
    assert_eq!(at(2000), evacuation::Placement::Draining);
    assert_eq!(at(2600), evacuation::Placement::Forbidden);
    let other = known.placement(&domain("b"), &store, BOUND, now + secs(9));
    assert_eq!(other, evacuation::Placement::Allowed);
}

/// Guards against a host that starts during an evacuation and counts its bound from then.
#[test]
fn an_evacuation_of_unknown_age_is_complete() {
    let now = Instant::now();
    let mut store = store_clock::StoreClock::default();
    store.note(now, secs(100));
    let mut known = evacuation::Set::default();
    assert!(!known.is_known());
    known.read(&[(domain("a"), Some(2))], true, 7, secs(100));
    assert!(known.is_known());
    let placement = known.placement(&domain("a"), &store, BOUND, now);
    assert_eq!(placement, evacuation::Placement::Forbidden);
}

/// Guards against an evacuation that was taken back and stays in force, and the reverse:
/// after a read of the whole table its removal leaves no row.
#[test]
fn a_whole_read_replaces_what_was_known() {
    let now = Instant::now();
    let (mut known, store) = known(now);
    let rows = [(domain("a"), Some(2)), (domain("b"), Some(3))];
    known.read(&rows, false, 3, secs(101));
    known.read(&[(domain("b"), Some(3))], true, 9, secs(103));
    assert_eq!(names(&known), ["b"]);
    // A whole read of the same row does not make the evacuation younger.
    let placement = known.placement(&domain("b"), &store, BOUND, now + secs(3));
    assert_eq!(placement, evacuation::Placement::Forbidden);
    known.read(&[(domain("b"), None)], false, 10, secs(104));
    assert!(names(&known).is_empty());
    known.read(&[(domain("b"), Some(11))], false, 11, secs(105));
    let placement = known.placement(&domain("b"), &store, BOUND, now + secs(5));
    assert_eq!(placement, evacuation::Placement::Draining);
}

/// Guards against an answer that was under way for long and takes newer knowledge back.
#[test]
fn an_older_answer_changes_nothing() {
    let (mut known, _) = known(Instant::now());
    known.read(&[(domain("a"), Some(5))], false, 5, secs(105));
    let after = known.clone();
    known.read(&[], true, 3, secs(103));
    known.read(&[(domain("a"), None)], false, 4, secs(104));
    assert_eq!(known, after);
}

/// Guards against hosts that keep different sets, whatever order they hear of them in.
#[test]
fn hosts_agree_on_the_newest_set() {
    let (mut reader, store) = known(Instant::now());
    let (mut told, now) = (reader.clone(), Instant::now());
    reader.read(&[(domain("a"), Some(2))], false, 2, secs(101));
    let old = reader.clone();
    told.adopt(&reader);
    assert_eq!(told, reader);
    reader.read(&[(domain("a"), None), (domain("b"), Some(4))], false, 4, secs(104));
    told.adopt(&reader);
    told.adopt(&old);
    assert_eq!(names(&told), ["b"]);
    // One that was told earlier that the domain was in use knows the closer bound.
    let mut near = told.clone();
    near.read(&[], false, 4, secs(106));
    reader.read(&[(domain("c"), Some(8))], false, 8, secs(107));
    near.adopt(&reader);
    let after = |known: &evacuation::Set| {
        known.domains().find(|(of, _)| **of == domain("c")).map(|(_, known)| known.after)
    };
    assert_eq!((after(&reader), after(&near)), (Some(secs(104)), Some(secs(106))));
    let placement = near.placement(&domain("c"), &store, BOUND, now + secs(7));
    assert_eq!(placement, evacuation::Placement::Draining);
}
