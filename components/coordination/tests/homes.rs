//! Region bindings of databases and client accounts.

use bergamottrack_coordination::{homes, ids};

fn region(name: &str) -> ids::Region {
    name.parse().unwrap()
}

fn bound_to(names: &[&str]) -> homes::Homes {
    homes::Homes::new(names.iter().map(|name| region(name)))
}

/// Guards against a statement that runs outside the homes of its database or of its account.
#[test]
fn bindings_of_database_and_account_both_apply() {
    let (west, east, north) = (region("west"), region("east"), region("north"));
    let both = bound_to(&["west", "east"]).and(&bound_to(&["east", "north"]));
    assert!(both.allow(Some(&east)));
    assert!(!both.allow(Some(&west)) && !both.allow(Some(&north)) && !both.allow(None));
    let nowhere = bound_to(&["west"]).and(&bound_to(&["east"]));
    assert!(!nowhere.allow(Some(&west)) && !nowhere.allow(Some(&east)));
    assert!(!nowhere.is_unrestricted());
}

/// Guards against refusing requests without homes in an unknown region.
#[test]
fn requests_without_homes_may_run_in_any_region() {
    let west = region("west");
    assert!(bound_to(&[]).is_unrestricted() && bound_to(&[]).allow(None));
    assert_eq!(bound_to(&[]).and(&bound_to(&["west"])), bound_to(&["west"]));
    assert_eq!(bound_to(&["west"]).and(&bound_to(&[])), bound_to(&["west"]));
    assert!(bound_to(&["west"]).allow(Some(&west)) && !bound_to(&["west"]).allow(None));
}

/// Guards against a leader outside the only home of a database while a server inside is
/// available.
#[test]
fn server_in_a_home_region_may_serve_more_databases() {
    let databases = [bound_to(&[]), bound_to(&["west"]), bound_to(&["west", "east"])];
    let served = |region: Option<&ids::Region>| homes::served(databases.iter(), region);
    let (west, east) = (region("west"), region("east"));
    assert_eq!((served(Some(&west)), served(Some(&east)), served(None)), (3, 2, 1));
}
