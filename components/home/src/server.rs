//! State of a backend server at the home of its group.

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

/// Status that a server reported, and the time of the request for it.
#[derive(Clone, Copy, Debug)]
pub struct StatusReading {
    /// Reported status.
    pub status: Status,
    /// Time at which the request was sent; the status held at that time or later.
    pub requested_at: Instant,
}

/// State of a backend server at the home of its group.
pub struct Server {
    /// Configuration of the server.
    pub contract: BackendServer,
    /// Last reported status; `None` while the server is unreachable.
    pub reading: Cell<Option<StatusReading>>,
    /// Time of the last contact.
    pub last_seen: Cell<Option<Instant>>,
    /// Last reported status, kept while the server is unreachable for its role and term.
    pub last_status: Cell<Option<Status>>,
    /// Time since which the server has refused connections; `None` while it does not.
    pub refused_since: Cell<Option<Instant>>,
    /// Whether a demotion of this server as a superseded primary is in progress.
    pub demoting: Cell<bool>,
    /// Whether the server is leaving and gets no new work.
    pub leaving: Cell<bool>,
    /// Makes the monitor probe the server at once.
    pub probe: Notify,
    /// Connection pool of the server.
    pub pool: Pool,
    /// Slots for running statements, and the queue for them.
    pub slots: Rc<Slots>,
}

impl Server {
    /// Creates a server without any reading.
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

    /// Returns the numbers of requests that wait for a slot and that hold one.
    pub fn load(&self) -> (usize, usize) {
        self.slots.load()
    }

    /// Returns the last observed state, of any age.
    pub fn observation(&self) -> Observation {
        Observation {
            status: self.last_status.get(),
            last_seen: self.last_seen.get(),
            refused_since: self.refused_since.get(),
        }
    }

    /// Records that the server refused or closed a connection, as after the end of its process.
    pub fn record_refusal(&self, now: Instant) {
        if self.refused_since.get().is_none() {
            self.refused_since.set(Some(now));
        }
    }

    /// Returns the last reported status if the last contact was within `silence_timeout`.
    pub fn status(&self, now: Instant, silence_timeout: Duration) -> Option<Status> {
        let last_seen = self.last_seen.get()?;
        if now > last_seen + silence_timeout {
            return None;
        }
        self.reading.get().map(|reading| reading.status)
    }
}
