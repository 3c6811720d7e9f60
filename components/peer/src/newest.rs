//! A set of connections of which the newest are kept.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use tokio::sync::oneshot;

/// Connections of which at most a number is open. The oldest one ends when there are more: a client that
/// does what it is expected to do needs its connection for a moment only.
#[derive(Debug)]
pub struct Newest {
    max: usize,
    next: Cell<u64>,
    /// Open connections by number, which grows with each; a connection ends when its sender is dropped.
    open: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
}

/// Place of a connection, which is free again once it is dropped.
#[derive(Debug)]
pub struct Place {
    set: Rc<Newest>,
    number: u64,
    ended: oneshot::Receiver<()>,
}

impl Newest {
    /// Creates a set of at most `max` connections.
    pub fn new(max: usize) -> Rc<Self> {
        Rc::new(Self { max, next: Cell::default(), open: RefCell::default() })
    }

    /// Adds a connection, and has the oldest one end if there are too many.
    pub fn enter(self: &Rc<Self>) -> Place {
        let number = self.next.get();
        self.next.set(number + 1);
        let (sender, ended) = oneshot::channel();
        let mut open = self.open.borrow_mut();
        open.insert(number, sender);
        if open.len() > self.max {
            open.pop_first();
        }
        Place { set: self.clone(), number, ended }
    }
}

impl Place {
    /// Waits until the connection is to end.
    pub async fn ended(&mut self) {
        // The sender is only ever dropped.
        let _ = (&mut self.ended).await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.set.open.borrow_mut().remove(&self.number);
    }
}
