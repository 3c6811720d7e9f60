//! Confirmation of commits: polls replicas for the positions that they have received.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    rc::Rc,
    time::Duration,
};

use bergamottrack_adapter::wire;
use bergamottrack_coordination::{
    Point, ServerId,
    confirm::{CONFIRM_TIMEOUT, ProbeResult, ReplicaProgress, Verdict},
    evacuation,
};
use bergamottrack_model::{Role, ServerAnswer};
use bergamottrack_peer::NotSent;
use bytes::BytesMut;
use monoio::time::Instant;
use tokio::sync::Notify;
use tracing::info;

use crate::{
    backend::OpenError,
    conn::{self, ExchangeError},
    group::Group,
    host::Host,
    monitor, placement,
    pool::{NoConnection, Pool},
    replica_set,
};

/// Timeout of a status request to one replica, equal to the maximum wait of a commit. A shorter
/// timeout would close the request's connection sooner, and opening a new one occupies a slot of a
/// server that has none to spare for longer than the request does.
const STATUS_TIMEOUT: Duration = CONFIRM_TIMEOUT;

/// Timeout of a status request forwarded to another host: half of [`CONFIRM_TIMEOUT`], so that
/// this host can still send a request of its own.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay before a replica that lacks a commit is polled again: the time that a commit takes
/// between two failure domains.
const RETRY_DELAY: Duration = Duration::from_millis(3);

/// Delay without a confirmation before a further replica is polled as well: longer than a usual
/// statement at the first replica may delay that replica's answer.
const NEXT_REPLICA_DELAY: Duration = Duration::from_millis(40);

/// Interval between polls of a replica while a commit is unconfirmed but none waits any more.
const STALLED_INTERVAL: Duration = Duration::from_millis(100);

/// Received positions of a group's replicas, and the commits that wait for them.
#[derive(Default)]
pub struct Receipts {
    /// Last readings of the replicas.
    pub state: RefCell<ReplicaProgress>,
    /// Number of commits that wait for a confirmation.
    waiting: Cell<usize>,
    /// Replicas that are being polled.
    polling: RefCell<HashSet<ServerId>>,
    /// Last commit acknowledged to a client of this host; kept over a change of the leader.
    acknowledged: Cell<Option<Point>>,
    /// Notified after each reading.
    updated: Notify,
}

impl Receipts {
    /// Returns the last record that a replica has confirmed to this host, or the last commit acknowledged
    /// to a client since the start of this host, under any leader.
    pub fn confirmed(&self) -> Option<Point> {
        self.acknowledged.get().max(self.state.borrow().newest())
    }

    /// Discards all readings, for use after a change of the leader.
    pub fn reset(&self) {
        *self.state.borrow_mut() = ReplicaProgress::default();
        self.updated.notify_waiters();
    }
}

