//! Fault schedules of a soak, generated from a seed.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::world::{self, World};
use crate::link::Fault;

/// Range of the interval between the starts of two steps, in milliseconds. Faults last longer, so
/// that they overlap.
const STEP_INTERVAL_MS: std::ops::Range<u64> = 100..1300;

/// A fault or an operator's action. Variants are printed under their own names by `--dry`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Kill a host's process, then restart it.
    KillHost(usize),
    /// Kill the processes of all hosts at once, then restart them.
    KillAll,
    /// Pause a host's process with SIGSTOP, then resume it.
    PauseHost(usize),
    /// Stop a host with SIGTERM; it is restarted once its process has exited.
    StopHost(usize),
    /// Send SIGHUP to a host, so that it reloads its settings.
    Reload(usize),
    /// Stop a server, then restart it with its log intact.
    KillServer(usize),
    /// Stop the leader of a group, then restart it.
    KillLeader(usize),
    /// Block traffic to and from a server, on open and on new connections.
    CutServer(usize),
    /// Block traffic from a server; traffic to it still arrives.
    SilenceServer(usize),
    /// Delay traffic to and from a server.
    DelayServer(usize),
    /// Reset all connections to a server.
    ResetServer(usize),
    /// Delay the visibility of replicated writes on a replica.
    Lag(usize),
    /// Have a server lose a fraction of its answers.
    LoseAnswers(usize),
    /// Block traffic between a host and the store.
    CutStore(usize),
    /// Have the store answer no request.
    StoreDown,
    /// Delay the store's answers.
    StoreSlow,
    /// Have the store apply write transactions and lose the answers.
    StoreLoses,
    /// Publish a new configuration version.
    Configure,
    /// Withdraw the key of connected callers, then restore it.
    Withdraw,
    /// Block other hosts' connections to a host; its own connections to them still work.
    CutHost(usize),
    /// Deliver other hosts' requests to a host and block its answers.
    SilenceHost(usize),
    /// Delay traffic on other hosts' connections to a host.
    DelayHost(usize),
    /// Reset other hosts' connections to a host.
    ResetHost(usize),
    /// Refuse other hosts' connections to a host and reset the open ones.
    RefuseHost(usize),
    /// Refuse and reset all connections between hosts.
    RefusePeers,
    /// Refuse and reset a host's connections to the store.
    RefuseStore(usize),
    /// Refuse and reset connections to a server.
    RefuseServer(usize),
    /// Refuse and reset connections to the servers of a group that act as leader.
    RefuseLeader(usize),
    /// Block replication between the servers of a group that act as leader and the others.
    IsolateLeader(usize),
    /// Mark a server as draining, then as ready again.
    Leave(usize),
    /// Add this number of databases to the configuration.
    Grow(usize),
    /// Have a crowd of callers that do not behave connect to a host.
    Crowd(usize),
    /// Throttle all traffic between hosts, and between the store and hosts of the usual size.
    SlowLinks,
}

/// A scheduled action.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Start of the action, from the start of the schedule.
    pub at: Duration,
    /// Time until the action is reverted.
    pub duration: Duration,
    /// The action.
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

/// Generates the steps for a seed. The same arguments give the same steps.
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

/// Returns a schedule that kills and restarts all hosts together, repeatedly, while an account
/// exceeds its rate. In between, replicas lag and each group's leader is stopped twice, the second
/// time soon after a promotion.
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

/// Generates the steps for a seed that disturb links between hosts and drain servers.
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

/// Generates the steps for a seed in which crowds of callers connect to hosts.
pub fn generate_crowds(seed: u64, length: Duration, hosts: usize) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(32));
    let mut at = Duration::from_millis(random.random_range(STEP_INTERVAL_MS));
    let mut steps = Vec::new();
    while at < length {
        let duration = Duration::from_millis(random.random_range(500..4000));
        let action = Action::Crowd(random.random_range(0..hosts));
        steps.push(Step { at, duration, action });
        at += duration + Duration::from_millis(random.random_range(STEP_INTERVAL_MS));
    }
    steps
}

