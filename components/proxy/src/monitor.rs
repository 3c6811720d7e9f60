//! The leader monitor: checks the leaders of all groups and decides on failovers.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_adapter::wire;
use bergamottrack_coordination::{
    AccountId, HostId, Point, ServerId, evacuation, rendezvous,
    suspicion::{self, Advice},
    view::{FAILOVER_MARGIN, FAILOVER_TTL, Leadership, Versioned},
};
use bergamottrack_model::Status;
use bergamottrack_peer::{Answer, Question};
use futures_util::{StreamExt, future, stream::FuturesUnordered};
use monoio::net::TcpStream;
use tracing::{info, warn};

use crate::{
    backend::{Backend, OpenError},
    failover::Failover,
    group::Group,
    host::{Host, Phase},
    placement,
    pool::Pool,
    replica_set,
};

/// Interval between checks of the leaders.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a connection attempt to a host that runs a failover.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a request to the host that holds a server's connections.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval between requests for the status of a server that has no capacity for them: a slot becomes
/// free every few milliseconds.
pub const BUSY_INTERVAL: Duration = Duration::from_millis(5);

/// Time without a known leader before a failover starts. After a start, the list of servers is
/// complete within one heartbeat.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(3500);

/// Delay before the failover of a host that no longer runs it is taken over, so that the last
/// requests of the host have arrived. Also the delay before a failover that is not taken over is
/// checked again.
const TAKEOVER_DELAY: Duration = Duration::from_millis(500);

/// How long the host that runs a failover must have been out of reach before another host takes the
/// failover over: longer than a restart of its process.
const HOLDER_LOSS_TIMEOUT: Duration = Duration::from_millis(1000);

/// [`HOLDER_LOSS_TIMEOUT`] of a host whose own failover was replaced: longer than a failover beside a
/// host that does not answer, so that two hosts that cannot reach each other do not take a failover
/// over from each other for as long as that lasts.
const REPLACED_HOLDER_TIMEOUT: Duration = Duration::from_millis(6500);

/// Delay before a planned failover is considered again, after no server of the group had received the
/// leader's term.
const SUCCESSOR_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Checks the leaders of all groups, in an endless loop; pauses while this host holds no lease or
/// closes its sessions.
pub async fn watch(host: Rc<Host>) {
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        if !host.leased() || *host.phase.borrow() >= Phase::Closing {
            continue;
        }
        let groups: Vec<_> = host.groups.borrow().values().cloned().collect();
        for group in groups {
            check(&host, &group);
        }
    }
}

/// Checks a group's leader and starts a probe, a failover or a takeover if needed.
fn check(host: &Rc<Host>, group: &Rc<Group>) {
    if group.in_failover.get() || host.servers(&group.id).is_empty() {
        return;
    }
    let now = host.now();
    let leadership = host.leased_view.borrow().leadership(&group.id).map(|row| row.value.clone());
    if let Some(Leadership::Moving { holder, since, planned, from, .. }) = leadership {
        if !group.probing.replace(true) {
            let takeover = take_over(host.clone(), group.clone(), holder, since, planned, from);
            monoio::spawn(takeover);
        }
        return;
    }
    let Some(leader) = group.leader() else {
        if group.leaderless_for(now) > LEADERLESS_TIMEOUT {
            start_failover(host, group, None, false, "the group has no known leader");
        }
        return;
    };
    let Some(pool) = host.server(&leader) else {
        if !host.has_settled_list() {
            return;
        }
        return start_failover(
            host,
            group,
            Some(leader),
            false,
            "the leader is no longer in the list of servers",
        );
    };
    replica_set::check(host, group, &pool);
    keep_probes(host, group);
    let may_plan = group.successor_retry_at.get().is_none_or(|at| now >= at);
    if may_plan && let Some(why) = planned_failover_reason(host, group, &pool) {
        return start_failover(host, group, Some(leader), true, why);
    }
    if placement::is_forbidden(host, &pool) {
        return;
    }
    let silent =
        pool.health.borrow().unanswered_for(now).max(pool.exchanges.borrow().unanswered_for(now));
    let needs_probe = silent > suspicion::SILENCE_TIMEOUT
        || group.suspicion.borrow().advice(now) == Advice::AskReplicas;
    if needs_probe && !group.probing.replace(true) {
        monoio::spawn(probe(host.clone(), group.clone(), pool, now));
    }
    let led_since = group.led_since();
    if may_plan
        && led_since
            .is_some_and(|led_since| group.receipts.state.borrow().is_partitioned(led_since, now))
    {
        return start_failover(
            host,
            group,
            Some(leader),
            true,
            "the leader's replicas receive no log records",
        );
    }
    if group.suspicion.borrow().advice(now) == Advice::Replace {
        start_failover(
            host,
            group,
            Some(leader),
            false,
            "the leader refuses connections or does not answer",
        );
    }
}

