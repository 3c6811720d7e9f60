//! Which hosts speak to which, so that the cost of a host does not grow with the fleet.
//!
//! The load it answers: news and demand that each host must have within a second,
//! in fleets of a handful of hosts and of many hundreds. Few hosts all speak to
//! each other. In a larger fleet each failure domain has a *hub*, the first of a
//! few candidates that is up: hosts speak to their own hub, and hubs to the hubs
//! of the other failure domains. A host then has three links, and a candidate
//! three for each failure domain; bytes between failure domains, which are dear,
//! do not grow with the number of hosts.

use std::{cmp::Reverse, collections::BTreeMap};

use xxhash_rust::xxh3;

use crate::{
    FailureDomain, HostId,
    view::{Member, Versioned, View},
};

/// Up to how many hosts all speak to each other. At this size that costs a host
/// 40 short messages a second.
pub const MAX_MESH_SIZE: usize = 16;

/// Hosts of a failure domain that may be its hub. With three of them up to two
/// may be lost at once before its hosts stand alone for a moment.
const CANDIDATES: usize = 3;

/// Hubs of other failure domains that a host knows for when it reaches none of its own.
const ELSEWHERE: usize = 2;

/// Which hosts a host speaks to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Neighbours {
    /// Hosts that it has links to.
    pub links: Vec<HostId>,
    /// Hosts of its own failure domain that may be the hub, best first.
    pub candidates: Vec<HostId>,
    /// Hosts that may be the hubs of other failure domains, for when no candidate of the
    /// own one is reached.
    pub remote_hubs: Vec<HostId>,
    /// Whether all hosts speak to each other.
    pub mesh: bool,
}

/// The hosts of a failure domain, those best suited as hub first: the strongest,
/// and among equals in an order that depends on the names only.
fn order(view: &View, domain: &FailureDomain) -> Vec<HostId> {
    let members = view.members.iter();
    let of_domain =
        members.filter(|(_, member)| member.value.domain == *domain && member.value.left.is_none());
    let mut ranked: Vec<_> = of_domain.map(|(id, member)| suitability(id, member)).collect();
    ranked.sort();
    ranked.into_iter().map(|(_, _, id)| id.clone()).collect()
}

/// Sorts the hosts best suited as hub first.
fn suitability<'a>(id: &'a HostId, member: &Versioned<Member>) -> (Reverse<u32>, u64, &'a HostId) {
    (Reverse(member.value.power), xxh3::xxh3_64(id.as_str().as_bytes()), id)
}

/// The first candidates of the other failure domains, beginning at a different one for each
/// failure domain so that the load is spread.
fn hubs_elsewhere(view: &View, domain: &FailureDomain) -> Vec<HostId> {
    let mut best = BTreeMap::new();
    let members = view.members.iter().filter(|(_, member)| member.value.left.is_none());
    for (id, member) in members.filter(|(_, member)| member.value.domain != *domain) {
        let candidate = suitability(id, member);
        let known = best.entry(&member.value.domain).or_insert(candidate);
        *known = candidate.min(*known);
    }
    let mut hubs: Vec<_> = best.into_values().map(|(_, _, id)| id.clone()).collect();
    let start = xxh3::xxh3_64(domain.as_str().as_bytes()) as usize % hubs.len().max(1);
    hubs.rotate_left(start);
    hubs.truncate(ELSEWHERE);
    hubs
}

/// Which hosts `me` of that failure domain speaks to.
pub fn neighbours(view: &View, me: &HostId, domain: &FailureDomain) -> Neighbours {
    let members = view.members.iter();
    let there = members.filter(|(_, member)| member.value.left.is_none());
    let mut candidates = order(view, domain);
    if there.clone().count() <= MAX_MESH_SIZE {
        let links = there.map(|(id, _)| id).filter(|id| *id != me).cloned().collect();
        return Neighbours { links, candidates, remote_hubs: Vec::new(), mesh: true };
    }
    candidates.truncate(CANDIDATES);
    let mut links = candidates.clone();
    if candidates.contains(me) {
        for other in domains(view).iter().filter(|other| *other != domain) {
            links.extend(order(view, other).into_iter().take(CANDIDATES));
        }
    }
    links.retain(|id| id != me);
    let remote_hubs = hubs_elsewhere(view, domain);
    Neighbours { links, candidates, remote_hubs, mesh: false }
}

/// The failure domains of the fleet.
pub fn domains(view: &View) -> Vec<FailureDomain> {
    let members = view.members.values();
    let mut domains: Vec<_> = members.map(|member| member.value.domain.clone()).collect();
    domains.sort();
    domains.dedup();
    domains
}

impl Neighbours {
    /// The hub: the first candidate that is `me` or up; `me` when there is none.
    pub fn hub(&self, me: &HostId, is_up: impl Fn(&HostId) -> bool) -> HostId {
        let hub = self.candidates.iter().find(|id| *id == me || is_up(id));
        hub.unwrap_or(me).clone()
    }
}
