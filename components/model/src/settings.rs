//! Settings of a host.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bergamottrack_coordination::{FailureDomain, HostId, Region, cold, demand::Tolerance};

/// Settings of a host, read when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Failure domain of this host.
    pub domain: FailureDomain,
    /// Regions of failure domains, as far as they are known.
    pub regions: HashMap<FailureDomain, Region>,
    /// CPU share of this host in thousandths of a core.
    pub cpu_millicores: u32,
    /// Memory of this host's machine in bytes; the process is killed beyond it.
    pub memory: usize,
    /// File descriptors that this process may use for connections.
    pub descriptors: usize,
    /// Address to which callers connect.
    pub caller_address: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness_address: SocketAddr,
    /// Address to which other hosts connect.
    pub peer_address: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_address: SocketAddr,
    /// Address of the platform's table service.
    pub store_address: SocketAddr,
    /// Address of the platform's promotion service.
    pub promoter_address: SocketAddr,
    /// Whether this is the first start of the whole system.
    pub first_start: bool,
    /// Time from the stop signal until the process is killed.
    pub shutdown_grace: Duration,
    /// Time within which a new configuration must be in force.
    pub apply_bound: Duration,
    /// Time after an evacuation within which the last statement may be sent to the servers of the
    /// failure domain.
    pub evacuation_bound: Duration,
    /// Time after a backend server has reported that it is leaving within which the last statement may
    /// be sent to it, except in open transactions; `Duration::MAX` if there is no bound.
    pub drain_bound: Duration,
    /// Time after a backend server's last write to its entry after which the entry is removed;
    /// `Duration::MAX` if it is not known.
    pub entry_ttl: Duration,
    /// Tolerance by which the rate limit for cold servers may be exceeded.
    pub cold_tolerance: cold::Tolerance,
    /// Time within which a revoked key must stop working even on isolated hosts; `None` if isolated
    /// hosts may continue with their configuration.
    pub revocation_bound: Option<Duration>,
    /// Tolerance by which an account's rate may be exceeded, which hosts need to divide the rate.
    pub rate_tolerance: Tolerance,
    /// Disabled mechanisms.
    pub disabled: Vec<Mechanism>,
}

impl Settings {
    /// Returns whether a mechanism is enabled.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}

/// Mechanism that can be disabled to measure its benefit. All guarantees hold without it, except
/// those of the mechanism itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mechanism {
    /// Statements of all hosts run on connections held by one host.
    SharedConnections,
}
