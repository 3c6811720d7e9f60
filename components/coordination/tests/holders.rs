//! Which host holds the connections to a server.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bergamottrack_coordination::{
    FailureDomain, HostId, holders,
    view::{Member, Versioned, View},
};

fn domain(name: &str) -> FailureDomain {
    name.parse().unwrap()
}

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

/// The hosts that hold the connections to a server of that failure domain.
fn order(view: &View, server: &str, domain: &FailureDomain) -> Vec<HostId> {
    holders::order(&holders::eligible(view, domain), server)
}

/// A fleet with hosts `(name, failure domain, power)`.
fn view(hosts: &[(&str, &str, u32)]) -> View {
    let member = |name: &str, of: &str, power: u32| Member {
        peer: "127.0.0.1:1".parse().unwrap(),
        domain: domain(of),
        place: name.len() as u64,
        left: None,
        released: 0,
        power,
    };
    let rows = hosts.iter().map(|(name, of, power)| {
        (host(name), Versioned { version: 1, value: member(name, of, *power) })
    });
    View { members: rows.collect::<BTreeMap<_, _>>(), ..View::default() }
}

const NINE: [(&str, &str, u32); 9] = [
    ("a1", "a", 250),
    ("a2", "a", 250),
    ("a3", "a", 250),
    ("b1", "b", 250),
    ("b2", "b", 250),
    ("c1", "c", 250),
    ("c2", "c", 250),
    ("d1", "d", 250),
    ("d2", "d", 250),
];

/// Nine hosts and eight accounts stand before a server that takes 23 connections. Each
/// pair of host and account needs one of its own, 72 in all, so most statements open one
/// first. With a holder eight accounts need eight.
#[test]
fn one_host_of_the_servers_domain_holds_its_connections() {
    let view = view(&NINE);
    for server in ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"] {
        let order = order(&view, server, &domain("b"));
        assert_eq!(order.len(), 2);
        assert!(order.iter().all(|host| view.members[host].value.domain == domain("b")));
    }
}

#[test]
fn a_domain_without_hosts_is_served_by_the_others() {
    let view = view(&NINE);
    assert_eq!(order(&view, "i-1", &domain("elsewhere")).len(), 2);
    assert_eq!(order(&View::default(), "i-1", &domain("a")).len(), 0);
}

/// A host dies. Only servers that it held get another holder: connections of the others
/// stay in use.
#[test]
fn a_host_that_leaves_moves_only_what_it_held() {
    let before = view(&NINE);
    let mut after = before.clone();
    after.members.remove(&host("a2"));
    for n in 0..50 {
        let server = format!("i-{n}");
        let old = order(&before, &server, &domain("a"))[0].clone();
        let new = order(&after, &server, &domain("a"))[0].clone();
        assert!(old == new || old == host("a2"), "{server} moved from {old} to {new}");
    }
}

/// Hosts of an eighth of a processor stand beside hosts of a half. The small ones do not
/// carry the statements of others, and the strong ones share them.
#[test]
fn the_strong_half_holds() {
    let names: Vec<String> = (0..20).map(|n| format!("h{n}")).collect();
    let hosts: Vec<_> =
        names.iter().enumerate().map(|(n, name)| (&**name, "a", 120 + 20 * n as u32)).collect();
    let view = view(&hosts);
    let mut held: HashMap<HostId, usize> = HashMap::new();
    for n in 0..200 {
        let first = order(&view, &format!("i-{n}"), &domain("a"))[0].clone();
        assert!(view.members[&first].value.power >= 320, "{first} is weak");
        *held.entry(first).or_default() += 1;
    }
    assert_eq!(held.len(), 10);
    assert!(held.values().all(|servers| *servers <= 40), "{held:?}");
}

/// Guards against holders that stay the same though a host is gone or another one is stronger,
/// and against working them out anew for every change of a leader.
#[test]
fn the_stamp_changes_with_what_decides_the_holders() {
    let base = [("a1", "a", 250), ("a2", "a", 250), ("b1", "b", 250)];
    let stamp = |hosts: &[(&str, &str, u32)]| holders::stamp(&view(hosts));
    assert_eq!(stamp(&base), stamp(&base));
    let mut newer = view(&base);
    newer.version += 1;
    newer.members.values_mut().for_each(|member| member.version += 1);
    assert_eq!(holders::stamp(&newer), stamp(&base));
    assert_ne!(stamp(&base[..2]), stamp(&base));
    assert_ne!(stamp(&[base[0], base[1], ("b1", "a", 250)]), stamp(&base));
    assert_ne!(stamp(&[base[0], base[1], ("b1", "b", 500)]), stamp(&base));
    let mut left = view(&base);
    left.members.values_mut().for_each(|member| member.value.left = Some(Duration::ZERO));
    assert_ne!(holders::stamp(&left), stamp(&base));
}
