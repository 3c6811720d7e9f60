//! Assignment of a holder to each backend server: the host whose connections to the server
//! are shared by all hosts.
//!
//! Designed for nine hosts and eight accounts with servers that accept 23 connections and run
//! three statements concurrently. A connection belongs to an account. If every host kept its
//! own connections, there would be only 23 connections for 72 pairs of host and account, and two
//! of three statements would open a connection. Opening a connection takes a slot for as long as
//! a short statement. A leader that runs all reads of its group while its replicas lag would
//! spend a third of its slots on opening connections, and refuse statements that it could run.
//! Nine independent queues would also leave three slots either idle or overloaded.
//!
//! With one holder, all hosts use the same connections, and there is one queue for a server's
//! slots with one order. The holder is in the server's failure domain, so the hop to it
//! replaces the hop to the server. Every host computes the order from the same view without
//! communication; hosts whose views differ briefly only open additional connections.

use xxhash_rust::xxh3;

use crate::{
    FailureDomain, HostId, rendezvous,
    view::{Member, View},
};

/// Divisor of the number of hosts of a failure domain that yields the number of hosts eligible
/// as holders: the most powerful half, since a holder runs the statements of other hosts.
const ELIGIBLE_DIVISOR: usize = 2;

/// Number of hosts to which a server is assigned: the holder and its standby. If both are
/// unreachable, a host connects to the server itself.
const MAX_HOLDERS: usize = 2;

/// Returns the hosts that are eligible as holders of servers in `domain`, most powerful last:
/// half of the hosts of the failure domain, at least two if there are two, and all hosts of
/// equal power to the least powerful of these. If no host is in the failure domain, hosts of
/// all failure domains are considered.
pub fn eligible(view: &View, domain: &FailureDomain) -> Vec<HostId> {
    let members = || view.members.iter().filter(|(_, member)| member.value.left.is_none());
    let local = members().filter(|(_, member)| member.value.domain == *domain);
    let mut hosts: Vec<_> = local.map(|(id, member)| (member.value.power, id)).collect();
    if hosts.is_empty() {
        hosts = members().map(|(id, member)| (member.value.power, id)).collect();
    }
    hosts.sort();
    let count = hosts.len().div_ceil(ELIGIBLE_DIVISOR).max(MAX_HOLDERS.min(hosts.len()));
    let min_power = hosts.iter().rev().nth(count.saturating_sub(1)).map(|(power, _)| *power);
    let eligible = hosts.into_iter().filter(|(power, _)| Some(*power) >= min_power);
    eligible.map(|(_, id)| id.clone()).collect()
}

/// Returns the holder of a server among the eligible hosts, followed by its standby if there is
/// more than one eligible host.
pub fn order(eligible: &[HostId], server: &str) -> Vec<HostId> {
    rendezvous::first(MAX_HOLDERS, server, eligible).into_iter().cloned().collect()
}

/// Returns a hash of the parts of a view that determine the assignment of holders: id, failure
/// domain, power and removal of each host.
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
