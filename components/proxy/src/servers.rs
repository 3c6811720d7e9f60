//! Backend servers as this host uses them.
//!
//! The list names every server of the fleet, of which a host uses few at a time. Connection pools
//! and groups exist only while they are used, or while this host is responsible for them, so that
//! the cost of a change of the view, the list or the configuration follows the work of the host.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{
    FailureDomain, GroupId, HostId, ServerId, connections, evacuation, holders, view::Leadership,
};
use bergamottrack_model::{ListedServer, Role};
use tracing::{debug, info};

use crate::{
    catalog::{Catalog, Upsert},
    follow::MISSING_ENTRY_TTL,
    group::Group,
    host::{Host, Phase},
    placement,
    pool::{self, Pool},
};

/// Time without use after which a group and the pools of its servers are dropped. Longer than any
/// evidence about a server or leader stays valid.
pub const UNUSED_TTL: Duration = Duration::from_secs(30);

/// Interval between searches for unused groups, pools and links.
const RETIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum fraction of the time that goes into computing which servers this host holds, as a
/// divisor. The computation takes time in proportion to servers times hosts.
const ASSIGNMENT_DIVISOR: u32 = 50;

/// Added to the reported end of a server's cold phase: the tolerance below which ends count as
/// equal plus the uncertainty of the store's clock.
const COLD_MARGIN: Duration = Duration::from_millis(1100);

/// The list of servers, and the pools of the servers in use.
#[derive(Default)]
pub struct Servers {
    /// The list of servers.
    pub catalog: RefCell<Catalog>,
    /// Store time at which the list was last confirmed to be current.
    pub clock: Cell<Duration>,
    /// Time at which this host received its first entry of the list; none before.
    listed_since: Cell<Option<Instant>>,
    /// Servers that are leaving, each with the time at which this host received the report.
    leaving: RefCell<HashMap<ServerId, Instant>>,
    /// Pools of the servers in use, by server.
    pools: RefCell<HashMap<ServerId, Rc<Pool>>>,
    /// Number of changes of the view, the list and the configuration. A pool of an earlier
    /// generation is updated before its next use.
    generation: Cell<u64>,
    /// Hash of the members that determine the holders.
    members: Cell<u64>,
    /// Hosts eligible as holders, by failure domain, for `members`.
    eligible: RefCell<HashMap<FailureDomain, Rc<[HostId]>>>,
    /// Groups and pools of the servers for which this host is holder or standby. This host
    /// monitors the leaders of these groups even if it does not use them.
    held: RefCell<Vec<(Rc<Group>, Rc<Pool>)>>,
    /// Generation for which `held` was computed, and the earliest time of the next computation.
    assigned: Cell<(u64, Option<Instant>)>,
}

impl Host {
    /// Returns the pools of a group's servers, sorted by server.
    pub fn servers(&self, group: &GroupId) -> Vec<Rc<Pool>> {
        let catalog = self.backends.catalog.borrow();
        catalog.group(group).map(|listed| self.pool(listed)).collect()
    }

    /// Returns the pool of a server; `None` if the server is not in the list.
    pub fn server(&self, id: &ServerId) -> Option<Rc<Pool>> {
        let catalog = self.backends.catalog.borrow();
        catalog.get(id).map(|listed| self.pool(listed))
    }

    /// Returns the pools in use.
    pub fn pools(&self) -> Vec<Rc<Pool>> {
        self.backends.pools.borrow().values().cloned().collect()
    }

    /// Returns the pool of a listed server, creating it on first use, with its bounds and holders
    /// by the current view and configuration.
    fn pool(&self, listed: &ListedServer) -> Rc<Pool> {
        let mut pools = self.backends.pools.borrow_mut();
        let pool = pools.entry(listed.id.clone()).or_insert_with(|| {
            // The share of a cold server's limit may have been used by an earlier process of this
            // host only, so it is withheld from the start of the host.
            let pool = Pool::new(listed.clone(), self.started, self.memory.clone());
            pool.warmth.borrow_mut().report(self.cold_until(listed), true);
            pool
        });
        self.update_pool(pool);
        pool.clone()
    }

