//! Choice of the client that is closed when places or memory are short.

use std::{rc::Rc, time::Duration};

use bergamottrack_coordination::{
    AccountId, Clock, ManualClock,
    budget::Budget,
    clients::{Clients, Place, Shortage, Wait},
};

fn account(name: &str) -> Option<AccountId> {
    Some(name.parse().unwrap())
}

/// Takes a place for a session that waits for its next message.
fn session(clients: &Rc<Clients>, clock: &ManualClock, name: &str) -> Place {
    let place = clients.enter().unwrap();
    place.begin(account(name));
    place.client.wait(Wait::Idle, clock.now());
    place
}

/// Guards against a limit on memory that refuses whoever comes next, in place of closing who holds most for
/// the longest time.
#[test]
fn client_that_holds_most_for_the_longest_time_is_closed_for_memory() {
    let clock = Rc::new(ManualClock::new());
    let clients = Clients::new(10, clock.clone());
    let budget = Budget::of_clients(1000, 0, clients.clone());
    let places: Vec<_> = (0..3).map(|_| session(&clients, &clock, "crowd")).collect();
    let mut charges: Vec<_> =
        places.iter().map(|place| budget.client_charge(place.client.clone())).collect();
    charges[0].set(200).unwrap();
    charges[1].set(400).unwrap();
    clock.advance(Duration::from_secs(2));
    charges[2].set(150).unwrap();
    // The third holds less than the second, and the process does not wait for it.
    places[2].client.work();
    charges[2].set(300).unwrap();
    let closing: Vec<_> = places.iter().map(|place| place.client.closing()).collect();
    assert_eq!(closing, [None, Some(Shortage::Memory), None]);
    assert!(budget.used() <= 1250, "{}", budget.used());
}

/// Guards against one account that holds all memory: others still get theirs.
#[test]
fn account_that_holds_little_gets_memory_beside_one_that_holds_much() {
    let clock = Rc::new(ManualClock::new());
    let clients = Clients::new(100, clock.clone());
    let budget = Budget::of_clients(8000, 0, clients.clone());
    let mut held = Vec::new();
    let refused = loop {
        let place = session(&clients, &clock, "crowd");
        place.client.work();
        let mut charge = budget.client_charge(place.client.clone());
        if charge.set(300).is_err() {
            break budget.used();
        }
        held.push((charge, place));
    };
    assert!(refused <= 6000, "{refused}");
    let place = session(&clients, &clock, "church");
    let mut charge = budget.client_charge(place.client.clone());
    charge.set(1000).unwrap();
    assert!(charge.set(1500).is_err());
    // What ends is free again, for its account too.
    held.truncate(2);
    charge.set(1500).unwrap();
}
