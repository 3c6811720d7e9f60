//! The slots of one server, shared fairly between the client accounts.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{
    AccountId, Clock,
    fair::{FairQueue, Infeasible, Ticket},
};
use tokio::sync::oneshot;

/// First guess of the time that a request has its slot.
const INITIAL_MEAN: Duration = Duration::from_millis(2);

/// How often the queue is searched for requests that wait in vain.
const SHED_INTERVAL: Duration = Duration::from_millis(5);

/// Why a request got no slot. Nothing of it has been sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotError {
    /// It cannot be done before its deadline.
    Infeasible(Infeasible),
    /// The server was lost: another may serve it.
    Lost,
}

type Waiter = oneshot::Sender<Result<Slot, SlotError>>;

/// The slots of one server.
pub struct Slots {
    clock: Rc<dyn Clock>,
    queue: RefCell<FairQueue<Waiter>>,
    last_shed: Cell<Instant>,
}

/// A slot that one request has; dropping it gives it back.
pub struct Slot {
    slots: Rc<Slots>,
    account: AccountId,
    cost: Duration,
    since: Instant,
    received: bool,
}

impl Slots {
    /// So many slots, all free.
    pub fn new(slots: usize, clock: Rc<dyn Clock>) -> Rc<Self> {
        let queue = RefCell::new(FairQueue::new(slots, INITIAL_MEAN));
        let last_shed = Cell::new(clock.now());
        Rc::new(Self { clock, queue, last_shed })
    }

    /// Waits for a slot; a request that would be late is told at once.
    pub async fn acquire(self: &Rc<Self>, ticket: &Ticket) -> Result<Slot, SlotError> {
        let (tx, rx) = oneshot::channel();
        let pushed = self.queue.borrow_mut().push(ticket, self.clock.now(), tx);
        pushed.map_err(|(infeasible, _)| SlotError::Infeasible(infeasible))?;
        self.grant();
        let granted = monoio::time::timeout_at(ticket.deadline.into(), rx).await;
        let mut slot = match granted {
            Ok(Ok(result)) => result?,
            Ok(Err(_)) => return Err(SlotError::Lost),
            Err(_) => {
                let retry = self.queue.borrow().wait(ticket);
                return Err(SlotError::Infeasible(Infeasible { retry }));
            }
        };
        slot.since = self.clock.now();
        slot.received = true;
        Ok(slot)
    }

    /// A slot for the next statement of an open transaction, at once and if need
    /// be beyond the limit: see [`FairQueue::force`].
    pub fn force(self: &Rc<Self>, account: &AccountId) -> Slot {
        let cost = self.queue.borrow_mut().force(account);
        let (slots, account) = (self.clone(), account.clone());
        Slot { slots, account, cost, since: self.clock.now(), received: true }
    }

    /// Requests that wait and requests that run.
    pub fn load(&self) -> (usize, usize) {
        let queue = self.queue.borrow();
        (queue.len(), queue.running())
    }

    /// Tells all that wait that the server is lost.
    pub fn fail_all(&self) {
        let waiting = self.queue.borrow_mut().clear();
        for tx in waiting {
            // A waiter that has gone needs no answer.
            let _ = tx.send(Err(SlotError::Lost));
        }
    }

    fn grant(self: &Rc<Self>) {
        loop {
            let Some(granted) = self.queue.borrow_mut().pop() else { return };
            if granted.item.is_closed() {
                self.queue.borrow_mut().release_unused(&granted.account, granted.cost);
                continue;
            }
            let slot = Slot {
                slots: self.clone(),
                account: granted.account,
                cost: granted.cost,
                since: self.clock.now(),
                received: false,
            };
            // Nothing runs between the look and the sending, so the waiter is there.
            let _ = granted.item.send(Ok(slot));
        }
    }

    fn shed(&self) {
        let now = self.clock.now();
        if now < self.last_shed.get() + SHED_INTERVAL {
            return;
        }
        self.last_shed.set(now);
        let infeasible = self.queue.borrow_mut().shed(now);
        for (infeasible, tx) in infeasible {
            let _ = tx.send(Err(SlotError::Infeasible(infeasible)));
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        {
            let mut queue = self.slots.queue.borrow_mut();
            if self.received {
                let took = self.slots.clock.now().saturating_duration_since(self.since);
                queue.release(&self.account, self.cost, took);
            } else {
                queue.release_unused(&self.account, self.cost);
            }
        }
        self.slots.shed();
        self.slots.grant();
    }
}
