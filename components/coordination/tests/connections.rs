//! Bounds of the connections to a backend server with many accounts.

use std::time::Duration;

use bergamottrack_coordination::{
    AccountId, Rate,
    connections::{self, Bounds, Role, Usage},
};
use rand::{Rng, SeedableRng, distr::weighted::WeightedIndex, prelude::Distribution, rngs::StdRng};

/// Interval at which the simulated host closes unused connections.
const TRIM_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a statement holds its connection.
const EXECUTION_TIME: Duration = Duration::from_millis(33);

/// A server and the load on it.
struct Load {
    /// Maximum number of connections that the server accepts.
    max_connections: usize,
    /// Number of statements that the server runs concurrently.
    slots: usize,
    accounts: usize,
    /// Statements per second.
    rate: f64,
}

/// Returns the fraction of statements for which a connection is opened, from 0 to 1. Simulates
/// 90 s and excludes the first 30 s, in which accounts send their first statements.
fn opening_ratio(load: &Load, bounds: Bounds, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let weights: Vec<f64> = (1..=load.accounts).map(|rank| 1.0 / rank as f64).collect();
    let account = WeightedIndex::new(weights).unwrap();
    // Idle connections: account and start of the idle time, ordered by last use.
    let mut idle: Vec<(usize, Duration)> = Vec::new();
    let mut busy: Vec<(Duration, usize)> = Vec::new();
    let (mut opened, mut sent) = (0, 0);
    let (mut now, mut trimmed) = (Duration::ZERO, Duration::ZERO);
    let (measured_from, until) = (Duration::from_secs(30), Duration::from_secs(90));
    while now < until {
        now += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / load.rate);
        busy.retain(|(end, account)| {
            if *end <= now {
                idle.push((*account, *end));
            }
            *end > now
        });
        while trimmed < now {
            trimmed += TRIM_INTERVAL;
            let unused =
                |(_, since): &(usize, Duration)| trimmed.saturating_sub(*since) > bounds.idle_ttl;
            while idle.len() + busy.len() > bounds.kept && idle.first().is_some_and(unused) {
                idle.remove(0);
            }
        }
        let account = account.sample(&mut rng);
        let hit = idle.iter().rposition(|(owner, _)| *owner == account);
        if now >= measured_from {
            sent += 1;
            opened += usize::from(hit.is_none());
        }
        match hit {
            Some(index) => {
                idle.remove(index);
            }
            None if idle.len() + busy.len() >= bounds.cap && !idle.is_empty() => {
                idle.remove(0);
            }
            None => {}
        }
        busy.push((now + EXECUTION_TIME, account));
    }
    f64::from(opened as u32) / f64::from(sent)
}

/// Guards against a new connection for every second statement, because connections of accounts
/// that pause between statements are closed during the pause.
#[test]
fn connections_of_many_accounts_are_reused_for_nine_statements_in_ten() {
    let large = Load { max_connections: 193, slots: 5, accounts: 190, rate: 40.0 };
    let small = Load { max_connections: 34, slots: 5, accounts: 8, rate: 40.0 };
    for load in [large, small] {
        let bounds = connections::bounds(load.max_connections, load.slots, 295, Role::Holder);
        for seed in 0..3 {
            let ratio = opening_ratio(&load, bounds, seed);
            assert!(ratio <= 0.10, "{ratio:.3} openings per statement, {} accounts", load.accounts);
        }
    }
}

/// Guards against a new connection for every statement in the first seconds after a start.
#[test]
fn connections_are_opened_ahead_while_slots_are_free() {
    let accounts: Vec<AccountId> = (0..190).map(|n| format!("a{n}").parse().unwrap()).collect();
    let bounds = connections::bounds(193, 5, 295, Role::Holder);
    let mut open: Vec<AccountId> = Vec::new();
    let next = |open: &[AccountId], usage| {
        let has = |account: &AccountId| open.contains(account);
        connections::next_to_open(&accounts, has, usage, 5, bounds).cloned()
    };
    let usage = |open: &[AccountId]| Usage { open: open.len(), running: 0, waiting: 0 };
    while let Some(account) = next(&open, usage(&open)) {
        open.push(account);
    }
    assert_eq!(open, accounts[..bounds.ahead], "accounts with the highest rate do not come first");
    assert!(
        bounds.ahead > 5 && bounds.ahead <= bounds.kept,
        "ahead is not above the slots or exceeds kept"
    );
    let open = &open[1..];
    assert_eq!(
        next(open, usage(open)),
        Some(accounts[0].clone()),
        "closed connection is not reopened"
    );
    let busy = Usage { running: 4, ..usage(open) };
    assert_eq!(next(open, busy), None, "connection opened in the last free slot");
    let waiting = Usage { waiting: 1, ..usage(open) };
    assert_eq!(next(open, waiting), None);
}

