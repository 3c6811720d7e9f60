//! State of a host, shared by its tasks.

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
    group::{Group, LeaderUse},
    metrics::Metrics,
    placement,
    pool::{self, Pool},
};

/// Validity of the hub's last report that it has contact with a majority of the fleet.
const HUB_MAJORITY_TTL: Duration = Duration::from_millis(2000);

/// Time without a message from a connection holder, while an answer from it is outstanding,
/// after which statements go to the next holder. Hosts with permanent links send a heartbeat
/// every 400 ms, and a slow statement takes 200 ms.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(550);

/// Timeout for the first connection attempt of a link to a holder: several round trips
/// plus the processing time of a busy host.
const LINK_TIMEOUT: Duration = Duration::from_millis(50);

/// Difference below which two reported ends of a server's cold phase count as equal.
const COLD_TOLERANCE: Duration = Duration::from_millis(1000);

/// Added to the reported end of a server's cold phase: [`COLD_TOLERANCE`] plus the
/// uncertainty of the store's clock.
const COLD_MARGIN: Duration = Duration::from_millis(1100);

/// Shutdown phase of a host; the variants are in the order in which they occur.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// No shutdown in progress.
    Serving,
    /// Callers are served, but readiness is off so that the platform routes no new ones here.
    Leaving,
    /// Sessions are closed as soon as they have no open transaction.
    Closing,
}

/// Shared state of a host.
pub struct Host {
    /// Settings given at start.
    pub settings: Settings,
    /// Monotonic clock that includes suspended time.
    pub clock: Rc<dyn Clock>,
    /// Start of the host; origin of the clock values sent to other hosts.
    pub started: Instant,
    /// Latest clock value received from each host, and the local time of its arrival.
    pub peer_clocks: RefCell<HashMap<HostId, (ClockReading, Instant)>>,
    /// Random id of this process; differs after every restart of the host.
    pub run: u64,
    /// Active configuration.
    pub plan: RefCell<Option<Rc<Plan>>>,
    /// Accounts of the active configuration, by descending rate.
    pub accounts_by_rate: RefCell<Rc<[AccountId]>>,
    /// Compressed configurations served to other hosts; the newest is the active one.
    pub documents: RefCell<Documents>,
    /// Partly fetched configuration, kept for resuming.
    pub fetch: RefCell<Option<Fetch>>,
    /// Whether a fetch of a configuration is running.
    pub is_fetching: Cell<bool>,
    /// Newest configuration version that another host serves but this host cannot decode.
    pub unreadable_version: Cell<Revision>,
    /// Newest configuration version reported by any host.
    pub newest: Cell<Revision>,
    /// Mapping between the store's clock and the local clock.
    pub store_clock: RefCell<StoreClock>,
    /// Store time at which the server list was last confirmed to be current.
    pub servers_clock: Cell<Duration>,
    /// Evacuated failure domains.
    pub evacuations: RefCell<evacuation::Set>,
    /// Servers whose entry has disappeared from the list, each with a random number that identifies
    /// this disappearance.
    pub missing: RefCell<HashMap<ServerId, u64>>,
    /// Hash of the server list.
    pub servers_stamp: Cell<u64>,
    /// Hosts that this host keeps links to.
    pub neighbours: RefCell<Neighbours>,
    /// Local time of the hub's last report that it has contact with a majority.
    pub hub_majority: Cell<Option<Instant>>,
    /// Hosts to which a request for newer state is outstanding, with the time of the request.
    pub pending_requests: RefCell<HashMap<HostId, Instant>>,
    /// Time of the last contact from each host, and the version of its row at that time.
    pub last_contact: RefCell<HashMap<HostId, (Instant, Option<u64>)>>,
    /// Connection pools of the backend servers, by server.
    pub pools: RefCell<HashMap<ServerId, Rc<Pool>>>,
    /// Pools by group, each group's sorted by server; `None` after a change of `pools`,
    /// recomputed on the next access.
    pub by_group: RefCell<Option<HashMap<GroupId, Vec<Rc<Pool>>>>>,
    /// Hash of the members from which the servers' holders were last computed; 0 forces
    /// recomputation.
    pub holders_stamp: Cell<u64>,
    /// Whether any database or account of the active configuration has homes.
    pub has_homes: Cell<bool>,
    /// Database groups by id.
    pub groups: RefCell<HashMap<GroupId, Rc<Group>>>,
    /// Newest view of the fleet and of the group leaders, with the lease on it.
    pub leased_view: RefCell<LocalView>,
    /// Links to other hosts.
    pub mesh: Rc<Mesh>,
    /// Transactions of other hosts on connections that this host holds.
    pub remote_transactions: RemoteTransactions,
    /// Time at which this host last admitted a request on behalf of its failure domain.
    pub last_admission: Cell<Option<Instant>>,
    /// Rate limiting state of all accounts.
    pub demand: RefCell<Demand>,
    /// Shutdown phase.
    pub phase: watch::Sender<Phase>,
    /// Wakes the task that reads the fleet view.
    pub view_wakeup: Notify,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Number of open sessions.
    pub sessions: Cell<usize>,
}

