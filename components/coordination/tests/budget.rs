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

/// Guards against large charges that leave no room for those of the usual size.
#[test]
fn part_of_a_budget_is_kept_for_small_charges() {
    let budget = Budget::with_reserve(8192, 0);
    let (mut large, mut small) = (budget.charge(), budget.charge());
    assert!(large.set(8000).is_err());
    assert!(large.set(7000).is_ok());
    let mut other = budget.charge();
    assert!(other.set(500).is_err());
    assert!(small.set(16).is_ok());
}
