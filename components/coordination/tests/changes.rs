//! What hosts tell each other of a view that has changed.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    GroupId, HostId, Term,
    view::{Leadership, LocalView, Member, Versioned, View},
};

const HOSTS: u64 = 300;

fn host(number: u64) -> HostId {
    format!("h{number}").parse().unwrap()
}

fn group() -> GroupId {
    "bookings".parse().unwrap()
}

fn steady(leader: &str, version: u64) -> Versioned<Leadership> {
    Versioned {
        version,
        value: Leadership::Steady { leader: leader.parse().unwrap(), term: Term(1) },
    }
}

fn moving(version: u64) -> Versioned<Leadership> {
    let (holder, since) = (host(1), Duration::from_secs(version));
    Versioned {
        version,
        value: Leadership::Moving { from: None, holder, since, planned: false, term: Term(1) },
    }
}

fn member(number: u64) -> Versioned<Member> {
    let value = Member {
        peer: "192.0.2.1:7000".parse().unwrap(),
        domain: "north".parse().unwrap(),
        place: number,
        left: None,
        released: 0,
        power: 250,
    };
    Versioned { version: number, value }
}

/// All hosts have joined, one change of the store each, and the group has a leader.
fn whole() -> View {
    let version = HOSTS + 1;
    View {
        version,
        clock: Duration::from_secs(version),
        members: (1..=HOSTS).map(|number| (host(number), member(number))).collect(),
        groups: [(group(), steady("s1", version))].into(),
        ..View::default()
    }
}

fn holding(view: View) -> LocalView {
    let mut held = LocalView::new(host(1), 1);
    assert!(held.learn(view, Instant::now()));
    held
}

/// Callers of a fleet of 300 hosts wait for a new leader while hubs tell it: each
/// host was told 300 rows for the one that had changed, 45 KB over links of 10 Mbit/s.
#[test]
fn a_change_of_leader_is_told_as_one_row() {
    let (mut hub, old) = (holding(whole()), holding(whole()));
    let mut after = whole();
    after.version += 5;
    after.groups.insert(group(), steady("s2", after.version));
    hub.learn(after.clone(), Instant::now());
    let changes = hub.changes(old.view().version);
    assert_eq!((changes.view.members.len(), changes.view.groups.len()), (0, 1));
    let made = changes.apply_to(old.view()).unwrap();
    assert_eq!(made, after);
}

/// A host is gone and another has joined. One that kept the row of the gone host
/// would wait for its lease at the next change of a leader.
#[test]
fn hosts_that_are_gone_are_told() {
    let (mut hub, old) = (holding(whole()), holding(whole()));
    let mut after = whole();
    after.version += 5;
    after.members.remove(&host(7));
    after.members.insert(host(400), member(after.version));
    hub.learn(after.clone(), Instant::now());
    assert_eq!(hub.changes(old.view().version).apply_to(old.view()).unwrap(), after);
}

/// A hub has just started and does not know who went before. Who knows an older
/// view is told all of it, not a part that would leave the gone hosts in.
#[test]
fn who_is_further_behind_than_the_teller_is_told_all() {
    let mut old = whole();
    old.members.insert(host(900), member(2));
    let mut newer = whole();
    newer.version += 5;
    let hub = holding(newer.clone());
    let changes = hub.changes(old.version);
    assert_eq!(changes.view.members.len(), HOSTS as usize);
    assert_eq!(changes.apply_to(&old).unwrap(), newer);
}

/// The asker's rows are not those that the teller thinks it has. Made from them the
/// view would name hosts or leaders that the store does not.
#[test]
fn changes_that_do_not_fit_are_not_taken() {
    let mut hub = holding(whole());
    let mut after = whole();
    after.version += 5;
    after.groups.insert(group(), steady("s2", after.version));
    hub.learn(after, Instant::now());
    let mut other = whole();
    other.members.insert(host(900), member(3));
    assert!(hub.changes(other.version).apply_to(&other).is_none());
}

/// A host gave its lease back when it was told of an intent, and then heard an older
/// view from its hub. It must not use the old leader again, which may be replaced.
#[test]
fn an_older_view_does_not_undo_an_intent() {
    let mut held = holding(whole());
    assert!(held.take(&group(), moving(HOSTS + 9)));
    let mut older = whole();
    older.version += 4;
    held.learn(older, Instant::now());
    assert_eq!(held.leadership(&group()).unwrap(), &moving(HOSTS + 9));
    assert!(!held.take(&group(), steady("s1", HOSTS + 6)), "an older row");
    let mut newer = whole();
    newer.version += 20;
    newer.groups.insert(group(), steady("s2", HOSTS + 15));
    held.learn(newer, Instant::now());
    assert_eq!(held.leadership(&group()).unwrap(), &steady("s2", HOSTS + 15));
}
