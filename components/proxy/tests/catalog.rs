//! The list of servers and its changes, for a fleet of 3,000 servers.

use std::time::Duration;

use bergamottrack_coordination::ServerId;
use bergamottrack_model::{ListedServer, Role};
use bergamottrack_peer::message::ServerChanges;
use bergamottrack_proxy::catalog::{Catalog, Upsert};

const SERVERS: usize = 3000;

/// Version of the list after the first read.
const VERSION: u64 = 100;

fn id(number: usize) -> ServerId {
    format!("i-{number:06}").parse().unwrap()
}

fn server(number: usize) -> ListedServer {
    ListedServer {
        id: id(number),
        group: format!("bookings-{}", number / 3).parse().unwrap(),
        address: "192.0.2.7:8465".parse().unwrap(),
        domain: format!("d{}", number % 3).parse().unwrap(),
        slots: 5,
        leaving: false,
        role: if number.is_multiple_of(3) { Role::Primary } else { Role::Replica },
        started_ms: 1,
        cold: Duration::ZERO,
    }
}

fn full() -> Catalog {
    let mut catalog = Catalog::default();
    for number in 0..SERVERS {
        assert_eq!(catalog.upsert(server(number), VERSION), Upsert::Added);
    }
    catalog.advance(VERSION);
    catalog
}

fn encoded_len(changes: &ServerChanges) -> usize {
    let mut encoded = Vec::new();
    ciborium::into_writer(changes, &mut encoded).unwrap();
    encoded.len()
}

fn apply(catalog: &mut Catalog, changes: ServerChanges) {
    for listed in changes.changed {
        catalog.upsert(listed, changes.version);
    }
    for id in &changes.gone {
        catalog.mark_missing(id, changes.version);
    }
    catalog.advance(changes.version);
}

/// Guards against a hub that sends half a megabyte to each of its hosts whenever one server
/// changes: the links of small hosts are then saturated for as long as servers start.
#[test]
fn one_changed_entry_of_3000_is_sent_as_one_entry() {
    let (mut hub, mut host) = (full(), full());
    hub.upsert(ListedServer { leaving: true, ..server(7) }, VERSION + 5);
    hub.advance(VERSION + 5);
    let changes = hub.changes(host.version()).unwrap();
    assert_eq!(changes.changed.len(), 1);
    assert!(encoded_len(&changes) < 512, "{} bytes", encoded_len(&changes));
    apply(&mut host, changes);
    assert_eq!(host.stamp(), hub.stamp());
    assert_eq!(hub.changes(host.version()).unwrap().changed, []);
}

/// Guards against hosts that keep servers which the hub no longer lists, or lose servers whose
/// entries expired and came back.
#[test]
fn entries_that_disappear_and_return_are_part_of_the_changes() {
    let (mut hub, mut host) = (full(), full());
    hub.mark_missing(&id(1), VERSION + 1).unwrap();
    hub.mark_missing(&id(2), VERSION + 1).unwrap();
    assert!(hub.mark_missing(&id(2), VERSION + 2).is_none(), "it is missing already");
    hub.upsert(server(2), VERSION + 3);
    hub.advance(VERSION + 3);
    let changes = hub.changes(VERSION).unwrap();
    assert_eq!(changes.gone, [id(1)]);
    apply(&mut host, changes);
    assert_eq!(host.stamp(), hub.stamp());
    assert_eq!(host.listed().len(), SERVERS - 1);
    assert!(host.get(&id(1)).is_some(), "a missing entry stays until it is removed");
}

/// Guards against changes that are applied to another list than they were made from.
#[test]
fn changes_are_refused_beyond_the_history() {
    let mut hub = full();
    assert!(hub.changes(0).is_none(), "the version of the requester is unknown");
    assert!(hub.changes(VERSION - 1).is_none(), "the history begins at the first read");
    assert!(hub.changes(VERSION + 1).is_none(), "the requester's list is newer");
    for number in 0..SERVERS / 2 {
        hub.mark_missing(&id(number), VERSION + 1 + number as u64);
    }
    hub.advance(VERSION + SERVERS as u64);
    assert!(hub.changes(VERSION).is_none(), "the oldest removals are no longer recorded");
    assert!(hub.changes(VERSION + SERVERS as u64 - 1).is_some());
}

/// Guards against a server that is dropped by the removal of an earlier disappearance.
#[test]
fn entry_that_returned_is_not_removed() {
    let mut catalog = full();
    let occurrence = catalog.mark_missing(&id(3), VERSION + 1).unwrap();
    assert!(matches!(catalog.upsert(server(3), VERSION + 2), Upsert::Changed(_)));
    assert!(!catalog.remove(&id(3), occurrence));
    let later = catalog.mark_missing(&id(3), VERSION + 3).unwrap();
    assert!(!catalog.remove(&id(3), occurrence));
    assert!(catalog.remove(&id(3), later));
    assert!(catalog.get(&id(3)).is_none());
    let group = "bookings-1".parse().unwrap();
    let left: Vec<_> = catalog.group(&group).map(|listed| listed.id.clone()).collect();
    assert_eq!(left, [id(4), id(5)]);
}

/// Guards against reports of a cold phase that differ by milliseconds and are each sent to all
/// hosts.
#[test]
fn nearly_equal_ends_of_a_cold_phase_are_no_change() {
    let mut catalog = Catalog::default();
    let cold = |ms| ListedServer { cold: Duration::from_millis(ms), ..server(1) };
    catalog.upsert(cold(5000), 1);
    let mut next = cold(5300);
    catalog.keep_cold_end(&mut next);
    assert_eq!(catalog.upsert(next, 2), Upsert::Unchanged);
    let mut restarted = cold(9000);
    catalog.keep_cold_end(&mut restarted);
    assert!(matches!(catalog.upsert(restarted, 3), Upsert::Changed(_)));
}
