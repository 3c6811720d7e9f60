//! One exchange at the home: one task, straight down.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{Fate, Reason, Refusal, Term, fair::Ticket};
use bergamottrack_metrics::Timing;
use bergamottrack_peer::{HomeSide, Intent, Open, ToEntry, ToHome, message::TransactionState};
use bytes::Bytes;
use tracing::debug;

use crate::{
    backend::{self, Conn},
    batch::Batch,
    group::{COME_BACK, GroupHome},
    outcome::{self, Key, Running},
    pool::{self, Taken},
    queue::{NoSlot, Slot},
    route::Need,
    server::Server,
    turn::{Answer, Failure, Turn},
};

/// Before a server that could not be connected to is chosen again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// How long an open transaction keeps its slot while its caller thinks.
const KEEP_SLOT: Duration = Duration::from_millis(50);

/// Serves an exchange to its end; `weight` is its account's share beside others.
pub async fn serve(home: Rc<GroupHome>, open: Open, weight: u32, mut side: HomeSide) {
    let _active = home.enter();
    if let Err(refusal) = run(&home, &open, weight, &mut side).await {
        debug!("home: group {}: {refusal}.", home.id);
        side.send(ToEntry::Refused(refusal));
    }
}

/// Runs an exchange; a read whose server was lost runs again on another one,
/// within the deadline and the budget of retries.
async fn run(
    home: &GroupHome,
    open: &Open,
    weight: u32,
    side: &mut HomeSide,
) -> Result<(), Refusal> {
    let deadline = home.clock.now() + open.budget;
    home.retries.borrow_mut().deposit();
    let ticket = Ticket { account: open.account.clone(), weight, deadline, urgent: false };
    loop {
        let Err(failure) = attempt(home, open, side, &ticket).await else { return Ok(()) };
        if let Some(key) = key(open).filter(|_| failure.refusal.fate == Fate::Unknown) {
            return Err(outcome::settle(home, &key, failure.refusal, deadline).await);
        }
        let in_time = home.clock.now() < deadline;
        if !failure.again || !in_time || !home.retries.borrow_mut().withdraw() {
            return Err(failure.refusal);
        }
    }
}

/// The request's id, if it must run at most once. A read may run again.
fn key(open: &Open) -> Option<Key> {
    let request = open.request.clone().filter(|_| open.intent == Intent::Write)?;
    Some(Key { account: open.account.clone(), request })
}

async fn attempt(
    home: &GroupHome,
    open: &Open,
    side: &mut HomeSide,
    ticket: &Ticket,
) -> Result<(), Failure> {
    let running = key(open).map(|key| Running::begin(home, key)).transpose()?;
    let mut arrived = home.clock.now();
    let place = place(home, &open.intent, ticket).await?;
    let mut placed = home.clock.now();
    let Place { server, term, need, slot, mut taken } = place;
    let mut slot = Some(slot);
    let deadline = ticket.deadline;
    let intent = &open.intent;
    let mut turn =
        Turn { home, server, term, intent, need, since: arrived, within: false, deadline };
    let mut batch = Batch::new(open.frames.clone());
    let mut first = running.as_ref();
    loop {
        let (standing, answer) = match first.take() {
            Some(running) => claimed(running, &mut turn, &mut taken.conn, side, &batch).await?,
            None => turn.run(&mut taken.conn, side, &batch).await?,
        };
        if standing == TransactionState::Idle {
            // While a write is confirmed the server works for others.
            slot = None;
        }
        turn.finish(side, standing, answer).await?;
        let wait = placed.saturating_duration_since(arrived);
        let service = home.clock.now().saturating_duration_since(placed);
        home.metrics.served(&open.account, &home.id, Timing { wait, service });
        if standing == TransactionState::Idle {
            taken.give_back();
            return Ok(());
        }
        turn.within = true;
        match next_batch(&turn, side, &mut slot).await? {
            Some((more, until)) => (batch, turn.deadline) = (Batch::new(more), until),
            None => return Ok(()),
        }
        arrived = home.clock.now();
        slot.get_or_insert_with(|| server.slots.force(&ticket.account));
        placed = home.clock.now();
    }
}

/// Runs the first batch of a request with an id, which writes the id's row.
///
/// A statement outside of any transaction gets one of its own around it; a
/// transaction that the caller begins itself has the row right after its begin.
async fn claimed(
    running: &Running<'_>,
    turn: &mut Turn<'_>,
    conn: &mut Conn,
    side: &mut HomeSide,
    batch: &Batch,
) -> Result<(TransactionState, Answer), Failure> {
    let claim = running.plan(turn, conn).await?;
    running.is_wanted(turn, side).await?;
    if batch.only_begins() {
        let (standing, answer) = turn.run(conn, side, batch).await?;
        if standing == TransactionState::Open {
            running.claim(turn, conn, &claim).await?;
        }
        return Ok((standing, answer));
    }
    running.open(turn, conn, &claim).await?;
    turn.within = true;
    let (mut standing, mut answer) = turn.run(conn, side, batch).await?;
    if !batch.begins() {
        standing = running.close(turn, conn, standing, &mut answer).await?;
    }
    Ok((standing, answer))
}

