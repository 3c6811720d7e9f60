//! The system of a soak: real hosts as processes, stand-ins for all else.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context;
use serde_json::json;

use super::{
    caller::{Caller, Database},
    group::{Groups, Server},
    server::{CONNECTIONS, SLOTS, Standin},
    store::{self, Store},
};
use crate::{
    link::{AddLink, Links},
    ports::Ports,
    process::Process,
    system,
};

/// Groups, of three servers each.
pub const GROUPS: usize = 3;

/// Accounts: name, key, rate and burst. The last one asks for more than its rate.
const ACCOUNTS: [(&str, &str, u64); 3] =
    [("baobab", "key-b", 400), ("hartwell", "key-h", 400), ("greedy", "key-g", 30)];

/// Hosts of a system with hosts of two sizes that are large: one in each failure domain.
pub const LARGE_HOSTS: usize = 2;

/// Processor shares of a host of the usual size, and of a large one.
const SMALL: f64 = 0.25;
const LARGE: f64 = 0.5;

/// How long an entry stays after its server has ended: three heartbeats.
const ENTRY_FOR: Duration = Duration::from_millis(1500);

/// The system.
pub struct World {
    /// Hosts.
    pub hosts: Vec<Process>,
    /// Servers, those of a group together.
    pub standins: Vec<Rc<Standin>>,
    /// What the servers hold and see.
    pub groups: Rc<RefCell<Groups>>,
    /// The store.
    pub store: Rc<RefCell<Store>>,
    /// Links to servers and to the store.
    pub links: Links,
    /// Where callers connect.
    pub callers: Vec<SocketAddr>,
    /// Where readiness is asked for.
    pub readiness: Vec<SocketAddr>,
    /// Where metrics are served.
    pub metrics: Vec<SocketAddr>,
    /// Statements answered with success.
    pub served: Rc<Cell<u64>>,
    /// Statements answered otherwise.
    pub refused: Rc<Cell<u64>>,
    /// Where each server says that it listens.
    addresses: RefCell<Vec<SocketAddr>>,
    version: Cell<u64>,
    /// Databases beside those that callers use.
    further: Cell<usize>,
    withdrawn: Cell<bool>,
    /// Whether entries of servers that ended stay in the list.
    pub keeps_entries: Cell<bool>,
    dir: tempfile::TempDir,
    _ports: Ports,
}

impl World {
    /// Starts the system with hosts of one size.
    pub fn start(hosts: usize) -> anyhow::Result<Self> {
        Self::start_sized(hosts, 0)
    }

    /// Starts the system; the first `large` hosts have more power than the others, so
    /// that these leave reading the store to them.
    pub fn start_sized(hosts: usize, large: usize) -> anyhow::Result<Self> {
        let mut ports = Ports::take()?;
        let dir = tempfile::tempdir()?;
        let (links, groups) = (Links::default(), Rc::new(RefCell::new(Groups::default())));
        let mut standins = Vec::new();
        let mut addresses = Vec::new();
        for place in 0..GROUPS * 3 {
            let group = place / 3;
            let id: Box<str> = format!("i-{place}").into();
            let names = [id.clone(), format!("g{group}").into()];
            groups.borrow_mut().servers.push(server(id, group, place % 3 == 0));
            let standin = Standin::new(place, names, groups.clone());
            let (listen, to) = (ports.address()?, ports.address()?);
            links.add(AddLink { name: format!("s{place}").into(), listen, to })?;
            monoio::spawn(standin.clone().run(to));
            standins.push(standin);
            addresses.push(listen);
        }
        let store = Rc::new(RefCell::new(Store::default()));
        let platform = ports.address()?;
        monoio::spawn(bergamottrack_operator::serve(
            platform,
            store::handler(store.clone(), groups.clone()),
        ));
        let mut world = Self {
            hosts: Vec::new(),
            standins,
            groups,
            store,
            links,
            callers: Vec::new(),
            readiness: Vec::new(),
            metrics: Vec::new(),
            served: Rc::default(),
            refused: Rc::default(),
            addresses: RefCell::new(addresses),
            version: Cell::new(1),
            further: Cell::default(),
            withdrawn: Cell::default(),
            keeps_entries: Cell::default(),
            dir,
            _ports: ports,
        };
        world.configure();
        (0..GROUPS * 3).for_each(|place| world.list(place));
        for number in 0..hosts {
            let power = if number < large { LARGE } else { SMALL };
            world.add_host(number, power, platform)?;
        }
        Ok(world)
    }