    fn update_pool(&self, pool: &Pool) {
        let generation = self.backends.generation.get();
        if pool.generation.replace(generation) == generation {
            return;
        }
        let members = self.backends.members.get();
        if pool.members.replace(members) != members {
            let listed = pool.listed.borrow();
            let eligible = self.eligible_holders(&listed.domain);
            *pool.holders.borrow_mut() = holders::order(&eligible, listed.id.as_str());
        }
        let hosts = self.leased_view.borrow().view().members.len().max(1);
        let plan = self.plan();
        let group = pool.listed.borrow().group.clone();
        let limits = plan.as_ref().and_then(|plan| plan.groups.get(&group).copied());
        let rank = pool.holders.borrow().iter().position(|host| *host == self.settings.host);
        let role = match rank.filter(|_| self.shares_connections()) {
            Some(0) => connections::Role::Holder,
            Some(_) => connections::Role::Standby,
            None => connections::Role::Other,
        };
        let max_connections = limits.map_or(1, |limits| limits.connections);
        let leadership = self.leased_view.borrow().leadership(&group).map(|row| row.value.clone());
        let in_failover = matches!(leadership, Some(Leadership::Moving { .. }));
        pool.set_bounds(max_connections, hosts, role, in_failover);
        pool.set_cold(limits.and_then(|limits| limits.cold), self.settings.cold_tolerance);
    }

    fn eligible_holders(&self, domain: &FailureDomain) -> Rc<[HostId]> {
        let mut eligible = self.backends.eligible.borrow_mut();
        let compute = || holders::eligible(self.leased_view.borrow().view(), domain).into();
        eligible.entry(domain.clone()).or_insert_with(compute).clone()
    }

    /// Applies the current view, server list and configuration to the groups in use. Pools follow
    /// at their next use.
    pub fn refresh(&self) {
        let now = self.now();
        let backends = &self.backends;
        backends.generation.set(backends.generation.get() + 1);
        let members = holders::stamp(self.leased_view.borrow().view());
        if backends.members.replace(members) != members {
            backends.eligible.borrow_mut().clear();
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

    /// Returns the group and records its use; creates its state if this host has not used the
    /// group lately.
    pub fn group(&self, id: &GroupId) -> Rc<Group> {
        let now = self.now();
        if let Some(group) = self.known_group(id) {
            group.last_used.set(now);
            return group;
        }
        let group = Group::new(id.clone(), now);
        group.set_leader(self.listed_leader(id), now);
        let row = self.leased_view.borrow().leadership(id).cloned();
        if let Some(row) = row.filter(|row| matches!(row.value, Leadership::Moving { .. })) {
            // No work of this host relies on the former leader: this host did not use the group.
            group.released.set(row.version);
        }
        self.positions.borrow().seed(&group);
        self.groups.borrow_mut().insert(id.clone(), group.clone());
        group
    }

    /// Returns the group if this host has used it lately.
    pub fn known_group(&self, id: &GroupId) -> Option<Rc<Group>> {
        self.groups.borrow().get(id).cloned()
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
                let catalog = self.backends.catalog.borrow();
                let mut primaries =
                    catalog.group(group).filter(|listed| listed.role == Role::Primary);
                let first = primaries.next()?.id.clone();
                primaries.next().is_none().then_some(first)
            }
        }
    }

    /// Adds or updates a server from its own entry, which changed in `version` of the list or
    /// before. Returns whether the list changed.
    pub fn upsert_server(&self, listed: ListedServer, version: u64) -> bool {
        let effect = self.backends.catalog.borrow_mut().upsert(listed.clone(), version);
        if listed.leaving {
            let mut leaving = self.backends.leaving.borrow_mut();
            leaving.entry(listed.id.clone()).or_insert_with(|| self.now());
        } else {
            self.backends.leaving.borrow_mut().remove(&listed.id);
        }
        let before = match effect {
            Upsert::Unchanged => return false,
            Upsert::Added => {
                let since = self.backends.listed_since.get().unwrap_or_else(|| self.now());
                self.backends.listed_since.set(Some(since));
                debug!(
                    server = %listed.id, group = %listed.group, address = %listed.address,
                    role = ?listed.role, leaving = listed.leaving, started_ms = listed.started_ms,
                    "servers: server added"
                );
                return true;
            }
            Upsert::Changed(before) => before,
        };
        info!(
            server = %listed.id, group = %listed.group, address = %listed.address,
            role = ?listed.role, leaving = listed.leaving, started_ms = listed.started_ms,
            "servers: entry changed"
        );
        let pool = self.backends.pools.borrow().get(&listed.id).cloned();
        if let Some(pool) = pool {
            let restarted = before.started_ms != listed.started_ms;
            if restarted || before.address != listed.address {
                pool.drop_idle();
            }
            if before.domain != listed.domain {
                pool.members.set(0);
            }
            let cold_until = self.cold_until(&listed);
            *pool.listed.borrow_mut() = listed;
            pool.warmth.borrow_mut().report(cold_until, restarted);
        }
        true
    }

    /// Returns how long ago this host received the report that a server is leaving; `None` if the
    /// server is not leaving.
    pub fn leaving_for(&self, id: &ServerId) -> Option<Duration> {
        let since = self.backends.leaving.borrow().get(id).copied()?;
        Some(self.now().saturating_duration_since(since))
    }

