//! Slopes: resource usage of idle hosts as a function of the number of hosts, callers, accounts,
//! groups or revisions.

use std::time::{Duration, Instant};

use anyhow::Context;
use bergamottrack_contract::Config;
use clap::{Args, ValueEnum};

use crate::{
    load::counters::{Counters, IdleUsage},
    system::{self, Plan, System},
};

/// Duration of the measurement of each size.
const MEASURE_DURATION: Duration = Duration::from_secs(5);

/// Delay before the measurement, in which the system settles.
const SETTLE_DELAY: Duration = Duration::from_secs(3);

/// Settings of `slopes`.
#[derive(Args, Clone, Debug)]
pub struct SlopesArgs {
    /// What grows.
    pub of: Dimension,
    /// Its sizes.
    #[arg(value_delimiter = ',')]
    pub sizes: Vec<usize>,
}

/// Dimension along which the system grows.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Dimension {
    /// Entry hosts.
    Hosts,
    /// Idle connections of callers to one host.
    Callers,
    /// Client accounts.
    Accounts,
    /// Database groups of three servers, each in use once.
    Groups,
    /// Submits, one after the other.
    Submits,
}

/// Measures each size, with a new system, and prints a line for it.
pub async fn run(args: SlopesArgs) -> anyhow::Result<()> {
    println!(
        "{:>8} {:>12} {:>14} {:>12} {:>12}",
        "size", "core %/host", "bytes/s/host", "MiB/host", "submit ms"
    );
    for size in args.sizes {
        let hosts = if args.of == Dimension::Hosts { size } else { 2 };
        let groups = if args.of == Dimension::Groups { size } else { 1 };
        let plan = Plan { groups, hosts, log: "warn".into(), ..Plan::default() };
        let mut system = System::start(plan).await?;
        system.connect(0, "baobab", "g1").await?;
        let start = Instant::now();
        let connections = grow(&mut system, args.of, size).await?;
        let submit = start.elapsed().as_secs_f64() * 1000.0;
        tokio::time::sleep(SETTLE_DELAY).await;
        let idle = IdleUsage::measure(&system, MEASURE_DURATION).await?;
        let memory = Counters::read_processes(&system).memory as f64 / f64::from(1 << 20);
        println!(
            "{size:>8} {:>12.3} {:>14.0} {memory:>12.1} {submit:>12.1}",
            idle.processor * 100.0,
            idle.bytes / hosts as f64,
        );
        drop(connections);
    }
    Ok(())
}

/// Grows the system to the size. The returned connections keep it at that size until dropped.
async fn grow(
    system: &mut System,
    of: Dimension,
    size: usize,
) -> anyhow::Result<Vec<tokio_postgres::Client>> {
    let mut connections = Vec::new();
    let mut config = Config::parse(&system.config())?;
    match of {
        Dimension::Hosts => {}
        Dimension::Callers => {
            for _ in 0..size {
                connections.push(system.connect(0, "baobab", "g1").await?);
            }
        }
        Dimension::Accounts => {
            let account =
                config.accounts.first().cloned().context("configuration has no account")?;
            for i in config.accounts.len()..size {
                let id = format!("account-{i}").parse()?;
                config
                    .accounts
                    .push(bergamottrack_contract::ClientAccount { id, ..account.clone() });
            }
            system.submit(&toml::to_string(&config)?).await?;
        }
        Dimension::Groups => connections = use_groups(system).await?,
        Dimension::Submits => {
            for i in 0..size {
                config.policy.idle_ms = 10_000 + i as u64;
                system.submit(&toml::to_string(&config)?).await?;
            }
        }
    }
    Ok(connections)
}

/// Runs a statement in every group, so that each has a home; returns the connections.
async fn use_groups(system: &System) -> anyhow::Result<Vec<tokio_postgres::Client>> {
    let mut connections = Vec::new();
    for group in 1..=system.plan.groups {
        let client = system.connect(0, "baobab", &format!("g{group}")).await?;
        system::run_until_ok(&client, "SELECT 1").await?;
        connections.push(client);
    }
    Ok(connections)
}
