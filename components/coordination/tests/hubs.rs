//! Which hosts speak to which, in fleets of any size.

use std::collections::BTreeMap;

use bergamottrack_coordination::{
    HostId,
    hubs::{self, Neighbours},
    view::{Member, Versioned, View},
};

const DOMAINS: [&str; 4] = ["north", "east", "south", "west"];

fn fleet(size: usize) -> View {
    let members: BTreeMap<_, _> = (0..size)
        .map(|n| {
            let member = Member {
                peer: "192.0.2.1:7000".parse().unwrap(),
                domain: DOMAINS[n % 4].parse().unwrap(),
                place: 1,
                left: None,
                released: 0,
                power: if n % 8 < 4 { 500 } else { 120 },
            };
            (id(n), Versioned { version: 1, value: member })
        })
        .collect();
    View { members, ..View::default() }
}

fn id(n: usize) -> HostId {
    format!("host-{n}").parse().unwrap()
}

fn of(view: &View, n: usize) -> Neighbours {
    hubs::neighbours(view, &id(n), &DOMAINS[n % 4].parse().unwrap())
}

/// A fleet grew from eight hosts to ninety, and each host spent most of its
/// messages on hosts that had nothing to tell it: all spoke to all.
#[test]
fn links_of_a_host_do_not_grow_with_the_fleet() {
    for size in [40, 100, 400, 1800] {
        let view = fleet(size);
        let most = (0..size).map(|n| of(&view, n).links.len()).max().unwrap();
        assert!(most <= 11, "a host of {size} has {most} links");
    }
    assert_eq!(of(&fleet(8), 3).links.len(), 7);
}

/// The strongest hosts are the hubs, so that a small host does not carry the
/// messages of its whole failure domain.
#[test]
fn hubs_are_strong() {
    let view = fleet(90);
    let hub = of(&view, 7).hub(&id(7), |_| true);
    assert_eq!(view.members[&hub].value.power, 500);
}

/// A hub dies. The hosts of its failure domain turn to the next candidate, all to
/// the same one, and a host that reaches none stands for itself.
#[test]
fn the_next_candidate_follows_a_hub_that_is_lost() {
    let view = fleet(90);
    let first = of(&view, 3).hub(&id(3), |_| true);
    let next: Vec<_> = [3, 7, 11, 15].map(|n| of(&view, n).hub(&id(n), |id| *id != first)).into();
    let others = next.iter().filter(|hub| **hub != next[0]).count();
    assert!(others <= 1, "hosts turned to different hubs: {next:?}");
    let plain = (0..90).find(|n| !of(&view, *n).candidates.contains(&id(*n))).unwrap();
    assert_eq!(of(&view, plain).hub(&id(plain), |_| false), id(plain));
}

/// Guards against refusals while all candidates of a failure domain are down.
#[test]
fn hosts_know_hubs_of_other_failure_domains() {
    let view = fleet(90);
    for n in 0..90 {
        let Neighbours { candidates, remote_hubs, .. } = of(&view, n);
        assert!(remote_hubs.len() == 2 && remote_hubs.iter().all(|hub| !candidates.contains(hub)));
        for hub in remote_hubs {
            let domain = &view.members[&hub].value.domain;
            let hubs = hubs::neighbours(&view, &hub, domain).candidates;
            assert_eq!(hubs.first(), Some(&hub), "another host than the hub is asked");
        }
    }
    assert!(of(&fleet(8), 3).remote_hubs.is_empty());
}
