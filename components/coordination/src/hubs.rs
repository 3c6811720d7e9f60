//! Gossip topology of the fleet, with a bounded number of links per host.
//!
//! View changes and demand must reach every host within a second, in fleets of a few hosts and
//! of many hundreds. In a small fleet all hosts are connected to each other. In a larger fleet
//! each failure domain has a *hub*, the first of three candidates that is reachable: hosts are
//! connected to the candidates of their own failure domain, and candidates also to those of the
//! other failure domains. A host then has three links, and a candidate has about three for each
//! failure domain. Traffic between failure
//! domains, which is expensive, does not grow with the number of hosts.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use xxhash_rust::xxh3;

use crate::{
    FailureDomain, HostId,
    view::{Member, Versioned, View},
};

/// Maximum number of hosts in a full mesh. A mesh of this size costs each host 40 short messages
/// a second.
pub const MAX_MESH_SIZE: usize = 16;

/// Maximum number of hosts of a failure domain that may be its hub. With three candidates, up to
/// two may fail at once without isolating the hosts of the failure domain for a moment.
pub const CANDIDATES: usize = 3;

/// Maximum number of remote hubs that a host may use when no candidate of its own failure
/// domain is reachable.
const MAX_REMOTE_HUBS: usize = 2;

/// Gossip neighbours of a host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Neighbours {
    /// Hosts to keep a link to.
    pub links: Vec<HostId>,
    /// Candidates for the hub of the host's own failure domain, most suitable first. In a mesh,
    /// all hosts of the failure domain.
    pub candidates: Vec<HostId>,
    /// Most suitable hubs of at most two other failure domains, used when no candidate of the
    /// host's own failure domain is reachable; empty in a mesh.
    pub remote_hubs: Vec<HostId>,
    /// Whether all hosts are connected to each other.
    pub mesh: bool,
}

/// Returns the hosts of a failure domain in order of suitability as hub: most powerful first,
/// and hosts of equal power in an order that depends only on their ids.
fn order(view: &View, domain: &FailureDomain) -> Vec<HostId> {
    let members = view.members.iter();
    let of_domain =
        members.filter(|(_, member)| member.value.domain == *domain && member.value.left.is_none());
    let mut ranked: Vec<_> = of_domain.map(|(id, member)| suitability(id, member)).collect();
    ranked.sort();
    ranked.into_iter().map(|(_, _, id)| id.clone()).collect()
}

/// Returns the hosts for which `is_eligible` holds and that are among the [`CANDIDATES`] most suitable
/// of these in their failure domain.
pub fn most_suitable(view: &View, is_eligible: impl Fn(&HostId) -> bool) -> BTreeSet<HostId> {
    let mut domains: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (id, member) in view.members.iter().filter(|(id, _)| is_eligible(id)) {
        domains.entry(&member.value.domain).or_default().push(suitability(id, member));
    }
    domains
        .into_values()
        .flat_map(|mut ranked| {
            ranked.sort();
            ranked.truncate(CANDIDATES);
            ranked.into_iter().map(|(_, _, id)| id.clone())
        })
        .collect()
}

/// Returns the sort key of a host that puts the most suitable hub first.
fn suitability<'a>(id: &'a HostId, member: &Versioned<Member>) -> (Reverse<u32>, u64, &'a HostId) {
    (Reverse(member.value.power), xxh3::xxh3_64(id.as_str().as_bytes()), id)
}

/// Returns the most suitable hubs of at most [`MAX_REMOTE_HUBS`] failure domains other than
/// `domain`, whose hash selects the first of them, which spreads the load.
fn remote_hubs(view: &View, domain: &FailureDomain) -> Vec<HostId> {
    let mut most_suitable = BTreeMap::new();
    let members = view.members.iter().filter(|(_, member)| member.value.left.is_none());
    for (id, member) in members.filter(|(_, member)| member.value.domain != *domain) {
        let candidate = suitability(id, member);
        let hub = most_suitable.entry(&member.value.domain).or_insert(candidate);
        *hub = candidate.min(*hub);
    }
    let mut hubs: Vec<_> = most_suitable.into_values().map(|(_, _, id)| id.clone()).collect();
    let start = xxh3::xxh3_64(domain.as_str().as_bytes()) as usize % hubs.len().max(1);
    hubs.rotate_left(start);
    hubs.truncate(MAX_REMOTE_HUBS);
    hubs
}

/// Returns the neighbours of the host `me` in the failure domain `domain`.
pub fn neighbours(view: &View, me: &HostId, domain: &FailureDomain) -> Neighbours {
    let members = view.members.iter();
    let present = members.filter(|(_, member)| member.value.left.is_none());
    let mut candidates = order(view, domain);
    if present.clone().count() <= MAX_MESH_SIZE {
        let links = present.map(|(id, _)| id).filter(|id| *id != me).cloned().collect();
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
    let remote_hubs = remote_hubs(view, domain);
    Neighbours { links, candidates, remote_hubs, mesh: false }
}

/// Returns the hosts other than `me` that may admit requests in a mesh: all but evicted hosts whose
/// leases have certainly expired.
///
/// A host that is evicted may only be cut off, and admits requests on its side of the partition.
pub fn participants(view: &View, me: &HostId) -> Vec<HostId> {
    let members = view.members.iter().filter(|(id, _)| *id != me);
    let admits = members.filter(|(_, member)| !member.value.lease_expired(view.clock));
    admits.map(|(id, _)| id.clone()).collect()
}

/// Returns the failure domains of all hosts of the view, sorted and including those of removed
/// hosts.
pub fn domains(view: &View) -> Vec<FailureDomain> {
    let domains: BTreeSet<_> = view.members.values().map(|member| &member.value.domain).collect();
    domains.into_iter().cloned().collect()
}

impl Neighbours {
    /// Returns the hub: the first candidate that is `me` or for which `is_up` holds, or `me` if
    /// there is no such candidate.
    pub fn hub(&self, me: &HostId, is_up: impl Fn(&HostId) -> bool) -> HostId {
        let hub = self.candidates.iter().find(|id| *id == me || is_up(id));
        hub.unwrap_or(me).clone()
    }
}
