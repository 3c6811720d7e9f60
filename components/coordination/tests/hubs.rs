//! Gossip topology of fleets of any size.

use std::collections::BTreeMap;

use bergamottrack_coordination::{
    HostId,
    hubs::{self, Neighbours},
    view::{Member, Versioned, View},
};

const DOMAINS: [&str; 4] = ["north", "east", "south", "west"];

/// Returns the view of a fleet of `size` hosts in four failure domains; half of the hosts of each
/// have a power of 500, the others of 120.
fn fleet(size: usize) -> View {
    let members: BTreeMap<_, _> = (0..size)
        .map(|n| {
            let member = Member {
                peer: "192.0.2.1:7000".parse().unwrap(),
                domain: DOMAINS[n % 4].parse().unwrap(),
                row_hash: 1,
                left: None,
                released: 0,
                power: if n % 8 < 4 { 500 } else { 120 },
                contact: false,
            };
            (id(n), Versioned { version: 1, value: member })
        })
        .collect();
    View { members, ..View::default() }
}

fn id(n: usize) -> HostId {
    format!("host-{n}").parse().unwrap()
}

fn neighbours_of(view: &View, n: usize) -> Neighbours {
    hubs::neighbours(view, &id(n), &DOMAINS[n % 4].parse().unwrap())
}

/// Guards against a full mesh in a large fleet, here of 40 to 1800 hosts: each host would exchange
/// most of its messages with hosts that have no changes to report. A fleet of 8 hosts is a mesh.
#[test]
fn number_of_links_does_not_grow_with_the_size_of_a_large_fleet() {
    for size in [40, 100, 400, 1800] {
        let view = fleet(size);
        let max_links = (0..size).map(|n| neighbours_of(&view, n).links.len()).max().unwrap();
        assert!(max_links <= 11, "a host has {max_links} links in a fleet of {size}");
    }
    assert_eq!(neighbours_of(&fleet(8), 3).links.len(), 7);
}

/// Guards against a hub with little power, which would be overloaded by the messages of its whole
/// failure domain.
#[test]
fn hub_is_among_the_most_powerful_hosts() {
    let view = fleet(90);
    let hub = neighbours_of(&view, 7).hub(&id(7), |_| true);
    assert_eq!(view.members[&hub].value.power, 500);
}

/// Guards against hosts of a failure domain that use different hubs after their hub has failed.
/// Only the failed hub itself, if it is one of the hosts, may differ: it remains its own hub. A
/// host that reaches no candidate is its own hub.
#[test]
fn hosts_use_the_same_next_candidate_after_the_loss_of_a_hub() {
    let view = fleet(90);
    let first = neighbours_of(&view, 3).hub(&id(3), |_| true);
    let next_hubs: Vec<_> =
        [3, 7, 11, 15].map(|n| neighbours_of(&view, n).hub(&id(n), |id| *id != first)).into();
    let differing = next_hubs.iter().filter(|hub| **hub != next_hubs[0]).count();
    assert!(differing <= 1, "hosts use different hubs: {next_hubs:?}");
    let other_host =
        (0..90).find(|n| !neighbours_of(&view, *n).candidates.contains(&id(*n))).unwrap();
    assert_eq!(neighbours_of(&view, other_host).hub(&id(other_host), |_| false), id(other_host));
}

/// Guards against refusals while all candidates of a failure domain are down, because its other
/// hosts would then have no contact to the fleet.
#[test]
fn hosts_of_large_fleets_have_two_remote_hubs() {
    let view = fleet(90);
    for n in 0..90 {
        let Neighbours { candidates, remote_hubs, .. } = neighbours_of(&view, n);
        assert!(remote_hubs.len() == 2 && remote_hubs.iter().all(|hub| !candidates.contains(hub)));
        for hub in remote_hubs {
            let domain = &view.members[&hub].value.domain;
            let hubs = hubs::neighbours(&view, &hub, domain).candidates;
            assert_eq!(
                hubs.first(),
                Some(&hub),
                "remote hub is not the first candidate of its failure domain"
            );
        }
    }
    assert!(neighbours_of(&fleet(8), 3).remote_hubs.is_empty());
}
