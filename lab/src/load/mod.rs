//! Open-loop load generator: requests arrive independently of answers, from random numbers
//! with a fixed seed.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context;
use bergamottrack_contract::{ClientAccount, Config};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;

use crate::{
    site::Site,
    system::{self, Plan, System},
};

pub mod caller;
pub mod counters;
mod fault;
pub mod plot;
pub mod report;
pub mod tally;

pub use fault::{Action, Fault, primary};
pub use report::Report;

use caller::{Outcome, Session};
use tally::Sample;

/// Maximum wait for outstanding answers after the last arrival.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(16);

/// Interval at which [`Balance::Moving`] changes its host, in seconds.
const MOVE_INTERVAL: f64 = 2.0;

/// Distribution of requests over the hosts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Balance {
    /// Uniform.
    #[default]
    Even,
    /// Nine out of ten requests to the first host.
    Skewed,
    /// Nine out of ten requests to one host, which changes every two seconds.
    Moving,
}

/// Settings of a load and of the system that it runs against.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Site that defines the groups, accounts and rates.
    pub site: Site,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Duration of the idle measurement before the load starts, in seconds; longer than any
    /// burst of the sites takes to refill.
    pub idle: f64,
    /// Duration of the arrivals, in seconds.
    pub seconds: f64,
    /// Offered requests as a share of each account's rate.
    pub offered: f64,
    /// Overrides of `offered` by account.
    pub factors: BTreeMap<Box<str>, f64>,
    /// Share of requests that are writes, from 0 to 1.
    pub writes: f64,
    /// Number of sessions of each account.
    pub sessions: usize,
    /// Distribution of requests over the hosts.
    pub balance: Balance,
    /// Maximum age of the data that reads accept, in milliseconds.
    pub max_age_ms: Option<u64>,
    /// Minimum time that a statement takes at a server, in milliseconds.
    pub service_ms: u64,
    /// Delay before a replica applies received records, in milliseconds.
    pub lag_ms: u64,
    /// Whether all connections between processes go through fault-injecting links.
    pub links: bool,
    /// Overrides of the site's policy, as `name = value`.
    pub policy: BTreeMap<Box<str>, toml::Value>,
    /// Faults injected during the load.
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            site: Site::default(),
            hosts: 6,
            seed: 1,
            idle: 4.0,
            seconds: 10.0,
            offered: 0.5,
            factors: BTreeMap::new(),
            writes: 0.2,
            sessions: 6,
            balance: Balance::default(),
            max_age_ms: None,
            service_ms: 0,
            lag_ms: 0,
            links: false,
            policy: BTreeMap::new(),
            faults: Vec::new(),
        }
    }
}

impl Load {
    /// Parses settings such as `seconds=20`, each a line of TOML.
    pub fn parse(settings: &[String]) -> anyhow::Result<Self> {
        toml::from_str(&settings.join("\n")).context("parsing the load settings")
    }

    fn plan(&self) -> anyhow::Result<Plan> {
        let mut plan = self.site.plan(self.hosts)?;
        plan.server_args.push(format!("--service-ms={}", self.service_ms));
        plan.server_args.push(format!("--lag-ms={}", self.lag_ms));
        plan.links = self.links;
        plan.log = "warn".into();
        if let Some(config) = &mut plan.site {
            *config = self.override_policy(config)?;
        }
        Ok(plan)
    }

    fn override_policy(&self, config: &Config) -> anyhow::Result<Config> {
        let mut table = toml::Table::try_from(config)?;
        let policy = table.get_mut("policy").and_then(toml::Value::as_table_mut);
        let policy = policy.context("configuration has no policy")?;
        for (name, value) in &self.policy {
            policy.insert(name.to_string(), value.clone());
        }
        table.try_into().context("applying the policy overrides of the load")
    }
}

/// State shared by all tasks of a run.
struct Run {
    load: Load,
    addresses: Vec<SocketAddr>,
    start: Instant,
    samples: RefCell<BTreeMap<Rc<str>, Vec<Sample>>>,
    /// Times of acknowledged writes by group, in seconds after the start.
    acknowledged: RefCell<BTreeMap<Rc<str>, Vec<f64>>>,
    /// Times at which the primary of a group was killed, suspended or cut off, in seconds
    /// after the start.
    primary_faults: RefCell<Vec<(Rc<str>, f64)>>,
    /// Number of requests without an outcome yet.
    outstanding: Cell<usize>,
    groups: Vec<Rc<str>>,
}

impl Run {
    /// Returns the time since the start of the load, in seconds.
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Returns the id of the group with this process prefix: for `g2` the group whose servers
    /// are called `g2s1` and so on.
    fn group(&self, name: &str) -> Option<Rc<str>> {
        let number: usize = name.strip_prefix('g')?.parse().ok()?;
        self.groups.get(number.checked_sub(1)?).cloned()
    }

    /// Selects the host for a request that is due at `due`.
    fn host(&self, due: f64, rng: &mut StdRng) -> usize {
        let hosts = self.addresses.len();
        let preferred = match self.load.balance {
            Balance::Even => return rng.random_range(0..hosts),
            Balance::Skewed => 0,
            Balance::Moving => (due / MOVE_INTERVAL) as usize % hosts,
        };
        if hosts == 1 || rng.random_bool(0.9) {
            return preferred;
        }
        (preferred + rng.random_range(1..hosts)) % hosts
    }
}

