//! Asking replicas whether they have received what the leader acknowledged.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    rc::Rc,
    time::Duration,
};

use bergamottrack_adapter::wire;
use bergamottrack_coordination::{
    Point, ServerId,
    confirm::{CONFIRM_WITHIN, Confirm, Heard, Verdict},
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
    conn::{self, Broken},
    group::Group,
    host::Host,
    lead, placement,
    pool::{NoConnection, Pool},
};

/// How long one replica's answer is waited for. As long as a commit waits: giving the
/// question up earlier closes its connection, and a new one takes a slot of a server
/// that has none to spare for longer than the question does.
const ASK_WITHIN: Duration = CONFIRM_WITHIN;

/// How long the answer by way of another host is waited for: half of the time that a commit
/// has, so that this host can still ask by itself.
const HOLDER_WITHIN: Duration = Duration::from_millis(200);

/// Pause before a replica is asked again that lacks a commit: the way of a commit
/// between two failure domains.
const AGAIN_AFTER: Duration = Duration::from_millis(3);

/// How long one replica is given before the next one is asked too: longer than a
/// usual statement there may keep the question waiting.
const NEXT_AFTER: Duration = Duration::from_millis(40);

/// Pause before a replica is asked again while none receives and no commit waits.
const STUCK_EVERY: Duration = Duration::from_millis(100);

/// What is known of the replicas of a group, and who waits for them.
#[derive(Default)]
pub struct Receipts {
    /// What is known.
    pub state: RefCell<Confirm>,
    waiting: Cell<usize>,
    /// Replicas that are being asked.
    asking: RefCell<HashSet<ServerId>>,
    heard: Notify,
}

impl Receipts {
    /// Another server leads: what was known of the former one's replicas is void.
    pub fn reset(&self) {
        *self.state.borrow_mut() = Confirm::default();
        self.heard.notify_waiters();
    }
}

/// Waits until a second server holds a commit of the group's leader; why not, if
/// that cannot be shown in time.
pub async fn wait(host: &Rc<Host>, group: &Rc<Group>, commit: Point) -> Result<(), &'static str> {
    let receipts = &group.receipts;
    let (began, until) = (host.now(), Instant::now() + CONFIRM_WITHIN);
    receipts.waiting.set(receipts.waiting.get() + 1);
    let mut asked = 1;
    let verdict = loop {
        let replicas = replicas(host, group);
        let names: Vec<_> = replicas.iter().map(|(id, _)| id.clone()).collect();
        let verdict = receipts.state.borrow_mut().verdict(commit, &names, began, host.now());
        if verdict != Verdict::Wait {
            break verdict;
        }
        for (id, pool) in replicas.into_iter().take(asked) {
            if receipts.asking.borrow_mut().insert(id.clone()) {
                monoio::spawn(ask(host.clone(), group.clone(), id, pool));
            }
        }
        let next = until.min(Instant::now() + NEXT_AFTER);
        let heard = monoio::time::timeout_at(next, receipts.heard.notified()).await;
        asked += usize::from(heard.is_err());
    };
    receipts.waiting.set(receipts.waiting.get() - 1);
    match verdict {
        Verdict::Unknown => {
            info!(group = %group.id, %commit, "replicas: none shows that it holds a commit");
            Err("no replica shows that it holds the commit")
        }
        Verdict::Alone => {
            info!(group = %group.id, %commit, "replicas: none is there or free, the leader's word counts");
            Ok(())
        }
        Verdict::Held | Verdict::Wait => Ok(()),
    }
}

/// The servers of a group that do not lead it, the one to be asked first at the front.
fn replicas(host: &Host, group: &Group) -> Vec<(ServerId, Rc<Pool>)> {
    let leader = group.leader();
    let servers = host.servers(&group.id).into_iter();
    let servers =
        servers.filter(|pool| placement::of(host, pool) == evacuation::Placement::Allowed);
    let named = servers.map(|pool| (pool.listed.borrow().id.clone(), pool.clone()));
    let mut replicas: Vec<_> = named.filter(|(id, _)| Some(id) != leader.as_ref()).collect();
    replicas.sort_by_key(|(_, pool)| {
        let far = pool.listed.borrow().domain != host.settings.domain;
        (pool.is_cold(host.now()), pool.wait(0, ASK_WITHIN, host.now()), far)
    });
    replicas
}

