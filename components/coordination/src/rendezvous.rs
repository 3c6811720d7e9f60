//! Rendezvous hashing, by which hosts agree on the order of hosts for a key without
//! communication.

use xxhash_rust::xxh3;

use crate::{FailureDomain, GroupId, HostId};

/// A host that may serve a group.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Id of the host.
    pub host: &'a HostId,
    /// Failure domain of the host.
    pub domain: &'a FailureDomain,
}

/// Returns the priority of a host for a key.
fn weight(key: &str, host: &HostId) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(host.as_str().as_bytes());
    hasher.digest()
}

/// Returns the candidates for `group` by descending priority.
///
/// Hosts of the failure domain `near` come first. Otherwise the order depends only on the ids
/// of the group and the hosts, so that hosts with the same view and the same `near` agree, and the
/// removal of a host moves only the groups served by that host.
pub fn rank<'a>(
    group: &GroupId,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
    near: Option<&FailureDomain>,
) -> Vec<&'a HostId> {
    let mut ranked: Vec<_> = candidates
        .into_iter()
        .map(|c| (near == Some(c.domain), weight(group.as_str(), c.host), c.host))
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, _, host)| host).collect()
}

/// Returns the first `count` hosts of [`order`] without sorting the others.
pub fn first<'a>(count: usize, key: &str, hosts: &'a [HostId]) -> Vec<&'a HostId> {
    let mut first: Vec<(u64, &HostId)> = Vec::with_capacity(count + 1);
    for host in hosts {
        let candidate = (weight(key, host), host);
        let rank = first.iter().position(|other| candidate > *other).unwrap_or(first.len());
        if rank < count {
            first.insert(rank, candidate);
            first.truncate(count);
        }
    }
    first.into_iter().map(|(_, host)| host).collect()
}

/// Returns the hosts by descending priority for `key`. Unlike in [`rank`], no failure domain comes
/// first: the order depends only on `key` and the host ids.
pub fn order<'a>(key: &str, hosts: &'a [HostId]) -> Vec<&'a HostId> {
    let mut ordered: Vec<_> = hosts.iter().map(|host| (weight(key, host), host)).collect();
    ordered.sort_by(|a, b| b.cmp(a));
    ordered.into_iter().map(|(_, host)| host).collect()
}
