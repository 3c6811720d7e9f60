//! Report of a load.

use std::{collections::BTreeMap, fmt, rc::Rc};

use bergamottrack_contract::{ClientAccount, Config};
use serde::Serialize;

use super::{
    Load, Run,
    caller::Outcome,
    counters::{Counters, IdleUsage},
    tally::{self, Sample, Tally},
};

/// Results of a load.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Settings of the load.
    pub load: Load,
    /// Requests offered.
    pub offered: u64,
    /// Requests served.
    pub served: u64,
    /// Served requests per second.
    pub goodput: f64,
    /// Latencies of served requests.
    pub latency: Latency,
    /// Share of reads that were served by replicas, from 0 to 1.
    pub replica_share: f64,
    /// Reads that lack a write acknowledged to their session; must be 0.
    pub stale_reads: u64,
    /// Longest time without an acknowledged write by group, in milliseconds.
    pub write_gaps: BTreeMap<Box<str>, f64>,
    /// Longest time between two acknowledged writes of the group after each fault of its
    /// primary, in milliseconds, in ascending order.
    pub failover_gaps: Vec<f64>,
    /// Number of term changes over all groups.
    pub promotions: u64,
    /// Longest wait of a caller for an answer of any kind, in milliseconds.
    pub longest_wait: f64,
    /// Account that received the smallest share of its entitlement.
    pub worst: WorstAccount,
    /// Requests refused for rate although they were within the rate.
    pub wrongful: u64,
    /// Greatest number of requests served to an account beyond its rate and burst.
    pub overshoot: f64,
    /// Results by account.
    pub accounts: Vec<AccountReport>,
    /// Statements run by servers per request that was not refused for rate.
    pub amplification: f64,
    /// Maximum number of concurrent connections to one server.
    pub connections: u64,
    /// Maximum number of statements that waited for a slot of one server at once.
    pub waiting: u64,
    /// Resource usage of the system.
    pub usage: Usage,
    /// For plots: due time of each request in seconds, its latency in milliseconds, and
    /// whether it was served.
    #[serde(skip)]
    pub points: Vec<(f64, f64, bool)>,
}

/// Latencies in milliseconds, measured from the time at which a request was due.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// Account that received the smallest share of its entitlement.
#[derive(Clone, Debug, Serialize)]
pub struct WorstAccount {
    /// Id of the client account.
    pub account: Box<str>,
    /// Served requests divided by entitled requests.
    pub share: f64,
}

/// Results of one client account.
#[derive(Clone, Debug, Serialize)]
pub struct AccountReport {
    /// Id of the client account.
    pub account: Box<str>,
    /// Requests offered.
    pub offered: u64,
    /// Requests that a single token bucket shared by all hosts would have admitted.
    pub entitled: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused, by SQLSTATE.
    pub refused: BTreeMap<Box<str>, u64>,
    /// Requests refused for rate although they were within the rate.
    pub wrongful: u64,
    /// Greatest number of requests served beyond rate and burst.
    pub overshoot: f64,
    /// Latencies of served requests.
    pub latency: Latency,
}

/// Resource usage of the system.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Usage {
    /// CPU time of all hosts in microseconds per statement, less idle usage.
    pub hosts_us: f64,
    /// CPU time of all servers in microseconds per statement.
    pub servers_us: f64,
    /// Bytes per statement over all connections, less idle usage.
    pub bytes: f64,
    /// Share of one core used by an idle host, in percent.
    pub idle_percent: f64,
    /// Bytes per second sent by the idle system, per host.
    pub idle_bytes: f64,
    /// Memory of the host that uses most, in MiB.
    pub memory_mib: f64,
}

impl Report {
    /// Returns the number of refusals of all accounts by SQLSTATE.
    pub fn refused(&self) -> BTreeMap<&str, u64> {
        let mut refused = BTreeMap::new();
        for (code, count) in self.accounts.iter().flat_map(|a| &a.refused) {
            *refused.entry(&**code).or_default() += count;
        }
        refused
    }
}

fn latency(histogram: &hdrhistogram::Histogram<u64>) -> Latency {
    let millis = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
    Latency { p50: millis(0.5), p99: millis(0.99), max: histogram.max() as f64 / 1000.0 }
}

