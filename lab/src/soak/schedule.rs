//! Faults of a soak, drawn from a seed.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::world::{self, World};
use crate::link::Fault;

/// The least and the most time between two steps, in milliseconds. Faults last
/// longer, so that they overlap.
const STEP_INTERVAL_MS: std::ops::Range<u64> = 100..1300;

/// What is done to the system.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// A host's process is killed, and started again.
    KillHost(usize),
    /// All hosts' processes are killed at once, and started again.
    KillAll,
    /// A host's process is paused, and goes on.
    PauseHost(usize),
    /// A host is told to stop, and started again when it has ended.
    StopHost(usize),
    /// A host is told to read its settings again.
    Reload(usize),
    /// A server's process ends, and comes back with its log.
    KillServer(usize),
    /// The leader of a group ends, and comes back.
    KillLeader(usize),
    /// Nothing passes to or from a server on open and new connections.
    CutServer(usize),
    /// Nothing comes back from a server, though all arrives.
    SilenceServer(usize),
    /// All that passes to and from a server is late.
    DelayServer(usize),
    /// All connections to a server are ended.
    ResetServer(usize),
    /// A replica shows late what it has received.
    Lag(usize),
    /// A server loses a part of its answers.
    LoseAnswers(usize),
    /// A host does not reach the store.
    CutStore(usize),
    /// The store answers nobody.
    StoreDown,
    /// The store answers late.
    StoreSlow,
    /// The store loses answers to changes that it made.
    StoreLoses,
    /// A new version of the configuration.
    Configure,
    /// A key is withdrawn from callers that are connected, and given back.
    Withdraw,
    /// A host is reached by no other one, though it reaches them.
    CutHost(usize),
    /// Other hosts' words to a host arrive, and no answer comes back.
    SilenceHost(usize),
    /// All that passes to a host from others is late.
    DelayHost(usize),
    /// All connections of other hosts to a host are ended.
    ResetHost(usize),
    /// A server says that it leaves, and stays after all.
    Leave(usize),
    /// The configuration grows by so many databases.
    Grow(usize),
    /// All that hosts tell each other passes slowly, and what the store tells small ones.
    SlowLinks,
}

/// A fault at its time.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Since the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// What is done.
    pub action: Action,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:6.2} s, for {:.2} s: {:?}",
            self.at.as_secs_f64(),
            self.duration.as_secs_f64(),
            self.action
        )
    }
}

/// Draws the steps of a seed: the same seed, the same steps.
pub fn generate(seed: u64, length: Duration, hosts: usize, servers: usize) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut at = Duration::from_millis(random.random_range(STEP_INTERVAL_MS));
    let mut steps = Vec::new();
    while at < length {
        let duration = Duration::from_millis(random.random_range(200..4500));
        let (host, server) = (random.random_range(0..hosts), random.random_range(0..servers));
        let action = match random.random_range(0..22) {
            0 | 1 => Action::KillHost(host),
            2 => Action::KillAll,
            3 | 4 => Action::PauseHost(host),
            5 => Action::StopHost(host),
            6 => Action::Reload(host),
            7 => Action::KillServer(server),
            8 | 9 => Action::KillLeader(server / 3),
            10 => Action::CutServer(server),
            11 => Action::SilenceServer(server),
            12 => Action::DelayServer(server),
            13 => Action::ResetServer(server),
            14 => Action::Lag(server),
            15 => Action::LoseAnswers(server),
            16 => Action::CutStore(host),
            17 => Action::StoreDown,
            18 => Action::StoreSlow,
            19 => Action::StoreLoses,
            20 => Action::Configure,
            _ => Action::Withdraw,
        };
        steps.push(Step { at, duration, action });
        at += Duration::from_millis(random.random_range(STEP_INTERVAL_MS));
    }
    steps
}

/// All hosts die together and come back at once, again and again, while an account asks
/// for more than its rate. In between replicas fall behind and leaders die, the second
/// one soon after it has begun to lead.
pub fn mass_restarts(length: Duration, servers: usize) -> Vec<Step> {
    let ms = Duration::from_millis;
    let mut steps = Vec::new();
    let mut round = ms(1500);
    while round < length {
        let mut add = |at: u64, duration: u64, action| {
            steps.push(Step { at: round + ms(at), duration: ms(duration), action });
        };
        add(0, 300, Action::KillAll);
        for group in 0..servers / 3 {
            (0..3).for_each(|n| add(1300, 2500, Action::Lag(group * 3 + n)));
            add(1800, 2200, Action::KillLeader(group));
            add(2600, 900, Action::KillLeader(group));
        }
        add(3300, 500, Action::KillAll);
        round += ms(5500);
    }
    steps
}

/// Draws the steps of a seed that disturb links between hosts and have servers leave.
pub fn generate_link_faults(
    seed: u64,
    length: Duration,
    hosts: usize,
    servers: usize,
) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(!seed);
    let mut at = Duration::from_millis(random.random_range(STEP_INTERVAL_MS));
    let mut steps = Vec::new();
    while at < length {
        let duration = Duration::from_millis(random.random_range(300..6000));
        let (host, server) = (random.random_range(0..hosts), random.random_range(0..servers));
        let action = match random.random_range(0..6) {
            0 | 1 => Action::CutHost(host),
            2 => Action::SilenceHost(host),
            3 => Action::DelayHost(host),
            4 => Action::ResetHost(host),
            _ => Action::Leave(server),
        };
        steps.push(Step { at, duration, action });
        at += Duration::from_millis(random.random_range(STEP_INTERVAL_MS)) * 2;
    }
    steps
}

