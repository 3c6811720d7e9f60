//! Connections that nobody uses.

use bergamottrack_coordination::{AccountId, idle::Idle};

fn account(name: &str) -> AccountId {
    name.parse().unwrap()
}

/// Guards against a connection that is given to another account, or lost from either order.
#[test]
fn connections_are_found_by_account_and_by_last_use() {
    let (a, b) = (account("a"), account("b"));
    let mut idle = Idle::default();
    for (of, number) in [(&a, 10), (&b, 11), (&a, 12), (&a, 13)] {
        idle.push(of.clone(), number);
    }
    assert_eq!(idle.len(), 4);
    assert_eq!(idle.take(&a, |number| usize::from(*number == 13)), Some(12));
    assert_eq!(idle.take(&a, |_| 0), Some(13), "among equals the one used last");
    assert_eq!(idle.oldest(), Some(&10));
    assert_eq!((idle.pop_oldest(), idle.has(&a), idle.has(&b)), (Some(10), false, true));
    assert_eq!(idle.take(&a, |_| 0), None);
    idle.push(a, 10);
    assert_eq!(
        (idle.pop_newest(), idle.pop_newest(), idle.pop_newest()),
        (Some(10), Some(11), None)
    );
    assert!(idle.is_empty() && !idle.has(&b));
}
