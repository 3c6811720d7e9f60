//! Idle connections of one server.

use bergamottrack_coordination::{idle, ids};

fn account(name: &str) -> ids::AccountId {
    name.parse().unwrap()
}

/// Guards against a connection that is given to another account, or lost from either index.
#[test]
fn connections_are_found_by_account_and_by_last_use() {
    let (a, b) = (account("a"), account("b"));
    let mut connections = idle::Connections::default();
    for (account, number) in [(&a, 10), (&b, 11), (&a, 12), (&a, 13)] {
        connections.push(account.clone(), number);
    }
    assert_eq!(connections.len(), 4);
    assert_eq!(connections.take(&a, |number| usize::from(*number == 13)), Some(12));
    assert_eq!(connections.take(&a, |_| 0), Some(13), "most recently used among equal costs");
    assert_eq!(connections.oldest(), Some(&10));
    assert_eq!(
        (connections.pop_oldest(), connections.has(&a), connections.has(&b)),
        (Some(10), false, true)
    );
    assert_eq!(connections.take(&a, |_| 0), None);
    connections.push(a, 10);
    assert_eq!(
        (connections.pop_newest(), connections.pop_newest(), connections.pop_newest()),
        (Some(10), Some(11), None)
    );
    assert!(connections.is_empty() && !connections.has(&b));
}
