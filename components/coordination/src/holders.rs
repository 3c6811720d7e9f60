//! Which host holds the connections to a backend server, so that others share them.
//!
//! The load it answers: nine hosts and eight accounts before servers that take 23
//! connections and run three statements at once. A connection belongs to an account, so
//! hosts that each keep their own have about one for 72 pairs of host and account, and
//! open another for two statements of three. An opening takes a slot as long as a short
//! statement: a leader that has to run all reads of its group while its replicas are far
//! behind spends a third of its slots on openings, and refuses what it could run. Nine
//! queues that do not know of each other also keep three slots either idle or overfull.
//!
//! With one holder a server's connections are used by all hosts; there is one queue for
//! its slots, in one order. A holder stands in the server's failure domain, so the hop to
//! it replaces the way to the server. Every host works the order out from the same view,
//! without a message; two hosts that disagree for a moment only open connections twice.

use xxhash_rust::xxh3;

use crate::{
    FailureDomain, HostId, rendezvous,
    view::{Member, View},
};

/// Hosts of a failure domain that may hold its servers' connections, as one part of so
/// many: the strongest half, since a holder carries the statements of other hosts.
const STRONGEST: usize = 2;

/// Hosts that are tried in turn while the first ones cannot be reached. Where none of
/// them can, a host connects to the server itself.
const MOST: usize = 2;

/// The hosts among which the holders of servers in `domain` are, strongest last.
pub fn eligible(view: &View, domain: &FailureDomain) -> Vec<HostId> {
    let there = || view.members.iter().filter(|(_, member)| member.value.left.is_none());
    let near = there().filter(|(_, member)| member.value.domain == *domain);
    let mut hosts: Vec<_> = near.map(|(id, member)| (member.value.power, id)).collect();
    if hosts.is_empty() {
        hosts = there().map(|(id, member)| (member.value.power, id)).collect();
    }
    hosts.sort();
    let enough = hosts.len().div_ceil(STRONGEST).max(MOST.min(hosts.len()));
    let least = hosts.iter().rev().nth(enough.saturating_sub(1)).map(|(power, _)| *power);
    let strong = hosts.into_iter().filter(|(power, _)| Some(*power) >= least);
    strong.map(|(_, id)| id.clone()).collect()
}

/// The hosts of these that hold the connections to a server, best first.
pub fn order(eligible: &[HostId], server: &str) -> Vec<HostId> {
    rendezvous::order(server, eligible).into_iter().take(MOST).cloned().collect()
}

/// Tells views apart from which other holders may follow.
pub fn stamp(view: &View) -> u64 {
    let mut hash = xxh3::Xxh3::new();
    for (id, member) in &view.members {
        let Member { domain, power, left, .. } = &member.value;
        hash.update(id.as_str().as_bytes());
        hash.update(domain.as_str().as_bytes());
        hash.update(&power.to_le_bytes());
        hash.update(&[u8::from(left.is_some())]);
    }
    hash.digest()
}
