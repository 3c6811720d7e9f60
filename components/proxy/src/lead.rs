//! Watching the leaders of all groups, and deciding that one is to be replaced.

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_adapter::wire;
use bergamottrack_coordination::{
    AccountId, HostId, ServerId, evacuation, rendezvous,
    suspicion::{self, Advice},
    view::{FAILOVER_MARGIN, FAILOVER_TTL, Leadership},
};
use bergamottrack_model::Status;
use bergamottrack_peer::{Answer, Question};
use futures_util::future;
use monoio::net::TcpStream;
use tracing::{info, warn};

use crate::{
    backend::{Backend, OpenError},
    change::Move,
    group::Group,
    host::{Host, Phase},
    placement,
    pool::Pool,
};

/// How often leaders are looked at.
pub const LOOK_EVERY: Duration = Duration::from_millis(100);

/// How long the dial to a host that may be dead may take.
const DIAL_WITHIN: Duration = Duration::from_millis(300);

/// How long the word of the host that holds a server's connections is waited for.
const HOLDER_WITHIN: Duration = Duration::from_millis(100);

/// How long a group without any known leader is left alone: at the start the
/// list of servers fills up within one heartbeat.
const LEADERLESS_FOR: Duration = Duration::from_millis(3500);

/// How long the holder of a change must have been dead for certain before another
/// host takes it over: what it sent last is through by then.
const DEAD_FOR: Duration = Duration::from_millis(500);

/// Watches all groups for ever.
pub async fn watch(host: Rc<Host>) {
    loop {
        monoio::time::sleep(LOOK_EVERY).await;
        if !host.leased() || *host.phase.borrow() == Phase::Closing {
            continue;
        }
        let groups: Vec<_> = host.groups.borrow().values().cloned().collect();
        for group in groups {
            look(&host, &group);
        }
    }
}

fn look(host: &Rc<Host>, group: &Rc<Group>) {
    if group.moved.get() || host.servers(&group.id).is_empty() {
        return;
    }
    let now = host.now();
    let leadership = host.held.borrow().leadership(&group.id).map(|row| row.value.clone());
    if let Some(Leadership::Moving { holder, since, planned, from, .. }) = leadership {
        if !group.probed.replace(true) {
            let move_on = take_over(host.clone(), group.clone(), holder, since, planned, from);
            monoio::spawn(move_on);
        }
        return;
    }
    let Some(leader) = group.leader() else {
        if group.leaderless(now) > LEADERLESS_FOR {
            start(host, group, None, false, "no server of the group says that it leads");
        }
        return;
    };
    let Some(pool) = host.server(&leader) else {
        return start(host, group, Some(leader), false, "the leader is gone from the list");
    };
    if let Some(why) = misplaced(host, group, &pool) {
        return start(host, group, Some(leader), true, why);
    }
    if placement::is_forbidden(host, &pool) {
        return;
    }
    let silent = pool.health.borrow().unanswered_for(now).max(pool.exchanges.borrow().lasts(now));
    let asks = silent > suspicion::SILENCE_TIMEOUT
        || group.suspicion.borrow().advice(now) == Advice::AskReplicas;
    if asks && !group.probed.replace(true) {
        monoio::spawn(probe(host.clone(), group.clone(), pool, now));
    }
    let led = group.led();
    if led.is_some_and(|led| group.receipts.state.borrow().is_partitioned(led, now)) {
        return start(host, group, Some(leader), true, "the leader's replicas receive nothing");
    }
    if group.suspicion.borrow().advice(now) == Advice::Replace {
        start(host, group, Some(leader), false, "the leader is dead or silent");
    }
}

/// Why another server is to lead though the leader is well, if one may.
fn misplaced(host: &Host, group: &Group, leader: &Rc<Pool>) -> Option<&'static str> {
    let leaving = leader.listed.borrow().leaving;
    let evacuated = placement::of(host, leader) != evacuation::Placement::Allowed;
    if !leaving && !evacuated && !host.has_homes.get() {
        return None;
    }
    let mut others = placement::successors(host, &group.id);
    others.retain(|other| !Rc::ptr_eq(other, leader));
    let most = others.iter().map(|other| placement::served(host, other)).max()?;
    if leaving {
        return Some("the leader is leaving");
    }
    if evacuated {
        return Some("the leader's failure domain is evacuated");
    }
    let more = most > placement::served(host, leader);
    more.then_some("another server may serve more databases by their homes")
}