/// Draws the steps of a seed that let the configuration grow, over links that are slow all
/// the while and are reset now and then.
pub fn generate_growth(seed: u64, length: Duration, hosts: usize) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(32));
    let mut steps = vec![Step { at: Duration::ZERO, duration: length, action: Action::SlowLinks }];
    let mut at = Duration::from_millis(random.random_range(STEP_INTERVAL_MS));
    while at < length {
        let duration = Duration::from_millis(random.random_range(500..5000));
        let action = match random.random_range(0..2) {
            0 => Action::Grow(random.random_range(100..1500)),
            _ => Action::ResetHost(random.random_range(0..hosts)),
        };
        steps.push(Step { at, duration, action });
        at += Duration::from_millis(random.random_range(STEP_INTERVAL_MS));
    }
    steps
}

impl Step {
    /// Makes the fault; it is undone by [`Step::revert`].
    pub fn make(&self, world: &mut World) -> anyhow::Result<()> {
        let link = |server: usize| format!("s{server}");
        let peer = |host: usize| format!("peer{host}");
        match self.action {
            Action::KillHost(host) => world.hosts[host].kill(),
            Action::KillAll => world.hosts.iter_mut().for_each(|host| host.kill()),
            // A host that another step has ended cannot be signalled: nothing to do.
            Action::PauseHost(host) => drop(world.hosts[host].signal(libc::SIGSTOP)),
            Action::StopHost(host) => drop(world.hosts[host].signal(libc::SIGTERM)),
            Action::Reload(host) => drop(world.hosts[host].signal(libc::SIGHUP)),
            Action::KillServer(server) => world.standins[server].stop(),
            Action::KillLeader(group) => world.stop_leader(group),
            Action::CutServer(server) => world.links.set(&link(server), &cut()),
            Action::SilenceServer(server) => world.links.set(&link(server), &silence()),
            Action::DelayServer(server) => world.links.set(&link(server), &delay()),
            Action::CutHost(host) => world.links.set(&peer(host), &cut()),
            Action::SilenceHost(host) => world.links.set(&peer(host), &silence()),
            Action::DelayHost(host) => world.links.set(&peer(host), &delay()),
            Action::ResetHost(host) => world.links.reset(&peer(host)),
            Action::Leave(server) => world.start_draining(server),
            Action::Grow(count) => drop(world.add_databases(count)),
            Action::SlowLinks => set_slow(world, &slow()),
            Action::ResetServer(server) => world.links.reset(&link(server)),
            Action::Lag(server) => {
                world.groups.borrow_mut().servers[server].lag = Duration::from_millis(2500);
            }
            Action::LoseAnswers(server) => world.groups.borrow_mut().servers[server].loss = 0.1,
            Action::CutStore(host) => world.links.set(&format!("store{host}"), &cut()),
            Action::StoreDown => world.store.borrow_mut().faults.down = true,
            Action::StoreSlow => world.store.borrow_mut().faults.delay = Duration::from_millis(250),
            Action::StoreLoses => world.store.borrow_mut().faults.lost_answers = 2,
            Action::Configure => world.configure(),
            Action::Withdraw => world.withdraw_key(),
        }
        Ok(())
    }

    /// Undoes the fault.
    pub fn revert(&self, world: &mut World) -> anyhow::Result<()> {
        match self.action {
            Action::KillHost(host) => world.hosts[host].start()?,
            Action::KillAll => world.hosts.iter_mut().try_for_each(|host| host.start())?,
            Action::PauseHost(host) => drop(world.hosts[host].signal(libc::SIGCONT)),
            Action::StopHost(_) => {}
            Action::KillServer(server) => world.groups.borrow_mut().servers[server].up = true,
            Action::KillLeader(group) => world.start_group(group),
            Action::CutServer(server)
            | Action::SilenceServer(server)
            | Action::DelayServer(server) => {
                world.links.set(&format!("s{server}"), &Fault::default());
            }
            Action::CutHost(host) | Action::SilenceHost(host) | Action::DelayHost(host) => {
                world.links.set(&format!("peer{host}"), &Fault::default());
            }
            Action::Leave(server) => world.stop_draining(server),
            Action::SlowLinks => set_slow(world, &Fault::default()),
            Action::ResetHost(_) => {}
            Action::Lag(server) => world.groups.borrow_mut().servers[server].lag = Duration::ZERO,
            Action::LoseAnswers(server) => world.groups.borrow_mut().servers[server].loss = 0.0,
            Action::CutStore(host) => world.links.set(&format!("store{host}"), &Fault::default()),
            Action::StoreDown => world.store.borrow_mut().faults.down = false,
            Action::StoreSlow => world.store.borrow_mut().faults.delay = Duration::ZERO,
            Action::Withdraw => world.restore_key(),
            Action::Reload(_)
            | Action::ResetServer(_)
            | Action::StoreLoses
            | Action::Configure
            | Action::Grow(_) => {}
        }
        Ok(())
    }
}

fn set_slow(world: &World, fault: &Fault) {
    world.links.set("peer*", fault);
    for host in world::LARGE_HOSTS..world.hosts.len() {
        world.links.set(&format!("store{host}"), fault);
    }
}

/// A link of 1.6 Mbit/s: up to 1.2 s for what the configuration grows by in one step.
fn slow() -> Fault {
    Fault { bytes_per_sec: 200_000, ..Fault::default() }
}

fn cut() -> Fault {
    Fault { cut_up: true, cut_down: true, ..Fault::default() }
}

fn silence() -> Fault {
    Fault { cut_down: true, ..Fault::default() }
}

fn delay() -> Fault {
    Fault { delay_ms: 60, ..Fault::default() }
}
