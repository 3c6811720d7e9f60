//! All that a host knows, shared by its tasks.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_contract as contract;
use bergamottrack_coordination::{
    AccountId, Clock, FailureDomain, GroupId, HostId, Revision, ServerId, StoreClock, connections,
    demand::Demand,
    evacuation,
    freshness::{Bounds, ConfigState},
    holders,
    hubs::Neighbours,
    pieces::{Documents, Fetch},
    view::{Leadership, LocalView},
};
use bergamottrack_model::{
    Account, ListedServer, Plan, Role, Route, Settings, settings::Mechanism,
};
use bergamottrack_peer::{
    Link, Mesh,
    message::{ClockReading, KnownVersions},
};
use bytes::Bytes;
use tokio::sync::{Notify, watch};
use tracing::info;

use crate::{
    forward::RemoteTransactions,
    group::{Group, Use},
    measure::Measures,
    placement,
    pool::{self, Pool},
};

/// How long a hub's word that it hears most of the fleet counts.
const HUB_WORD: Duration = Duration::from_millis(2000);

/// How long a holder of connections may owe an answer and say nothing before others
/// are asked: hosts that speak all the time do so every 400 ms, and a slow statement
/// takes 200 ms.
const HOLDER_WITHIN: Duration = Duration::from_millis(550);

/// How long the first attempt of a link to a holder is waited for: several ways there and
/// back, and what a busy host needs.
const LINK_WITHIN: Duration = Duration::from_millis(50);

/// Reports of when a server stops being cold that differ by less are taken for the same.
const SAME_COLD: Duration = Duration::from_millis(1000);

/// How much longer a server counts as cold than it reported: the difference between two
/// reports that are taken for the same, and what the store's clock is uncertain.
const COLD_MARGIN: Duration = Duration::from_millis(1100);

/// How far a stop has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Not at all.
    Serving,
    /// Callers are served, but the platform is told to bring no new ones.
    Leaving,
    /// Sessions without a transaction are closed.
    Closing,
}

/// All that a host knows.
pub struct Host {
    /// What it was told at its start.
    pub settings: Settings,
    /// The steady clock, suspended time included.
    pub clock: Rc<dyn Clock>,
    /// When it started; clocks that are sent to other hosts count from it.
    pub began: Instant,
    /// The newest clock of each host that this one was sent, and when it was received.
    pub clocks: RefCell<HashMap<HostId, (ClockReading, Instant)>>,
    /// Tells this run of the host from others.
    pub run: u64,
    /// The configuration in force.
    pub plan: RefCell<Option<Rc<Plan>>>,
    /// Its accounts, those of the highest rate first.
    pub by_rate: RefCell<Rc<[AccountId]>>,
    /// Configurations as they are told to other hosts; the one in force is the newest.
    pub shelf: RefCell<Documents>,
    /// A configuration of which a part has been fetched.
    pub fetch: RefCell<Option<Fetch>>,
    /// Whether a configuration is being fetched now.
    pub fetches: Cell<bool>,
    /// The newest configuration that another host could read and this one could not.
    pub unreadable: Cell<Revision>,
    /// The newest configuration that any host has told of.
    pub newest: Cell<Revision>,
    /// The store's clock.
    pub store_clock: RefCell<StoreClock>,
    /// The store's clock when the list of servers was the newest for certain.
    pub servers_clock: Cell<Duration>,
    /// Evacuated failure domains.
    pub evacuations: RefCell<evacuation::Set>,
    /// Servers whose entry has disappeared, and a number for each time it did.
    pub missing: RefCell<HashMap<ServerId, u64>>,
    /// Stamp of the list of servers.
    pub servers_stamp: Cell<u64>,
    /// Which hosts this one speaks to.
    pub neighbours: RefCell<Neighbours>,
    /// Whether this host's hub hears most of the fleet, and when it said so.
    pub hub_majority: Cell<Option<Instant>>,
    /// Hosts that are being asked for what they know, and since when.
    pub asked: RefCell<HashMap<HostId, Instant>>,
    /// When each host was heard last, and the version of its row then.
    pub heard: RefCell<HashMap<HostId, (Instant, Option<u64>)>>,
    /// Backend servers by name.
    pub pools: RefCell<HashMap<ServerId, Rc<Pool>>>,
    /// The same by group, each group's in the order of their names; none until they are
    /// asked for after a change of `pools`.
    pub by_group: RefCell<Option<HashMap<GroupId, Vec<Rc<Pool>>>>>,
    /// Stamp of the members by which the servers' holders were worked out.
    pub holders_stamp: Cell<u64>,
    /// Whether any database or account of the configuration has homes.
    pub has_homes: Cell<bool>,
    /// Groups by name.
    pub groups: RefCell<HashMap<GroupId, Rc<Group>>>,
    /// The fleet and who leads.
    pub held: RefCell<LocalView>,
    /// Links to the other hosts.
    pub mesh: Rc<Mesh>,
    /// Transactions of other hosts on connections of this one.
    pub works: RemoteTransactions,
    /// When this host last admitted a request for its failure domain.
    pub admits: Cell<Option<Instant>>,
    /// Parts of the accounts' rates.
    pub demand: RefCell<Demand>,
    /// How far a stop has come.
    pub phase: watch::Sender<Phase>,
    /// Wakes the task that reads the view.
    pub look: Notify,
    /// Counters and histograms.
    pub measures: Measures,
    /// Sessions open.
    pub sessions: Cell<usize>,
}

