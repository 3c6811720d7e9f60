//! The system under a soak: real hosts as processes, stand-ins for everything else.

use std::{
    cell::{Cell, Ref, RefCell},
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context;
use serde_json::json;

use super::{
    caller::{Caller, Database},
    crowd,
    group::{Groups, Server},
    server::{MAX_CONNECTIONS, SLOTS, Standin},
    store::{self, Store},
};
use crate::{
    link::{AddLink, Links},
    ports::Ports,
    process::Process,
    system, usage,
};

/// Number of database groups; each has three servers.
pub const GROUPS: usize = 3;

/// Client accounts: name, key, and rate per second, which is the burst too. The last account
/// exceeds its rate.
const ACCOUNTS: [(&str, &str, u64); 3] =
    [("baobab", "key-b", 400), ("hartwell", "key-h", 400), ("greedy", "key-g", 30)];

/// Number of large hosts in a system with hosts of two sizes: one in each failure domain.
pub const LARGE_HOSTS: usize = 2;

/// CPU share of a host of the usual size.
const SMALL_CPU_SHARE: f64 = 0.25;
/// CPU share of a large host.
const LARGE_CPU_SHARE: f64 = 0.5;

/// Memory of each host's machine in MB: that of the smallest machine in use.
pub const MEMORY_MB: u64 = 160;

/// File descriptors that each host's process may have, as on the smallest machine in use.
pub const FILE_DESCRIPTORS: usize = 4300;

/// Interval of the servers' heartbeats in milliseconds, as the hosts' settings state it.
const HEARTBEAT_MS: u64 = 500;

/// Time after which the entry of a stopped server is removed.
const ENTRY_TTL: Duration = Duration::from_millis(3 * HEARTBEAT_MS);

/// Routes in JSON, separated by commas.
#[derive(Default)]
struct RouteList {
    count: usize,
    text: String,
}

/// The system: hosts, stand-ins and the links between them.
pub struct World {
    /// Host processes.
    pub hosts: Vec<Process>,
    /// Stand-in servers, ordered by group.
    pub standins: Vec<Rc<Standin>>,
    /// State of the servers, and the record of statements.
    pub groups: Rc<RefCell<Groups>>,
    /// Stand-in for the metadata store.
    pub store: Rc<RefCell<Store>>,
    /// Links to servers (`sN`), from hosts to the store (`storeN`) and between hosts (`peerN`).
    pub links: Links,
    /// Addresses on which hosts listen for callers.
    pub callers: Vec<SocketAddr>,
    /// Addresses of the hosts' readiness endpoints.
    pub readiness: Vec<SocketAddr>,
    /// Addresses of the hosts' metrics endpoints.
    pub metrics: Vec<SocketAddr>,
    /// Number of statements answered with success.
    pub served: Rc<Cell<u64>>,
    /// Number of statements answered with an error.
    pub refused: Rc<Cell<u64>>,
    /// Address in each server's entry.
    addresses: RefCell<Vec<SocketAddr>>,
    /// Version of the configuration.
    version: Cell<u64>,
    /// Number of databases in addition to those that callers use.
    extra_databases: Cell<usize>,
    /// Routes of the configuration.
    routes: RefCell<RouteList>,
    /// Whether the key of `hartwell` is withdrawn.
    withdrawn: Cell<bool>,
    /// Ends the current crowd of callers when it is set.
    crowd: RefCell<Rc<Cell<bool>>>,
    /// Whether entries of stopped servers remain in the store.
    pub retain_entries: Cell<bool>,
    dir: tempfile::TempDir,
    _ports: Ports,
}

impl World {
    /// Starts a system with hosts of one size.
    pub fn start(hosts: usize) -> anyhow::Result<Self> {
        Self::start_sized(hosts, 0)
    }

    /// Starts a system whose first `large` hosts have a larger CPU share than the others, so that
    /// the others leave reading the store to them.
    pub fn start_sized(hosts: usize, large: usize) -> anyhow::Result<Self> {
        let mut ports = Ports::take()?;
        let dir = tempfile::tempdir()?;
        let (links, groups) = (Links::default(), Rc::new(RefCell::new(Groups::default())));
        let mut standins = Vec::new();
        let mut addresses = Vec::new();
        for index in 0..GROUPS * 3 {
            let group = index / 3;
            let id: Box<str> = format!("i-{index}").into();
            let names = [id.clone(), format!("g{group}").into()];
            groups.borrow_mut().servers.push(server(id, group, index % 3 == 0));
            let standin = Standin::new(index, names, groups.clone());
            let (listen, to) = (ports.address()?, ports.address()?);
            links.add(AddLink { name: format!("s{index}").into(), listen, to })?;
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
            extra_databases: Cell::default(),
            routes: RefCell::default(),
            withdrawn: Cell::default(),
            crowd: RefCell::default(),
            retain_entries: Cell::default(),
            dir,
            _ports: ports,
        };
        world.configure();
        (0..GROUPS * 3).for_each(|index| world.publish_entry(index));
        for number in 0..hosts {
            let cpu_share = if number < large { LARGE_CPU_SHARE } else { SMALL_CPU_SHARE };
            world.add_host(number, cpu_share, platform)?;
        }
        Ok(world)
    }

    /// Starts a host, with a link to the store and a link through which its peers reach it.
    fn add_host(
        &mut self,
        number: usize,
        cpu_share: f64,
        platform: SocketAddr,
    ) -> anyhow::Result<()> {
        let ports = &mut self._ports;
        let (callers, readiness) = (ports.address()?, ports.address()?);
        let (peers, metrics, store) = (ports.address()?, ports.address()?, ports.address()?);
        let name = format!("store{number}").into();
        self.links.add(AddLink { name, listen: store, to: platform })?;
        let peer_link = ports.address()?;
        self.links.add(AddLink {
            name: format!("peer{number}").into(),
            listen: peer_link,
            to: peers,
        })?;
        self.store.borrow_mut().peer_links.insert(peers, peer_link);
        let settings = format!(
            "nodeName=host-{number}\nzone=d{}\nipAddress=127.0.0.1\n\
            listenAddresses.front={callers}\nlistenAddresses.ready={readiness}\n\
            internalPortRange={},{}\nlimits.cpuShare={cpu_share}\nbounds.graceS=4\n\
            bounds.configurationApplyMs=3000\nbounds.drainMs=7000\nbounds.quotaOverage=0.1\n\
            bounds.strictRevocation=false\nbounds.revocationMs=5000\nbounds.quotaSlack=20\nbounds.quotaWindowS=5\nplatform.address={store}\ncloud.address={platform}\n\
            heartbeatIntervalMs={HEARTBEAT_MS}\n\
            limits.memoryMb={MEMORY_MB}\nlimits.fileDescriptors={FILE_DESCRIPTORS}\n",
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

    /// Publishes a new version of the configuration.
    pub fn configure(&self) {
        self.version.set(self.version.get() + 1);
        let sync_replicas = self.groups.borrow().sync_replicas;
        let service = |n| {
            json!({"name": format!("g{n}"), "maxConnections": MAX_CONNECTIONS,
                "syncReplicas": sync_replicas})
        };
        let services: Vec<_> = (0..GROUPS).map(service).collect();
        let accounts: Vec<_> = ACCOUNTS
            .iter()
            .map(|(name, key, rate)| {
                let withdrawn = self.withdrawn.get() && *name == "hartwell";
                let keys: Vec<_> = if withdrawn { Vec::new() } else { vec![key] };
                json!({"name": name, "apiKeys": keys, "ratePerS": rate, "burst": rate})
            })
            .collect();
        let rest = json!({"version": self.version.get(), "services": services,
            "limits": {"transactionIdleMs": 3000}, "tenants": accounts});
        let rest = rest.to_string();
        let rest = rest.strip_prefix('{').expect("an object");
        let document = format!("{{\"routes\":[{}],{rest}", self.route_list());
        self.store.borrow_mut().put_text("op", "config", &document);
    }

    /// Returns the routes in JSON, separated by commas. Formats only those that were added since
    /// the last call: with thousands of routes, the stand-ins would pause for seconds otherwise,
    /// and hosts that wait for them would be late.
    fn route_list(&self) -> Ref<'_, str> {
        let kinds = ["primary", "bounded_staleness", "read_own_writes"];
        let count = GROUPS * kinds.len() + self.extra_databases.get();
        let mut routes = self.routes.borrow_mut();
        for n in routes.count..count {
            let group = format!("g{}", n / kinds.len() % GROUPS);
            let route = json!({"name": format!("r{n}"), "host": database(n), "prefix": "/",
                "kind": kinds[n % 3], "timeoutMs": 2000, "targetLatencyMs": 300,
                "maxStalenessMs": 1500, "service": group, "public": false});
            let comma = if n == 0 { "" } else { "," };
            routes.text.push_str(&format!("{comma}{route}"));
        }
        routes.count = count;
        drop(routes);
        Ref::map(self.routes.borrow(), |routes| &*routes.text)
    }

    /// Adds databases to the configuration. Returns the name of the last one.
    pub fn add_databases(&self, count: usize) -> String {
        self.extra_databases.set(self.extra_databases.get() + count);
        self.configure();
        self.newest_database().expect("databases were added")
    }

    /// Returns the name of the last database added, if any.
    pub fn newest_database(&self) -> Option<String> {
        let extra_databases = self.extra_databases.get();
        (extra_databases > 0).then(|| database(GROUPS * 3 + extra_databases - 1))
    }

    /// Withdraws the key of `hartwell`, whose callers are connected.
    pub fn withdraw_key(&self) {
        self.withdrawn.set(true);
        self.configure();
    }

    /// Restores the key of `hartwell`.
    pub fn restore_key(&self) {
        self.withdrawn.set(false);
        self.configure();
    }

    /// Returns whether the key of `hartwell` is withdrawn.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.get()
    }

    /// Evacuates a failure domain.
    pub fn evacuate(&self, domain: usize) {
        self.store.borrow_mut().put("op", &format!("evacuate/d{domain}"), &json!({}));
    }

    /// Ends the evacuation of a failure domain.
    pub fn end_evacuation(&self, domain: usize) {
        self.store.borrow_mut().remove("op", &format!("evacuate/d{domain}"));
    }

    /// Returns the number of callers' statements that servers of a failure domain have executed.
    pub fn statements_run_in(&self, domain: usize) -> usize {
        (0..GROUPS * 3)
            .filter(|index| index % 2 == domain)
            .map(|index| self.statements_run(index))
            .sum()
    }

    /// Writes a server's entry to the store.
    fn publish_entry(&self, index: usize) {
        let groups = self.groups.borrow();
        let server = &groups.servers[index];
        let role = if server.is_leader { "primary" } else { "replica" };
        let state = if server.draining { "draining" } else { "ready" };
        let entry = json!({"service": format!("g{}", server.group), "zone": format!("d{}", index % 2),
            "address": self.addresses.borrow()[index], "version": "v1", "slots": SLOTS, "state": state,
            "coldRemainingMs": 0, "databaseRole": role, "sequence": 1, "born": 1});
        self.store.borrow_mut().put("servers", &server.id, &entry);
    }

    /// Publishes a server as draining. The server keeps serving.
    pub fn start_draining(&self, index: usize) {
        self.groups.borrow_mut().servers[index].draining = true;
        self.publish_entry(index);
    }

    /// Publishes a draining server as ready again.
    pub fn stop_draining(&self, index: usize) {
        self.groups.borrow_mut().servers[index].draining = false;
        self.publish_entry(index);
    }

    /// Publishes a server with the address of another server.
    pub fn advertise_address_of(&self, index: usize, other: usize) {
        let address = self.addresses.borrow()[other];
        self.addresses.borrow_mut()[index] = address;
        self.publish_entry(index);
    }

    /// Starts a crowd of callers against a host.
    pub fn start_crowd(&self, host: usize) {
        self.stop_crowd();
        crowd::start(self.callers[host], &self.crowd.borrow());
    }

    /// Ends the crowd, if there is one.
    pub fn stop_crowd(&self) {
        self.crowd.replace(Rc::default()).set(true);
    }

    /// Checks that no host uses more than the memory of its machine.
    pub fn check_memory(&self) {
        for host in &self.hosts {
            let memory = host.pid().map_or(0, usage::memory);
            if memory > MEMORY_MB * 1_000_000 {
                let story = format!("{} uses {memory} bytes", host.name);
                self.groups.borrow_mut().broken.push(story);
            }
        }
    }

    /// Returns the number of callers' statements that a server has executed.
    pub fn statements_run(&self, index: usize) -> usize {
        self.groups.borrow().servers[index].statements_run
    }

    /// Replicates logs, completes promotions, and updates entries as servers start, stop and change
    /// roles. Never returns.
    pub async fn maintain(world: Rc<RefCell<Self>>) {
        let mut down: Vec<Option<Instant>> = vec![None; GROUPS * 3];
        loop {
            monoio::time::sleep(Duration::from_millis(3)).await;
            let Ok(world) = world.try_borrow() else { continue };
            let changed = world.groups.borrow_mut().tick();
            for (index, down) in down.iter_mut().enumerate() {
                let up = world.groups.borrow().servers[index].up;
                match *down {
                    None if !up => *down = Some(Instant::now()),
                    Some(since)
                        if !up && since.elapsed() > ENTRY_TTL && !world.retain_entries.get() =>
                    {
                        let id = format!("i-{index}");
                        world.store.borrow_mut().remove("servers", &id);
                        *down = Some(Instant::now() + Duration::from_secs(3600));
                    }
                    Some(_) if up => {
                        *down = None;
                        world.publish_entry(index);
                    }
                    _ if changed && up => world.publish_entry(index),
                    _ => {}
                }
            }
        }
    }

    /// Returns the servers of a group that act as leader.
    pub fn leaders(&self, group: usize) -> Vec<usize> {
        let groups = self.groups.borrow();
        members(group).filter(|index| groups.servers[*index].is_leader).collect()
    }

    /// Stops the leader of a group.
    pub fn stop_leader(&self, group: usize) {
        let leader = self.leaders(group).first().copied();
        leader.into_iter().for_each(|index| self.standins[index].stop());
    }

    /// Starts the stopped servers of a group.
    pub fn start_group(&self, group: usize) {
        let mut groups = self.groups.borrow_mut();
        let members = groups.servers.iter_mut().filter(|server| server.group == group);
        members.for_each(|server| server.up = true);
    }

    /// Restarts hosts whose process has exited, whether after a stop request or by itself.
    pub fn restart_ended(&mut self) -> anyhow::Result<()> {
        for host in &mut self.hosts {
            if host.pid().is_some() && !host.is_running() {
                host.kill();
                host.start()?;
            }
        }
        Ok(())
    }

    /// Returns `each` callers for each client account.
    pub fn make_callers(&self, each: usize) -> Vec<Caller> {
        let databases: Vec<Database> = (0..GROUPS * 3)
            .map(|n| Database {
                name: format!("db{n}").into(),
                group: n / 3,
                max_staleness: (n % 3 != 0).then_some(Duration::from_millis(1500)),
                read_own_writes: n % 3 == 2,
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

    /// Describes the client accounts that exceeded their rate limit within 5 s.
    pub fn rate_violations(&self) -> Vec<String> {
        let groups = self.groups.borrow();
        let over = |(name, _, rate): &(&str, &str, u64)| {
            let peak = groups.max_operations(name, Duration::from_secs(5));
            let allowed = (*rate as f64 * 6.0 * 1.1 + 20.0) as usize;
            (peak > allowed).then(|| format!("{name} had {peak} in 5 s, {allowed} are allowed"))
        };
        ACCOUNTS.iter().filter_map(over).collect()
    }

    /// Copies the hosts' logs to a directory that remains after the run. Returns the directory.
    pub fn keep_logs(&self, seed: u64) -> anyhow::Result<PathBuf> {
        let to = std::env::temp_dir().join(format!("bergamottrack-soak-{seed}"));
        std::fs::create_dir_all(&to)?;
        for host in &self.hosts {
            std::fs::write(to.join(&*host.name), host.log())
                .context("writing a copy of a host's log")?;
        }
        Ok(to)
    }
}

/// Returns the servers of a group.
pub fn members(group: usize) -> std::ops::Range<usize> {
    group * 3..group * 3 + 3
}

/// Returns the name of a database. Names of added databases share no pattern, as real ones, so
/// that the configuration cannot be made much smaller.
fn database(number: usize) -> String {
    if number < GROUPS * 3 {
        return format!("db{number}");
    }
    format!("db{:016x}", (number as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29))
}

/// Returns the initial state of a server.
fn server(id: Box<str>, group: usize, is_leader: bool) -> Server {
    let (log, lag) = (Vec::new(), Duration::ZERO);
    let (up, isolated, draining) = (true, false, false);
    Server {
        id,
        group,
        up,
        is_leader,
        term: 1,
        log,
        applied: 0,
        lag,
        loss: 0.0,
        isolated,
        draining,
        statements_run: 0,
    }
}