/// Builds the report of a run from its samples and the counters before and after it.
pub(super) fn build(
    run: &Run,
    config: &Config,
    idle: &IdleUsage,
    before: &Counters,
    after: &Counters,
) -> Report {
    let mut samples = run.samples.take();
    samples.values_mut().for_each(|all| all.sort_by(|a, b| a.due.total_cmp(&b.due)));
    let mut histogram = tally::histogram();
    let mut accounts = Vec::new();
    let mut stale_reads = 0;
    for account in &config.accounts {
        let tally = count(account, samples.get(account.id.as_str()).map_or(&[], Vec::as_slice));
        histogram += &tally.latency;
        stale_reads += tally.stale;
        accounts.push(account_report(account, &tally));
    }
    let served = accounts.iter().map(|a| a.served).sum::<u64>();
    let points: Vec<_> = samples.values().flatten().map(point).collect();
    Report {
        offered: accounts.iter().map(|a| a.offered).sum(),
        served,
        goodput: served as f64 / run.load.seconds,
        latency: latency(&histogram),
        replica_share: replica_share(before, after),
        stale_reads,
        write_gaps: write_gaps(run),
        failover_gaps: failover_gaps(run),
        promotions: after.terms.saturating_sub(before.terms),
        longest_wait: points.iter().map(|p| p.1).fold(0.0, f64::max),
        worst: worst(&accounts),
        wrongful: accounts.iter().map(|a| a.wrongful).sum(),
        overshoot: accounts.iter().map(|a| a.overshoot).fold(0.0, f64::max),
        usage: usage(run, idle, before, after, points.len()),
        amplification: amplification(&accounts, before, after),
        connections: after.connections,
        waiting: after.waiting,
        accounts,
        points,
        load: run.load.clone(),
    }
}

fn point(sample: &Sample) -> (f64, f64, bool) {
    let served = matches!(sample.outcome, Outcome::Served { .. });
    (sample.due, (sample.done - sample.due) * 1000.0, served)
}

fn count(account: &ClientAccount, samples: &[Sample]) -> Tally {
    let mut tally = Tally::new(account);
    samples.iter().for_each(|sample| tally.count(sample));
    tally
}

fn account_report(account: &ClientAccount, tally: &Tally) -> AccountReport {
    AccountReport {
        account: account.id.as_str().into(),
        offered: tally.offered,
        entitled: tally.entitled,
        served: tally.served,
        refused: tally.refused.clone(),
        wrongful: tally.wrongful,
        overshoot: tally.overshoot,
        latency: latency(&tally.latency),
    }
}

fn replica_share(before: &Counters, after: &Counters) -> f64 {
    let replicas = after.replica_reads.saturating_sub(before.replica_reads) as f64;
    let primaries = after.primary_reads.saturating_sub(before.primary_reads) as f64;
    replicas / (replicas + primaries).max(1.0)
}

fn amplification(accounts: &[AccountReport], before: &Counters, after: &Counters) -> f64 {
    let statements = |c: &Counters| c.primary_reads + c.replica_reads + c.writes;
    let over_rate = |a: &AccountReport| a.refused.get(tally::OVER_RATE).copied();
    let admissible =
        accounts.iter().map(|a| a.offered - over_rate(a).unwrap_or_default()).sum::<u64>();
    statements(after).saturating_sub(statements(before)) as f64 / admissible.max(1) as f64
}

fn write_gaps(run: &Run) -> BTreeMap<Box<str>, f64> {
    let gap = |times: &Vec<f64>| {
        let mut times = times.clone();
        times.sort_by(f64::total_cmp);
        times.windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max) * 1000.0
    };
    let acknowledged = run.acknowledged.borrow();
    acknowledged.iter().map(|(group, times)| (Box::from(&**group), gap(times))).collect()
}

/// Returns, for each fault of a primary, the longest time between two acknowledged writes of
/// its group, from the last one before the fault up to the group's next fault; in
/// milliseconds, in ascending order.
fn failover_gaps(run: &Run) -> Vec<f64> {
    let primary_faults = run.primary_faults.borrow();
    let acknowledged = run.acknowledged.borrow();
    let gap = |(i, (group, at)): (usize, &(Rc<str>, f64))| {
        let next = primary_faults[i + 1..].iter().find(|(other, _)| other == group);
        let end = next.map_or(run.load.seconds, |(_, at)| *at);
        let mut times = acknowledged.get(group)?.clone();
        times.sort_by(f64::total_cmp);
        let before = times.iter().copied().rfind(|t| t <= at)?;
        let within = times.iter().copied().filter(|t| t > at && *t < end);
        // A group that never acknowledges a write again counts as unavailable up to the end.
        let times: Vec<f64> = [before].into_iter().chain(within).chain([end]).collect();
        let longest = times.windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max);
        Some(longest * 1000.0)
    };
    let mut gaps: Vec<f64> = primary_faults.iter().enumerate().filter_map(gap).collect();
    gaps.sort_by(f64::total_cmp);
    gaps
}