/// Where an exchange runs.
pub struct Place<'a> {
    /// The server.
    pub server: &'a Server,
    /// Its term when it was chosen.
    pub term: Term,
    /// What its answer must show.
    pub need: Need,
    /// One of the statements that may run on it at once.
    pub slot: Slot,
    /// A connection to it.
    pub taken: Taken<'a>,
}

/// Finds a server with a slot and a connection. Nothing is sent to it yet, so
/// what waits when the primary changes is simply placed anew.
pub async fn place<'a>(
    home: &'a GroupHome,
    intent: &Intent,
    ticket: &Ticket,
) -> Result<Place<'a>, Refusal> {
    let deadline = ticket.deadline;
    loop {
        let server = home.route(intent, deadline).await?;
        let server = home.own(&server);
        let term = server.last.get().map(|status| status.term).unwrap_or_default();
        let slot = monoio::select! {
            slot = server.slots.acquire(ticket) => slot,
            _ = home.unfit(server, intent, term) => continue,
        };
        let slot = match slot {
            Ok(slot) => slot,
            Err(NoSlot::Lost) => continue,
            Err(NoSlot::Infeasible(infeasible)) => {
                return Err(overloaded(home, ticket, infeasible.retry));
            }
        };
        // It may have waited: what it needs of a stated age has moved on.
        let primary = server.last.get().is_some_and(|status| status.leads());
        let (false, Some(need)) = (home.is_unfit(server, intent, term), home.need(intent, primary))
        else {
            continue;
        };
        match connect(home, server, deadline).await {
            Ok(taken) => return Ok(Place { server, term, need, slot, taken }),
            Err(refusal)
                if refusal.reason == Reason::Overload
                    || home.clock.now() + RETRY_PAUSE >= deadline =>
            {
                return Err(refusal);
            }
            Err(_) => monoio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

fn overloaded(home: &GroupHome, ticket: &Ticket, retry: Duration) -> Refusal {
    let message = format!("group {} is too busy for account {}", home.id, ticket.account);
    Refusal::not_run(Reason::Overload, Some(retry), message)
}

async fn connect<'a>(
    home: &GroupHome,
    server: &'a Server,
    deadline: Instant,
) -> Result<Taken<'a>, Refusal> {
    let left = deadline.saturating_duration_since(home.clock.now());
    let within = left.min(home.silence());
    server.pool.take(&server.contract, &home.id, within).await.map_err(|error| {
        if backend::is_refusal(&error) {
            server.note_refused(home.clock.now());
        }
        let full = error.is::<pool::Full>();
        let reason = if full { Reason::Overload } else { Reason::Unavailable };
        Refusal::not_run(reason, Some(COME_BACK), format!("{}: {error:#}", server.contract.id))
    })
}

/// Waits for the next messages of an open transaction; `None` when the caller is gone.
///
/// A caller that thinks for long gives its slot back meanwhile: five of them
/// would otherwise stop their server.
async fn next_batch(
    turn: &Turn<'_>,
    side: &mut HomeSide,
    slot: &mut Option<Slot>,
) -> Result<Option<(Bytes, Instant)>, Refusal> {
    let home = turn.home;
    let idle = home.clock.now() + home.idle();
    let keep = home.clock.now() + KEEP_SLOT;
    loop {
        let item = monoio::select! {
            item = side.recv() => item,
            _ = home.unfit(turn.server, turn.intent, turn.term) => {
                let message = "the server was lost or replaced; the transaction is rolled back";
                return Err(Refusal::not_run(Reason::Lost, Some(COME_BACK), message));
            }
            _ = monoio::time::sleep_until(keep.into()), if slot.is_some() => {
                *slot = None;
                continue;
            }
            _ = monoio::time::sleep_until(idle.into()) => {
                let message = "the transaction stood idle too long and was rolled back";
                return Err(Refusal::not_run(Reason::Deadline, None, message));
            }
        };
        match item {
            Some(ToHome::More { frames, budget }) => {
                return Ok(Some((frames, home.clock.now() + budget)));
            }
            Some(ToHome::Credit(_) | ToHome::Cancel) => {}
            Some(ToHome::Close) | None => return Ok(None),
        }
    }
}