fn grouped(pools: &HashMap<ServerId, Rc<Pool>>) -> HashMap<GroupId, Vec<Rc<Pool>>> {
    let mut grouped: HashMap<GroupId, Vec<Rc<Pool>>> = HashMap::new();
    for pool in pools.values() {
        grouped.entry(pool.listed.borrow().group.clone()).or_default().push(pool.clone());
    }
    for servers in grouped.values_mut() {
        servers.sort_by(|a, b| a.listed.borrow().id.cmp(&b.listed.borrow().id));
    }
    grouped
}

fn by_rate(plan: &Plan) -> Rc<[AccountId]> {
    let mut accounts: Vec<_> = plan.accounts().collect();
    accounts.sort_by(|a, b| b.rate.0.total_cmp(&a.rate.0).then_with(|| a.id.cmp(&b.id)));
    accounts.into_iter().map(|account| account.id.clone()).collect()
}

impl Host {
    /// Now, by the host's clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The configuration in force.
    pub fn plan(&self) -> Option<Rc<Plan>> {
        self.plan.borrow().clone()
    }

    /// Puts a configuration in force that is newer than the one before. `packed` is what
    /// other hosts are told.
    pub fn set_plan(&self, plan: Plan, packed: Bytes) {
        let known = self.plan().map(|plan| plan.version);
        info!(
            version = plan.version.0,
            before = known.map(|version| version.0),
            routes = plan.routes.len(),
            keys = plan.keys.len(),
            packed = packed.len(),
            "configuration: in force"
        );
        let now = self.now();
        let mut demand = self.demand.borrow_mut();
        for account in plan.accounts() {
            let (id, rate, burst) = (&account.id, account.rate, account.burst);
            // What the first configuration names may have been used before this host started.
            if known.is_some() {
                demand.create(id, rate, burst, now);
            } else {
                demand.set_contract(id, rate, burst, now);
            }
        }
        drop(demand);
        *self.by_rate.borrow_mut() = by_rate(&plan);
        self.has_homes.set(plan.has_homes());
        self.shelf.borrow_mut().add(plan.version, packed);
        *self.plan.borrow_mut() = Some(Rc::new(plan));
        self.refresh();
    }

    /// The version of the configuration in force.
    pub fn version(&self) -> Revision {
        self.plan().map(|plan| plan.version).unwrap_or_default()
    }

    /// How long ago the configuration was the newest for certain.
    pub fn plan_age(&self) -> Option<Duration> {
        self.age_of(self.shelf.borrow().confirmed())
    }

    /// Whether callers may be served by what is known of the configuration.
    pub fn may_serve(&self) -> bool {
        let standing = ConfigState {
            age: self.plan_age(),
            outdated: self.newest.get() > self.version(),
            majority: self.hears_majority(),
        };
        let (apply, strict) = (self.settings.apply_bound, self.settings.revocation_bound);
        self.evacuations.borrow().is_known() && standing.may_serve(Bounds { apply, strict })
    }

