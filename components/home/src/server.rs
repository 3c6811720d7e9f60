//! A backend server as its group's home sees it.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_contract::BackendServer;
use bergamottrack_coordination::{
    Clock,
    leadership::{Observation, Status},
};
use tokio::sync::Notify;

use crate::{pool::Pool, queue::Slots};

/// What a server said of itself, and when.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// What it said.
    pub status: Status,
    /// It was so at this time or later: when the question was sent.
    pub asked: Instant,
}

/// A backend server as its group's home sees it.
pub struct Server {
    /// What the operator says of it.
    pub contract: BackendServer,
    /// What it last said; `None` when it cannot be reached.
    pub seen: Cell<Option<Seen>>,
    /// When it was last heard of.
    pub heard: Cell<Option<Instant>>,
    /// What it last said, kept while it cannot be reached: who led, in which term.
    pub last: Cell<Option<Status>>,
    /// Since when it refuses connections.
    pub refused: Cell<Option<Instant>>,
    /// Set while it is told that it was replaced as primary.
    pub retiring: Cell<bool>,
    /// Whether it is to get no new work.
    pub leaving: Cell<bool>,
    /// Wakes the watch to ask at once.
    pub probe: Notify,
    /// Its connections.
    pub pool: Pool,
    /// Statements that may run on it at once, and the queue for them.
    pub slots: Rc<Slots>,
}

impl Server {
    /// A server of which nothing is known yet.
    pub fn new(contract: BackendServer, clock: Rc<dyn Clock>) -> Self {
        Self {
            seen: Cell::new(None),
            heard: Cell::new(None),
            last: Cell::new(None),
            refused: Cell::new(None),
            retiring: Cell::new(false),
            leaving: Cell::new(contract.leaving),
            probe: Notify::new(),
            pool: Pool::new(usize::from(contract.connections)),
            slots: Slots::new(usize::from(contract.slots), clock),
            contract,
        }
    }

    /// Requests that wait for a slot and requests that have one.
    pub fn load(&self) -> (usize, usize) {
        self.slots.load()
    }

    /// What has been seen of it, however long ago.
    pub fn sight(&self) -> Observation {
        Observation {
            status: self.last.get(),
            last_seen: self.heard.get(),
            refused_since: self.refused.get(),
        }
    }

    /// Notes that it refused a connection or closed one, as a process that has ended does.
    pub fn note_refused(&self, now: Instant) {
        if self.refused.get().is_none() {
            self.refused.set(Some(now));
        }
    }

    /// What it last said, if it was heard of within `silence`.
    pub fn status(&self, now: Instant, silence: Duration) -> Option<Status> {
        let heard = self.heard.get()?;
        if now > heard + silence {
            return None;
        }
        self.seen.get().map(|seen| seen.status)
    }
}
