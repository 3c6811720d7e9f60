//! The list of servers, as its rows leave it.

use std::time::Duration;

use bergamottrack_adapter::store::Row;
use bergamottrack_coordination::ServerId;
use bergamottrack_proxy::follow;
use serde_json::json;

/// What the store's clock showed.
const CLOCK: Duration = Duration::from_secs(100);

fn there(id: &str, version: u64) -> Row {
    let entry = json!({"service": "bookings", "zone": "north", "address": "192.0.2.7:8465",
        "version": "v1", "slots": 5, "state": "ready", "coldRemainingMs": 0,
        "databaseRole": "replica", "sequence": 1, "born": 1});
    Row { key: id.into(), value: entry.to_string().into_bytes().into(), version, removed: false }
}

fn removed(id: &str, version: u64) -> Row {
    Row { key: id.into(), value: Default::default(), version, removed: true }
}

fn id(name: &str) -> ServerId {
    name.parse().unwrap()
}

/// Callers were told for seconds that a group has no leader, though it was well. Its
/// entry had lapsed in an outage of the store and was back; a host that heard of both
/// changes at once took the earlier one for the last and dropped the server.
#[test]
fn an_entry_that_lapsed_and_is_back_is_there() {
    let rows = [removed("s1", 10), removed("s2", 11), there("s1", 12)];
    let (listed, missing) = follow::resolve_entries(&rows, Vec::new(), CLOCK);
    assert_eq!(listed.iter().map(|listed| &listed.id).collect::<Vec<_>>(), [&id("s1")]);
    assert_eq!(missing, [id("s2")]);
    let (listed, missing) =
        follow::resolve_entries(&[there("s1", 12), removed("s1", 13)], Vec::new(), CLOCK);
    assert!(listed.is_empty(), "the last change counts, whichever it is");
    assert_eq!(missing, [id("s1")]);
}

/// The whole list is read anew. Servers that are not in it must not stay for ever.
#[test]
fn servers_without_a_row_are_missing_in_a_whole_list() {
    let (listed, missing) =
        follow::resolve_entries(&[there("s1", 12)], vec![id("s1"), id("s2")], CLOCK);
    assert_eq!(listed.len(), 1);
    assert_eq!(missing, [id("s2")]);
}
