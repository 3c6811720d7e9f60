//! Connections that nobody uses.

use bergamottrack_coordination::{idle, ids};

fn account(name: &str) -> ids::AccountId {
    name.parse().unwrap()
}

/// Guards against a connection that is given to another account, or lost from either order.
#[test]
fn connections_are_found_by_account_and_by_last_use() {
    let (a, b) = (account("a"), account("b"));
    let mut unused = idle::Connections::default();
    for (of, number) in [(&a, 10), (&b, 11), (&a, 12), (&a, 13)] {
        unused.push(of.clone(), number);
    }
    assert_eq!(unused.len(), 4);
    assert_eq!(unused.take(&a, |number| usize::from(*number == 13)), Some(12));
    assert_eq!(unused.take(&a, |_| 0), Some(13), "among equals the one used last");
    assert_eq!(unused.oldest(), Some(&10));
    assert_eq!((unused.pop_oldest(), unused.has(&a), unused.has(&b)), (Some(10), false, true));
    assert_eq!(unused.take(&a, |_| 0), None);
    unused.push(a, 10);
    assert_eq!(
        (unused.pop_newest(), unused.pop_newest(), unused.pop_newest()),
        (Some(10), Some(11), None)
    );
    assert!(unused.is_empty() && !unused.has(&b));
}