/// Starts a system and runs a load against it; must run within a `LocalSet`.
pub async fn run(load: Load) -> anyhow::Result<Report> {
    let mut system = System::start(load.plan()?).await?;
    let config = Config::parse(&system.config())?;
    prepare(&system, &config).await?;
    let sessions = sessions(&config, &load);
    warm_up(&system, &sessions).await?;
    let idle = counters::IdleUsage::measure(&system, Duration::from_secs_f64(load.idle)).await?;
    let before = counters::Counters::read(&system).await?;
    let run = Rc::new(Run {
        addresses: system.addresses.iter().map(|a| a.callers).collect(),
        start: Instant::now(),
        samples: RefCell::default(),
        acknowledged: RefCell::default(),
        primary_faults: RefCell::default(),
        outstanding: Cell::default(),
        groups: config.groups.iter().map(|g| g.id.as_str().into()).collect(),
        load,
    });
    let arrivals: Vec<JoinHandle<()>> = sessions
        .into_iter()
        .enumerate()
        .map(|(i, (account, sessions))| {
            tokio::task::spawn_local(arrivals(run.clone(), account, sessions, i as u64))
        })
        .collect();
    inject_faults(&run, &mut system).await?;
    for task in arrivals {
        task.await?;
    }
    drain(&run).await;
    let after = counters::Counters::read(&system).await?;
    Ok(report::build(&run, &config, &idle, &before, &after))
}

/// Injects all faults in the order of their times.
async fn inject_faults(run: &Run, system: &mut System) -> anyhow::Result<()> {
    let faults = run.load.faults.iter();
    let mut schedule: Vec<(f64, &Fault)> =
        faults.flat_map(|f| f.schedule().map(move |t| (t, f))).collect();
    schedule.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut active = fault::ActiveFaults::default();
    for (at, fault) in schedule {
        sleep_until(run, at).await;
        if let Some(group) = fault.group().and_then(|name| run.group(name)) {
            run.primary_faults.borrow_mut().push((group, run.now()));
        }
        active.inject(fault, system).await.with_context(|| format!("injecting {fault:?}"))?;
    }
    Ok(())
}

async fn sleep_until(run: &Run, at: f64) {
    tokio::time::sleep_until((run.start + Duration::from_secs_f64(at)).into()).await;
}

/// Waits until all requests have an outcome, at most [`DRAIN_TIMEOUT`].
async fn drain(run: &Run) {
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    while run.outstanding.get() > 0 && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Creates the table of the load in every group.
async fn prepare(system: &System, config: &Config) -> anyhow::Result<()> {
    let account = config.accounts.first().context("site has no accounts")?;
    for group in &config.groups {
        let client = system.connect(0, account.id.as_str(), group.id.as_str()).await?;
        system::run_until_ok(&client, caller::CREATE_TABLE).await?;
    }
    Ok(())
}

/// Sessions by client account.
type Sessions = Vec<(ClientAccount, Vec<Rc<Session>>)>;

fn sessions(config: &Config, load: &Load) -> Sessions {
    let groups: Vec<Rc<str>> = config.groups.iter().map(|g| g.id.as_str().into()).collect();
    let sessions = |account: &ClientAccount| {
        let session = |no: usize| {
            let group = groups[no % groups.len()].clone();
            Rc::new(Session::new(account.id.as_str().into(), group, no, load.max_age_ms))
        };
        (account.clone(), (0..load.sessions).map(session).collect())
    };
    config.accounts.iter().map(sessions).collect()
}

/// Sends one request of every session to every host, which opens the connections. The buckets
/// refill during the idle measurement that follows.
async fn warm_up(system: &System, sessions: &Sessions) -> anyhow::Result<()> {
    for (account, sessions) in sessions {
        for session in sessions {
            for (host, addresses) in system.addresses.iter().enumerate() {
                let outcome = session.run(host, addresses.callers, host == 0).await;
                if !matches!(outcome, Outcome::Served { .. }) {
                    tracing::warn!(
                        "load: warm-up request of {} to h{} failed: {outcome:?}.",
                        account.id,
                        host + 1
                    );
                }
            }
        }
    }
    Ok(())
}

/// Generates the arrivals of one account: a Poisson process with random numbers of its own.
async fn arrivals(run: Rc<Run>, account: ClientAccount, sessions: Vec<Rc<Session>>, no: u64) {
    let mut rng = StdRng::seed_from_u64(run.load.seed.wrapping_mul(1009).wrapping_add(no));
    let share = run.load.factors.get(account.id.as_str()).copied();
    let rate = account.rate.0 * share.unwrap_or(run.load.offered);
    if rate <= 0.0 || sessions.is_empty() {
        return;
    }
    let mut due = 0.0;
    loop {
        let uniform: f64 = rng.random();
        due -= (1.0 - uniform).ln() / rate;
        if due >= run.load.seconds {
            return;
        }
        let host = run.host(due, &mut rng);
        let write = rng.random_bool(run.load.writes);
        let session = sessions[rng.random_range(0..sessions.len())].clone();
        sleep_until(&run, due).await;
        run.outstanding.set(run.outstanding.get() + 1);
        tokio::task::spawn_local(request(run.clone(), session, host, write, due));
    }
}

/// Runs one request and records its sample.
async fn request(run: Rc<Run>, session: Rc<Session>, host: usize, write: bool, due: f64) {
    let outcome = session.run(host, run.addresses[host], write).await;
    let done = run.now();
    if write && matches!(outcome, Outcome::Served { .. }) {
        run.acknowledged.borrow_mut().entry(session.group.clone()).or_default().push(done);
    }
    let sample = Sample { due, done, outcome };
    run.samples.borrow_mut().entry(session.account.clone()).or_default().push(sample);
    run.outstanding.set(run.outstanding.get() - 1);
}
