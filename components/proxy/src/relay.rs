//! Running other hosts' statements on the connections that this host holds.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::HostId;
use bergamottrack_model::{ServerAnswer, State};
use bergamottrack_peer::{
    Answer, Errand, NotSent, Relayed, WorkNo,
    accept::{Replier, Watch},
};
use tracing::info;

use crate::{
    conn,
    host::{Host, Phase},
    lead, placement,
    pool::{Leased, Permit, Pool},
};

/// How long a transaction of another host may rest here, where the configuration says
/// nothing: its own host ends it sooner. This is for hosts that vanish.
const RESTS_FOR: Duration = Duration::from_secs(10);

/// How much longer than its own host would let it rest.
const RESTS_LONGER: Duration = Duration::from_secs(2);

/// A transaction of another host, between two of its statements.
struct Resting {
    leased: Leased,
    since: Instant,
    /// The link that its statements come by.
    watch: Watch,
}

/// Transactions of other hosts on connections of this one.
#[derive(Default)]
pub struct Works {
    resting: RefCell<HashMap<(HostId, WorkNo), Resting>>,
    /// Transactions given up while a statement of them was under way, and when.
    given_up: RefCell<HashMap<(HostId, WorkNo), Instant>>,
}

impl Works {
    /// Transactions that rest here.
    pub fn count(&self) -> usize {
        self.resting.borrow().len()
    }

    /// Closes the connections of transactions whose host has gone or forgotten them, and of
    /// those at servers to which nothing may be sent any more.
    ///
    /// Guards against a host that dies within a transaction: its locks would be held
    /// for as long as this host lives.
    pub fn sweep(
        &self,
        limit: Option<Duration>,
        now: Instant,
        is_forbidden: impl Fn(&Pool) -> bool,
    ) {
        let limit = limit.map_or(RESTS_FOR, |limit| limit + RESTS_LONGER);
        self.resting.borrow_mut().retain(|(host, work), resting| {
            let why = if !resting.watch.is_open() || now.duration_since(resting.since) >= limit {
                "its host is gone"
            } else if is_forbidden(resting.leased.pool()) {
                "its server's failure domain is evacuated"
            } else {
                return true;
            };
            info!(%host, work, why, "relay: a transaction is closed");
            false
        });
        let mut given_up = self.given_up.borrow_mut();
        given_up.retain(|_, since| now.duration_since(*since) < limit);
    }

    /// Closes the connection of a transaction; once its answer is there, if a statement
    /// of it is under way.
    pub fn hang(&self, host: &HostId, work: WorkNo, now: Instant) {
        let key = (host.clone(), work);
        if self.resting.borrow_mut().remove(&key).is_none() {
            self.given_up.borrow_mut().insert(key, now);
        }
    }

    /// Keeps a transaction's connection, unless it was given up meanwhile.
    fn keep(&self, key: (HostId, WorkNo), resting: Resting) {
        if self.given_up.borrow_mut().remove(&key).is_none() {
            self.resting.borrow_mut().insert(key, resting);
        }
    }
}

/// Runs a statement for another host.
pub async fn serve(host: Rc<Host>, from: HostId, errand: Errand, replier: Replier) {
    let watch = replier.watch();
    let relayed = match begin(&host, &from, &errand).await {
        Ok((leased, permit)) => run(&host, from, errand, leased, permit, watch).await,
        Err(why) => {
            suspect(&host, &errand, why);
            Relayed::NotSent(why)
        }
    };
    replier.reply(Answer::Relayed(relayed));
}

/// Notes what speaks against a leader that took no connection.
///
/// Guards against a leader that closes each connection: other hosts leave it to this one, which
/// has no statements of its own there.
fn suspect(host: &Host, errand: &Errand, why: NotSent) {
    let Some(pool) = host.server(&errand.server) else { return };
    let group = host.group(&pool.listed.borrow().group);
    if group.leader().as_ref() != Some(&errand.server) {
        return;
    }
    match why {
        NotSent::Dead => group.suspicion.borrow_mut().refused(host.now()),
        NotSent::Silent => group.suspicion.borrow_mut().silent(host.now()),
        _ => {}
    }
}

