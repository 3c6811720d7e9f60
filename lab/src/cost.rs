//! Cost of the path of a statement: directly to a server, through the host that is the group's home,
//! and through another host, compared in one run.

use std::{
    fmt,
    time::{Duration, Instant},
};

use clap::Args;
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio_postgres::Client;

use crate::{
    load::{primary, tally},
    system::{self, Plan, System},
    usage,
};

/// Number of blocks of statements for each path. The blocks of the paths alternate, so that a load
/// spike of the machine affects all paths.
const BLOCKS: usize = 20;

const READ: &str = "SELECT day FROM booking WHERE id = 'b1'";
const WRITE: &str = "UPDATE booking SET day = 'tuesday' WHERE id = 'b1'";

/// Settings of `cost`.
#[derive(Args, Clone, Debug)]
pub struct CostArgs {
    /// Statements for each way.
    #[arg(long, default_value_t = 10_000)]
    pub statements: usize,
    /// Times writes instead of reads.
    #[arg(long)]
    pub writes: bool,
}

/// Measured cost of one path.
#[derive(Clone, Debug, Serialize)]
pub struct PathCost {
    /// Name of the path.
    pub name: &'static str,
    /// Median latency, in microseconds.
    pub p50: f64,
    /// 99th percentile of the latency, in microseconds.
    pub p99: f64,
    /// Processor time of all hosts without their idle usage, in microseconds per statement.
    pub hosts: f64,
}

/// Costs of all paths; the direct path comes first.
#[derive(Clone, Debug, Serialize)]
pub struct Cost(pub Vec<PathCost>);

/// Connection of one path with its measurements.
struct Measurement {
    name: &'static str,
    client: Client,
    latency: Histogram<u64>,
    processor: Duration,
    time: Duration,
}

/// Measures all paths.
pub async fn run(args: CostArgs) -> anyhow::Result<Cost> {
    let accounts = vec![("lab".into(), 1e9, 1e9)];
    let plan = Plan { hosts: 2, accounts, log: "warn".into(), ..Plan::default() };
    let system = System::start(plan).await?;
    let clients = [system.connect(0, "lab", "g1").await?, system.connect(1, "lab", "g1").await?];
    let sql = if args.writes { WRITE } else { READ };
    let setup = "CREATE TABLE IF NOT EXISTS booking (id TEXT, day TEXT)";
    system::run_until_ok(&clients[0], setup).await?;
    system::run_until_ok(&clients[0], "INSERT INTO booking VALUES ('b1', 'monday')").await?;
    let home = find_home(&system, &clients, sql).await?;
    let idle = idle_cores(&system).await;
    let direct = system.connect_server(&primary(&system, "g1").await?).await?;
    let [first, second] = clients;
    let (near, far) = if home == 0 { (first, second) } else { (second, first) };
    let path = |name, client| Measurement {
        name,
        client,
        latency: tally::histogram(),
        processor: Duration::ZERO,
        time: Duration::ZERO,
    };
    let mut paths = [path("direct", direct), path("home", near), path("with hop", far)];
    for _ in 0..BLOCKS {
        for path in &mut paths {
            path.run_block(&system, sql, args.statements / BLOCKS).await?;
        }
    }
    Ok(Cost(paths.iter().map(|path| path.summary(idle)).collect()))
}

impl Measurement {
    async fn run_block(&mut self, system: &System, sql: &str, count: usize) -> anyhow::Result<()> {
        let (before, start) = (host_time(system), Instant::now());
        for _ in 0..count {
            let sent = Instant::now();
            self.client.simple_query(sql).await?;
            self.latency.saturating_record(sent.elapsed().as_nanos() as u64);
        }
        self.processor += host_time(system) - before;
        self.time += start.elapsed();
        Ok(())
    }

    fn summary(&self, idle: f64) -> PathCost {
        let micros = |q: f64| self.latency.value_at_quantile(q) as f64 / 1000.0;
        let count = self.latency.len().max(1) as f64;
        let used = self.processor.as_secs_f64() - idle * self.time.as_secs_f64();
        PathCost { name: self.name, p50: micros(0.5), p99: micros(0.99), hosts: used * 1e6 / count }
    }
}

/// Returns the processor time used so far by all hosts together.
fn host_time(system: &System) -> Duration {
    system.hosts.iter().filter_map(|host| host.pid()).map(usage::processor).sum()
}

/// Returns the number of cores used by all hosts together without requests.
async fn idle_cores(system: &System) -> f64 {
    let (before, start) = (host_time(system), Instant::now());
    tokio::time::sleep(Duration::from_secs(1)).await;
    (host_time(system) - before).as_secs_f64() / start.elapsed().as_secs_f64()
}

/// Returns the index of the host that is the group's home: the one that uses processor time also
/// for requests sent to the other host.
async fn find_home(system: &System, clients: &[Client; 2], sql: &str) -> anyhow::Result<usize> {
    let mut used = [Duration::ZERO; 2];
    for (index, client) in clients.iter().enumerate() {
        let other = 1 - index;
        let pid = system.hosts[other].pid().unwrap_or_default();
        let before = usage::processor(pid);
        for _ in 0..500 {
            client.simple_query(sql).await?;
        }
        used[other] = usage::processor(pid) - before;
    }
    Ok(usize::from(used[1] > used[0]))
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let direct = self.0.first().map_or(0.0, |path| path.p50);
        writeln!(
            f,
            "{:10} {:>10} {:>10} {:>10} {:>10}",
            "way", "p50 us", "p99 us", "added us", "hosts us"
        )?;
        self.0.iter().try_for_each(|path| {
            let PathCost { name, p50, p99, hosts } = path;
            writeln!(f, "{name:10} {p50:>10.0} {p99:>10.0} {:>10.0} {hosts:>10.0}", p50 - direct)
        })
    }
}
