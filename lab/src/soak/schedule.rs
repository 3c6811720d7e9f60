//! Faults of a soak, drawn from a seed.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::world::{self, World};
use crate::link::Fault;

/// The least and the most time between two steps, in milliseconds. Faults last
/// longer, so that they overlap.
const PAUSE_MS: std::ops::Range<u64> = 100..1300;

/// What is done to the system.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Act {
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
    pub lasts: Duration,
    /// What is done.
    pub act: Act,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:6.2} s, for {:.2} s: {:?}",
            self.at.as_secs_f64(),
            self.lasts.as_secs_f64(),
            self.act
        )
    }
}

/// Draws the steps of a seed: the same seed, the same steps.
pub fn draw(seed: u64, length: Duration, hosts: usize, servers: usize) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut at = Duration::from_millis(random.random_range(PAUSE_MS));
    let mut steps = Vec::new();
    while at < length {
        let lasts = Duration::from_millis(random.random_range(200..4500));
        let (host, server) = (random.random_range(0..hosts), random.random_range(0..servers));
        let act = match random.random_range(0..22) {
            0 | 1 => Act::KillHost(host),
            2 => Act::KillAll,
            3 | 4 => Act::PauseHost(host),
            5 => Act::StopHost(host),
            6 => Act::Reload(host),
            7 => Act::KillServer(server),
            8 | 9 => Act::KillLeader(server / 3),
            10 => Act::CutServer(server),
            11 => Act::SilenceServer(server),
            12 => Act::DelayServer(server),
            13 => Act::ResetServer(server),
            14 => Act::Lag(server),
            15 => Act::LoseAnswers(server),
            16 => Act::CutStore(host),
            17 => Act::StoreDown,
            18 => Act::StoreSlow,
            19 => Act::StoreLoses,
            20 => Act::Configure,
            _ => Act::Withdraw,
        };
        steps.push(Step { at, lasts, act });
        at += Duration::from_millis(random.random_range(PAUSE_MS));
    }
    steps
}

/// All hosts die together and come back at once, again and again, while an account asks
/// for more than its rate. In between replicas fall behind and leaders die, the second
/// one soon after it has begun to lead.
pub fn herd(length: Duration, servers: usize) -> Vec<Step> {
    let ms = Duration::from_millis;
    let mut steps = Vec::new();
    let mut round = ms(1500);
    while round < length {
        let mut add = |at: u64, lasts: u64, act| {
            steps.push(Step { at: round + ms(at), lasts: ms(lasts), act });
        };
        add(0, 300, Act::KillAll);
        for group in 0..servers / 3 {
            (0..3).for_each(|n| add(1300, 2500, Act::Lag(group * 3 + n)));
            add(1800, 2200, Act::KillLeader(group));
            add(2600, 900, Act::KillLeader(group));
        }
        add(3300, 500, Act::KillAll);
        round += ms(5500);
    }
    steps
}

/// Draws the steps of a seed that disturb links between hosts and have servers leave.
pub fn draw_links(seed: u64, length: Duration, hosts: usize, servers: usize) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(!seed);
    let mut at = Duration::from_millis(random.random_range(PAUSE_MS));
    let mut steps = Vec::new();
    while at < length {
        let lasts = Duration::from_millis(random.random_range(300..6000));
        let (host, server) = (random.random_range(0..hosts), random.random_range(0..servers));
        let act = match random.random_range(0..6) {
            0 | 1 => Act::CutHost(host),
            2 => Act::SilenceHost(host),
            3 => Act::DelayHost(host),
            4 => Act::ResetHost(host),
            _ => Act::Leave(server),
        };
        steps.push(Step { at, lasts, act });
        at += Duration::from_millis(random.random_range(PAUSE_MS)) * 2;
    }
    steps
}

/// Draws the steps of a seed that let the configuration grow, over links that are slow all
/// the while and are reset now and then.
pub fn draw_growth(seed: u64, length: Duration, hosts: usize) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(32));
    let mut steps = vec![Step { at: Duration::ZERO, lasts: length, act: Act::SlowLinks }];
    let mut at = Duration::from_millis(random.random_range(PAUSE_MS));
    while at < length {
        let lasts = Duration::from_millis(random.random_range(500..5000));
        let act = match random.random_range(0..2) {
            0 => Act::Grow(random.random_range(100..1500)),
            _ => Act::ResetHost(random.random_range(0..hosts)),
        };
        steps.push(Step { at, lasts, act });
        at += Duration::from_millis(random.random_range(PAUSE_MS));
    }
    steps
}

