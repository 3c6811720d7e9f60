//! One exchange at the home: one task, straight down.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{Reason, Refusal, Term, fair::Ticket};
use bergamottrack_metrics::Timing;
use bergamottrack_peer::{HomeSide, Intent, Open, ToEntry, ToHome, message::Standing};
use bytes::Bytes;
use tracing::debug;

use crate::{
    backend,
    batch::Batch,
    group::{COME_BACK, GroupHome},
    pool::Taken,
    queue::{NoSlot, Slot},
    route::Need,
    server::Server,
    turn::{Failure, Turn},
};

/// Before a server that could not be connected to is chosen again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

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
    home.retries.borrow_mut().earn();
    let ticket = Ticket { account: open.account.clone(), weight, deadline, urgent: false };
    loop {
        let Err(failure) = attempt(home, open, side, &ticket).await else { return Ok(()) };
        let in_time = home.clock.now() < deadline;
        if !failure.again || !in_time || !home.retries.borrow_mut().spend() {
            return Err(failure.refusal);
        }
    }
}

async fn attempt(
    home: &GroupHome,
    open: &Open,
    side: &mut HomeSide,
    ticket: &Ticket,
) -> Result<(), Failure> {
    let mut arrived = home.clock.now();
    let place = place(home, &open.intent, ticket).await?;
    let mut placed = home.clock.now();
    let Place { server, term, need, mut slot, mut taken } = place;
    let deadline = ticket.deadline;
    let intent = &open.intent;
    let mut turn =
        Turn { home, server, term, intent, need, since: arrived, within: false, deadline };
    let mut batch = Batch::new(open.frames.clone());
    loop {
        let (standing, answer) = turn.run(&mut taken.conn, side, &batch, slot).await?;
        turn.finish(side, standing, answer).await?;
        let wait = placed.saturating_duration_since(arrived);
        let service = home.clock.now().saturating_duration_since(placed);
        home.metrics.served(&open.account, &home.id, Timing { wait, service });
        if standing == Standing::Idle {
            taken.give_back();
            return Ok(());
        }
        turn.within = true;
        match next_batch(&turn, side).await? {
            Some((more, until)) => (batch, turn.deadline) = (Batch::new(more), until),
            None => return Ok(()),
        }
        arrived = home.clock.now();
        let ticket = Ticket { urgent: true, deadline: turn.deadline, ..ticket.clone() };
        slot = take_slot(home, server, &ticket).await?;
        placed = home.clock.now();
    }
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
            Err(NoSlot::Hopeless(hopeless)) => {
                return Err(overloaded(home, ticket, hopeless.retry));
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
            Err(refusal) if home.clock.now() + RETRY_PAUSE >= deadline => return Err(refusal),
            Err(_) => monoio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// A slot for the next statement of an open transaction.
async fn take_slot(home: &GroupHome, server: &Server, ticket: &Ticket) -> Result<Slot, Refusal> {
    server.slots.acquire(ticket).await.map_err(|no_slot| match no_slot {
        NoSlot::Hopeless(hopeless) => overloaded(home, ticket, hopeless.retry),
        NoSlot::Lost => {
            let message = "the server was lost; the transaction is rolled back";
            Refusal::not_run(Reason::Lost, Some(COME_BACK), message)
        }
    })
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
        Refusal::not_run(Reason::Unavailable, Some(COME_BACK), format!("{error:#}"))
    })
}

/// Waits for the next messages of an open transaction; `None` when the caller is gone.
async fn next_batch(
    turn: &Turn<'_>,
    side: &mut HomeSide,
) -> Result<Option<(Bytes, Instant)>, Refusal> {
    let home = turn.home;
    let idle = home.clock.now() + home.idle();
    loop {
        let item = monoio::select! {
            item = side.recv() => item,
            _ = home.unfit(turn.server, turn.intent, turn.term) => {
                let message = "the server was lost or replaced; the transaction is rolled back";
                return Err(Refusal::not_run(Reason::Lost, Some(COME_BACK), message));
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