/// Generates the steps for a seed in which links refuse and reset connections, while hosts are
/// paused and the store answers no request.
pub fn generate_refusals(seed: u64, length: Duration, hosts: usize, servers: usize) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(16));
    let ms = Duration::from_millis;
    let mut at = ms(random.random_range(STEP_INTERVAL_MS));
    let mut steps = Vec::new();
    while at < length {
        let duration = ms(random.random_range(1500..7000));
        let (host, server) = (random.random_range(0..hosts), random.random_range(0..servers));
        let mut add = |after: u64, duration, action| {
            steps.push(Step { at: at + ms(after), duration, action });
        };
        match random.random_range(0..6) {
            // The hosts cannot reach each other, and one of them still reaches the store. The
            // leader refuses connections for long enough to be replaced, and then serves again
            // without the log of its successor.
            0..3 => {
                add(0, duration, Action::RefusePeers);
                for cut in (0..hosts).filter(|cut| *cut != host) {
                    add(0, duration, Action::RefuseStore(cut));
                }
                let refusal = ms(random.random_range(300..1500));
                add(random.random_range(100..1200), refusal, Action::RefuseLeader(server / 3));
                add(50, duration, Action::IsolateLeader(server / 3));
            }
            3 => (0..5).for_each(|n| add(n * 400, ms(250), Action::RefuseHost(host))),
            4 => add(0, duration, Action::RefuseHost(host)),
            _ => add(0, duration, Action::RefuseServer(server)),
        }
        let other = (host + 1) % hosts;
        match random.random_range(0..4) {
            0 => add(200, duration / 2, Action::PauseHost(other)),
            1 => add(200, duration / 2, Action::StoreDown),
            _ => {}
        }
        at += ms(random.random_range(STEP_INTERVAL_MS)) * 3;
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Generates the steps for a seed that grow the configuration, over links that are throttled
/// throughout and reset at times.
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
    /// Applies the action; [`Step::revert`] ends it.
    pub fn apply(&self, world: &mut World) -> anyhow::Result<()> {
        let link = |server: usize| format!("s{server}");
        let peer = |host: usize| format!("peer{host}");
        match self.action {
            Action::KillHost(host) => world.hosts[host].kill(),
            Action::KillAll => world.hosts.iter_mut().for_each(|host| host.kill()),
            // Signalling fails if another step has killed the host; nothing is left to do then.
            Action::PauseHost(host) => drop(world.hosts[host].signal(libc::SIGSTOP)),
            Action::StopHost(host) => drop(world.hosts[host].signal(libc::SIGTERM)),
            Action::Reload(host) => drop(world.hosts[host].signal(libc::SIGHUP)),
            Action::KillServer(server) => world.standins[server].stop(),
            Action::Crowd(host) => world.start_crowd(host),
            Action::KillLeader(group) => world.stop_leader(group),
            Action::CutServer(server) => world.links.set(&link(server), &cut()),
            Action::SilenceServer(server) => world.links.set(&link(server), &silence()),
            Action::DelayServer(server) => world.links.set(&link(server), &delay()),
            Action::CutHost(host) => world.links.set(&peer(host), &cut()),
            Action::SilenceHost(host) => world.links.set(&peer(host), &silence()),
            Action::DelayHost(host) => world.links.set(&peer(host), &delay()),
            Action::ResetHost(host) => world.links.reset(&peer(host)),
            Action::RefuseHost(host) => world.links.set(&peer(host), &refuse()),
            Action::RefusePeers => world.links.set("peer*", &refuse()),
            Action::RefuseStore(host) => world.links.set(&format!("store{host}"), &refuse()),
            Action::RefuseServer(server) => world.links.set(&link(server), &refuse()),
            Action::RefuseLeader(group) => {
                let leaders = world.leaders(group);
                leaders.iter().for_each(|index| world.links.set(&link(*index), &refuse()));
            }
            Action::IsolateLeader(group) => {
                let (leaders, mut groups) = (world.leaders(group), world.groups.borrow_mut());
                leaders.iter().for_each(|index| groups.servers[*index].isolated = true);
            }
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

    /// Reverts the action. Databases that were added stay, and [`World::restart_ended`] restarts a
    /// stopped host.
    pub fn revert(&self, world: &mut World) -> anyhow::Result<()> {
        match self.action {
            Action::KillHost(host) => world.hosts[host].start()?,
            Action::KillAll => world.hosts.iter_mut().try_for_each(|host| host.start())?,
            Action::PauseHost(host) => drop(world.hosts[host].signal(libc::SIGCONT)),
            Action::StopHost(_) => {}
            Action::KillServer(server) => world.groups.borrow_mut().servers[server].up = true,
            Action::Crowd(_) => world.stop_crowd(),
            Action::KillLeader(group) => world.start_group(group),
            Action::CutServer(server)
            | Action::SilenceServer(server)
            | Action::DelayServer(server)
            | Action::RefuseServer(server) => {
                world.links.set(&format!("s{server}"), &Fault::default());
            }
            Action::RefuseLeader(group) => {
                for server in world::members(group) {
                    world.links.set(&format!("s{server}"), &Fault::default());
                }
            }
            Action::IsolateLeader(group) => {
                let mut groups = world.groups.borrow_mut();
                world::members(group).for_each(|server| groups.servers[server].isolated = false);
            }
            Action::CutHost(host)
            | Action::SilenceHost(host)
            | Action::DelayHost(host)
            | Action::RefuseHost(host) => {
                world.links.set(&format!("peer{host}"), &Fault::default());
            }
            Action::RefusePeers => world.links.set("peer*", &Fault::default()),
            Action::Leave(server) => world.stop_draining(server),
            Action::SlowLinks => set_slow(world, &Fault::default()),
            Action::ResetHost(_) => {}
            Action::Lag(server) => world.groups.borrow_mut().servers[server].lag = Duration::ZERO,
            Action::LoseAnswers(server) => world.groups.borrow_mut().servers[server].loss = 0.0,
            Action::CutStore(host) | Action::RefuseStore(host) => {
                world.links.set(&format!("store{host}"), &Fault::default());
            }
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

/// Sets the fault of all links between hosts, and of those from hosts of the usual size to the
/// store.
fn set_slow(world: &World, fault: &Fault) {
    world.links.set("peer*", fault);
    for host in world::LARGE_HOSTS..world.hosts.len() {
        world.links.set(&format!("store{host}"), fault);
    }
}

/// Throttles a link to 1.6 Mbit/s. The growth of the configuration in one step takes up to 1.2 s
/// on it.
fn slow() -> Fault {
    Fault { bytes_per_sec: 200_000, ..Fault::default() }
}

fn cut() -> Fault {
    Fault { cut_up: true, cut_down: true, ..Fault::default() }
}

fn silence() -> Fault {
    Fault { cut_down: true, ..Fault::default() }
}

fn refuse() -> Fault {
    Fault { refuse: true, reset: true, ..Fault::default() }
}

fn delay() -> Fault {
    Fault { delay_ms: 60, ..Fault::default() }
}