async fn begin(
    host: &Host,
    from: &HostId,
    errand: &Errand,
) -> Result<(Leased, Option<Permit>), NotSent> {
    let pool = host.server(&errand.server).ok_or(NotSent::Unlisted)?;
    if placement::is_forbidden(host, &pool) {
        return Err(NotSent::Evacuated);
    }
    if let Some(work) = errand.work.filter(|_| !errand.opens) {
        let resting = host.remote_transactions.resting.borrow_mut().remove(&(from.clone(), work));
        let resting = resting.ok_or(NotSent::Closed)?;
        let until = monoio::time::Instant::now() + errand.within();
        let permit = pool.go_on(until).await.map_err(conn::crowded)?;
        return Ok((resting.leased, Some(permit)));
    }
    if *host.phase.borrow() == Phase::Closing {
        return Err(NotSent::Leaving);
    }
    let until = monoio::time::Instant::now() + errand.within();
    let Some(account) = &errand.account else {
        let leased = pool.lease_any(&lead::any_account(host), until).await;
        return Ok((leased.map_err(conn::not_sent)?, None));
    };
    let permit = pool.enter(errand.priority, errand.patience(), host.now()).await;
    let permit = permit.map_err(conn::crowded)?;
    let leased = pool.lease(account, &errand.values, until).await;
    let leased = leased.map_err(conn::not_sent)?;
    // It may have waited for its turn and its connection.
    if placement::is_forbidden(host, &pool) {
        return Err(NotSent::Evacuated);
    }
    Ok((leased, Some(permit)))
}

async fn run(
    host: &Host,
    from: HostId,
    errand: Errand,
    mut leased: Leased,
    permit: Option<Permit>,
    watch: Watch,
) -> Relayed {
    let backend = leased.backend();
    if errand.account.is_some() {
        let shape = errand.shape.as_ref();
        backend.put(&errand.values, shape, |out| out.extend_from_slice(&errand.line));
    } else {
        backend.out.extend_from_slice(&errand.line);
    }
    let asked = Instant::now();
    let pool = leased.pool().clone();
    pool.exchanges.borrow_mut().begin(host.now());
    let answer = monoio::time::timeout(errand.within(), leased.backend().exchange()).await;
    pool.exchanges.borrow_mut().end(matches!(answer, Ok(Ok(_))), host.now());
    match answer {
        Ok(Ok(answer)) => {
            if let Some(permit) = permit {
                permit.took.set(Some(asked.elapsed()));
            }
            keep(host, from, &errand, leased, &answer, watch);
            Relayed::Answered(answer)
        }
        Ok(Err(error)) => {
            let error = format_args!("{error:#}");
            info!(server = %errand.server, %from, %error, "relay: connection lost");
            leased.pool().note_lost();
            Relayed::Lost
        }
        Err(_) => {
            silent(leased.pool(), &errand);
            Relayed::Late
        }
    }
}

/// Keeps the connection after an answer: for the transaction, or for other statements.
fn keep(
    host: &Host,
    from: HostId,
    errand: &Errand,
    mut leased: Leased,
    answer: &ServerAnswer,
    watch: Watch,
) {
    let open = errand.work.filter(|_| answer.state != State::Idle);
    match open {
        Some(work) => {
            let resting = Resting { leased, since: host.now(), watch };
            host.remote_transactions.keep((from, work), resting);
        }
        None if leased.backend().is_clean(answer) => leased.give_back(),
        None => {}
    }
}

fn silent(pool: &Pool, errand: &Errand) {
    info!(server = %errand.server, ms = errand.within_ms, "relay: the server did not answer in time");
    pool.drop_idle();
}
