//! Rendezvous hashing, by which hosts agree on the owner of a key without communication.

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

fn weight(key: &str, host: &HostId) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(host.as_str().as_bytes());
    hasher.digest()
}

/// Orders the candidates for `group`, best first.
///
/// Hosts of the `near` failure domain come first. Otherwise the order depends on the names
/// only, so that hosts with the same view agree, and the removal of a host moves only the
/// groups that it served.
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

/// Orders the hosts for `key`, best first. The order depends on the names only.
pub fn order<'a>(key: &str, hosts: &'a [HostId]) -> Vec<&'a HostId> {
    let mut ordered: Vec<_> = hosts.iter().map(|host| (weight(key, host), host)).collect();
    ordered.sort_by(|a, b| b.cmp(a));
    ordered.into_iter().map(|(_, host)| host).collect()
}