/// Keeps contact with the servers of a group that requires a complete successor, if this host holds the
/// connections of one of them: it notices a failure of the leader first.
fn keep_probes(host: &Rc<Host>, group: &Group) {
    if !replica_set::is_required(host, group) {
        group.keep_probes(false);
        return;
    }
    let mut pools = host.servers(&group.id);
    pools.retain(|pool| !placement::is_forbidden(host, pool));
    let holds = |pool: &Rc<Pool>| pool.holders.borrow().contains(&host.settings.host);
    if let Some(probes) = group.keep_probes(pools.iter().any(holds)) {
        probes.keep(host, &pools);
    }
}

/// Returns the reason to replace a healthy leader; `None` if there is no reason or no other server
/// may lead.
fn planned_failover_reason(host: &Host, group: &Group, leader: &Rc<Pool>) -> Option<&'static str> {
    let leaving = leader.listed.borrow().leaving;
    let evacuated = placement::of(host, leader) != evacuation::Placement::Allowed;
    if !leaving && !evacuated && !host.has_homes.get() {
        return None;
    }
    let mut others = placement::successors(host, &group.id);
    others.retain(|other| !Rc::ptr_eq(other, leader));
    let max_served = others.iter().map(|other| placement::served(host, other)).max()?;
    if leaving {
        return Some("the leader is leaving");
    }
    if evacuated {
        return Some("the leader's failure domain is evacuated");
    }
    let more = max_served > placement::served(host, leader);
    more.then_some("another server may serve more databases by their homes")
}

/// Requests the status of a silent leader and the positions that its replicas have received,
/// unless the holder of its connections had contact with it within [`suspicion::HOLDER_GRACE`].
/// `since` is the time of the check that started the probe.
async fn probe(host: Rc<Host>, group: Rc<Group>, leader: Rc<Pool>, since: Instant) {
    let server = leader.listed.borrow().id.clone();
    match holder_last_contact(&host, &leader).await {
        Some(elapsed) if elapsed < suspicion::SILENCE_TIMEOUT => {
            group.suspicion.borrow_mut().answered();
            group.probing.set(false);
            return;
        }
        Some(elapsed) if elapsed < suspicion::HOLDER_GRACE => {
            info!(
                group = %group.id, %server, silent_ms = elapsed.as_millis() as u64,
                "leader: silent, probing is left to the holder of its connections"
            );
            group.suspicion.borrow_mut().reset_silence();
            group.probing.set(false);
            return;
        }
        _ => monoio::time::sleep(probe_delay(&host, &group)).await,
    }
    if group.leader().as_ref() != Some(&server) {
        group.probing.set(false);
        return;
    }
    let replicas = host.servers(&group.id);
    let replicas = replicas.iter().filter(|pool| !Rc::ptr_eq(pool, &leader));
    let replicas = replicas.filter(|pool| !placement::is_forbidden(&host, pool));
    let replicas: Vec<_> = replicas.collect();
    let read_positions = async || {
        let requests = replicas.iter().map(|pool| status(&host, pool, suspicion::PROBE_TIMEOUT));
        for status in future::join_all(requests).await.into_iter().flatten() {
            group.suspicion.borrow_mut().received(status.received, host.now());
        }
    };
    // Reads the positions twice, to detect whether they stand still.
    let readings = async {
        let second = monoio::time::Instant::now() + suspicion::REPLICA_STALL_TIMEOUT;
        read_positions().await;
        monoio::time::sleep_until(second).await;
        read_positions().await;
    };
    // Concurrent, because the time for which the positions stand still counts from the first
    // answer.
    let (answer, ()) = monoio::join!(status(&host, &leader, suspicion::PROBE_TIMEOUT), readings);
    let now = host.now();
    match answer {
        Ok(_) | Err(StatusError::Busy(_)) => group.suspicion.borrow_mut().answered(),
        Err(StatusError::Refused) => group.suspicion.borrow_mut().refused(now),
        Err(StatusError::Silent) => {
            group.suspicion.borrow_mut().silent(since);
            let advice = group.suspicion.borrow().advice(now);
            info!(group = %group.id, %server, ?advice, "leader: no answer to a status request");
        }
    }
    group.probing.set(false);
}

