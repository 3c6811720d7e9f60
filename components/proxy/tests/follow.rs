//! Server list as derived from rows of the store.

use std::time::Duration;

use bergamottrack_adapter::store::Row;
use bergamottrack_coordination::ServerId;
use bergamottrack_proxy::follow;
use serde_json::json;

/// Store time of the rows.
const CLOCK: Duration = Duration::from_secs(100);

fn present(id: &str, version: u64) -> Row {
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

/// Guards against a healthy leader being dropped from the list, so that callers are refused
/// for seconds. Its entry expires in a store outage and returns; a host that receives both
/// changes in one batch must apply the later one.
#[test]
fn entry_that_expired_and_returned_is_listed() {
    let rows = [removed("s1", 10), removed("s2", 11), present("s1", 12)];
    let (listed, missing) = follow::resolve_entries(&rows, Vec::new(), CLOCK);
    assert_eq!(listed.iter().map(|listed| &listed.id).collect::<Vec<_>>(), [&id("s1")]);
    assert_eq!(missing, [id("s2")]);
    let (listed, missing) =
        follow::resolve_entries(&[present("s1", 12), removed("s1", 13)], Vec::new(), CLOCK);
    assert!(listed.is_empty(), "the last change of a server applies, whichever it is");
    assert_eq!(missing, [id("s1")]);
}

/// Guards against removed servers that stay listed after the whole list is read again.
#[test]
fn servers_without_a_row_in_a_whole_list_are_missing() {
    let (listed, missing) =
        follow::resolve_entries(&[present("s1", 12)], vec![id("s1"), id("s2")], CLOCK);
    assert_eq!(listed.len(), 1);
    assert_eq!(missing, [id("s2")]);
}
