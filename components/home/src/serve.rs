//! Serving of an exchange at the home: one transaction, or one statement outside of a
//! transaction, in a task of its own.

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
    execution::{Answer, Execution, Failure},
    group::{GroupHome, RETRY_DELAY},
    outcome::{self, AttemptGuard, RequestKey},
    pool::{self, PooledConn},
    queue::{Slot, SlotError},
    route::Requirement,
    server::Server,
};

/// Delay before the next selection of a server after a connection could not be made.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time for which an open transaction keeps its slot while its caller sends nothing.
const IDLE_SLOT_TTL: Duration = Duration::from_millis(50);

/// Serves an exchange to its end; `weight` is the account's weight in the queue.
pub async fn serve(home: Rc<GroupHome>, open: Open, weight: u32, mut side: HomeSide) {
    let _active = home.begin_exchange();
    if let Err(refusal) = run_with_retries(&home, &open, weight, &mut side).await {
        debug!("home: group {}: {refusal}.", home.id);
        side.send(ToEntry::Refused(refusal));
    }
}

/// Runs an exchange. A read whose server was lost runs again on another server, within the
/// deadline and the retry budget; a request with an id whose fate is unknown is resolved.
async fn run_with_retries(
    home: &GroupHome,
    open: &Open,
    weight: u32,
    side: &mut HomeSide,
) -> Result<(), Refusal> {
    let deadline = home.clock.now() + open.budget;
    home.retries.borrow_mut().deposit();
    let ticket = Ticket { account: open.account.clone(), weight, deadline, urgent: false };
    loop {
        let Err(failure) = run_once(home, open, side, &ticket).await else { return Ok(()) };
        if let Some(key) = request_key(open).filter(|_| failure.refusal.fate == Fate::Unknown) {
            return Err(outcome::resolve_refusal(home, &key, failure.refusal, deadline).await);
        }
        let in_time = home.clock.now() < deadline;
        if !failure.retryable || !in_time || !home.retries.borrow_mut().withdraw() {
            return Err(failure.refusal);
        }
    }
}

/// Returns the key of a request that must run at most once; `None` for a read, which may run
/// again.
fn request_key(open: &Open) -> Option<RequestKey> {
    let request = open.request.clone().filter(|_| open.intent == Intent::Write)?;
    Some(RequestKey { account: open.account.clone(), request })
}

/// Runs an exchange once, on one server.
async fn run_once(
    home: &GroupHome,
    open: &Open,
    side: &mut HomeSide,
    ticket: &Ticket,
) -> Result<(), Failure> {
    let guard = request_key(open).map(|key| AttemptGuard::begin(home, key)).transpose()?;
    let mut arrived = home.clock.now();
    let target = acquire_target(home, &open.intent, ticket).await?;
    let mut acquired = home.clock.now();
    let Target { server, term, requirement, slot, mut pooled } = target;
    let mut slot = Some(slot);
    let deadline = ticket.deadline;
    let intent = &open.intent;
    let mut exec = Execution {
        home,
        server,
        term,
        intent,
        requirement,
        arrived,
        in_transaction: false,
        deadline,
    };
    let mut batch = Batch::new(open.frames.clone());
    let mut first = guard.as_ref();
    loop {
        let (standing, answer) = match first.take() {
            Some(guard) => {
                run_first_batch(guard, &mut exec, &mut pooled.conn, side, &batch).await?
            }
            None => exec.run(&mut pooled.conn, side, &batch).await?,
        };
        if standing == TransactionState::Idle {
            // The slot is free for other requests while a write waits for its confirmation.
            slot = None;
        }
        exec.finish(side, standing, answer).await?;
        let wait = acquired.saturating_duration_since(arrived);
        let service = home.clock.now().saturating_duration_since(acquired);
        home.metrics.served(&open.account, &home.id, Timing { wait, service });
        if standing == TransactionState::Idle {
            pooled.release();
            return Ok(());
        }
        exec.in_transaction = true;
        match next_batch(&exec, side, &mut slot).await? {
            Some((more, until)) => (batch, exec.deadline) = (Batch::new(more), until),
            None => return Ok(()),
        }
        arrived = home.clock.now();
        slot.get_or_insert_with(|| server.slots.force(&ticket.account));
        acquired = home.clock.now();
    }
}

/// Runs the first batch of a request with an id, and writes the row of its id.
///
/// A statement outside of a transaction is wrapped in one. In a transaction that the caller
/// begins with a batch of its own, the row is written directly after the begin.
async fn run_first_batch(
    guard: &AttemptGuard<'_>,
    exec: &mut Execution<'_>,
    conn: &mut Conn,
    side: &mut HomeSide,
    batch: &Batch,
) -> Result<(TransactionState, Answer), Failure> {
    let claim = guard.plan(exec, conn).await?;
    guard.check_entry_waits(exec, side).await?;
    if batch.only_begins() {
        let (standing, answer) = exec.run(conn, side, batch).await?;
        if standing == TransactionState::Open {
            guard.write_row(exec, conn, &claim).await?;
        }
        return Ok((standing, answer));
    }
    guard.begin_transaction(exec, conn, &claim).await?;
    exec.in_transaction = true;
    let (mut standing, mut answer) = exec.run(conn, side, batch).await?;
    if !batch.begins() {
        standing = guard.end_transaction(exec, conn, standing, &mut answer).await?;
    }
    Ok((standing, answer))
}

