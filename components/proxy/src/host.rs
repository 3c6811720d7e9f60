//! State of a host, shared by its tasks.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_contract as contract;
use bergamottrack_coordination::{
    AccountId, Clock, GroupId, HostId, Revision, StoreClock,
    budget::Budget,
    claims::HeldClaims,
    clients::Clients,
    connections,
    demand::Demand,
    evacuation,
    freshness::{Bounds, ConfigState},
    hubs::Neighbours,
    pieces::{Documents, Fetch},
    view::{LocalView, Member},
};
use bergamottrack_model::{Account, Plan, Route, Settings, settings::Mechanism};
use bergamottrack_peer::{
    Link, Mesh,
    message::{ClockReading, KnownVersions},
};
use bergamottrack_turns::TurnQueue;
use bytes::Bytes;
use tokio::sync::{Notify, watch};
use tracing::info;

use crate::{
    closing::ClosingLog,
    forward::RemoteTransactions,
    group::{Group, LeaderUse},
    metrics::Metrics,
    pool::Pool,
    positions,
    servers::Servers,
    timing::LeaseInfo,
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

/// Shutdown phase of a host; the variants are in the order in which they occur.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// No shutdown in progress.
    Serving,
    /// Callers are served, but readiness is off so that the platform routes no new ones here.
    Leaving,
    /// Sessions are closed as soon as they have no open transaction.
    Closing,
    /// An open transaction is ended at its next statement, unless that commits it.
    Ending,
    /// Statements without an answer get one, and nothing runs any more.
    Stopped,
}

/// Clock value that another host sent in the answer to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct PeerClock {
    /// The value.
    pub reading: ClockReading,
    /// Local time at which the heartbeat was sent.
    pub sent_at: Instant,
    /// Local time at which the answer arrived.
    pub received_at: Instant,
}

/// Packed state, each with the stamp of its content.
#[derive(Debug, Default)]
pub struct PackedState {
    /// Whole view.
    pub view: Option<(u64, Bytes)>,
    /// Whole list of servers.
    pub servers: Option<(u64, Bytes)>,
}

/// Shared state of a host.
pub struct Host {
    /// Settings given at start.
    pub settings: Settings,
    /// Monotonic clock that includes suspended time.
    pub clock: Rc<dyn Clock>,
    /// Start of the host; origin of the clock values sent to other hosts.
    pub started: Instant,
    /// Time at which this host's view last lost a member; `None` since its start.
    pub member_lost: Cell<Option<Instant>>,
    /// Latest clock value received from each host.
    pub peer_clocks: RefCell<HashMap<HostId, PeerClock>>,
    /// Random id of this process; differs after every restart of the host.
    pub run: u64,
    /// Active configuration.
    pub plan: RefCell<Option<Rc<Plan>>>,
    /// Accounts for which connections are opened ahead of use, by descending rate.
    pub accounts_ahead: RefCell<Rc<[AccountId]>>,
    /// Accounts whose statements do not use shared connections.
    pub unshared_accounts: RefCell<HashSet<AccountId>>,
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
    /// Evacuated failure domains.
    pub evacuations: RefCell<evacuation::Set>,
    /// The list of servers, and the pools of those in use.
    pub backends: Servers,
    /// Hosts that this host keeps links to.
    pub neighbours: RefCell<Neighbours>,
    /// Local time of the hub's last report that it has contact with a majority.
    pub hub_majority: Cell<Option<Instant>>,
    /// Hosts to which a request for newer state is outstanding, with the time of the request.
    pub pending_requests: RefCell<HashMap<HostId, Instant>>,
    /// Time of the last contact from each host, and the version of its row at that time.
    pub last_contact: RefCell<HashMap<HostId, (Instant, Option<u64>)>>,
    /// Whether any database or account of the active configuration has homes.
    pub has_homes: Cell<bool>,
    /// Newest known log positions of the leaders.
    pub positions: RefCell<positions::Board>,
    /// Groups in use, by id.
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
    /// Hosts that sent claims which are not parts of a rate.
    pub invalid_claims: RefCell<HashSet<HostId>>,
    /// Number of hub candidates that were silent when contacts were last recorded.
    pub silent_candidates: Cell<usize>,
    /// Claims on the accounts' rates that hubs granted to this host.
    pub held_claims: RefCell<HeldClaims>,
    /// Whether this host gives no contact to other hosts any more, since its row is being removed.
    pub withdrawn: Cell<bool>,
    /// Shutdown phase.
    pub phase: watch::Sender<Phase>,
    /// Packed state that other hosts have requested.
    pub packed: RefCell<PackedState>,
    /// Rows of hosts that asked to become members and are not written yet.
    pub registrations: RefCell<BTreeMap<HostId, Member>>,
    /// Wakes the task that serves starting hosts.
    pub registered: Notify,
    /// Hub candidates that this host has last written to the store, with their addresses.
    pub published_hubs: RefCell<Vec<(HostId, SocketAddr)>>,
    /// Wakes the task that reads the fleet view.
    pub view_wakeup: Notify,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Number of open sessions.
    pub sessions: Cell<usize>,
    /// Connections of callers.
    pub clients: Rc<Clients>,
    /// Memory of what callers and statements hold: messages, values of sessions, statements in progress,
    /// those of other hosts included, and answers.
    pub memory: Rc<Budget>,
    /// Turns of the callers' messages.
    pub turns: Rc<TurnQueue>,
    /// Lines of the log on connections that limits close.
    pub closing_log: ClosingLog,
}