/// Groups the pools by database group, each group's sorted by server.
fn pools_by_group(pools: &HashMap<ServerId, Rc<Pool>>) -> HashMap<GroupId, Vec<Rc<Pool>>> {
    let mut by_group: HashMap<GroupId, Vec<Rc<Pool>>> = HashMap::new();
    for pool in pools.values() {
        by_group.entry(pool.listed.borrow().group.clone()).or_default().push(pool.clone());
    }
    for servers in by_group.values_mut() {
        servers.sort_by(|a, b| a.listed.borrow().id.cmp(&b.listed.borrow().id));
    }
    by_group
}

/// Returns the accounts by descending rate; accounts of equal rate by id.
fn accounts_by_rate(plan: &Plan) -> Rc<[AccountId]> {
    let mut accounts: Vec<_> = plan.accounts().collect();
    accounts.sort_by(|a, b| b.rate.0.total_cmp(&a.rate.0).then_with(|| a.id.cmp(&b.id)));
    accounts.into_iter().map(|account| account.id.clone()).collect()
}

impl Host {
    /// Returns the current time of the host's clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the active configuration.
    pub fn plan(&self) -> Option<Rc<Plan>> {
        self.plan.borrow().clone()
    }

    /// Activates a configuration, which must be newer than the active one. `compressed` is
    /// the document served to other hosts.
    pub fn set_plan(&self, plan: Plan, compressed: Bytes) {
        let previous = self.plan().map(|plan| plan.version);
        info!(
            version = plan.version.0,
            before = previous.map(|version| version.0),
            routes = plan.routes.len(),
            keys = plan.keys.len(),
            packed = compressed.len(),
            "configuration: activated"
        );
        let now = self.now();
        let mut demand = self.demand.borrow_mut();
        for account in plan.accounts() {
            let (id, rate, burst) = (&account.id, account.rate, account.burst);
            // Accounts of the first configuration may have been in use before this host started.
            if previous.is_some() {
                demand.create(id, rate, burst, now);
            } else {
                demand.set_contract(id, rate, burst, now);
            }
        }
        drop(demand);
        *self.accounts_by_rate.borrow_mut() = accounts_by_rate(&plan);
        self.has_homes.set(plan.has_homes());
        self.documents.borrow_mut().add(plan.version, compressed);
        *self.plan.borrow_mut() = Some(Rc::new(plan));
        self.refresh();
    }

    /// Returns the version of the active configuration; 0 without one.
    pub fn version(&self) -> Revision {
        self.plan().map(|plan| plan.version).unwrap_or_default()
    }

    /// Returns an upper bound of the time since the active configuration was last confirmed to be
    /// the newest; `None` while the store's clock is unknown.
    pub fn plan_age(&self) -> Option<Duration> {
        self.store_age(self.documents.borrow().confirmed())
    }

    /// Returns whether the active configuration is current enough to serve callers, and the
    /// evacuations are known.
    pub fn may_serve(&self) -> bool {
        let state = ConfigState {
            age: self.plan_age(),
            outdated: self.newest.get() > self.version(),
            majority: self.reaches_majority(),
        };
        let (apply, strict) = (self.settings.apply_bound, self.settings.revocation_bound);
        self.evacuations.borrow().is_known() && state.may_serve(Bounds { apply, strict })
    }

