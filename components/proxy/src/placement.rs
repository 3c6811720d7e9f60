//! Restrictions on where statements may run: evacuated failure domains, and home regions of
//! databases and accounts.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use bergamottrack_coordination::{evacuation, homes, ids};
use bergamottrack_model::statement;
use bergamottrack_peer::link;
use tracing::info;

use crate::{host, operation, pool};

/// Returns which statements may run at a backend server now, given the evacuations in force.
pub fn of(host: &host::Host, pool: &pool::Pool) -> evacuation::Placement {
    let domain = pool.listed.borrow().domain.clone();
    let (store, bound) = (host.store_clock.borrow(), host.settings.evacuation_bound);
    host.evacuations.borrow().placement(&domain, &store, bound, host.now())
}

/// Returns whether an evacuation forbids all statements to a backend server.
pub fn is_forbidden(host: &host::Host, pool: &pool::Pool) -> bool {
    of(host, pool) == evacuation::Placement::Forbidden
}

/// Part of the drain bound for the report that a server is leaving to arrive at a host, and for a
/// statement to wait at the holder and arrive at the server.
const DRAIN_MARGIN: Duration = Duration::from_millis(1500);

/// Returns whether a backend server has been leaving for so long that it may get no statements
/// outside of open transactions.
pub fn is_drained(host: &host::Host, pool: &pool::Pool) -> bool {
    let limit = host.settings.drain_bound.saturating_sub(DRAIN_MARGIN);
    host.leaving_for(&pool.listed.borrow().id).is_some_and(|elapsed| elapsed >= limit)
}

fn region<'a>(host: &'a host::Host, domain: &ids::FailureDomain) -> Option<&'a ids::Region> {
    host.settings.regions.get(domain)
}

/// Returns whether a backend server is in one of the home regions, or the homes are unrestricted.
pub fn is_home(host: &host::Host, pool: &pool::Pool, homes: &homes::Homes) -> bool {
    homes.allow(region(host, &pool.listed.borrow().domain))
}

/// Returns whether statements with these homes may be forwarded to the host `holder`: unless the
/// homes are unrestricted, this host's view must list `holder` as a member, and the region of the
/// member's failure domain must be a home.
pub fn may_forward(host: &host::Host, holder: &ids::HostId, homes: &homes::Homes) -> bool {
    if homes.is_unrestricted() {
        return true;
    }
    let leased_view = host.leased_view.borrow();
    let member = leased_view.view().members.get(holder);
    member.is_some_and(|member| homes.allow(region(host, &member.value.domain)))
}

/// Returns the link to the holder of a server's connections, if another host holds them,
/// statements with these homes may be forwarded to it, and the account uses shared connections. At a
/// cold server all accounts do, since only its holders have a share of its limit.
pub async fn holder_link(
    host: &host::Host,
    pool: &pool::Pool,
    account: &ids::AccountId,
    homes: &homes::Homes,
) -> Option<Rc<link::Link>> {
    if !host.shares_account(account) && !pool.is_cold(host.now()) {
        return None;
    }
    let link = host.connect_holder(pool).await?;
    may_forward(host, &link.host, homes).then_some(link)
}

/// Returns the number of the group's databases whose homes include the server's region; 0 for
/// all servers if no database or account has homes, or without a configuration, so that the number
/// then prefers no server.
pub fn served(host: &host::Host, pool: &pool::Pool) -> usize {
    let Some(plan) = host.plan().filter(|_| host.has_homes.get()) else { return 0 };
    let listed = pool.listed.borrow();
    let routes = plan.routes.values().filter(|route| route.group == listed.group);
    homes::served(routes.map(|route| &route.homes), region(host, &listed.domain))
}

/// Returns the servers of a group that may become its leader: those that are neither leaving nor
/// in an evacuated failure domain.
pub fn successors(host: &host::Host, group: &ids::GroupId) -> Vec<Rc<pool::Pool>> {
    let eligible = |pool: &Rc<pool::Pool>| {
        !pool.listed.borrow().leaving && of(host, pool) == evacuation::Placement::Allowed
    };
    host.servers(group).into_iter().filter(eligible).collect()
}

