//! What the processes have used and served, before and after a load.

use std::time::{Duration, Instant};

use anyhow::Context;

use super::fault;
use crate::{
    system::{self, System},
    usage,
};

/// What has been used and served up to now.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Processor time of the hosts.
    pub hosts: Duration,
    /// Processor time of the servers.
    pub servers: Duration,
    /// Bytes over the loopback device.
    pub bytes: u64,
    /// Memory of the host that has most.
    pub memory: u64,
    /// Reads that primaries served.
    pub primary_reads: u64,
    /// Reads that replicas served.
    pub replica_reads: u64,
    /// Writes that servers ran.
    pub writes: u64,
    /// The most connections at once to one server.
    pub connections: u64,
    /// The most statements at once that waited for a slot of one server.
    pub waiting: u64,
    /// The newest terms of all groups, added up.
    pub terms: u64,
}

impl Counters {
    /// Reads them all; servers that do not run are passed over.
    pub async fn read(system: &System) -> anyhow::Result<Self> {
        let mut counters = Self::read_processes(system);
        for (name, process) in &system.servers {
            if process.pid().is_none() {
                continue;
            }
            let Ok(Ok(counters_line)) =
                tokio::time::timeout(Duration::from_secs(1), counters_line(system, name)).await
            else {
                continue;
            };
            let mut numbers = counters_line.split(' ').filter_map(|n| n.parse::<u64>().ok());
            let mut next = || numbers.next().unwrap_or_default();
            counters.primary_reads += next();
            counters.replica_reads += next();
            counters.writes += next();
            counters.connections = counters.connections.max(next());
            counters.waiting = counters.waiting.max(next());
        }
        for group in 1..=system.plan.groups {
            counters.terms += fault::newest_term(system, &format!("g{group}")).await;
        }
        Ok(counters)
    }

    /// Reads what the processes use, without asking the servers.
    pub fn read_processes(system: &System) -> Self {
        let hosts = system.hosts.iter().filter_map(|host| host.pid());
        let servers = system.servers.values().filter_map(|server| server.pid());
        Self {
            hosts: hosts.clone().map(usage::processor).sum(),
            servers: servers.map(usage::processor).sum(),
            bytes: usage::loopback(),
            memory: hosts.map(usage::memory).max().unwrap_or_default(),
            ..Self::default()
        }
    }
}

async fn counters_line(system: &System, name: &str) -> anyhow::Result<String> {
    let client = system.connect_server(name).await?;
    let rows = system::rows(&client, "SHOW standin.counters").await?;
    rows.into_iter().next().context("a server without counters")
}

/// What the hosts use while nothing is asked of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleUsage {
    /// Part of one core that a host uses.
    pub processor: f64,
    /// Bytes a second of the whole system.
    pub bytes: f64,
}

impl IdleUsage {
    /// Watches the system for some time.
    pub async fn measure(system: &System, time: Duration) -> anyhow::Result<Self> {
        let began = Instant::now();
        let before = Counters::read_processes(system);
        tokio::time::sleep(time).await;
        let after = Counters::read_processes(system);
        let seconds = began.elapsed().as_secs_f64();
        let used = after.hosts.saturating_sub(before.hosts).as_secs_f64();
        Ok(Self {
            processor: used / seconds / system.hosts.len() as f64,
            bytes: after.bytes.saturating_sub(before.bytes) as f64 / seconds,
        })
    }
}