    fn add_host(&mut self, number: usize, power: f64, platform: SocketAddr) -> anyhow::Result<()> {
        let ports = &mut self._ports;
        let (callers, readiness) = (ports.address()?, ports.address()?);
        let (peers, metrics, store) = (ports.address()?, ports.address()?, ports.address()?);
        let name = format!("store{number}").into();
        self.links.add(AddLink { name, listen: store, to: platform })?;
        let between = ports.address()?;
        self.links.add(AddLink {
            name: format!("peer{number}").into(),
            listen: between,
            to: peers,
        })?;
        self.store.borrow_mut().moved.insert(peers, between);
        let settings = format!(
            "nodeName=host-{number}\nzone=d{}\nipAddress=127.0.0.1\n\
            listenAddresses.front={callers}\nlistenAddresses.ready={readiness}\n\
            internalPortRange={},{}\nlimits.cpuShare={power}\nbounds.graceS=4\n\
            bounds.configurationApplyMs=3000\nbounds.drainMs=7000\nbounds.quotaOverage=0.1\n\
            bounds.strictRevocation=false\nbounds.revocationMs=5000\nbounds.quotaSlack=20\nbounds.quotaWindowS=5\nplatform.address={store}\ncloud.address={platform}\n",
            number % 2,
            peers.port(),
            metrics.port(),
        );
        let path = self.dir.path().join(format!("host-{number}.conf"));
        std::fs::write(&path, settings)?;
        let args = vec!["entry".into(), format!("--settings={}", path.display())];
        let program = system::program("bergamottrack")?;
        let mut host = Process::new(&format!("host-{number}"), &program, args, self.dir.path());
        host.start()?;
        self.hosts.push(host);
        self.callers.push(callers);
        self.readiness.push(readiness);
        self.metrics.push(metrics);
        Ok(())
    }

    /// Writes a new version of the configuration.
    pub fn configure(&self) {
        self.version.set(self.version.get() + 1);
        let kinds = ["primary", "bounded_staleness", "read_own_writes"];
        let routes: Vec<_> = (0..GROUPS * kinds.len() + self.further.get())
            .map(|n| {
                let group = format!("g{}", n / kinds.len() % GROUPS);
                json!({"name": format!("r{n}"), "host": database(n), "prefix": "/",
                    "kind": kinds[n % 3], "timeoutMs": 2000, "targetLatencyMs": 300,
                    "maxStalenessMs": 1500, "service": group, "public": false})
            })
            .collect();
        let services: Vec<_> = (0..GROUPS)
            .map(|n| json!({"name": format!("g{n}"), "maxConnections": CONNECTIONS}))
            .collect();
        let accounts: Vec<_> = ACCOUNTS
            .iter()
            .map(|(name, key, rate)| {
                let gone = self.withdrawn.get() && *name == "hartwell";
                let keys: Vec<_> = if gone { Vec::new() } else { vec![key] };
                json!({"name": name, "apiKeys": keys, "ratePerS": rate, "burst": rate})
            })
            .collect();
        let document = json!({"version": self.version.get(), "routes": routes,
            "services": services, "limits": {"transactionIdleMs": 3000}, "tenants": accounts});
        self.store.borrow_mut().put("op", "config", &document);
    }

    /// Adds databases; the name of the last one.
    pub fn add_databases(&self, count: usize) -> String {
        self.further.set(self.further.get() + count);
        self.configure();
        self.newest_database().expect("databases were added")
    }

    /// The last database that was added; none before the first.
    pub fn newest_database(&self) -> Option<String> {
        let further = self.further.get();
        (further > 0).then(|| database(GROUPS * 3 + further - 1))
    }

    /// Withdraws a key from callers that are connected.
    pub fn withdraw(&self) {
        self.withdrawn.set(true);
        self.configure();
    }

    /// Gives it back.
    pub fn give_back(&self) {
        self.withdrawn.set(false);
        self.configure();
    }