/// Asks a silent leader how it stands, and if it does not answer its replicas
/// how far they have received.
async fn probe(host: Rc<Host>, group: Rc<Group>, leader: Rc<Pool>, since: Instant) {
    let server = leader.listed.borrow().id.clone();
    match told_by_holder(&host, &leader).await {
        Some(lasts) if lasts < suspicion::SILENCE_TIMEOUT => {
            group.suspicion.borrow_mut().answered();
            group.probed.set(false);
            return;
        }
        Some(lasts) if lasts < suspicion::HOLDER_GRACE => {
            info!(group = %group.id, %server, silent_ms = lasts.as_millis() as u64, "leader: left to its holder");
            group.suspicion.borrow_mut().reset_silence();
            group.probed.set(false);
            return;
        }
        _ => monoio::time::sleep(stagger_delay(&host, &group)).await,
    }
    if group.leader().as_ref() != Some(&server) {
        group.probed.set(false);
        return;
    }
    let replicas = host.servers(&group.id);
    let replicas = replicas.iter().filter(|pool| !Rc::ptr_eq(pool, &leader));
    let replicas = replicas.filter(|pool| !placement::is_forbidden(&host, pool));
    let replicas: Vec<_> = replicas.collect();
    let ask = async || {
        let asks = replicas.iter().map(|pool| status(&host, pool, suspicion::PROBE_TIMEOUT));
        for status in future::join_all(asks).await.into_iter().flatten() {
            group.suspicion.borrow_mut().received(status.received, host.now());
        }
    };
    // Asked twice, so that the second answer shows whether they stand still.
    let asks = async {
        let again = monoio::time::Instant::now() + suspicion::REPLICA_STALL_TIMEOUT;
        ask().await;
        monoio::time::sleep_until(again).await;
        ask().await;
    };
    // At the same time: how long replicas stand still counts from the first answer.
    let (answer, ()) = monoio::join!(status(&host, &leader, suspicion::PROBE_TIMEOUT), asks);
    let now = host.now();
    match answer {
        Ok(_) | Err(StatusError::Busy) => group.suspicion.borrow_mut().answered(),
        Err(StatusError::Refused) => group.suspicion.borrow_mut().refused(now),
        Err(StatusError::Silent) => {
            group.suspicion.borrow_mut().silent(since);
            let advice = group.suspicion.borrow().advice(now);
            info!(group = %group.id, %server, ?advice, "leader: silent");
        }
    }
    group.probed.set(false);
}

/// How long ago a server last answered the host that holds its connections; `None` where
/// this host holds them itself, that host says nothing, or the server never answered it.
///
/// Guards against hosts that take a long queue for a silent server: each of their questions
/// takes a connection and a slot of a server that has none to spare.
async fn told_by_holder(host: &Host, pool: &Pool) -> Option<Duration> {
    let link = host.holder(pool)?;
    let question = Question::LastContact(pool.listed.borrow().id.clone());
    match link.query(question, HOLDER_WITHIN).await {
        Ok(Answer::LastContact(lasts)) => lasts,
        _ => None,
    }
}

/// How much later than the first hosts this one acts on a group's leader.
fn stagger_delay(host: &Host, group: &Group) -> Duration {
    let held = host.held.borrow();
    let hosts: Vec<_> = held.view().members.keys().cloned().collect();
    let order = rendezvous::order(group.id.as_str(), &hosts);
    let rank = order.iter().position(|id| **id == host.settings.host);
    suspicion::stagger_delay(rank.unwrap_or(hosts.len()))
}

/// Why a server has not told how it stands.
pub enum StatusError {
    /// It answered, but has no capacity for the question.
    Busy,
    /// Its process does not run.
    Refused,
    /// Nothing came back in time.
    Silent,
}