    /// Returns whether this host has contact with a majority of the hosts, itself included.
    ///
    /// A host that is not a hub uses its hub's report, which is valid for
    /// `HUB_MAJORITY_TTL`.
    pub fn reaches_majority(&self) -> bool {
        if !self.is_hub() {
            let reported_at = self.hub_majority.get();
            return reported_at
                .is_some_and(|at| self.now().saturating_duration_since(at) < HUB_MAJORITY_TTL);
        }
        let links = self.mesh.links();
        let up = links.iter().filter(|link| link.is_up()).count() + 1;
        2 * up > links.len() + 1
    }

    /// Returns the hub of this host's failure domain: the first candidate that is this host or is
    /// reachable, or this host if there is none.
    pub fn hub(&self) -> HostId {
        let is_up = |id: &HostId| self.mesh.link(id).is_some_and(|link| link.is_up());
        self.neighbours.borrow().hub(&self.settings.host, is_up)
    }

    /// Returns whether this host reads the store on behalf of its failure domain.
    ///
    /// A host that is no hub candidate and reaches no candidate is its own hub, but reads the
    /// store only when its view has become old or does not list it as a member.
    pub fn reads_store(&self) -> bool {
        self.is_hub_candidate() && self.is_own_hub()
    }

    /// Returns whether this host is the hub of its failure domain.
    fn is_own_hub(&self) -> bool {
        self.hub() == self.settings.host
    }

    /// Returns whether this host may become the hub of its failure domain.
    pub fn is_hub_candidate(&self) -> bool {
        let neighbours = self.neighbours.borrow();
        neighbours.mesh || neighbours.candidates.contains(&self.settings.host)
    }

    /// Returns whether this host exchanges heartbeats with other failure domains.
    pub fn is_hub(&self) -> bool {
        self.neighbours.borrow().mesh || self.is_own_hub()
    }

    /// Returns the versions of this host's state, each with the store time at which it was last
    /// known to be current.
    pub fn versions(&self) -> KnownVersions {
        let leased_view = self.leased_view.borrow();
        KnownVersions {
            plan: (self.version(), self.documents.borrow().confirmed()),
            view: (leased_view.stamp(), leased_view.view().clock),
            view_version: leased_view.view().version,
            servers: (self.servers_stamp.get(), self.servers_clock.get()),
        }
    }

    /// Returns an upper bound of the time elapsed since the store's clock showed `clock`;
    /// `None` while the store's clock is unknown.
    pub fn store_age(&self, clock: Duration) -> Option<Duration> {
        let local = self.store_clock.borrow().local(clock)?;
        Some(self.now().saturating_duration_since(local))
    }

    /// Returns the server list without servers whose entry is missing, sorted by id.
    pub fn listed(&self) -> Vec<ListedServer> {
        let (pools, missing) = (self.pools.borrow(), self.missing.borrow());
        let present = pools.iter().filter(|(id, _)| !missing.contains_key(*id));
        let mut listed: Vec<_> = present.map(|(_, pool)| pool.listed.borrow().clone()).collect();
        listed.sort_by(|a, b| a.id.cmp(&b.id));
        listed
    }

    /// Recomputes the hash of the server list after a change.
    pub fn update_servers_stamp(&self) {
        let mut hash = DefaultHasher::new();
        for listed in self.listed() {
            (listed.id, listed.group, listed.address, listed.started_ms).hash(&mut hash);
            (listed.leaving, listed.role == Role::Primary, listed.slots).hash(&mut hash);
            listed.cold.hash(&mut hash);
        }
        self.servers_stamp.set(hash.finish());
    }

    /// Returns the database's route and the account of the caller's key, each `None` if
    /// unknown. A public database needs no account.
    pub fn resolve(&self, database: &str, key: &str) -> (Option<Rc<Route>>, Option<Rc<Account>>) {
        match self.plan() {
            Some(plan) => (plan.routes.get(database).cloned(), plan.keys.get(key).cloned()),
            None => (None, None),
        }
    }