/// Waits until a second server holds a commit of the group's leader; fails with the reason for the
/// caller if that is not shown within [`CONFIRM_TIMEOUT`]. Succeeds without a second server if no
/// replica is listed and the configuration does not require one.
///
/// A replica that refuses connections stays a possible leader until the list of servers has lost
/// it: the platform drops the entry after three missed heartbeats, and `follow` keeps it for a time
/// in which other hosts may still promote the server.
pub async fn wait(host: &Rc<Host>, group: &Rc<Group>, commit: Point) -> Result<(), &'static str> {
    let receipts = &group.receipts;
    let (began, deadline) = (host.now(), Instant::now() + CONFIRM_TIMEOUT);
    receipts.waiting.set(receipts.waiting.get() + 1);
    let verdict = loop {
        let replicas = replicas(host, group);
        let ids: Vec<_> = replicas.iter().map(|(id, _)| id.clone()).collect();
        let required = replica_set::is_required(host, group);
        let now = host.now();
        let verdict = receipts.state.borrow_mut().verdict(commit, &ids, required, began, now);
        if verdict != Verdict::Pending {
            break verdict;
        }
        // By time, as readings that confirm nothing, such as refused connections, arrive as well.
        let elapsed = host.now().saturating_duration_since(began);
        let polled = 1 + elapsed.div_duration_f64(NEXT_REPLICA_DELAY) as usize;
        start_polls(host, group, replicas.into_iter().take(polled));
        let next = deadline.min(Instant::now() + NEXT_REPLICA_DELAY);
        // Without a reading, a further replica is polled.
        let _ = monoio::time::timeout_at(next, receipts.updated.notified()).await;
    };
    receipts.waiting.set(receipts.waiting.get() - 1);
    if verdict != Verdict::Unknown {
        receipts.acknowledged.set(receipts.acknowledged.get().max(Some(commit)));
    }
    match verdict {
        Verdict::Unknown => {
            info!(group = %group.id, %commit, "replicas: commit not confirmed in time");
            Err("no replica shows that it holds the commit")
        }
        Verdict::LeaderOnly => {
            info!(
                group = %group.id, %commit,
                "replicas: none is listed, commit accepted without confirmation"
            );
            Ok(())
        }
        Verdict::Confirmed | Verdict::Pending => Ok(()),
    }
}

/// Returns whether a write to the group's leader would have an unknown outcome, since no replica
/// shows that it receives the leader's log, or none is listed that could confirm the commit although
/// the configuration requires it. Polls the replicas until one shows it: one that was removed from the
/// list and is back is no longer polled by a commit.
pub fn is_stalled(host: &Rc<Host>, group: &Rc<Group>) -> bool {
    let unconfirmed = group.receipts.state.borrow().has_unconfirmed();
    let required = replica_set::is_required(host, group) && group.leader().is_some();
    if !unconfirmed && !required {
        return false;
    }
    let replicas = replicas(host, group);
    let ids: Vec<_> = replicas.iter().map(|(id, _)| id.clone()).collect();
    let stalled = group.receipts.state.borrow().is_stalled(&ids, required);
    if unconfirmed {
        start_polls(host, group, replicas.into_iter());
    }
    stalled
}

/// Starts to poll the replicas that are not being polled.
fn start_polls(
    host: &Rc<Host>,
    group: &Rc<Group>,
    replicas: impl Iterator<Item = (ServerId, Rc<Pool>)>,
) {
    for (id, pool) in replicas {
        if group.receipts.polling.borrow_mut().insert(id.clone()) {
            monoio::spawn(poll_replica(host.clone(), group.clone(), id, pool));
        }
    }
}

/// Returns the servers of a group other than its leader whose confirmation counts and whose placement is
/// allowed, in the order in which they are polled: warm before cold, then by expected wait, then those of
/// this host's failure domain before others.
fn replicas(host: &Host, group: &Group) -> Vec<(ServerId, Rc<Pool>)> {
    let leader = group.leader();
    let servers = host.servers(&group.id).into_iter();
    let servers =
        servers.filter(|pool| placement::of(host, pool) == evacuation::Placement::Allowed);
    let named = servers.map(|pool| (pool.listed.borrow().id.clone(), pool.clone()));
    let named = named.filter(|(id, _)| replica_set::counts(host, group, id));
    let mut replicas: Vec<_> = named.filter(|(id, _)| Some(id) != leader.as_ref()).collect();
    replicas.sort_by_key(|(_, pool)| {
        let other_domain = pool.listed.borrow().domain != host.settings.domain;
        (pool.is_cold(host.now()), pool.wait(0, STATUS_TIMEOUT, host.now()), other_domain)
    });
    replicas
}