impl Step {
    /// Makes the fault; it is undone by [`Step::undo`].
    pub fn make(&self, world: &mut World) -> anyhow::Result<()> {
        let link = |server: usize| format!("s{server}");
        let peer = |host: usize| format!("peer{host}");
        match self.act {
            Act::KillHost(host) => world.hosts[host].kill(),
            Act::KillAll => world.hosts.iter_mut().for_each(|host| host.kill()),
            // A host that another step has ended cannot be signalled: nothing to do.
            Act::PauseHost(host) => drop(world.hosts[host].signal(libc::SIGSTOP)),
            Act::StopHost(host) => drop(world.hosts[host].signal(libc::SIGTERM)),
            Act::Reload(host) => drop(world.hosts[host].signal(libc::SIGHUP)),
            Act::KillServer(server) => world.standins[server].stop(),
            Act::KillLeader(group) => world.stop_leader(group),
            Act::CutServer(server) => world.links.set(&link(server), &cut()),
            Act::SilenceServer(server) => world.links.set(&link(server), &silence()),
            Act::DelayServer(server) => world.links.set(&link(server), &delay()),
            Act::CutHost(host) => world.links.set(&peer(host), &cut()),
            Act::SilenceHost(host) => world.links.set(&peer(host), &silence()),
            Act::DelayHost(host) => world.links.set(&peer(host), &delay()),
            Act::ResetHost(host) => world.links.reset(&peer(host)),
            Act::Leave(server) => world.leave(server),
            Act::Grow(count) => drop(world.add_databases(count)),
            Act::SlowLinks => set_slow(world, &slow()),
            Act::ResetServer(server) => world.links.reset(&link(server)),
            Act::Lag(server) => {
                world.groups.borrow_mut().servers[server].lag = Duration::from_millis(2500);
            }
            Act::LoseAnswers(server) => world.groups.borrow_mut().servers[server].lose = 0.1,
            Act::CutStore(host) => world.links.set(&format!("store{host}"), &cut()),
            Act::StoreDown => world.store.borrow_mut().faults.down = true,
            Act::StoreSlow => world.store.borrow_mut().faults.slow = Duration::from_millis(250),
            Act::StoreLoses => world.store.borrow_mut().faults.lose = 2,
            Act::Configure => world.configure(),
            Act::Withdraw => world.withdraw(),
        }
        Ok(())
    }

    /// Undoes the fault.
    pub fn undo(&self, world: &mut World) -> anyhow::Result<()> {
        match self.act {
            Act::KillHost(host) => world.hosts[host].start()?,
            Act::KillAll => world.hosts.iter_mut().try_for_each(|host| host.start())?,
            Act::PauseHost(host) => drop(world.hosts[host].signal(libc::SIGCONT)),
            Act::StopHost(_) => {}
            Act::KillServer(server) => world.groups.borrow_mut().servers[server].up = true,
            Act::KillLeader(group) => world.start_group(group),
            Act::CutServer(server) | Act::SilenceServer(server) | Act::DelayServer(server) => {
                world.links.set(&format!("s{server}"), &Fault::default());
            }
            Act::CutHost(host) | Act::SilenceHost(host) | Act::DelayHost(host) => {
                world.links.set(&format!("peer{host}"), &Fault::default());
            }
            Act::Leave(server) => world.stay(server),
            Act::SlowLinks => set_slow(world, &Fault::default()),
            Act::ResetHost(_) => {}
            Act::Lag(server) => world.groups.borrow_mut().servers[server].lag = Duration::ZERO,
            Act::LoseAnswers(server) => world.groups.borrow_mut().servers[server].lose = 0.0,
            Act::CutStore(host) => world.links.set(&format!("store{host}"), &Fault::default()),
            Act::StoreDown => world.store.borrow_mut().faults.down = false,
            Act::StoreSlow => world.store.borrow_mut().faults.slow = Duration::ZERO,
            Act::Withdraw => world.give_back(),
            Act::Reload(_)
            | Act::ResetServer(_)
            | Act::StoreLoses
            | Act::Configure
            | Act::Grow(_) => {}
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