/// Returns the time since a server last answered the host that holds its connections; `None`
/// if this host is the holder, the holder does not reply, or the server never answered it.
///
/// Without this check, hosts would probe a server that only has a long queue: each status
/// request takes a connection and a slot of a server that has none to spare.
async fn holder_last_contact(host: &Host, pool: &Pool) -> Option<Duration> {
    let link = host.holder(pool)?;
    let question = Question::LastContact(pool.listed.borrow().id.clone());
    match link.query(question, HOLDER_TIMEOUT).await {
        Ok(Answer::LastContact(elapsed)) => elapsed,
        _ => None,
    }
}

/// Returns the delay before this host probes or replaces a group's leader, by this host's rank
/// among all hosts.
fn probe_delay(host: &Host, group: &Group) -> Duration {
    let leased_view = host.leased_view.borrow();
    let hosts: Vec<_> = leased_view.view().members.keys().cloned().collect();
    let order = rendezvous::order(group.id.as_str(), &hosts);
    let rank = order.iter().position(|id| **id == host.settings.host);
    suspicion::stagger_delay(rank.unwrap_or(hosts.len()))
}

/// Reason why a server's status is not known.
#[derive(Clone, Copy, Debug)]
pub enum StatusError {
    /// The server answered, but has no capacity for the request. The point, if its answer contains
    /// one, is a lower bound of what it has received.
    Busy(Option<Point>),
    /// The connection was refused: no process listens at the address, or a network rejects it.
    Refused,
    /// No answer arrived in time, the session was rejected, or the connection broke.
    Silent,
}

/// Requests a server's status on a connection opened for it; `timeout` includes the opening.
pub async fn status(host: &Host, pool: &Pool, timeout: Duration) -> Result<Status, StatusError> {
    let request = async { read_status(&mut open(host, pool).await?).await };
    monoio::time::timeout(timeout, request).await.unwrap_or(Err(StatusError::Silent))
}

/// As [`status`], but repeats the request on the same connection while the server is busy. Returns the
/// last answer at the timeout.
pub async fn free_status(
    host: &Host,
    pool: &Pool,
    timeout: Duration,
) -> Result<Status, StatusError> {
    let last = RefCell::new(StatusError::Silent);
    let request = async {
        let mut backend = open(host, pool).await?;
        loop {
            match read_status(&mut backend).await {
                Err(busy @ StatusError::Busy(_)) => drop(last.replace(busy)),
                answer => return answer,
            }
            monoio::time::sleep(BUSY_INTERVAL).await;
        }
    };
    let answer = monoio::time::timeout(timeout, request).await;
    answer.unwrap_or_else(|_| Err(last.into_inner()))
}