    /// Returns the group, creating its state on first use.
    pub fn group(&self, id: &GroupId) -> Rc<Group> {
        let mut groups = self.groups.borrow_mut();
        let new = || Group::new(id.clone(), self.now());
        groups.entry(id.clone()).or_insert_with(new).clone()
    }

    /// Returns the pools of a group's servers, sorted by server.
    pub fn servers(&self, group: &GroupId) -> Vec<Rc<Pool>> {
        let mut by_group = self.by_group.borrow_mut();
        let by_group = by_group.get_or_insert_with(|| pools_by_group(&self.pools.borrow()));
        by_group.get(group).cloned().unwrap_or_default()
    }

    /// Returns the pool of a server.
    pub fn server(&self, id: &ServerId) -> Option<Rc<Pool>> {
        self.pools.borrow().get(id).cloned()
    }

    /// Returns whether the lease under which leaders may be used is valid.
    pub fn leased(&self) -> bool {
        self.leased_view.borrow().leased(self.now())
    }

    /// Begins to use a group's leader; `None` without a valid lease or a leader.
    pub fn begin(&self, group: &Rc<Group>) -> Option<LeaderUse> {
        if self.leased() { group.begin() } else { None }
    }

    /// Returns whether a use of a leader may continue: its epoch has not ended, and this host's
    /// lease is valid.
    pub fn holds(&self, usage: &LeaderUse) -> bool {
        usage.holds() && self.leased()
    }