    /// Whether the key of `hartwell` is withdrawn.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.get()
    }

    /// Evacuates a failure domain.
    pub fn evacuate(&self, domain: usize) {
        self.store.borrow_mut().put("op", &format!("evacuate/d{domain}"), &json!({}));
    }

    /// Takes that back.
    pub fn take_back(&self, domain: usize) {
        self.store.borrow_mut().remove("op", &format!("evacuate/d{domain}"));
    }

    /// Statements that servers of a failure domain have run.
    pub fn ran_in(&self, domain: usize) -> usize {
        (0..GROUPS * 3).filter(|place| place % 2 == domain).map(|place| self.ran(place)).sum()
    }

    fn list(&self, place: usize) {
        let groups = self.groups.borrow();
        let server = &groups.servers[place];
        let role = if server.leads { "primary" } else { "replica" };
        let state = if server.leaving { "draining" } else { "ready" };
        let entry = json!({"service": format!("g{}", server.group), "zone": format!("d{}", place % 2),
            "address": self.addresses.borrow()[place], "version": "v1", "slots": SLOTS, "state": state,
            "coldRemainingMs": 0, "databaseRole": role, "sequence": 1, "born": 1});
        self.store.borrow_mut().put("servers", &server.id, &entry);
    }

    /// Has a server say that it leaves; it goes on serving.
    pub fn leave(&self, place: usize) {
        self.groups.borrow_mut().servers[place].leaving = true;
        self.list(place);
    }

    /// Has a server say that it stays.
    pub fn stay(&self, place: usize) {
        self.groups.borrow_mut().servers[place].leaving = false;
        self.list(place);
    }

    /// Has a server say that it listens where another one does.
    pub fn list_at(&self, place: usize, other: usize) {
        let address = self.addresses.borrow()[other];
        self.addresses.borrow_mut()[place] = address;
        self.list(place);
    }

    /// Statements of callers that a server has run.
    pub fn ran(&self, place: usize) -> usize {
        self.groups.borrow().servers[place].ran
    }

    /// Keeps logs travelling, entries listed and stopped hosts started, for ever.
    pub async fn keep(world: Rc<RefCell<Self>>) {
        let mut down: Vec<Option<Instant>> = vec![None; GROUPS * 3];
        loop {
            monoio::time::sleep(Duration::from_millis(3)).await;
            let Ok(world) = world.try_borrow() else { continue };
            let changed = world.groups.borrow_mut().tick();
            for (place, down) in down.iter_mut().enumerate() {
                let up = world.groups.borrow().servers[place].up;
                match *down {
                    None if !up => *down = Some(Instant::now()),
                    Some(since)
                        if !up && since.elapsed() > ENTRY_FOR && !world.keeps_entries.get() =>
                    {
                        let id = format!("i-{place}");
                        world.store.borrow_mut().remove("servers", &id);
                        *down = Some(Instant::now() + Duration::from_secs(3600));
                    }
                    Some(_) if up => {
                        *down = None;
                        world.list(place);
                    }
                    _ if changed && up => world.list(place),
                    _ => {}
                }
            }
        }
    }

    /// Ends the leader of a group.
    pub fn stop_leader(&self, group: usize) {
        let leads = |place: &usize| {
            let groups = self.groups.borrow();
            groups.servers[*place].leads && groups.servers[*place].group == group
        };
        let leader = (0..GROUPS * 3).find(leads);
        leader.into_iter().for_each(|place| self.standins[place].stop());
    }

    /// Starts the servers of a group that do not run.
    pub fn start_group(&self, group: usize) {
        let mut groups = self.groups.borrow_mut();
        let of_group = groups.servers.iter_mut().filter(|server| server.group == group);
        of_group.for_each(|server| server.up = true);
    }

    /// Starts hosts that have ended by themselves or by order.
    pub fn start_ended(&mut self) -> anyhow::Result<()> {
        for host in &mut self.hosts {
            if host.pid().is_some() && !host.is_running() {
                host.kill();
                host.start()?;
            }
        }
        Ok(())
    }

    /// Callers, `each` for each account.
    pub fn make_callers(&self, each: usize) -> Vec<Caller> {
        let databases: Vec<Database> = (0..GROUPS * 3)
            .map(|n| Database {
                name: format!("db{n}").into(),
                group: n / 3,
                age: (n % 3 != 0).then_some(Duration::from_millis(1500)),
                own: n % 3 == 2,
            })
            .collect();
        let accounts = ACCOUNTS.iter().flat_map(|account| std::iter::repeat_n(account, each));
        let caller = |(number, (account, key, _)): (usize, &(&str, &str, u64))| Caller {
            number: number as u64 + 1,
            hosts: self.callers.clone(),
            account: (*account).into(),
            key: (*key).into(),
            databases: databases.clone(),
            groups: self.groups.clone(),
            served: self.served.clone(),
            refused: self.refused.clone(),
        };
        accounts.enumerate().map(caller).collect()
    }

    /// What one account's callers were given beyond its rate.
    pub fn over_rates(&self) -> Vec<String> {
        let groups = self.groups.borrow();
        let over = |(name, _, rate): &(&str, &str, u64)| {
            let most = groups.most_within(name, Duration::from_secs(5));
            let allowed = (*rate as f64 * 6.0 * 1.1 + 20.0) as usize;
            (most > allowed).then(|| format!("{name} had {most} in 5 s, {allowed} are allowed"))
        };
        ACCOUNTS.iter().filter_map(over).collect()
    }

    /// Keeps what the hosts have logged; the folder.
    pub fn keep_logs(&self, seed: u64) -> anyhow::Result<PathBuf> {
        let to = std::env::temp_dir().join(format!("bergamottrack-soak-{seed}"));
        std::fs::create_dir_all(&to)?;
        for host in &self.hosts {
            std::fs::write(to.join(&*host.name), host.log()).context("keeping a log")?;
        }
        Ok(to)
    }
}

/// The name of a database. Those beside the callers' own have names that tell nothing of
/// each other, as real ones, so that a configuration cannot be made much smaller.
fn database(number: usize) -> String {
    if number < GROUPS * 3 {
        return format!("db{number}");
    }
    format!("db{:016x}", (number as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29))
}

fn server(id: Box<str>, group: usize, leads: bool) -> Server {
    let (log, lag) = (Vec::new(), Duration::ZERO);
    let (up, cut, leaving) = (true, false, false);
    Server { id, group, up, leads, term: 1, log, applied: 0, lag, lose: 0.0, cut, leaving, ran: 0 }
}