/// Guards against more connections opened ahead at the start of a fleet of 300 hosts than its
/// callers send statements in the first 10 s: a group of three servers with 20 statements a
/// second.
#[test]
fn start_of_a_large_fleet_opens_fewer_connections_than_statements() {
    for (max, slots) in [(79, 5), (193, 5), (632, 40)] {
        let bounds = connections::bounds(max, slots, 300, Role::Holder);
        let (ahead, statements) = (3 * bounds.ahead, 20 * 10);
        assert!(ahead < statements, "{ahead} connections opened ahead for {statements} statements");
    }
}

/// Guards against a standby that gets no connections while the server still counts the connections
/// of a failed holder.
#[test]
fn standby_can_fill_the_slots_beside_the_connections_of_a_failed_holder() {
    for (max, slots) in [(193, 5), (285, 6), (90, 6), (60, 3), (50, 5), (34, 5), (23, 3)] {
        for hosts in [2, 9, 89, 295, 1800] {
            let holder = connections::bounds(max, slots, hosts, Role::Holder);
            let standby = connections::bounds(max, slots, hosts, Role::Standby);
            assert!(holder.kept + standby.cap <= max, "{max} connections, {hosts} hosts");
            assert!(standby.cap > slots, "{max} connections: a standby cannot fill {slots} slots");
        }
    }
}

/// Guards against bounds that leave a host without any connection, because its share of the
/// server's connections is less than one.
#[test]
fn every_host_may_open_a_connection_to_a_server_that_accepts_few() {
    for max in [1, 2, 3, 5, 193] {
        for role in [Role::Holder, Role::Standby, Role::Other] {
            let bounds = connections::bounds(max, 1, 1800, role);
            assert!(bounds.cap >= 1 && bounds.kept <= bounds.cap, "{max} connections: {bounds:?}");
        }
    }
}

/// Returns accounts with rates that sum up to `total` and follow the distribution of their ranks.
fn accounts(count: usize, total: f64) -> Vec<(AccountId, Rate)> {
    let sum: f64 = (1..=count).map(|rank| 1.0 / rank as f64).sum();
    let rate = |rank: usize| Rate(total / sum / rank as f64);
    (1..=count).map(|rank| (format!("a{rank}").parse().unwrap(), rate(rank))).collect()
}

/// Guards against a fleet that opens 18,000 connections to 3,000 servers before the first
/// statement: the number opened ahead follows the statements and not the servers.
#[test]
fn connections_opened_ahead_do_not_grow_with_the_number_of_groups() {
    for groups in [1000, 2500] {
        let usage = connections::by_usage(accounts(333, 2300.0), groups);
        let opened = usage.ahead.len() * groups * 3;
        assert!(opened < 2300, "{opened} connections ahead for {groups} groups");
    }
    let usage = connections::by_usage(accounts(8, 360.0), 3);
    assert_eq!(usage.ahead.len(), 8, "few groups: a connection of each account is used soon");
    assert_eq!(usage.ahead[0].as_str(), "a1", "by descending rate");
}

/// Guards against links from every host to every holder of connections: a host that sends a
/// statement for an account of low rate connects to the server itself.
#[test]
fn accounts_that_rarely_use_a_server_do_not_share_connections() {
    let fleet = connections::by_usage(accounts(333, 2300.0), 1000);
    assert!(fleet.unshared.len() > 300, "{} accounts unshared", fleet.unshared.len());
    for (hosts_accounts, total, groups) in [(8, 360.0, 3), (86, 1100.0, 8), (190, 1500.0, 20)] {
        let usage = connections::by_usage(accounts(hosts_accounts, total), groups);
        assert!(usage.unshared.is_empty(), "{groups} groups: {:?}", usage.unshared);
    }
}
