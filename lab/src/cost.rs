//! What the path costs: a statement straight to a server, through the host that
//! is home of the group, and through another host, in one run.

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

/// Blocks of statements for each way; they take turns, so that a busy moment
/// of the machine strikes all ways.
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

/// What one way of a statement costs.
#[derive(Clone, Debug, Serialize)]
pub struct PathCost {
    /// Where it leads.
    pub name: &'static str,
    /// The median, in microseconds.
    pub p50: f64,
    /// The 99th of a hundred, in microseconds.
    pub p99: f64,
    /// Processor time of all hosts, in microseconds a statement, idle use taken off.
    pub hosts: f64,
}

/// What the ways cost, the one straight to the server first.
#[derive(Clone, Debug, Serialize)]
pub struct Cost(pub Vec<PathCost>);

struct Measured {
    name: &'static str,
    client: Client,
    latency: Histogram<u64>,
    processor: Duration,
    time: Duration,
}

/// Measures all ways.
pub async fn run(args: CostArgs) -> anyhow::Result<Cost> {
    let accounts = vec![("lab".into(), 1e9, 1e9)];
    let plan = Plan { hosts: 2, accounts, log: "warn".into(), ..Plan::default() };
    let system = System::start(plan).await?;
    let through = [system.connect(0, "lab", "g1").await?, system.connect(1, "lab", "g1").await?];
    let sql = if args.writes { WRITE } else { READ };
    let setup = "CREATE TABLE IF NOT EXISTS booking (id TEXT, day TEXT)";
    system::run_until_ok(&through[0], setup).await?;
    system::run_until_ok(&through[0], "INSERT INTO booking VALUES ('b1', 'monday')").await?;
    let home = home(&system, &through, sql).await?;
    let idle = idle(&system).await;
    let direct = system.connect_server(&primary(&system, "g1").await?).await?;
    let [first, second] = through;
    let (near, far) = if home == 0 { (first, second) } else { (second, first) };
    let way = |name, client| Measured {
        name,
        client,
        latency: tally::histogram(),
        processor: Duration::ZERO,
        time: Duration::ZERO,
    };
    let mut ways = [way("direct", direct), way("home", near), way("with hop", far)];
    for _ in 0..BLOCKS {
        for way in &mut ways {
            way.block(&system, sql, args.statements / BLOCKS).await?;
        }
    }
    Ok(Cost(ways.iter().map(|way| way.summary(idle)).collect()))
}

impl Measured {
    async fn block(&mut self, system: &System, sql: &str, count: usize) -> anyhow::Result<()> {
        let (before, began) = (processor(system), Instant::now());
        for _ in 0..count {
            let sent = Instant::now();
            self.client.simple_query(sql).await?;
            self.latency.saturating_record(sent.elapsed().as_nanos() as u64);
        }
        self.processor += processor(system) - before;
        self.time += began.elapsed();
        Ok(())
    }

    fn summary(&self, idle: f64) -> PathCost {
        let micros = |q: f64| self.latency.value_at_quantile(q) as f64 / 1000.0;
        let count = self.latency.len().max(1) as f64;
        let used = self.processor.as_secs_f64() - idle * self.time.as_secs_f64();
        PathCost { name: self.name, p50: micros(0.5), p99: micros(0.99), hosts: used * 1e6 / count }
    }
}

fn processor(system: &System) -> Duration {
    system.hosts.iter().filter_map(|host| host.pid()).map(usage::processor).sum()
}

/// Cores that all hosts together use while nothing is asked of them.
async fn idle(system: &System) -> f64 {
    let (before, began) = (processor(system), Instant::now());
    tokio::time::sleep(Duration::from_secs(1)).await;
    (processor(system) - before).as_secs_f64() / began.elapsed().as_secs_f64()
}

/// The host that is home of the group: the one that works also when the other
/// host is asked.
async fn home(system: &System, through: &[Client; 2], sql: &str) -> anyhow::Result<usize> {
    let mut used = [Duration::ZERO; 2];
    for (asked, client) in through.iter().enumerate() {
        let other = 1 - asked;
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
        let direct = self.0.first().map_or(0.0, |way| way.p50);
        writeln!(
            f,
            "{:10} {:>10} {:>10} {:>10} {:>10}",
            "way", "p50 us", "p99 us", "added us", "hosts us"
        )?;
        self.0.iter().try_for_each(|way| {
            let PathCost { name, p50, p99, hosts } = way;
            writeln!(f, "{name:10} {p50:>10.0} {p99:>10.0} {:>10.0} {hosts:>10.0}", p50 - direct)
        })
    }
}
