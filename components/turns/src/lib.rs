//! Turns of clients' messages on the event loop of a host.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use bergamottrack_coordination::{
    AccountId, Clock,
    turns::{Turn, TurnKey, Turns, Usage},
};
use tokio::sync::oneshot;

/// Work on messages of clients that a whole core does in a second, in bytes, if it leaves half of its time
/// to everything else.
pub const WORK_PER_CORE: f64 = 200e6;

/// Interval at which turns are granted while messages wait. Timers and arrived data are processed in
/// between.
const GRANT_INTERVAL: Duration = Duration::from_millis(1);

/// Turns of all clients of a host, and the tasks that wait for theirs.
pub struct TurnQueue {
    clock: Rc<dyn Clock>,
    turns: RefCell<Turns>,
    waiters: RefCell<HashMap<TurnKey, oneshot::Sender<()>>>,
    /// Whether the task that grants turns is running.
    is_granting: Cell<bool>,
}

impl TurnQueue {
    /// Creates turns for work of `rate` bytes a second.
    pub fn new(rate: f64, clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            turns: RefCell::new(Turns::new(rate, clock.now())),
            clock,
            waiters: RefCell::default(),
            is_granting: Cell::default(),
        })
    }

    /// Waits until work of `cost` bytes may be done for a client of the account.
    pub async fn wait(
        self: &Rc<Self>,
        account: Option<&AccountId>,
        usage: &mut Usage,
        cost: usize,
    ) {
        let turn = self.turns.borrow_mut().request(account, usage, cost, self.clock.now());
        let Turn::Queued(key) = turn else { return };
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(key, sender);
        if !self.is_granting.replace(true) {
            monoio::spawn(self.clone().grant());
        }
        let _waiter = Waiter { queue: self, key };
        // Fails only if the queue is gone, and the client with it.
        let _ = receiver.await;
    }

    async fn grant(self: Rc<Self>) {
        while !self.turns.borrow().is_idle() {
            monoio::time::sleep(GRANT_INTERVAL).await;
            self.turns.borrow_mut().begin_pass();
            let next = || self.turns.borrow_mut().next(self.clock.now());
            while let Some(key) = next() {
                if let Some(sender) = self.waiters.borrow_mut().remove(&key) {
                    // Fails if the client has gone meanwhile.
                    let _ = sender.send(());
                }
            }
        }
        self.is_granting.set(false);
    }
}

/// Removes a client that stops to wait.
struct Waiter<'a> {
    queue: &'a TurnQueue,
    key: TurnKey,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.queue.turns.borrow_mut().leave(self.key);
        self.queue.waiters.borrow_mut().remove(&self.key);
    }
}
