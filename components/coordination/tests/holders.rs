//! Assignment of holders to backend servers.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bergamottrack_coordination::{
    FailureDomain, HostId, holders, rendezvous,
    view::{Member, Versioned, View},
};

fn domain(name: &str) -> FailureDomain {
    name.parse().unwrap()
}

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

/// Returns the holder and the standby of a server in the failure domain `domain`.
fn order(view: &View, server: &str, domain: &FailureDomain) -> Vec<HostId> {
    holders::order(&holders::eligible(view, domain), server)
}

/// Returns a view of a fleet with the given hosts `(name, failure domain, power)`.
fn view(hosts: &[(&str, &str, u32)]) -> View {
    let member = |name: &str, domain_name: &str, power: u32| Member {
        peer: "127.0.0.1:1".parse().unwrap(),
        domain: domain(domain_name),
        row_hash: name.len() as u64,
        left: None,
        released: 0,
        power,
        contact: false,
    };
    let rows = hosts.iter().map(|(name, domain_name, power)| {
        (host(name), Versioned { version: 1, value: member(name, domain_name, *power) })
    });
    View { members: rows.collect::<BTreeMap<_, _>>(), ..View::default() }
}

const NINE_HOSTS: [(&str, &str, u32); 9] = [
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

/// Guards against most statements having to open a connection first. Nine hosts and eight
/// accounts need one for each pair of them, 72 in all, where a server accepts 23. With a holder,
/// eight accounts need eight.
#[test]
fn holder_and_standby_are_in_the_servers_failure_domain() {
    let view = view(&NINE_HOSTS);
    for server in ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"] {
        let order = order(&view, server, &domain("b"));
        assert_eq!(order.len(), 2);
        assert!(order.iter().all(|host| view.members[host].value.domain == domain("b")));
    }
}

/// Guards against a server without a holder because no host is in its failure domain.
#[test]
fn servers_in_a_domain_without_hosts_are_held_by_hosts_of_other_domains() {
    let view = view(&NINE_HOSTS);
    assert_eq!(order(&view, "i-1", &domain("elsewhere")).len(), 2);
    assert_eq!(order(&View::default(), "i-1", &domain("a")).len(), 0);
}

/// Guards against moving other servers as well when a host dies: the connections of their holders
/// stay in use.
#[test]
fn removed_host_moves_only_the_servers_that_it_held() {
    let before = view(&NINE_HOSTS);
    let mut after = before.clone();
    after.members.remove(&host("a2"));
    for n in 0..50 {
        let server = format!("i-{n}");
        let old = order(&before, &server, &domain("a"))[0].clone();
        let new = order(&after, &server, &domain("a"))[0].clone();
        assert!(old == new || old == host("a2"), "{server} moved from {old} to {new}");
    }
}

/// Guards against small hosts that run the statements of others: hosts with an eighth of a
/// processor are beside hosts with a half. The powerful ones share the servers.
#[test]
fn only_the_more_powerful_half_of_a_domain_holds_servers() {
    let names: Vec<String> = (0..20).map(|n| format!("h{n}")).collect();
    let hosts: Vec<_> =
        names.iter().enumerate().map(|(n, name)| (&**name, "a", 120 + 20 * n as u32)).collect();
    let view = view(&hosts);
    let mut held: HashMap<HostId, usize> = HashMap::new();
    for n in 0..200 {
        let first = order(&view, &format!("i-{n}"), &domain("a"))[0].clone();
        assert!(view.members[&first].value.power >= 320, "{first} has too little power");
        *held.entry(first).or_default() += 1;
    }
    assert_eq!(held.len(), 10);
    assert!(held.values().all(|servers| *servers <= 40), "{held:?}");
}

/// Guards against holders that stay the same although a host has left or another one is more
/// powerful, and against computing them again for every failover.
#[test]
fn stamp_changes_only_with_the_inputs_of_the_assignment() {
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

/// Guards against hosts that disagree on a server's holders: the search for the first two hosts
/// gives the same result as the whole order.
#[test]
fn first_hosts_are_those_of_the_whole_order() {
    let hosts: Vec<HostId> = (0..150).map(|n| format!("h{n}").parse().unwrap()).collect();
    for server in 0..200 {
        let key = format!("i-{server}");
        for count in [0, 1, 2, 3, 200] {
            let whole: Vec<_> = rendezvous::order(&key, &hosts).into_iter().take(count).collect();
            assert_eq!(rendezvous::first(count, &key, &hosts), whole);
        }
    }
}