/// Copies of a statement that are held while it waits and runs: as received, decoded, as written for the
/// server or another host, and in the buffer of that connection.
pub const STATEMENT_COPIES: usize = 4;

/// Returns whether statements may be sent over the link to a holder.
fn is_usable(link: &Rc<Link>) -> bool {
    link.is_responsive(HOLDER_TIMEOUT) && !link.is_draining()
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
        demand.set_priorities(plan.routes.values().map(|route| route.priority));
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
        let rates = plan.accounts().map(|account| (account.id.clone(), account.rate));
        let usage = connections::by_usage(rates.collect(), plan.groups.len());
        *self.accounts_ahead.borrow_mut() = usage.ahead.into();
        *self.unshared_accounts.borrow_mut() = usage.unshared;
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
            servers: (self.backends.catalog.borrow().stamp(), self.backends.clock.get()),
            servers_version: self.backends.catalog.borrow().version(),
            reads_packed: true,
        }
    }

    /// Returns an upper bound of the time elapsed since the store's clock showed `clock`;
    /// `None` while the store's clock is unknown.
    pub fn store_age(&self, clock: Duration) -> Option<Duration> {
        let local = self.store_clock.borrow().local(clock)?;
        Some(self.now().saturating_duration_since(local))
    }

    /// Returns the database's route and the account of the caller's key, each `None` if
    /// unknown. A public database needs no account.
    pub fn resolve(&self, database: &str, key: &str) -> (Option<Rc<Route>>, Option<Rc<Account>>) {
        match self.plan() {
            Some(plan) => (plan.routes.get(database).cloned(), plan.keys.get(key).cloned()),
            None => (None, None),
        }
    }

    /// Returns whether the lease under which leaders may be used is valid.
    pub fn leased(&self) -> bool {
        !self.withdrawn.get() && self.leased_view.borrow().leased(self.now())
    }

    /// Returns the lease under which this host uses a group's leader; `None` if the view was never
    /// proven to be the newest.
    pub fn lease_info(&self, group: &GroupId) -> Option<LeaseInfo> {
        let leased_view = self.leased_view.borrow();
        let row = leased_view.leadership(group).map_or(0, |row| row.version);
        Some(LeaseInfo { row, age: leased_view.age(self.now())? })
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

    /// Returns whether hosts share connections through the servers' holders.
    pub fn shares_connections(&self) -> bool {
        self.settings.is_enabled(Mechanism::SharedConnections)
    }

    /// Returns whether statements of the account use shared connections. A connection of an account
    /// that sends a server few statements is closed before its next use, so sharing it only costs a
    /// hop.
    pub fn shares_account(&self, account: &AccountId) -> bool {
        self.shares_connections() && !self.unshared_accounts.borrow().contains(account)
    }

    /// Returns the link to the first usable holder of a server's connections; `None` if this host
    /// comes before it, no holder is usable, or shared connections are disabled.
    pub fn holder(&self, pool: &Pool) -> Option<Rc<Link>> {
        if !self.shares_connections() {
            return None;
        }
        let holders = pool.holders.borrow();
        let others = holders.iter().take_while(|holder| **holder != self.settings.host);
        others.filter_map(|holder| self.reach(holder)).find(is_usable)
    }

    /// Returns whether a statement of the account needs no new connection to the server, as far as
    /// is known without a link: a holder to which there is no link counts as usable.
    pub fn is_connected(&self, pool: &Pool, account: &AccountId) -> bool {
        let holders = pool.holders.borrow();
        let mut others = holders.iter().take_while(|holder| **holder != self.settings.host);
        let usable = |holder| self.mesh.existing(holder).is_none_or(|link| is_usable(&link));
        self.shares_account(account) && others.any(usable) || pool.has_idle(account)
    }

    /// Returns [`Host::holder`] after the first connection attempt of the links to the holders, for
    /// which it waits `LINK_TIMEOUT` per holder at most.
    ///
    /// Without the attempt, the first statement to each server would open a connection of this
    /// host's own: in a large fleet most pairs of host and server see few statements.
    pub async fn connect_holder(&self, pool: &Pool) -> Option<Rc<Link>> {
        if self.shares_connections() {
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