    /// Whether most hosts, this one included, are heard; by word of the hub where
    /// this host speaks to no others.
    pub fn hears_majority(&self) -> bool {
        if !self.is_hub() {
            let said = self.hub_majority.get();
            return said.is_some_and(|at| self.now().saturating_duration_since(at) < HUB_WORD);
        }
        let links = self.mesh.links();
        let up = links.iter().filter(|link| link.is_up()).count() + 1;
        2 * up > links.len() + 1
    }

    /// The hub of this host's failure domain.
    pub fn hub(&self) -> HostId {
        let is_up = |id: &HostId| self.mesh.link(id).is_some_and(|link| link.is_up());
        self.neighbours.borrow().hub(&self.settings.host, is_up)
    }

    /// Whether this host reads the store for the others of its failure domain. One
    /// that is no candidate stands alone while it reaches none of them; it reads the
    /// store only when what it knows has grown old.
    pub fn is_reader(&self) -> bool {
        self.may_be_hub() && self.stands_first()
    }

    /// Whether no host goes before this one as hub of its failure domain.
    fn stands_first(&self) -> bool {
        self.hub() == self.settings.host
    }

    /// Whether this host may become the hub of its failure domain.
    pub fn may_be_hub(&self) -> bool {
        let neighbours = self.neighbours.borrow();
        neighbours.mesh || neighbours.candidates.contains(&self.settings.host)
    }

    /// Whether this host speaks to hosts of other failure domains.
    pub fn is_hub(&self) -> bool {
        self.neighbours.borrow().mesh || self.stands_first()
    }

    /// Which versions this host knows.
    pub fn known(&self) -> KnownVersions {
        let held = self.held.borrow();
        KnownVersions {
            plan: (self.version(), self.shelf.borrow().confirmed()),
            view: (held.stamp(), held.view().clock),
            view_version: held.view().version,
            servers: (self.servers_stamp.get(), self.servers_clock.get()),
        }
    }

    /// How long ago what was the newest when the store's clock showed `clock` was so.
    pub fn age_of(&self, clock: Duration) -> Option<Duration> {
        let seen = self.store_clock.borrow().local(clock)?;
        Some(self.now().saturating_duration_since(seen))
    }

    /// The list of servers, without those whose entry is missing.
    pub fn listed(&self) -> Vec<ListedServer> {
        let (pools, missing) = (self.pools.borrow(), self.missing.borrow());
        let there = pools.iter().filter(|(id, _)| !missing.contains_key(*id));
        let mut listed: Vec<_> = there.map(|(_, pool)| pool.listed.borrow().clone()).collect();
        listed.sort_by(|a, b| a.id.cmp(&b.id));
        listed
    }

    /// Notes that the list of servers has changed.
    pub fn stamp_servers(&self) {
        let mut hash = DefaultHasher::new();
        for listed in self.listed() {
            (listed.id, listed.group, listed.address, listed.started_ms).hash(&mut hash);
            (listed.leaving, listed.role == Role::Primary, listed.slots).hash(&mut hash);
            listed.cold.hash(&mut hash);
        }
        self.servers_stamp.set(hash.finish());
    }

    /// The database's route and the caller's account; `None` for a public one.
    pub fn find(&self, database: &str, key: &str) -> (Option<Rc<Route>>, Option<Rc<Account>>) {
        match self.plan() {
            Some(plan) => (plan.routes.get(database).cloned(), plan.keys.get(key).cloned()),
            None => (None, None),
        }
    }

    /// The group of that name.
    pub fn group(&self, id: &GroupId) -> Rc<Group> {
        let mut groups = self.groups.borrow_mut();
        let new = || Group::new(id.clone(), self.now());
        groups.entry(id.clone()).or_insert_with(new).clone()
    }

    /// The servers of a group.
    pub fn servers(&self, group: &GroupId) -> Vec<Rc<Pool>> {
        let mut by_group = self.by_group.borrow_mut();
        let by_group = by_group.get_or_insert_with(|| grouped(&self.pools.borrow()));
        by_group.get(group).cloned().unwrap_or_default()
    }

    /// The server of that name.
    pub fn server(&self, id: &ServerId) -> Option<Rc<Pool>> {
        self.pools.borrow().get(id).cloned()
    }

