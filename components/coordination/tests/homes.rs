//! Regions in which requests may run.

use bergamottrack_coordination::{homes, ids};

fn region(name: &str) -> ids::Region {
    name.parse().unwrap()
}

fn of(names: &[&str]) -> homes::Homes {
    homes::Homes::new(names.iter().map(|name| region(name)))
}

/// Guards against a statement that leaves the homes of its database or its account.
#[test]
fn both_bindings_hold() {
    let (west, east, north) = (region("west"), region("east"), region("north"));
    let both = of(&["west", "east"]).and(&of(&["east", "north"]));
    assert!(both.allow(Some(&east)));
    assert!(!both.allow(Some(&west)) && !both.allow(Some(&north)) && !both.allow(None));
    let nowhere = of(&["west"]).and(&of(&["east"]));
    assert!(!nowhere.allow(Some(&west)) && !nowhere.allow(Some(&east)));
    assert!(!nowhere.is_unrestricted());
}

/// Guards against requests without homes that are refused in a region nobody names.
#[test]
fn without_homes_any_region_will_do() {
    let west = region("west");
    assert!(of(&[]).is_unrestricted() && of(&[]).allow(None));
    assert_eq!(of(&[]).and(&of(&["west"])), of(&["west"]));
    assert_eq!(of(&["west"]).and(&of(&[])), of(&["west"]));
    assert!(of(&["west"]).allow(Some(&west)) && !of(&["west"]).allow(None));
}

/// Guards against a leader outside of the only home of a database while a server is inside.
#[test]
fn a_server_at_home_serves_more_databases() {
    let databases = [of(&[]), of(&["west"]), of(&["west", "east"])];
    let served = |region: Option<&ids::Region>| homes::served(databases.iter(), region);
    let (west, east) = (region("west"), region("east"));
    assert_eq!((served(Some(&west)), served(Some(&east)), served(None)), (3, 2, 1));
}
