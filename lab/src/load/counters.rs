//! Resource usage and request counters of the processes, read before and after a load.

use std::time::{Duration, Instant};

use anyhow::Context;

use super::fault;
use crate::{
    system::{self, System},
    usage,
};

/// Cumulative usage and counters of all processes.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// CPU time of all hosts.
    pub host_cpu: Duration,
    /// CPU time of all backend servers.
    pub server_cpu: Duration,
    /// Bytes sent over the loopback device.
    pub bytes: u64,
    /// Memory of the host that uses most, in bytes.
    pub memory: u64,
    /// Reads served by primaries.
    pub primary_reads: u64,
    /// Reads served by replicas.
    pub replica_reads: u64,
    /// Writes run by servers.
    pub writes: u64,
    /// Maximum number of concurrent connections to one server.
    pub connections: u64,
    /// Maximum number of statements that waited for a slot of one server at once.
    pub waiting: u64,
    /// Sum of the newest terms of all groups.
    pub terms: u64,
}

impl Counters {
    /// Reads all counters; skips servers that are not running or do not answer within 1 s.
    pub async fn read(system: &System) -> anyhow::Result<Self> {
        let mut counters = Self::read_processes(system);
        for (name, process) in &system.servers {
            if process.pid().is_none() {
                continue;
            }
            let Ok(Ok(line)) =
                tokio::time::timeout(Duration::from_secs(1), counters_line(system, name)).await
            else {
                continue;
            };
            let mut numbers = line.split(' ').filter_map(|n| n.parse::<u64>().ok());
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

    /// Reads the usage of the processes only; sends no request to the servers.
    pub fn read_processes(system: &System) -> Self {
        let hosts = system.hosts.iter().filter_map(|host| host.pid());
        let servers = system.servers.values().filter_map(|server| server.pid());
        Self {
            host_cpu: hosts.clone().map(usage::processor).sum(),
            server_cpu: servers.map(usage::processor).sum(),
            bytes: usage::loopback(),
            memory: hosts.map(usage::memory).max().unwrap_or_default(),
            ..Self::default()
        }
    }
}

async fn counters_line(system: &System, name: &str) -> anyhow::Result<String> {
    let client = system.connect_server(name).await?;
    let rows = system::rows(&client, "SHOW standin.counters").await?;
    rows.into_iter().next().context("server returned no counters")
}

/// Resource usage of the system without load.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleUsage {
    /// Share of one core used by a host, averaged over the hosts (1.0 is a whole core).
    pub processor: f64,
    /// Bytes per second sent by the whole system.
    pub bytes: f64,
}

impl IdleUsage {
    /// Measures the idle system for the given duration.
    pub async fn measure(system: &System, duration: Duration) -> anyhow::Result<Self> {
        let start = Instant::now();
        let before = Counters::read_processes(system);
        tokio::time::sleep(duration).await;
        let after = Counters::read_processes(system);
        let seconds = start.elapsed().as_secs_f64();
        let used = after.host_cpu.saturating_sub(before.host_cpu).as_secs_f64();
        Ok(Self {
            processor: used / seconds / system.hosts.len() as f64,
            bytes: after.bytes.saturating_sub(before.bytes) as f64 / seconds,
        })
    }
}
