//! Slots of one server, shared fairly between the client accounts.

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

/// Initial estimate of the time that a request holds its slot.
const INITIAL_MEAN: Duration = Duration::from_millis(2);

/// Minimum interval between two searches of the queue for requests that can no longer be done in
/// time.
const SHED_INTERVAL: Duration = Duration::from_millis(5);

/// Reason why a request got no slot. Nothing of the request has been sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotError {
    /// The request cannot be done before its deadline.
    Infeasible(Infeasible),
    /// The server was lost; another one may serve the request.
    Lost,
}

type Waiter = oneshot::Sender<Result<Slot, SlotError>>;

/// Slots of one server.
pub struct Slots {
    clock: Rc<dyn Clock>,
    queue: RefCell<FairQueue<Waiter>>,
    last_shed: Cell<Instant>,
}

/// Slot held by one request; released on drop.
pub struct Slot {
    slots: Rc<Slots>,
    account: AccountId,
    cost: Duration,
    /// Time at which the request received the slot.
    since: Instant,
    /// Whether the request received the slot; an unreceived one is released without a charge.
    received: bool,
}

impl Slots {
    /// Creates `slots` free slots.
    pub fn new(slots: usize, clock: Rc<dyn Clock>) -> Rc<Self> {
        let queue = RefCell::new(FairQueue::new(slots, INITIAL_MEAN));
        let last_shed = Cell::new(clock.now());
        Rc::new(Self { clock, queue, last_shed })
    }

    /// Waits for a slot until the request's deadline. A request that cannot be done in time is
    /// rejected at once.
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

    /// Takes a slot for the next statement of an open transaction without waiting, even above the
    /// limit; see [`FairQueue::force`].
    pub fn force(self: &Rc<Self>, account: &AccountId) -> Slot {
        let cost = self.queue.borrow_mut().force(account);
        let (slots, account) = (self.clone(), account.clone());
        Slot { slots, account, cost, since: self.clock.now(), received: true }
    }

    /// Returns the numbers of waiting and of running requests.
    pub fn load(&self) -> (usize, usize) {
        let queue = self.queue.borrow();
        (queue.len(), queue.running())
    }

    /// Rejects all waiting requests because the server is lost.
    pub fn fail_all(&self) {
        let waiting = self.queue.borrow_mut().clear();
        for tx in waiting {
            // The receiver may have been dropped.
            let _ = tx.send(Err(SlotError::Lost));
        }
    }

    /// Grants free slots to waiting requests.
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
            // No other task runs between the check and this call, so the receiver still exists.
            let _ = granted.item.send(Ok(slot));
        }
    }

    /// Rejects waiting requests that can no longer be done in time, at most once per
    /// [`SHED_INTERVAL`].
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