/// Backend server selected for an exchange, with a slot and a connection.
pub struct Target<'a> {
    /// Backend server.
    pub server: &'a Server,
    /// Term of the server when it was selected.
    pub term: Term,
    /// Requirement that the answer must meet.
    pub requirement: Requirement,
    /// Slot for one running statement.
    pub slot: Slot,
    /// Connection to the server.
    pub pooled: PooledConn<'a>,
}

/// Selects a server and acquires a slot and a connection. Nothing has been sent to a server
/// while the exchange waits, so it selects again if the primary changes.
pub async fn acquire_target<'a>(
    home: &'a GroupHome,
    intent: &Intent,
    ticket: &Ticket,
) -> Result<Target<'a>, Refusal> {
    let deadline = ticket.deadline;
    loop {
        let server = home.route(intent, deadline).await?;
        let server = home.own_server(&server);
        let term = server.last_status.get().map(|status| status.term).unwrap_or_default();
        let slot = monoio::select! {
            slot = server.slots.acquire(ticket) => slot,
            _ = home.wait_unusable(server, intent, term) => continue,
        };
        let slot = match slot {
            Ok(slot) => slot,
            Err(SlotError::Lost) => continue,
            Err(SlotError::Infeasible(infeasible)) => {
                return Err(overloaded(home, ticket, infeasible.retry));
            }
        };
        // The point required by a maximum age may have advanced during the wait for the slot.
        let primary = server.last_status.get().is_some_and(|status| status.leads());
        let (false, Some(requirement)) =
            (home.is_unusable(server, intent, term), home.requirement(intent, primary))
        else {
            continue;
        };
        match connect(home, server, deadline).await {
            Ok(pooled) => return Ok(Target { server, term, requirement, slot, pooled }),
            Err(refusal)
                if refusal.reason == Reason::Overload
                    || home.clock.now() + CONNECT_RETRY_DELAY >= deadline =>
            {
                return Err(refusal);
            }
            Err(_) => monoio::time::sleep(CONNECT_RETRY_DELAY).await,
        }
    }
}

/// Returns the refusal of a request that cannot get a slot before its deadline.
fn overloaded(home: &GroupHome, ticket: &Ticket, retry: Duration) -> Refusal {
    let message = format!("group {} is too busy for account {}", home.id, ticket.account);
    Refusal::not_run(Reason::Overload, Some(retry), message)
}

/// Acquires a connection, within the deadline and the silence timeout.
async fn connect<'a>(
    home: &GroupHome,
    server: &'a Server,
    deadline: Instant,
) -> Result<PooledConn<'a>, Refusal> {
    let left = deadline.saturating_duration_since(home.clock.now());
    let timeout = left.min(home.silence_timeout());
    server.pool.acquire(&server.contract, &home.id, timeout).await.map_err(|error| {
        if backend::is_process_gone(&error) {
            server.record_refusal(home.clock.now());
        }
        let full = error.is::<pool::Full>();
        let reason = if full { Reason::Overload } else { Reason::Unavailable };
        Refusal::not_run(reason, Some(RETRY_DELAY), format!("{}: {error:#}", server.contract.id))
    })
}

/// Waits for the next messages of an open transaction and their deadline; returns `None` if the
/// caller is gone.
///
/// The slot is released if the caller sends nothing for [`IDLE_SLOT_TTL`]; otherwise five idle
/// callers would block their server.
async fn next_batch(
    exec: &Execution<'_>,
    side: &mut HomeSide,
    slot: &mut Option<Slot>,
) -> Result<Option<(Bytes, Instant)>, Refusal> {
    let home = exec.home;
    let idle_deadline = home.clock.now() + home.idle_timeout();
    let slot_expiry = home.clock.now() + IDLE_SLOT_TTL;
    loop {
        let item = monoio::select! {
            item = side.recv() => item,
            _ = home.wait_unusable(exec.server, exec.intent, exec.term) => {
                let message = "the server was lost or replaced; the transaction is rolled back";
                return Err(Refusal::not_run(Reason::Lost, Some(RETRY_DELAY), message));
            }
            _ = monoio::time::sleep_until(slot_expiry.into()), if slot.is_some() => {
                *slot = None;
                continue;
            }
            _ = monoio::time::sleep_until(idle_deadline.into()) => {
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
