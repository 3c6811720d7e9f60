//! Position that covers every acknowledged commit, from the reports of hosts.

use std::{collections::BTreeMap, time::Duration};

use bergamottrack_coordination::{
    HostId, Point,
    coverage::{self, Acknowledged},
    view::{LEASE_MARGIN, LEASE_TTL, Member, Versioned, View},
};

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn id(name: &str) -> HostId {
    name.parse().unwrap()
}

fn point(number: u64) -> Option<Point> {
    Some(Point::new(1, number))
}

fn member(left: Option<Duration>) -> Versioned<Member> {
    let value = Member {
        peer: "192.0.2.1:7000".parse().unwrap(),
        domain: "north".parse().unwrap(),
        row_hash: 1,
        left,
        released: 0,
        power: 1000,
        contact: true,
    };
    Versioned { version: 1, value }
}

/// Returns a view at 100 s with members of the given names.
fn view(hosts: &[&str]) -> View {
    let members = hosts.iter().map(|name| (id(name), member(None))).collect();
    View { version: 1, clock: secs(100), members, ..View::default() }
}

/// Returns the report of a host whose memory begins at `since`, and that saw the leader at `seen` and 80 s.
fn report(confirmed: u64, since: u64, seen: u64) -> Acknowledged {
    let leader = Some((secs(80), Point::new(1, seen)));
    Acknowledged { confirmed: point(confirmed), since: secs(since), leader }
}

fn reports(entries: &[(&str, Acknowledged)]) -> BTreeMap<HostId, Acknowledged> {
    entries.iter().map(|(name, report)| (id(name), *report)).collect()
}

/// Guards against the loss of a commit that only one host has acknowledged, and of one that an earlier
/// process has: the position is the newest that any host names, and a later one of the leader.
#[test]
fn position_covers_the_commits_of_all_hosts_and_of_earlier_processes() {
    let view = view(&["h1", "h2"]);
    let reported = |first, second| reports(&[("h1", first), ("h2", second)]);
    let reported_later = reported(report(40, 5, 30), report(50, 5, 30));
    assert_eq!(coverage::position(&view, &reported_later, secs(0)), point(50));
    let reported_earlier = reported(report(40, 5, 60), report(50, 5, 70));
    assert_eq!(coverage::position(&view, &reported_earlier, secs(0)), point(60));
}

/// Guards against the loss of commits that a host has acknowledged which does not report any: it is gone,
/// frozen or cut off, or runs an earlier version.
#[test]
fn no_position_is_shown_without_the_report_of_a_member() {
    let reports = reports(&[("h1", report(40, 5, 60))]);
    assert_eq!(coverage::position(&view(&["h1", "h2"]), &reports, secs(0)), None);
    assert_eq!(coverage::position(&view(&["h1"]), &reports, secs(0)), point(60));
}

/// Guards against the loss of commits that a host has acknowledged which started again, or which left the
/// fleet, after the last known position of the leader.
#[test]
fn position_of_the_leader_must_be_later_than_the_last_lost_memory() {
    let view = view(&["h1", "h2"]);
    let reported = |since| reports(&[("h1", report(40, 5, 60)), ("h2", report(30, since, 60))]);
    assert_eq!(coverage::position(&view, &reported(79), secs(0)), point(60));
    assert_eq!(coverage::position(&view, &reported(80), secs(0)), None);
    assert_eq!(coverage::position(&view, &reported(5), secs(79)), point(60));
    assert_eq!(coverage::position(&view, &reported(5), secs(90)), None);
    let silent = Acknowledged { leader: None, ..report(40, 5, 60) };
    let silent = reports(&[("h1", silent), ("h2", silent)]);
    assert_eq!(coverage::position(&view, &silent, secs(0)), None);
}

/// Guards against the loss of commits that an evicted host has acknowledged while it held a lease.
#[test]
fn evicted_host_counts_until_its_lease_has_expired() {
    let reported = reports(&[("h1", report(40, 5, 60))]);
    let evicted = |left: Duration| {
        let mut view = view(&["h1", "h2"]);
        view.members.insert(id("h2"), member(Some(left)));
        coverage::position(&view, &reported, secs(0))
    };
    let lease = LEASE_TTL + LEASE_MARGIN;
    assert_eq!(evicted(secs(79) - lease), point(60));
    assert_eq!(evicted(secs(80) - lease), None);
    assert_eq!(evicted(secs(99)), None);
}