    /// Returns whether a server that this host's list has never had has certainly no entry: entries that
    /// expired in an outage of the store have had the time to return since this host's first entry.
    pub fn has_settled_list(&self) -> bool {
        let since = self.backends.listed_since.get();
        since.is_some_and(|at| self.now().saturating_duration_since(at) >= MISSING_ENTRY_TTL)
    }

    /// Returns the end of a server's cold phase by its entry; `None` if it is warm or the
    /// store's clock is unknown.
    fn cold_until(&self, listed: &ListedServer) -> Option<Instant> {
        let cold = Some(listed.cold).filter(|cold| !cold.is_zero())?;
        self.store_clock.borrow().local(cold)?.checked_add(COLD_MARGIN)
    }

    /// Removes a server that has been missing since the given disappearance, and closes its idle
    /// connections. Returns whether it was removed.
    pub fn remove_server(&self, id: &ServerId, occurrence: u64) -> bool {
        if !self.backends.catalog.borrow_mut().remove(id, occurrence) {
            return false;
        }
        info!(server = %id, "servers: server removed");
        self.backends.leaving.borrow_mut().remove(id);
        if let Some(pool) = self.backends.pools.borrow_mut().remove(id) {
            pool.drop_idle();
        }
        true
    }

    /// Determines the servers for which this host is holder or standby, after a change.
    fn assign_held(&self) {
        let backends = &self.backends;
        let (generation, started) = (backends.generation.get(), self.now());
        let (assigned, next) = backends.assigned.get();
        if assigned == generation || next.is_some_and(|next| started < next) {
            return;
        }
        let me = &self.settings.host;
        let mut is_eligible: HashMap<FailureDomain, bool> = HashMap::new();
        let held: Vec<(GroupId, ServerId)> = {
            let catalog = backends.catalog.borrow();
            let mine = catalog.all().filter(|listed| {
                let eligible = || self.eligible_holders(&listed.domain);
                let compute = || eligible().contains(me);
                *is_eligible.entry(listed.domain.clone()).or_insert_with(compute)
                    && holders::order(&eligible(), listed.id.as_str()).contains(me)
            });
            mine.map(|listed| (listed.group.clone(), listed.id.clone())).collect()
        };
        let held =
            held.iter().filter_map(|(group, id)| Some((self.group(group), self.server(id)?)));
        let held = held.collect();
        *backends.held.borrow_mut() = held;
        let now = self.now();
        let pause = now.saturating_duration_since(started) * ASSIGNMENT_DIVISOR;
        backends.assigned.set((generation, Some(now + pause)));
    }

    /// Drops groups and pools that are not used.
    fn retire_unused(&self) {
        let now = self.now();
        let mut groups = self.groups.borrow_mut();
        groups.retain(|_, group| {
            let idle = now.saturating_duration_since(group.last_used.get()) > UNUSED_TTL;
            let busy = group.in_failover.get() || group.probing.get() || group.recording.get();
            !idle || busy || Rc::strong_count(group) > 1
        });
        self.backends.pools.borrow_mut().retain(|_, pool| {
            groups.contains_key(&pool.listed.borrow().group)
                || pool.has_connections()
                || Rc::strong_count(pool) > 1
        });
    }

    /// Closes unused connections and links, opens connections ahead of use, drops what is unused,
    /// and closes transactions of other hosts that are idle for too long, whose host is gone or
    /// whose server is forbidden, in an endless loop.
    pub async fn maintain_pools(self: Rc<Self>) {
        let mut retired_at = self.now();
        loop {
            monoio::time::sleep(pool::TRIM_INTERVAL).await;
            self.assign_held();
            let accounts = self.accounts_ahead.borrow().clone();
            let serving = *self.phase.borrow() == Phase::Serving;
            for pool in self.pools() {
                self.update_pool(&pool);
                pool.trim();
                let may_open = || {
                    let allowed = placement::of(&self, &pool) == evacuation::Placement::Allowed;
                    allowed && !pool.is_cold(self.now())
                };
                if serving && pool.is_holder() && !accounts.is_empty() && may_open() {
                    pool.open_ahead(&accounts);
                }
            }
            let limit = self.plan().and_then(|plan| plan.idle_timeout);
            self.remote_transactions
                .sweep(limit, self.now(), |pool| placement::is_forbidden(&self, pool));
            if self.now().saturating_duration_since(retired_at) >= RETIRE_INTERVAL {
                retired_at = self.now();
                self.retire_unused();
                self.mesh.close_unused();
            }
        }
    }
}
