//! The load generator: arrivals that do not wait for answers, from a set seed.

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

/// How long the last answers are waited for.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(16);

/// How often a moving balance changes its host.
const MOVE_INTERVAL: f64 = 2.0;

/// How requests are spread over the hosts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Balance {
    /// To all alike.
    #[default]
    Even,
    /// Nine of ten to the first host.
    Skewed,
    /// Nine of ten to one host, another one every two seconds.
    Moving,
}

/// What is offered, to what.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// The site whose groups, accounts and rates are taken.
    pub site: Site,
    /// Entry hosts.
    pub hosts: usize,
    /// What the random numbers start from.
    pub seed: u64,
    /// How long the system is watched before the load begins, in seconds; longer
    /// than any burst of the sites takes to fill again.
    pub idle: f64,
    /// How long requests arrive.
    pub seconds: f64,
    /// The part of its rate that each account offers.
    pub offered: f64,
    /// Accounts that offer another part of their rate.
    pub factors: BTreeMap<Box<str>, f64>,
    /// The part of the requests that write.
    pub writes: f64,
    /// Sessions of each account.
    pub sessions: usize,
    /// How requests are spread over the hosts.
    pub balance: Balance,
    /// The age that reads accept, in milliseconds.
    pub max_age_ms: Option<u64>,
    /// Milliseconds that each statement takes at a server.
    pub service_ms: u64,
    /// Milliseconds after which a replica shows what it received.
    pub lag_ms: u64,
    /// Whether all connections between processes go through links.
    pub links: bool,
    /// Changes of the site's policy, as `name = value`.
    pub policy: BTreeMap<Box<str>, toml::Value>,
    /// What goes wrong, and when.
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
    /// Reads settings such as `seconds=20`, each a line of TOML.
    pub fn parse(settings: &[String]) -> anyhow::Result<Self> {
        toml::from_str(&settings.join("\n")).context("reading the settings of the load")
    }

    fn plan(&self) -> anyhow::Result<Plan> {
        let mut plan = self.site.plan(self.hosts)?;
        plan.server_args.push(format!("--service-ms={}", self.service_ms));
        plan.server_args.push(format!("--lag-ms={}", self.lag_ms));
        plan.links = self.links;
        plan.log = "warn".into();
        if let Some(config) = &mut plan.site {
            *config = self.amend(config)?;
        }
        Ok(plan)
    }

    fn amend(&self, config: &Config) -> anyhow::Result<Config> {
        let mut table = toml::Table::try_from(config)?;
        let policy = table.get_mut("policy").and_then(toml::Value::as_table_mut);
        let policy = policy.context("a configuration without a policy")?;
        for (name, value) in &self.policy {
            policy.insert(name.to_string(), value.clone());
        }
        table.try_into().context("the policy of the load")
    }
}

/// What all tasks of a run share.
struct Run {
    load: Load,
    addresses: Vec<SocketAddr>,
    began: Instant,
    samples: RefCell<BTreeMap<Rc<str>, Vec<Sample>>>,
    /// When writes were acknowledged, by group.
    acknowledged: RefCell<BTreeMap<Rc<str>, Vec<f64>>>,
    /// When a group's primary was struck.
    primary_faults: RefCell<Vec<(Rc<str>, f64)>>,
    running: Cell<usize>,
    groups: Vec<Rc<str>>,
}

impl Run {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// The group whose servers are called `g2s1` and so on when given `g2`.
    fn group(&self, name: &str) -> Option<Rc<str>> {
        let number: usize = name.strip_prefix('g')?.parse().ok()?;
        self.groups.get(number.checked_sub(1)?).cloned()
    }

    fn host(&self, due: f64, rng: &mut StdRng) -> usize {
        let hosts = self.addresses.len();
        let favoured = match self.load.balance {
            Balance::Even => return rng.random_range(0..hosts),
            Balance::Skewed => 0,
            Balance::Moving => (due / MOVE_INTERVAL) as usize % hosts,
        };
        if hosts == 1 || rng.random_bool(0.9) {
            return favoured;
        }
        (favoured + rng.random_range(1..hosts)) % hosts
    }
}

/// Runs a load against a system of its own; must run within a `LocalSet`.
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
        began: Instant::now(),
        samples: RefCell::default(),
        acknowledged: RefCell::default(),
        primary_faults: RefCell::default(),
        running: Cell::default(),
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

/// Causes all faults in the order of their times.
async fn inject_faults(run: &Run, system: &mut System) -> anyhow::Result<()> {
    let faults = run.load.faults.iter();
    let mut schedule: Vec<(f64, &Fault)> =
        faults.flat_map(|f| f.schedule().map(move |t| (t, f))).collect();
    schedule.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut broken = fault::ActiveFaults::default();
    for (at, fault) in schedule {
        sleep_until(run, at).await;
        if let Some(group) = fault.group().and_then(|name| run.group(name)) {
            run.primary_faults.borrow_mut().push((group, run.now()));
        }
        broken.inject(fault, system).await.with_context(|| format!("causing {fault:?}"))?;
    }
    Ok(())
}

async fn sleep_until(run: &Run, at: f64) {
    tokio::time::sleep_until((run.began + Duration::from_secs_f64(at)).into()).await;
}

async fn drain(run: &Run) {
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    while run.running.get() > 0 && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Makes the table of the load in every group.
async fn prepare(system: &System, config: &Config) -> anyhow::Result<()> {
    let account = config.accounts.first().context("a site without accounts")?;
    for group in &config.groups {
        let client = system.connect(0, account.id.as_str(), group.id.as_str()).await?;
        system::until_runs(&client, caller::CREATE_TABLE).await?;
    }
    Ok(())
}

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

/// Connects every session to every host, and lets the buckets fill again.
async fn warm_up(system: &System, sessions: &Sessions) -> anyhow::Result<()> {
    for (account, sessions) in sessions {
        for session in sessions {
            for (host, addresses) in system.addresses.iter().enumerate() {
                let outcome = session.run(host, addresses.callers, host == 0).await;
                if !matches!(outcome, Outcome::Served { .. }) {
                    tracing::warn!("load: {} at h{}: {outcome:?}.", account.id, host + 1);
                }
            }
        }
    }
    Ok(())
}

/// The arrivals of one account: a Poisson process of its own random numbers.
async fn arrivals(run: Rc<Run>, account: ClientAccount, sessions: Vec<Rc<Session>>, no: u64) {
    let mut rng = StdRng::seed_from_u64(run.load.seed.wrapping_mul(1009).wrapping_add(no));
    let factor = run.load.factors.get(account.id.as_str()).copied();
    let rate = account.rate.0 * factor.unwrap_or(run.load.offered);
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
        run.running.set(run.running.get() + 1);
        tokio::task::spawn_local(request(run.clone(), session, host, write, due));
    }
}

async fn request(run: Rc<Run>, session: Rc<Session>, host: usize, write: bool, due: f64) {
    let outcome = session.run(host, run.addresses[host], write).await;
    let done = run.now();
    if write && matches!(outcome, Outcome::Served { .. }) {
        run.acknowledged.borrow_mut().entry(session.group.clone()).or_default().push(done);
    }
    let sample = Sample { due, done, outcome };
    run.samples.borrow_mut().entry(session.account.clone()).or_default().push(sample);
    run.running.set(run.running.get() - 1);
}
