//! Where statements may run: evacuated failure domains, homes of databases and accounts.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use bergamottrack_coordination::{evacuation, homes, ids};
use bergamottrack_model::statement;
use bergamottrack_peer::link;
use tracing::info;

use crate::{host, job, pool};

/// What may run at a server now.
pub fn of(host: &host::Host, pool: &pool::Pool) -> evacuation::Placement {
    let domain = pool.listed.borrow().domain.clone();
    let (store, bound) = (host.store_clock.borrow(), host.settings.evacuate);
    host.evacuations.borrow().placement(&domain, &store, bound, host.now())
}

/// Whether nothing at all may be sent to a server.
pub fn is_forbidden(host: &host::Host, pool: &pool::Pool) -> bool {
    of(host, pool) == evacuation::Placement::Forbidden
}

fn region<'a>(host: &'a host::Host, domain: &ids::FailureDomain) -> Option<&'a ids::Region> {
    host.settings.regions.get(domain)
}

/// Whether a server stands in one of the homes.
pub fn is_home(host: &host::Host, pool: &pool::Pool, homes: &homes::Homes) -> bool {
    homes.allow(region(host, &pool.listed.borrow().domain))
}

/// Whether another host may be sent statements with these homes.
pub fn may_carry(host: &host::Host, carrier: &ids::HostId, homes: &homes::Homes) -> bool {
    if homes.is_anywhere() {
        return true;
    }
    let leased_view = host.leased_view.borrow();
    let member = leased_view.view().members.get(carrier);
    member.is_some_and(|member| homes.allow(region(host, &member.value.domain)))
}

/// The link to the host that holds a server's connections, if statements with these homes
/// may go through it.
pub async fn carrier(
    host: &host::Host,
    pool: &pool::Pool,
    homes: &homes::Homes,
) -> Option<Rc<link::Link>> {
    let link = host.connect_holder(pool).await?;
    may_carry(host, &link.host, homes).then_some(link)
}

/// How many of the group's databases a server may serve by their homes; the same for all
/// servers where none has any.
pub fn served(host: &host::Host, pool: &pool::Pool) -> usize {
    let Some(plan) = host.plan().filter(|_| host.has_homes.get()) else { return 0 };
    let listed = pool.listed.borrow();
    let routes = plan.routes.values().filter(|route| route.group == listed.group);
    homes::served(routes.map(|route| &route.homes), region(host, &listed.domain))
}

/// Servers of a group that could lead it next.
pub fn successors(host: &host::Host, group: &ids::GroupId) -> Vec<Rc<pool::Pool>> {
    let fit = |pool: &Rc<pool::Pool>| {
        !pool.listed.borrow().leaving && of(host, pool) == evacuation::Placement::Allowed
    };
    host.servers(group).into_iter().filter(fit).collect()
}

/// Why no server may run a job for as long as placements stay as they are; `None` where one
/// may, or where the leader is about to be replaced by one that may.
pub fn barred(host: &host::Host, job: &job::Job) -> Option<&'static str> {
    let servers = host.servers(&job.group.id);
    if servers.is_empty() {
        return None;
    }
    if !servers.iter().any(|pool| !is_forbidden(host, pool)) {
        return Some("all servers of the group are in evacuated failure domains");
    }
    let homes = |pool: &Rc<pool::Pool>| is_home(host, pool, &job.homes);
    if !servers.iter().any(homes) {
        return Some("no server of the group stands in a home of the database and account");
    }
    if !servers.iter().any(|pool| homes(pool) && !is_forbidden(host, pool)) {
        return Some("all servers in homes are in evacuated failure domains");
    }
    let leader = job.group.leader().and_then(|leader| host.server(&leader))?;
    if job.access == statement::Access::Read || successors(host, &job.group.id).iter().any(homes) {
        return None;
    }
    if is_forbidden(host, &leader) {
        return Some("the leader's failure domain is evacuated and no other server may lead");
    }
    (!homes(&leader)).then_some("the leader stands in no home, and no other server may lead")
}

/// Takes rows of the store about evacuated failure domains.
pub fn read(
    host: &host::Host,
    rows: &[evacuation::Row],
    whole: bool,
    version: u64,
    clock: Duration,
) {
    let before = host.evacuations.borrow().clone();
    host.evacuations.borrow_mut().read(rows, whole, version, clock);
    note(host, &before, None);
}

/// Takes what another host knows of them.
pub fn adopt(host: &host::Host, from: &ids::HostId, told: &evacuation::Set) {
    let before = host.evacuations.borrow().clone();
    host.evacuations.borrow_mut().adopt(told);
    note(host, &before, Some(from));
}

fn note(host: &host::Host, before: &evacuation::Set, from: Option<&ids::HostId>) {
    let after = host.evacuations.borrow();
    let names = |of: &evacuation::Set| -> BTreeSet<(ids::FailureDomain, u64)> {
        of.domains().map(|(domain, evacuation)| (domain.clone(), evacuation.version)).collect()
    };
    let (old, new) = (names(before), names(&after));
    if old == new {
        return;
    }
    let (from, clock) = (from.map(tracing::field::display), after.clock());
    let age_ms = host.store_age(clock).map(|age| age.as_millis() as u64);
    let is_known = |domain: &ids::FailureDomain| {
        host.pools.borrow().values().any(|pool| pool.listed.borrow().domain == *domain)
    };
    for (domain, version) in new.difference(&old) {
        let servers = is_known(domain);
        info!(%domain, version, age_ms, from, servers, "evacuation: in force");
    }
    for (domain, version) in old.difference(&new) {
        info!(%domain, version, age_ms, from, "evacuation: taken back");
    }
    host.metrics.evacuated.set(new.len() as i64);
    let pools = host.pools.borrow();
    let evacuated = |pool: &&Rc<pool::Pool>| {
        new.iter().any(|(domain, _)| *domain == pool.listed.borrow().domain)
    };
    pools.values().filter(evacuated).for_each(|pool| pool.drop_idle());
}