    /// Applies the current view, server list and configuration to pools and groups.
    pub fn refresh(&self) {
        let now = self.now();
        let hosts = self.leased_view.borrow().view().members.len().max(1);
        let plan = self.plan();
        self.update_holders();
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
                    view = self.leased_view.borrow().view().version,
                    "leader: changed"
                );
            }
        }
    }

    /// Recomputes the connection holders of each server after a change of the members, and of
    /// servers without holders.
    ///
    /// The cost is proportional to hosts times servers, too much for every change of a leader.
    fn update_holders(&self) {
        let leased_view = self.leased_view.borrow();
        let members = holders::stamp(leased_view.view());
        let changed = self.holders_stamp.replace(members) != members;
        let mut eligible: HashMap<FailureDomain, Vec<HostId>> = HashMap::new();
        for pool in self.pools.borrow().values() {
            if !changed && !pool.holders.borrow().is_empty() {
                continue;
            }
            let listed = pool.listed.borrow();
            let candidates = eligible
                .entry(listed.domain.clone())
                .or_insert_with(|| holders::eligible(leased_view.view(), &listed.domain));
            *pool.holders.borrow_mut() = holders::order(candidates, listed.id.as_str());
        }
    }

    /// Returns the leader of a group by the view; for a group without a row in the view, the
    /// server that lists itself as primary, if it is the only one. `None` during a failover and
    /// before the first view.
    fn listed_leader(&self, group: &GroupId) -> Option<ServerId> {
        let leased_view = self.leased_view.borrow();
        leased_view.age(self.now())?;
        match leased_view.leadership(group).map(|versioned| &versioned.value) {
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

    /// Adds or updates a server from its own entry in the server list.
    pub fn upsert_server(&self, mut listed: ListedServer) {
        self.missing.borrow_mut().remove(&listed.id);
        let mut pools = self.pools.borrow_mut();
        let now = self.now();
        let previous = pools.get(&listed.id).map(|pool| pool.listed.borrow().clone());
        let is_moved =
            |old: &ListedServer| (&old.group, &old.domain) != (&listed.group, &listed.domain);
        if previous.as_ref().is_none_or(is_moved) {
            *self.by_group.borrow_mut() = None;
            self.holders_stamp.set(0);
        }
        match pools.get(&listed.id) {
            Some(pool) => {
                let reported = pool.listed.borrow().cold;
                // Ends are computed from the time of each report and vary slightly. Small
                // differences are ignored, because every change is propagated to all hosts.
                if !reported.is_zero() && listed.cold.abs_diff(reported) < COLD_TOLERANCE {
                    listed.cold = reported;
                }
                let before = pool.listed.replace(listed.clone());
                if before != listed {
                    info!(
                        server = %listed.id, group = %listed.group, address = %listed.address,
                        role = ?listed.role, leaving = listed.leaving, "servers: entry changed"
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
                    role = ?listed.role, leaving = listed.leaving, "servers: server added"
                );
                let pool = Pool::new(listed.clone(), now);
                pool.warmth.borrow_mut().report(self.cold_until(&listed), true);
                pools.insert(listed.id.clone(), pool);
            }
        }
    }

    /// Returns the end of a server's cold phase by its entry; `None` if it is warm or the
    /// store's clock is unknown.
    fn cold_until(&self, listed: &ListedServer) -> Option<Instant> {
        let cold = Some(listed.cold).filter(|cold| !cold.is_zero())?;
        Some(self.store_clock.borrow().local(cold)? + COLD_MARGIN)
    }

    /// Removes a server from the list and closes its idle connections.
    pub fn remove_server(&self, id: &ServerId) {
        self.missing.borrow_mut().remove(id);
        *self.by_group.borrow_mut() = None;
        if let Some(pool) = self.pools.borrow_mut().remove(id) {
            info!(server = %id, "servers: server removed");
            pool.drop_idle();
        }
    }

    /// Closes unused connections, opens others ahead of use and closes transactions of other hosts
    /// that are idle for too long, whose host is gone or whose server is forbidden, in an endless
    /// loop.
    pub async fn maintain_pools(self: Rc<Self>) {
        loop {
            monoio::time::sleep(pool::TRIM_INTERVAL).await;
            let accounts = self.accounts_by_rate.borrow().clone();
            let serving = *self.phase.borrow() == Phase::Serving;
            for pool in self.pools.borrow().values() {
                pool.trim();
                let allowed = placement::of(&self, pool) == evacuation::Placement::Allowed;
                if serving && allowed && !pool.is_cold(self.now()) {
                    pool.open_ahead(&accounts);
                }
            }
            let limit = self.plan().and_then(|plan| plan.idle_timeout);
            self.remote_transactions
                .sweep(limit, self.now(), |pool| placement::is_forbidden(&self, pool));
        }
    }

    /// Returns the link to the first usable holder of a server's connections; `None` if this host
    /// comes before it, no holder is usable, or shared connections are disabled.
    pub fn holder(&self, pool: &Pool) -> Option<Rc<Link>> {
        if !self.settings.is_enabled(Mechanism::SharedConnections) {
            return None;
        }
        for holder in pool.holders.borrow().iter() {
            if *holder == self.settings.host {
                return None;
            }
            let link = self.reach(holder);
            let is_usable =
                |link: &Rc<Link>| link.is_responsive(HOLDER_TIMEOUT) && !link.is_draining();
            if let Some(link) = link.filter(is_usable) {
                return Some(link);
            }
        }
        None
    }

    /// Returns [`Host::holder`] after the first connection attempt of the links to the holders, for
    /// which it waits `LINK_TIMEOUT` per holder at most.
    ///
    /// Without the attempt, the first statement to each server would open a connection of this
    /// host's own: in a large fleet most pairs of host and server see few statements.
    pub async fn connect_holder(&self, pool: &Pool) -> Option<Rc<Link>> {
        if self.settings.is_enabled(Mechanism::SharedConnections) {
            let holders = pool.holders.borrow().clone();
            for holder in holders.iter().take_while(|holder| **holder != self.settings.host) {
                if let Some(link) = self.reach(holder) {
                    link.first_attempt(LINK_TIMEOUT).await;
                    if link.is_up() {
                        break;
                    }
                }
            }
        }
        self.holder(pool)
    }

    /// Returns the address at which a host listens for peers, by the view.
    pub fn peer_address(&self, host: &HostId) -> Option<SocketAddr> {
        self.leased_view.borrow().view().members.get(host).map(|member| member.value.peer)
    }

    /// Returns a link to any host of the fleet, starting it if needed; `None` if the view does not
    /// list the host.
    pub fn reach(&self, id: &HostId) -> Option<Rc<Link>> {
        let leased_view = self.leased_view.borrow();
        let member = &leased_view.view().members.get(id)?.value;
        let (domain, peer) = (member.domain.clone(), member.peer);
        Some(self.mesh.reach(&contract::Host { id: id.clone(), domain, peer }))
    }
}
