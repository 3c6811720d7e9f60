//! What a host is told at its start.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bergamottrack_coordination::{FailureDomain, HostId, Region, cold, demand::Tolerance};

/// What a host is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Failure domain it stands in.
    pub domain: FailureDomain,
    /// The region of each failure domain, as far as it is known.
    pub regions: HashMap<FailureDomain, Region>,
    /// Thousandths of a processor core that this host has.
    pub cpu_millicores: u32,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where readiness is asked for.
    pub readiness_address: SocketAddr,
    /// Where other hosts connect.
    pub peer_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// The platform's table service.
    pub store_address: SocketAddr,
    /// The platform's promotion service.
    pub promoter_address: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// From the order to stop until the process is killed.
    pub shutdown_grace: Duration,
    /// How soon a configuration must be in force.
    pub apply_bound: Duration,
    /// How soon nothing is sent any more to the servers of an evacuated failure domain.
    pub evacuation_bound: Duration,
    /// How far the limit for cold servers may be exceeded.
    pub cold_tolerance: cold::Tolerance,
    /// Within which time a withdrawn key must stop working also on hosts that are
    /// cut off; none where such hosts may go on with what they know.
    pub revocation_bound: Option<Duration>,
    /// How far an account's rate may be exceeded, so that hosts can share it out.
    pub rate_tolerance: Tolerance,
    /// Mechanisms that are switched off.
    pub disabled: Vec<Mechanism>,
}

impl Settings {
    /// Whether a mechanism is switched on.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}

/// A mechanism that can be switched off, to measure what it is worth. All promises hold
/// without any of them, but for what the mechanism itself promises.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mechanism {
    /// Statements run on connections that one host holds for all.
    SharedConnections,
}
