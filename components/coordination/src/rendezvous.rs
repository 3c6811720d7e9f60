//! Rendezvous hashing: which host serves a group, agreed on without a message.

use xxhash_rust::xxh3;

use crate::{FailureDomain, GroupId, HostId};

/// A host that may serve a group.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The host.
    pub host: &'a HostId,
    /// Its failure domain.
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
/// Hosts of the `near` failure domain come first; within each part the order
/// depends on the names only, so that hosts with the same view agree, and a
/// host that leaves moves only the groups that it served.
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

/// Orders the hosts for `key`, best first; it depends on the names only.
pub fn order<'a>(key: &str, hosts: &'a [HostId]) -> Vec<&'a HostId> {
    let mut ordered: Vec<_> = hosts.iter().map(|host| (weight(key, host), host)).collect();
    ordered.sort_by(|a, b| b.cmp(a));
    ordered.into_iter().map(|(_, host)| host).collect()
}
