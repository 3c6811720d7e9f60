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
pub struct StatusReading {
    /// What it said.
    pub status: Status,
    /// It was so at this time or later: when the question was sent.
    pub requested_at: Instant,
}

/// A backend server as its group's home sees it.
pub struct Server {
    /// What the operator says of it.
    pub contract: BackendServer,
    /// What it last said; `None` when it cannot be reached.
    pub reading: Cell<Option<StatusReading>>,
    /// When it was last heard of.
    pub last_seen: Cell<Option<Instant>>,
    /// What it last said, kept while it cannot be reached: who led, in which term.
    pub last_status: Cell<Option<Status>>,
    /// Since when it refuses connections.
    pub refused_since: Cell<Option<Instant>>,
    /// Set while it is told that it was replaced as primary.
    pub demoting: Cell<bool>,
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
            reading: Cell::new(None),
            last_seen: Cell::new(None),
            last_status: Cell::new(None),
            refused_since: Cell::new(None),
            demoting: Cell::new(false),
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
    pub fn observation(&self) -> Observation {
        Observation {
            status: self.last_status.get(),
            last_seen: self.last_seen.get(),
            refused_since: self.refused_since.get(),
        }
    }

    /// Notes that it refused a connection or closed one, as a process that has ended does.
    pub fn record_refusal(&self, now: Instant) {
        if self.refused_since.get().is_none() {
            self.refused_since.set(Some(now));
        }
    }

    /// What it last said, if it was heard of within `silence_timeout`.
    pub fn status(&self, now: Instant, silence_timeout: Duration) -> Option<Status> {
        let last_seen = self.last_seen.get()?;
        if now > last_seen + silence_timeout {
            return None;
        }
        self.reading.get().map(|seen| seen.status)
    }
}
