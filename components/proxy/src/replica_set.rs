//! Records the servers of a group in its row, for services that require complete successors.
//!
//! A failover must know every server that may have confirmed a commit, also one that is no longer listed,
//! see `succession::ReplicaSet`. A server is added once it has received all that the leader had when it was
//! asked. It is removed once it has no entry and another server of the set has received as much.
//!
//! A host that has not read the row without a removed server may still count its confirmations. The set is
//! therefore not exhaustive until the leases of before the row have expired, and another server has received
//! since then all that the leader had.

use std::{rc::Rc, time::Duration};

use anyhow::{Context, ensure};
use bergamottrack_adapter::store::{self, Change, TxOutcome};
use bergamottrack_coordination::{
    ServerId, Term, evacuation, suspicion,
    view::{LEASE_MARGIN, LEASE_TTL, Leadership, RecordedServers, RecordedSet, Versioned},
};
use bergamottrack_model::Role;
use bergamottrack_platform::http::Client;
use futures_util::future;
use tracing::{debug, info};

use crate::{
    fleet, follow::STORE_TIMEOUT, group::Group, host::Host, monitor, placement, pool::Pool,
};

/// Delay after which each further host tries to record a change that the ones before it have not.
const HOST_DELAY: Duration = Duration::from_millis(1500);

/// Interval between attempts to record a change.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Returns whether no server of the group may be promoted that may lack an acknowledged commit. Assumed
/// before this host has a configuration. The group's row decides if it was written by a later configuration
/// than that of this host.
pub fn is_required(host: &Host, group: &Group) -> bool {
    let Some(plan) = host.plan() else { return true };
    if let Some(row) = host.leased_view.borrow().leadership(&group.id)
        && row.value.recorded().revision > plan.version
    {
        return !row.value.recorded().servers.is_empty();
    }
    plan.groups.get(&group.id).is_some_and(|limits| limits.sync_replicas > 0)
}

/// Returns the set of a row that follows one with the set `before`, where servers are not recorded any more.
pub fn unrecorded(host: &Host, before: &RecordedSet) -> RecordedSet {
    if *before == RecordedSet::default() {
        return RecordedSet::default();
    }
    let revision = host.plan().map_or(before.revision, |plan| plan.version);
    RecordedSet { revision, ..RecordedSet::default() }
}

/// Returns whether a server's confirmation counts: a failover takes the server into account. Succeeds for
/// groups without recorded servers.
pub fn counts(host: &Host, group: &Group, server: &ServerId) -> bool {
    if !is_required(host, group) {
        return true;
    }
    let leased_view = host.leased_view.borrow();
    let Some(row) = leased_view.leadership(&group.id) else { return true };
    let servers = &row.value.recorded().servers;
    let catalog = host.backends.catalog.borrow();
    let started = catalog.get(server).map(|listed| &listed.started_ms);
    servers.is_empty() || (started.is_some() && servers.get(server) == started)
}

/// Starts to record the group's servers if the row does not name the listed ones, or is not known to be
/// exhaustive, and this host is due to do so: the holder of the leader's connections first. `leader` is the
/// group's leader.
pub fn check(host: &Rc<Host>, group: &Rc<Group>, leader: &Rc<Pool>) {
    let Some(plan) = host.plan().filter(|_| host.has_settled_list()) else { return };
    let row = host.leased_view.borrow().leadership(&group.id).cloned();
    let recorded = row.as_ref().map(|row| row.value.recorded().clone()).unwrap_or_default();
    if recorded.revision > plan.version {
        return;
    }
    let now = host.now();
    let version = row.as_ref().map(|row| row.version);
    let known = group.row_since.get().filter(|(known, _)| Some(*known) == version);
    let since = known.map_or(now, |(_, since)| since);
    group.row_since.set(version.map(|version| (version, since)));
    let leases_expired = now >= since + LEASE_TTL + LEASE_MARGIN;
    let required = is_required(host, group);
    let servers = if required { listed(host, group) } else { RecordedServers::new() };
    if recorded.servers == servers && (recorded.exhaustive || !required || !leases_expired) {
        group.unrecorded_since.set(None);
        return;
    }
    let since = group.unrecorded_since.get().unwrap_or(now);
    group.unrecorded_since.set(Some(since));
    let rank = leader.holders.borrow().iter().position(|id| *id == host.settings.host);
    let is_due = rank.is_some_and(|rank| now >= since + HOST_DELAY * rank as u32);
    if !is_due || group.recording.replace(true) {
        return;
    }
    let (host, group, leader) = (host.clone(), group.clone(), leader.clone());
    monoio::spawn(async move {
        if let Err(error) = record(&host, &group, &leader, row, recorded, leases_expired).await {
            let error = format_args!("{error:#}");
            debug!(group = %group.id, %error, "replica set: not recorded, retrying");
        }
        monoio::time::sleep(RETRY_INTERVAL).await;
        group.recording.set(false);
    });
}

