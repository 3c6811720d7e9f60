//! Memory budget shared by connections.

use bergamottrack_coordination::budget::Budget;

/// Guards against a budget that stays used up after connections have ended or hold less again, and against
/// charges for what each connection may hold.
#[test]
fn charge_is_released_when_it_shrinks_or_is_dropped() {
    let budget = Budget::new(100, 10);
    let (mut first, mut second) = (budget.charge(), budget.charge());
    assert!(first.set(100).is_ok());
    assert!(second.set(10).is_ok());
    assert!(second.set(30).is_err());
    assert!(first.set(50).is_ok());
    assert!(second.set(30).is_ok());
    drop(first);
    assert!(second.set(110).is_ok());
    assert!(second.set(111).is_err());
}