/// Polls a replica while commits wait or a commit is unconfirmed. Ends when the server becomes the
/// leader, the group has no leader, or the server is removed from the list.
async fn poll_replica(host: Rc<Host>, group: Rc<Group>, id: ServerId, pool: Rc<Pool>) {
    let receipts = &group.receipts;
    loop {
        let waiting = receipts.waiting.get() > 0;
        let stalled = receipts.state.borrow().has_unconfirmed();
        let is_replica = group.leader().is_some_and(|leader| leader != id);
        if !(waiting || stalled) || !is_replica || host.server(&id).is_none() {
            break;
        }
        let before = receipts.state.borrow().clone();
        let reading = received_position(&host, &pool).await;
        // By a row that was read since the request, the server may count no more.
        if !replica_set::counts(&host, &group, &id) {
            break;
        }
        receipts.state.borrow_mut().record(&id, reading, host.now());
        receipts.updated.notify_waiters();
        let advanced = matches!(reading, ProbeResult::Received(point) if !before.covers(point));
        // A sleep of zero still lets confirmed commits finish before `waiting` is read again.
        let delay = match (advanced, waiting) {
            (true, _) => Duration::ZERO,
            (false, true) => RETRY_DELAY,
            (false, false) => STALLED_INTERVAL,
        };
        monoio::time::sleep(delay).await;
    }
    receipts.polling.borrow_mut().remove(&id);
}

/// Requests the position that a replica has received, through the holder of its connections if
/// possible.
async fn received_position(host: &Host, pool: &Rc<Pool>) -> ProbeResult {
    let deadline = Instant::now() + STATUS_TIMEOUT;
    let request = async {
        let answer = match forwarded_status(host, pool, deadline).await {
            Some(answer) => answer?,
            None => own_status(host, pool, deadline).await?,
        };
        // Each answer of a server ends with its log position, also one without a status.
        let status = wire::decode_status(&answer).ok_or(ProbeResult::Busy(answer.point))?;
        // A server that reports that it leads is the new or a former leader, not a replica.
        Ok(if status.role == Role::Replica {
            ProbeResult::Received(status.received)
        } else {
            ProbeResult::Busy(None)
        })
    };
    let reading = monoio::time::timeout_at(deadline, request).await;
    reading.unwrap_or(Err(ProbeResult::Silent)).unwrap_or_else(|reading| reading)
}

/// Requests a replica's status through the host that holds its connections; `None` if that host
/// is out of reach or returns neither a status nor a reason that counts as a reading.
///
/// Avoids a connection of this host's own for every commit: opening one occupies a slot of the
/// replica for longer than the request does.
async fn forwarded_status(
    host: &Host,
    pool: &Rc<Pool>,
    deadline: Instant,
) -> Option<Result<ServerAnswer, ProbeResult>> {
    let link = host.connect_holder(pool).await?;
    let mut line = BytesMut::new();
    wire::put_status(&mut line);
    let timeout = deadline.saturating_duration_since(Instant::now()).min(HOLDER_TIMEOUT);
    match conn::forward_query(&link, pool, line.freeze(), timeout).await {
        Ok(answer) => Some(Ok(answer)),
        Err(ExchangeError::NotSent(NotSent::Full | NotSent::Rejected)) => {
            Some(Err(ProbeResult::Busy(None)))
        }
        Err(ExchangeError::NotSent(NotSent::Refused | NotSent::Silent)) => {
            Some(Err(ProbeResult::Silent))
        }
        Err(_) => None,
    }
}

/// Requests a replica's status on one of this host's own connections.
async fn own_status(
    host: &Host,
    pool: &Rc<Pool>,
    deadline: Instant,
) -> Result<ServerAnswer, ProbeResult> {
    let leased = pool.lease_any(&monitor::any_account(host), deadline).await;
    let mut leased = leased.map_err(|error| match error {
        NoConnection::Full | NoConnection::Open(OpenError::Rejected(_)) => ProbeResult::Busy(None),
        NoConnection::Open(OpenError::Refused | OpenError::Silent(_)) => ProbeResult::Silent,
    })?;
    let backend = leased.backend();
    wire::put_status(&mut backend.out);
    let answer = backend.exchange().await.map_err(|_| ProbeResult::Silent)?;
    if leased.backend().is_clean(&answer) {
        leased.give_back();
    }
    Ok(answer)
}