/// Returns the nearest-rank quantile of sorted values for `q` from 0 to 1; 0 if there are
/// no values.
pub fn quantile(sorted: &[f64], q: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let rank = (sorted.len() as f64 * q).ceil() as usize;
    sorted.get(rank.saturating_sub(1).min(last)).copied().unwrap_or_default()
}

fn worst(accounts: &[AccountReport]) -> WorstAccount {
    let share = |a: &AccountReport| match a.entitled {
        0 => 1.0,
        entitled => a.served as f64 / entitled as f64,
    };
    let worst = accounts.iter().min_by(|a, b| share(a).total_cmp(&share(b)));
    WorstAccount {
        account: worst.map(|a| a.account.clone()).unwrap_or_default(),
        share: worst.map_or(1.0, share),
    }
}

fn usage(
    run: &Run,
    idle: &IdleUsage,
    before: &Counters,
    after: &Counters,
    requests: usize,
) -> Usage {
    let seconds = run.now();
    let hosts = run.addresses.len() as f64;
    let requests = (requests as f64).max(1.0);
    let host_time = after.host_cpu.saturating_sub(before.host_cpu).as_secs_f64();
    let server_time = after.server_cpu.saturating_sub(before.server_cpu).as_secs_f64();
    let bytes = after.bytes.saturating_sub(before.bytes) as f64;
    Usage {
        hosts_us: (host_time - idle.processor * hosts * seconds).max(0.0) * 1e6 / requests,
        servers_us: server_time * 1e6 / requests,
        bytes: (bytes - idle.bytes * seconds).max(0.0) / requests,
        idle_percent: idle.processor * 100.0,
        idle_bytes: idle.bytes / hosts,
        memory_mib: after.memory as f64 / f64::from(1 << 20),
    }
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p50 {:.2} ms, p99 {:.2} ms, max {:.1} ms", self.p50, self.p99, self.max)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { load, usage, worst, .. } = self;
        writeln!(
            f,
            "site {}, {} hosts, seed {}, {} s, balance {:?}",
            load.site, load.hosts, load.seed, load.seconds, load.balance
        )?;
        writeln!(
            f,
            "offered {}, served {} ({:.0}/s), {}",
            self.offered, self.served, self.goodput, self.latency
        )?;
        writeln!(f, "reads served by replicas: {:.1} %", self.replica_share * 100.0)?;
        writeln!(f, "reads older than the session's own writes: {}", self.stale_reads)?;
        for (group, gap) in &self.write_gaps {
            writeln!(f, "longest time without an acknowledged write, {group}: {gap:.0} ms")?;
        }
        if !self.failover_gaps.is_empty() {
            let gap = |q| quantile(&self.failover_gaps, q);
            writeln!(
                f,
                "failover gap over {} strikes ({} promotions): p50 {:.0} ms, p90 {:.0} ms, max {:.0} ms",
                self.failover_gaps.len(),
                self.promotions,
                gap(0.5),
                gap(0.9),
                gap(1.0)
            )?;
        }
        writeln!(f, "longest wait of a caller: {:.0} ms", self.longest_wait)?;
        writeln!(
            f,
            "worst-served account: {} with {:.1} % of what it was entitled to",
            worst.account,
            worst.share * 100.0
        )?;
        writeln!(
            f,
            "refused although within rate: {}; most beyond rate and burst: {:.1}",
            self.wrongful, self.overshoot
        )?;
        writeln!(
            f,
            "at one server: at most {} connections, {} statements waiting for a slot; \
             {:.2} statements run a request",
            self.connections, self.waiting, self.amplification
        )?;
        writeln!(
            f,
            "a statement: {:.0} us of the hosts, {:.0} us of the servers, {:.0} bytes",
            usage.hosts_us, usage.servers_us, usage.bytes
        )?;
        writeln!(
            f,
            "an idle host: {:.2} % of a core, {:.0} bytes/s, {:.1} MiB",
            usage.idle_percent, usage.idle_bytes, usage.memory_mib
        )?;
        writeln!(
            f,
            "{:20} {:>8} {:>8} {:>8} {:>8} {:>8}",
            "account", "offered", "entitled", "served", "p50 ms", "p99 ms"
        )?;
        for a in &self.accounts {
            write!(
                f,
                "{:20} {:>8} {:>8} {:>8} {:>8.2} {:>8.2}",
                a.account, a.offered, a.entitled, a.served, a.latency.p50, a.latency.p99
            )?;
            a.refused.iter().try_for_each(|(code, n)| write!(f, "  {code}: {n}"))?;
            writeln!(f)?;
        }
        Ok(())
    }
}