/// Returns why the restrictions in force permit no server to run the operation. `None` if a server
/// may run it, if a permitted server may become leader, or if the group has no server. Without a
/// leader, only the reasons that hold for all servers of the group are returned.
pub fn rejection_reason(
    host: &host::Host,
    operation: &operation::Operation,
) -> Option<&'static str> {
    let servers = host.servers(&operation.group.id);
    if servers.is_empty() {
        return None;
    }
    if !servers.iter().any(|pool| !is_forbidden(host, pool)) {
        return Some("all servers of the group are in evacuated failure domains");
    }
    let in_homes = |pool: &Rc<pool::Pool>| is_home(host, pool, &operation.homes);
    if !servers.iter().any(in_homes) {
        return Some("no server of the group stands in a home of the database and account");
    }
    if !servers.iter().any(|pool| in_homes(pool) && !is_forbidden(host, pool)) {
        return Some("all servers in homes are in evacuated failure domains");
    }
    let leader = operation.group.leader().and_then(|leader| host.server(&leader))?;
    if operation.access == statement::Access::Read
        || successors(host, &operation.group.id).iter().any(in_homes)
    {
        return None;
    }
    if is_forbidden(host, &leader) {
        return Some("the leader's failure domain is evacuated and no other server may lead");
    }
    (!in_homes(&leader)).then_some("the leader stands in no home, and no other server may lead")
}

/// Applies evacuations read from the store: all of them if `whole`, otherwise only changed rows.
/// `version` is the version of the configuration table, which contains the evacuations, and `clock`
/// the store's clock at the read.
pub fn apply_rows(
    host: &host::Host,
    rows: &[evacuation::Row],
    whole: bool,
    version: u64,
    clock: Duration,
) {
    let before = host.evacuations.borrow().clone();
    host.evacuations.borrow_mut().read(rows, whole, version, clock);
    apply_changes(host, &before, None);
}

/// Replaces this host's whole set of evacuations by another host's if that is newer. For each
/// evacuation in it, the later of the times `after` of both hosts is kept.
pub fn merge(host: &host::Host, from: &ids::HostId, other: &evacuation::Set) {
    let before = host.evacuations.borrow().clone();
    host.evacuations.borrow_mut().adopt(other);
    apply_changes(host, &before, Some(from));
}

/// Logs evacuations that began or ended and, after a change, closes idle connections to servers in
/// evacuated failure domains.
fn apply_changes(host: &host::Host, before: &evacuation::Set, from: Option<&ids::HostId>) {
    let after = host.evacuations.borrow();
    let versions = |set: &evacuation::Set| -> BTreeSet<(ids::FailureDomain, u64)> {
        set.domains().map(|(domain, evacuation)| (domain.clone(), evacuation.version)).collect()
    };
    let (old, new) = (versions(before), versions(&after));
    if old == new {
        return;
    }
    let (from, clock) = (from.map(tracing::field::display), after.clock());
    let age_ms = host.store_age(clock).map(|age| age.as_millis() as u64);
    let has_servers = |domain: &ids::FailureDomain| {
        host.backends.catalog.borrow().all().any(|listed| listed.domain == *domain)
    };
    for (domain, version) in new.difference(&old) {
        let servers = has_servers(domain);
        info!(%domain, version, age_ms, from, servers, "evacuation: in force");
    }
    for (domain, version) in old.difference(&new) {
        info!(%domain, version, age_ms, from, "evacuation: withdrawn");
    }
    host.metrics.evacuated.set(new.len() as i64);
    let pools = host.pools();
    let evacuated = |pool: &&Rc<pool::Pool>| {
        new.iter().any(|(domain, _)| *domain == pool.listed.borrow().domain)
    };
    pools.iter().filter(evacuated).for_each(|pool| pool.drop_idle());
}