    /// Whether leaders may be used now.
    pub fn leased(&self) -> bool {
        self.held.borrow().leased(self.now())
    }

    /// Begins to use a group's leader, if that is allowed.
    pub fn begin(&self, group: &Rc<Group>) -> Option<Use> {
        if self.leased() { group.begin() } else { None }
    }

    /// Whether a leader that is in use still leads for certain.
    pub fn holds(&self, usage: &Use) -> bool {
        usage.holds() && self.leased()
    }

    /// Takes over what the view, the list of servers and the configuration say now.
    pub fn refresh(&self) {
        let now = self.now();
        let hosts = self.held.borrow().view().members.len().max(1);
        let plan = self.plan();
        self.order_holders();
        for pool in self.pools.borrow().values() {
            let group = pool.listed.borrow().group.clone();
            let limits = plan.as_ref().and_then(|plan| plan.groups.get(&group).copied());
            let shared = self.settings.is_enabled(Mechanism::SharedConnections);
            let rank = pool.holders.borrow().iter().position(|host| *host == self.settings.host);
            let role = match rank.filter(|_| shared) {
                Some(0) => connections::Role::Holder,
                Some(_) => connections::Role::Standby,
                None => connections::Role::Other,
            };
            pool.set_bounds(limits.map_or(1, |limits| limits.connections), hosts, role);
            let cold = limits.and_then(|limits| limits.cold);
            pool.set_cold(cold, self.settings.cold_tolerance);
            self.group(&group);
        }
        let groups: Vec<_> = self.groups.borrow().values().cloned().collect();
        for group in groups {
            let leader = self.listed_leader(&group.id);
            if group.set_leader(leader.clone(), now) {
                info!(
                    group = %group.id,
                    leader = leader.as_ref().map(tracing::field::display),
                    view = self.held.borrow().view().version,
                    "leader: changed"
                );
            }
        }
    }

    /// Works out who holds the connections to each server, where that may have changed.
    ///
    /// Guards against a cost of hosts times servers for each change of a group's leader.
    fn order_holders(&self) {
        let held = self.held.borrow();
        let members = holders::stamp(held.view());
        let changed = self.holders_stamp.replace(members) != members;
        let mut eligible: HashMap<FailureDomain, Vec<HostId>> = HashMap::new();
        for pool in self.pools.borrow().values() {
            if !changed && !pool.holders.borrow().is_empty() {
                continue;
            }
            let listed = pool.listed.borrow();
            let strong = eligible
                .entry(listed.domain.clone())
                .or_insert_with(|| holders::eligible(held.view(), &listed.domain));
            *pool.holders.borrow_mut() = holders::order(strong, listed.id.as_str());
        }
    }

    /// The leader of a group by the view; where it has no say, the one server
    /// that lists itself as primary.
    fn listed_leader(&self, group: &GroupId) -> Option<ServerId> {
        let held = self.held.borrow();
        held.age(self.now())?;
        match held.leadership(group).map(|versioned| &versioned.value) {
            Some(Leadership::Steady { leader, .. }) => Some(leader.clone()),
            Some(Leadership::Moving { .. }) => None,
            None => {
                let servers = self.servers(group);
                let primary = |pool: &&Rc<Pool>| pool.listed.borrow().role == Role::Primary;
                let mut primaries = servers.iter().filter(primary);
                let first = primaries.next()?.listed.borrow().id.clone();
                primaries.next().is_none().then_some(first)
            }
        }
    }