/// Asks a server how it stands, on a connection of its own.
pub async fn status(host: &Host, pool: &Pool, within: Duration) -> Result<Status, StatusError> {
    let listed = pool.listed.borrow().clone();
    let account = any_account(host);
    let ask = async {
        let mut backend = Backend::open(&listed, &account).await.map_err(|error| match error {
            OpenError::Refused => StatusError::Refused,
            _ => StatusError::Silent,
        })?;
        wire::put_status(&mut backend.out);
        let answer = backend.exchange().await.map_err(|_| StatusError::Silent)?;
        wire::decode_status(&answer).ok_or(StatusError::Busy)
    };
    monoio::time::timeout(within, ask).await.unwrap_or(Err(StatusError::Silent))
}

/// Servers want an account's name also for questions of our own.
pub fn any_account(host: &Host) -> AccountId {
    let plan = host.plan();
    let account = plan.as_ref().and_then(|plan| plan.accounts().next().map(|a| a.id.clone()));
    account.unwrap_or_else(|| "-".parse().expect("the name is allowed"))
}

/// The store's clock now, or a few milliseconds later.
pub fn store_now(host: &Host) -> Duration {
    let held = host.held.borrow();
    held.view().clock + held.age(host.now()).unwrap_or_default()
}

/// Takes over a change of leader whose holder is dead or has had its turn.
async fn take_over(
    host: Rc<Host>,
    group: Rc<Group>,
    holder: HostId,
    since: Duration,
    planned: bool,
    from: Option<ServerId>,
) {
    let own = holder == host.settings.host;
    let dead = own || is_dead(&host, &holder).await;
    if dead {
        monoio::time::sleep(DEAD_FOR).await;
    }
    let late = store_now(&host) > since + FAILOVER_TTL + FAILOVER_MARGIN;
    let still = host.held.borrow().leadership(&group.id).is_some_and(
        |row| matches!(&row.value, Leadership::Moving { since: now, .. } if *now == since),
    );
    if still && (late || dead) {
        info!(group = %group.id, %holder, late, dead, "leader: the change is taken over");
        start(&host, &group, from, planned, "the change was not brought to its end");
    } else {
        monoio::time::sleep(DEAD_FOR).await;
    }
    group.probed.set(false);
}

/// Whether no process of the host runs: its machine refuses connections.
pub async fn is_dead(host: &Host, id: &HostId) -> bool {
    let Some(peer) = host.peer(id) else { return false };
    let dial = monoio::time::timeout(DIAL_WITHIN, TcpStream::connect(peer)).await;
    matches!(dial, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

fn start(
    host: &Rc<Host>,
    group: &Rc<Group>,
    from: Option<ServerId>,
    planned: bool,
    why: &'static str,
) {
    group.moved.set(true);
    let from_text = from.as_ref().map(tracing::field::display);
    info!(group = %group.id, from = from_text, planned, why, "leader: to be replaced");
    let (host, group) = (host.clone(), group.clone());
    // What was decided was decided on this row: when another host has written its
    // intent meanwhile, this one's must not be written over it.
    let before = host.held.borrow().leadership(&group.id).cloned();
    monoio::spawn(async move {
        // Hosts notice together; the first to write the intent makes the change.
        let pause = stagger_delay(&host, &group) + Duration::from_millis(rand::random_range(0..40));
        monoio::time::sleep(pause).await;
        let version = host.held.borrow().leadership(&group.id).map(|row| row.version);
        if version != before.as_ref().map(|row| row.version) {
            info!(group = %group.id, "leader: another host replaces it");
            group.moved.set(false);
            return;
        }
        let change = Move::begin(&host, &group, before, from, planned).await;
        match change {
            Ok(Some(change)) => {
                if let Err(error) = change.run(&host, &group).await {
                    warn!(group = %group.id, error = %format_args!("{error:#}"), "leader: not replaced");
                }
            }
            Ok(None) => info!(group = %group.id, "leader: another host replaces it"),
            Err(error) => {
                let error = format_args!("{error:#}");
                info!(group = %group.id, %error, "leader: the intent was not written");
            }
        }
        host.look.notify_one();
        monoio::time::sleep(LOOK_EVERY).await;
        group.moved.set(false);
    });
}