/// Opens a connection for requests for a server's status.
pub async fn open(host: &Host, pool: &Pool) -> Result<Backend, StatusError> {
    let listed = pool.listed.borrow().clone();
    Backend::open(&listed, &any_account(host), &host.memory).await.map_err(|error| match error {
        OpenError::Refused => StatusError::Refused,
        _ => StatusError::Silent,
    })
}

/// Requests the status of the server at the other end of a connection.
pub async fn read_status(backend: &mut Backend) -> Result<Status, StatusError> {
    wire::put_status(&mut backend.out);
    let answer = backend.exchange().await.map_err(|_| StatusError::Silent)?;
    wire::decode_status(&answer).ok_or(StatusError::Busy(answer.point))
}

/// Returns an account for this host's own queries, since servers require one: any account of the
/// active configuration, or `-` if there is none.
pub fn any_account(host: &Host) -> AccountId {
    let plan = host.plan();
    let account = plan.as_ref().and_then(|plan| plan.accounts().next().map(|a| a.id.clone()));
    account.unwrap_or_else(|| "-".parse().expect("the name is allowed"))
}

/// Returns the time of the store's clock, or up to a few milliseconds more; zero before the first
/// view was applied.
pub fn store_now(host: &Host) -> Duration {
    let leased_view = host.leased_view.borrow();
    leased_view.view().clock + leased_view.age(host.now()).unwrap_or_default()
}

/// Takes over the failover that began at `since` if `holder`, the host that runs it, is this host
/// itself (which no longer runs it), has left the fleet, is out of reach of a majority, or has
/// exceeded [`FAILOVER_TTL`].
///
/// A failover that is taken over from a running host is safe: its intent is replaced, and with it the
/// condition of each further step.
async fn take_over(
    host: Rc<Host>,
    group: Rc<Group>,
    holder: HostId,
    since: Duration,
    planned: bool,
    from: Option<ServerId>,
) {
    let own = holder == host.settings.host;
    let lost = own || is_lost(&host, &group, &holder, since).await;
    if lost {
        monoio::time::sleep(TAKEOVER_DELAY).await;
    }
    let late = store_now(&host) > since + FAILOVER_TTL + FAILOVER_MARGIN;
    let pending = host.leased_view.borrow().leadership(&group.id).is_some_and(
        |row| matches!(&row.value, Leadership::Moving { since: current, .. } if *current == since),
    );
    if pending && (late || lost) {
        info!(group = %group.id, %holder, late, lost, "leader: unfinished failover taken over");
        start_failover(&host, &group, from, planned, "the previous failover did not finish");
    } else {
        monoio::time::sleep(TAKEOVER_DELAY).await;
    }
    group.probing.set(false);
}

/// Returns whether the host that runs a group's failover has left the fleet, or has been out of reach
/// for [`HOLDER_LOSS_TIMEOUT`] while this host had contact with a majority.
///
/// Without the majority, hosts on both sides of a partition that reach the store would take the
/// failover over from each other until the partition ends.
async fn is_lost(host: &Host, group: &Group, holder: &HostId, since: Duration) -> bool {
    let member = host.leased_view.borrow().view().members.get(holder).cloned();
    let Some(member) = member.filter(|row| row.value.left.is_none()) else { return true };
    let connect = TcpStream::connect(member.value.peer);
    let reachable = matches!(monoio::time::timeout(CONNECT_TIMEOUT, connect).await, Ok(Ok(_)));
    if reachable {
        group.lost_holder.set(None);
        return false;
    }
    let now = host.now();
    let lost_since = match group.lost_holder.get() {
        Some((failover, lost_since)) if failover == since => lost_since,
        _ => now,
    };
    group.lost_holder.set(Some((since, lost_since)));
    let replaced = group
        .began_failover
        .get()
        .is_some_and(|at| now.saturating_duration_since(at) < FAILOVER_TTL);
    let limit = if replaced { REPLACED_HOLDER_TIMEOUT } else { HOLDER_LOSS_TIMEOUT };
    host.reaches_majority() && now.saturating_duration_since(lost_since) >= limit
}