    /// Takes a server's own entry.
    pub fn list(&self, mut listed: ListedServer) {
        self.missing.borrow_mut().remove(&listed.id);
        let mut pools = self.pools.borrow_mut();
        let now = self.now();
        let known = pools.get(&listed.id).map(|pool| pool.listed.borrow().clone());
        let moved =
            |known: &ListedServer| (&known.group, &known.domain) != (&listed.group, &listed.domain);
        if known.as_ref().is_none_or(moved) {
            *self.by_group.borrow_mut() = None;
            self.holders_stamp.set(0);
        }
        match pools.get(&listed.id) {
            Some(pool) => {
                let known = pool.listed.borrow().cold;
                // Each report counts from another moment; all hosts are told of a change.
                if !known.is_zero() && listed.cold.abs_diff(known) < SAME_COLD {
                    listed.cold = known;
                }
                let before = pool.listed.replace(listed.clone());
                if before != listed {
                    info!(
                        server = %listed.id, group = %listed.group, address = %listed.address,
                        role = ?listed.role, leaving = listed.leaving, "servers: changed"
                    );
                }
                if before.started_ms != listed.started_ms || before.address != listed.address {
                    pool.drop_idle();
                }
                let restarted = before.started_ms != listed.started_ms;
                pool.warmth.borrow_mut().report(self.cold_until(&listed), restarted);
            }
            None => {
                info!(
                    server = %listed.id, group = %listed.group, address = %listed.address,
                    role = ?listed.role, leaving = listed.leaving, "servers: new"
                );
                let pool = Pool::new(listed.clone(), now);
                pool.warmth.borrow_mut().report(self.cold_until(&listed), true);
                pools.insert(listed.id.clone(), pool);
            }
        }
    }

    /// Until when a server is cold by its entry.
    fn cold_until(&self, listed: &ListedServer) -> Option<Instant> {
        let cold = Some(listed.cold).filter(|cold| !cold.is_zero())?;
        Some(self.store_clock.borrow().local(cold)? + COLD_MARGIN)
    }

    /// Takes a server off the list.
    pub fn unlist(&self, id: &ServerId) {
        self.missing.borrow_mut().remove(id);
        *self.by_group.borrow_mut() = None;
        if let Some(pool) = self.pools.borrow_mut().remove(id) {
            info!(server = %id, "servers: gone");
            pool.drop_idle();
        }
    }

    /// Closes connections that are not used and opens some ahead, for ever.
    pub async fn trim(self: Rc<Self>) {
        loop {
            monoio::time::sleep(pool::TRIM_EVERY).await;
            let accounts = self.by_rate.borrow().clone();
            let serving = *self.phase.borrow() == Phase::Serving;
            for pool in self.pools.borrow().values() {
                pool.trim();
                let allowed = placement::of(&self, pool) == evacuation::Placement::Allowed;
                if serving && allowed && !pool.is_cold(self.now()) {
                    pool.open_ahead(&accounts);
                }
            }
            let limit = self.plan().and_then(|plan| plan.idle_timeout);
            self.works.sweep(limit, self.now(), |pool| placement::is_forbidden(&self, pool));
        }
    }

    /// The link to the host that holds a server's connections; none where this host
    /// does so itself, or no other one can be reached.
    pub fn holder(&self, pool: &Pool) -> Option<Rc<Link>> {
        if !self.settings.is_enabled(Mechanism::SharedConnections) {
            return None;
        }
        for holder in pool.holders.borrow().iter() {
            if *holder == self.settings.host {
                return None;
            }
            let link = self.reach(holder);
            let fit = |link: &Rc<Link>| link.is_responsive(HOLDER_WITHIN) && !link.is_draining();
            if let Some(link) = link.filter(fit) {
                return Some(link);
            }
        }
        None
    }

    /// The same, once links to the holders that were not needed before have been tried.
    ///
    /// Guards against a connection of this host's own for the first statement to each server:
    /// in a large fleet most pairs of host and server see few statements.
    pub async fn settled_holder(&self, pool: &Pool) -> Option<Rc<Link>> {
        if self.settings.is_enabled(Mechanism::SharedConnections) {
            let holders = pool.holders.borrow().clone();
            for holder in holders.iter().take_while(|holder| **holder != self.settings.host) {
                if let Some(link) = self.reach(holder) {
                    link.first_attempt(LINK_WITHIN).await;
                    if link.is_up() {
                        break;
                    }
                }
            }
        }
        self.holder(pool)
    }

    /// Where a peer listens, by the view.
    pub fn peer(&self, host: &HostId) -> Option<SocketAddr> {
        self.held.borrow().view().members.get(host).map(|member| member.value.peer)
    }

    /// A link to any host of the fleet.
    pub fn reach(&self, id: &HostId) -> Option<Rc<Link>> {
        let held = self.held.borrow();
        let member = &held.view().members.get(id)?.value;
        let (domain, peer) = (member.domain.clone(), member.peer);
        Some(self.mesh.reach(&contract::Host { id: id.clone(), domain, peer }))
    }
}