/// Returns the servers of a group that have an entry.
fn listed(host: &Host, group: &Group) -> RecordedServers {
    let catalog = host.backends.catalog.borrow();
    let listed = catalog.group(&group.id).filter(|listed| catalog.is_present(&listed.id));
    listed.map(|listed| (listed.id.clone(), listed.started_ms)).collect()
}

/// Writes the set: the leader, the listed servers that have received its log, and those listed ones that
/// are recorded. Fails if no other server has received the leader's log. `leases_expired` if no host can use
/// the leader by an earlier row than `before`.
async fn record(
    host: &Host,
    group: &Group,
    leader: &Rc<Pool>,
    before: Option<Versioned<Leadership>>,
    recorded: RecordedSet,
    leases_expired: bool,
) -> anyhow::Result<()> {
    let id = leader.listed.borrow().id.clone();
    let known = before.as_ref().map(|row| row.value.term()).unwrap_or_default();
    if !is_required(host, group) {
        // Any server confirms commits now, so the set would miss some if it were required again.
        let set = unrecorded(host, &recorded);
        return write(host, group, before, id, known, set).await;
    }
    let (term, mut servers) = up_to_date(host, group, leader, known).await?;
    // Two servers of the new set have each commit that a removed one may have confirmed.
    ensure!(!servers.is_empty(), "no replica has received the leader's log");
    let listed = listed(host, group);
    let kept = recorded.servers.iter().filter(|(id, started)| listed.get(*id) == Some(*started));
    servers.extend(kept.map(|(id, started)| (id.clone(), *started)));
    servers.insert(id.clone(), leader.listed.borrow().started_ms);
    // By a row without servers, hosts count all.
    let counted = !recorded.servers.is_empty()
        && recorded.servers.iter().all(|(id, started)| servers.get(id) == Some(started));
    let exhaustive = counted && (recorded.exhaustive || leases_expired);
    if servers == recorded.servers && exhaustive == recorded.exhaustive {
        return Ok(());
    }
    let revision = host.plan().context("no configuration")?.version;
    write(host, group, before, id, term, RecordedSet { servers, exhaustive, revision }).await
}

/// Writes the group's row with the given set, unless it has changed since `before`.
async fn write(
    host: &Host,
    group: &Group,
    before: Option<Versioned<Leadership>>,
    id: ServerId,
    term: Term,
    recorded: RecordedSet,
) -> anyhow::Result<()> {
    let key = fleet::group_key(&group.id);
    let row = Leadership::Steady { leader: id, term, recorded: recorded.clone() };
    let change = Change {
        expect: vec![(key.clone(), before.map_or(0, |row| row.version))],
        put: vec![(key, serde_json::to_vec(&row)?)],
        remove: Vec::new(),
    };
    let client = Client::new(host.settings.store_address);
    let outcome = store::change(&client, &change, STORE_TIMEOUT).await?;
    host.view_wakeup.notify_one();
    if let TxOutcome::Applied(version) = outcome {
        let RecordedSet { servers, exhaustive, revision } = recorded;
        info!(group = %group.id, version, ?servers, exhaustive, %revision, "replica set: recorded");
    }
    Ok(())
}

/// Returns the term of the leader, and the listed replicas that have received all that the leader had when it
/// was asked. `known` is the term of the row.
async fn up_to_date(
    host: &Host,
    group: &Group,
    leader: &Rc<Pool>,
    known: Term,
) -> anyhow::Result<(Term, RecordedServers)> {
    let led = monitor::status(host, leader, suspicion::PROBE_TIMEOUT).await.ok();
    let led = led.filter(|led| led.role == Role::Primary && led.term >= known);
    let led = led.context("the leader does not report that it leads")?;
    let mut replicas = host.servers(&group.id);
    let present = listed(host, group);
    replicas.retain(|pool| {
        let allowed = placement::of(host, pool) == evacuation::Placement::Allowed;
        allowed && !Rc::ptr_eq(pool, leader) && present.contains_key(&pool.listed.borrow().id)
    });
    let requests = replicas.iter().map(async |pool| {
        let status = monitor::status(host, pool, suspicion::PROBE_TIMEOUT).await.ok()?;
        let follows = status.role == Role::Replica && status.term == led.term;
        let listed = pool.listed.borrow();
        let entry = || (listed.id.clone(), listed.started_ms);
        (follows && status.received >= led.received).then(entry)
    });
    let received = future::join_all(requests).await;
    Ok((led.term, received.into_iter().flatten().collect()))
}