/// Asks a replica, as long as commits wait or none of the replicas receives.
async fn ask(host: Rc<Host>, group: Rc<Group>, id: ServerId, pool: Rc<Pool>) {
    let receipts = &group.receipts;
    loop {
        let waiting = receipts.waiting.get() > 0;
        let stuck = receipts.state.borrow().is_stuck();
        let replica = group.leader().is_some_and(|leader| leader != id);
        if !(waiting || stuck) || !replica || host.server(&id).is_none() {
            break;
        }
        let before = receipts.state.borrow().clone();
        let heard = received(&host, &pool).await;
        receipts.state.borrow_mut().hear(&id, heard, host.now());
        receipts.heard.notify_waiters();
        let news = matches!(heard, Heard::Received(point) if !before.covers(point));
        // Those that were waited for are told before it is known who still waits.
        let pause = match (news, waiting) {
            (true, _) => Duration::ZERO,
            (false, true) => AGAIN_AFTER,
            (false, false) => STUCK_EVERY,
        };
        monoio::time::sleep(pause).await;
    }
    receipts.asking.borrow_mut().remove(&id);
}

/// Asks a replica how far it has received.
async fn received(host: &Host, pool: &Rc<Pool>) -> Heard {
    let until = Instant::now() + ASK_WITHIN;
    let asked = async {
        let answer = match status_far(host, pool, until).await {
            Some(told) => told?,
            None => status_own(host, pool, until).await?,
        };
        let status = wire::decode_status(&answer).ok_or(Heard::Busy)?;
        // One that says it leads is the new leader, or an old one: no replica.
        Ok(if status.role == Role::Replica {
            Heard::Received(status.received)
        } else {
            Heard::Busy
        })
    };
    let told = monoio::time::timeout_at(until, asked).await;
    told.unwrap_or(Err(Heard::Silent)).unwrap_or_else(|heard| heard)
}

/// Asks on a connection that another host holds; `None` where that host is out of reach.
///
/// Guards against a connection of this host's own for every commit: opening it takes a slot
/// of the replica for longer than the question.
async fn status_far(
    host: &Host,
    pool: &Rc<Pool>,
    until: Instant,
) -> Option<Result<ServerAnswer, Heard>> {
    let link = host.connect_holder(pool).await?;
    let mut line = BytesMut::new();
    wire::put_status(&mut line);
    let within = until.saturating_duration_since(Instant::now()).min(HOLDER_WITHIN);
    match conn::ask_far(&link, pool, line.freeze(), within).await {
        Ok(answer) => Some(Ok(answer)),
        Err(Broken::NotSent(NotSent::Dead)) => Some(Err(Heard::Dead)),
        Err(Broken::NotSent(NotSent::Full | NotSent::Rejected)) => Some(Err(Heard::Busy)),
        Err(Broken::NotSent(NotSent::Silent)) => Some(Err(Heard::Silent)),
        Err(_) => None,
    }
}

/// Asks on a connection of this host's own.
async fn status_own(host: &Host, pool: &Rc<Pool>, until: Instant) -> Result<ServerAnswer, Heard> {
    let leased = pool.lease_any(&lead::any_account(host), until).await;
    let mut leased = leased.map_err(|error| match error {
        NoConnection::Full => Heard::Busy,
        NoConnection::Open(OpenError::Refused) => Heard::Dead,
        NoConnection::Open(OpenError::Rejected(_)) => Heard::Busy,
        NoConnection::Open(OpenError::Silent(_)) => Heard::Silent,
    })?;
    let backend = leased.backend();
    wire::put_status(&mut backend.out);
    let answer = backend.exchange().await.map_err(|_| Heard::Silent)?;
    if leased.backend().is_clean(&answer) {
        leased.give_back();
    }
    Ok(answer)
}