/// Starts a failover in a task of its own, unless the group's row changes before this host has
/// written its intent.
fn start_failover(
    host: &Rc<Host>,
    group: &Rc<Group>,
    from: Option<ServerId>,
    planned: bool,
    why: &'static str,
) {
    group.in_failover.set(true);
    let from_text = from.as_ref().map(tracing::field::display);
    info!(group = %group.id, from = from_text, planned, why, "leader: failover scheduled");
    let (host, group) = (host.clone(), group.clone());
    // The decision was made on this row: an intent that another host has written meanwhile
    // must not be overwritten.
    let before = host.leased_view.borrow().leadership(&group.id).cloned();
    monoio::spawn(async move {
        // Hosts decide at the same time; the first to write the intent runs the failover.
        let delay = probe_delay(&host, &group) + Duration::from_millis(rand::random_range(0..40));
        monoio::time::sleep(delay).await;
        let version = host.leased_view.borrow().leadership(&group.id).map(|row| row.version);
        if version != before.as_ref().map(|row| row.version) {
            info!(group = %group.id, "leader: another host runs the failover");
            group.in_failover.set(false);
            return;
        }
        if planned && !has_successor(&host, &group, from.as_ref(), before.as_ref()).await {
            info!(group = %group.id, "leader: kept, no other server has received its term");
            group.successor_retry_at.set(Some(host.now() + SUCCESSOR_RETRY_DELAY));
            group.in_failover.set(false);
            return;
        }
        let failover = Failover::begin(&host, &group, before, from, planned).await;
        match failover {
            Ok(Some(failover)) => {
                group.began_failover.set(Some(host.now()));
                if let Err(error) = failover.run(&host, &group).await {
                    warn!(
                        group = %group.id, error = %format_args!("{error:#}"),
                        "leader: failover failed"
                    );
                }
            }
            Ok(None) => info!(group = %group.id, "leader: another host runs the failover"),
            Err(error) => {
                let error = format_args!("{error:#}");
                info!(group = %group.id, %error, "leader: failover intent not written");
            }
        }
        host.view_wakeup.notify_one();
        monoio::time::sleep(CHECK_INTERVAL).await;
        group.in_failover.set(false);
    });
}

/// Returns whether a server has received the leader's term and may become the leader; where complete
/// successors are required, it must also have the records that a replica has confirmed to this host. Succeeds
/// without a known term.
///
/// Guards against a planned failover for which the leader ends its work and no server may follow: until
/// another server has its term, the leader may be the only one with commits of earlier terms.
async fn has_successor(
    host: &Rc<Host>,
    group: &Group,
    from: Option<&ServerId>,
    row: Option<&Versioned<Leadership>>,
) -> bool {
    let Some(Leadership::Steady { term, .. }) = row.map(|row| &row.value) else { return true };
    let mut others = placement::successors(host, &group.id);
    others.retain(|pool| Some(&pool.listed.borrow().id) != from);
    let required = replica_set::is_required(host, group);
    let confirmed = group.receipts.confirmed().filter(|_| required);
    let requests = others.iter().map(|pool| status(host, pool, suspicion::PROBE_TIMEOUT));
    let mut requests: FuturesUnordered<_> = requests.collect();
    while let Some(answer) = requests.next().await {
        let (received, point) = match answer {
            Ok(status) => (status.term, status.received),
            Err(StatusError::Busy(Some(point))) => (point.term, point),
            Err(_) => continue,
        };
        if received >= *term && Some(point) >= confirmed {
            return true;
        }
    }
    false
}
