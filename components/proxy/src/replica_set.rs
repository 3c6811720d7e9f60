//! Records the servers of a group in its row, for services that require complete successors.
//!
//! A failover must know every server that may have confirmed a commit, also one that is no longer listed,
//! see `succession::ReplicaSet`. A server is added as soon as it is listed. It is removed, and a first set
//! is written, only once a replica of the new set has received all that the leader had then.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use anyhow::ensure;
use bergamottrack_adapter::store::{self, Change, TxOutcome};
use bergamottrack_coordination::{
    ServerId, Term, evacuation, suspicion,
    view::{Leadership, Versioned},
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
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Returns whether no server of the group may be promoted that may lack an acknowledged commit.
pub fn is_required(host: &Host, group: &Group) -> bool {
    let plan = host.plan();
    let limits = plan.as_ref().and_then(|plan| plan.groups.get(&group.id));
    limits.is_some_and(|limits| limits.sync_replicas > 0)
}

/// Returns whether a server's confirmation counts: a failover takes the server into account. Succeeds for
/// groups without recorded servers.
pub fn counts(host: &Host, group: &Group, server: &ServerId) -> bool {
    if !is_required(host, group) {
        return true;
    }
    let leased_view = host.leased_view.borrow();
    let Some(row) = leased_view.leadership(&group.id) else { return true };
    let servers = row.value.servers();
    servers.is_empty() || servers.contains(server)
}

/// Starts to record the group's servers if the row does not name the listed ones, and this host is due
/// to do so: the holder of the leader's connections first. `leader` is the group's leader.
pub fn check(host: &Rc<Host>, group: &Rc<Group>, leader: &Rc<Pool>) {
    if !is_required(host, group) || !host.has_settled_list() {
        return;
    }
    let row = host.leased_view.borrow().leadership(&group.id).cloned();
    let recorded = row.as_ref().map(|row| row.value.servers().clone()).unwrap_or_default();
    let now = host.now();
    if recorded == listed(host, group) {
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
        if let Err(error) = record(&host, &group, &leader, row, &recorded).await {
            let error = format_args!("{error:#}");
            debug!(group = %group.id, %error, "replica set: not recorded, retrying");
        }
        monoio::time::sleep(RETRY_INTERVAL).await;
        group.recording.set(false);
    });
}

/// Returns the servers of a group that have an entry or had one until a short time ago.
fn listed(host: &Host, group: &Group) -> BTreeSet<ServerId> {
    let catalog = host.backends.catalog.borrow();
    catalog.group(&group.id).map(|listed| listed.id.clone()).collect()
}

async fn record(
    host: &Host,
    group: &Group,
    leader: &Rc<Pool>,
    before: Option<Versioned<Leadership>>,
    recorded: &BTreeSet<ServerId>,
) -> anyhow::Result<()> {
    let listed = listed(host, group);
    let mut servers: BTreeSet<_> = recorded.union(&listed).cloned().collect();
    let mut term = before.as_ref().map(|row| row.value.term()).unwrap_or_default();
    if recorded.is_empty() || servers != listed {
        match received_term(host, group, leader, term).await {
            Some(led) => (servers, term) = (listed, led),
            // Without that evidence, servers are only added.
            None => ensure!(
                !recorded.is_empty() && servers != *recorded,
                "no replica has received the leader's log"
            ),
        }
    }
    let id = leader.listed.borrow().id.clone();
    ensure!(servers.contains(&id), "the leader is not listed");
    let key = fleet::group_key(&group.id);
    let row = Leadership::Steady { leader: id, term, servers: servers.clone() };
    let change = Change {
        expect: vec![(key.clone(), before.map_or(0, |row| row.version))],
        put: vec![(key, serde_json::to_vec(&row)?)],
        remove: Vec::new(),
    };
    let client = Client::new(host.settings.store_address);
    let outcome = store::change(&client, &change, STORE_TIMEOUT).await?;
    host.view_wakeup.notify_one();
    if let TxOutcome::Applied(version) = outcome {
        info!(group = %group.id, version, ?servers, "replica set: recorded");
    }
    Ok(())
}

/// Returns the term of the leader if a listed replica has received all that the leader had when it was
/// asked, so that two listed servers hold each commit that a server which is no longer listed has
/// confirmed. `known` is the term of the row.
async fn received_term(host: &Host, group: &Group, leader: &Rc<Pool>, known: Term) -> Option<Term> {
    let led = monitor::status(host, leader, suspicion::PROBE_TIMEOUT).await.ok()?;
    if led.role != Role::Primary || led.term < known {
        return None;
    }
    let mut replicas = host.servers(&group.id);
    replicas.retain(|pool| {
        let allowed = placement::of(host, pool) == evacuation::Placement::Allowed;
        allowed && !Rc::ptr_eq(pool, leader)
    });
    let requests =
        replicas.iter().map(|pool| monitor::status(host, pool, suspicion::PROBE_TIMEOUT));
    let statuses = future::join_all(requests).await.into_iter().flatten();
    let received = statuses.filter(|status| status.role == Role::Replica);
    let mut received = received.filter(|status| status.term == led.term);
    received.any(|status| status.received >= led.received).then_some(led.term)
}
