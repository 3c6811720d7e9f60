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

/// Guards against connections that never begin a session and keep others out.
#[test]
fn oldest_connection_without_a_session_is_closed_for_a_new_one() {
    let clock = Rc::new(ManualClock::new());
    let clients = Clients::new(3, clock.clone());
    let idle = session(&clients, &clock, "church");
    let first = clients.enter().unwrap();
    clock.advance(Duration::from_millis(1));
    let second = clients.enter().unwrap();
    let third = clients.enter().unwrap();
    assert_eq!(first.client.closing(), Some(Shortage::Places));
    assert_eq!((idle.client.closing(), second.client.closing()), (None, None));
    drop((first, third));
    assert_eq!(clients.count(), 2);
}

/// Guards against an account whose idle sessions take all places, and against sessions in use or within a
/// transaction that are closed for others.
#[test]
fn idle_session_of_the_account_with_most_sessions_is_closed() {
    let clock = Rc::new(ManualClock::new());
    let clients = Clients::new(4, clock.clone());
    let other = session(&clients, &clock, "church");
    let open = session(&clients, &clock, "crowd");
    open.client.wait(Wait::Transaction, clock.now());
    let busy = session(&clients, &clock, "crowd");
    busy.client.work();
    let idle = session(&clients, &clock, "crowd");
    assert!(clients.enter().is_err(), "no session has waited for long");
    clock.advance(Duration::from_secs(2));
    let _next = clients.enter().unwrap();
    assert_eq!(idle.client.closing(), Some(Shortage::Places));
    let kept = [&other, &open, &busy].map(|place| place.client.closing());
    assert_eq!(kept, [None; 3]);
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
