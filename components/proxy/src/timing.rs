//! Time that a statement spends in each stage, for the log and the metrics.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use bergamottrack_coordination::HostId;

/// Stage of a statement's way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Until the account's rate limit granted a token.
    Token,
    /// Until a connection of this host was free.
    Connection,
    /// Until the server answered, with the queue of the host that holds its connections.
    Server,
    /// Until a second server held the commit.
    Confirmation,
}

impl Stage {
    /// All stages, in the order in which a statement passes them.
    pub const ALL: [Self; 4] = [Self::Token, Self::Connection, Self::Server, Self::Confirmation];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Token => "token",
            Self::Connection => "connection",
            Self::Server => "server",
            Self::Confirmation => "confirmation",
        }
    }
}

/// Lease under which a host uses a leader.
#[derive(Clone, Copy, Debug)]
pub struct LeaseInfo {
    /// Version of the row that names the leader; 0 if the view has no row of the group.
    pub row: u64,
    /// Time since the view was last proven to be the newest.
    pub age: Duration,
}

/// Times of one statement over all its attempts.
#[derive(Debug, Default)]
pub struct Timing {
    stages: [Cell<Duration>; Stage::ALL.len()],
    /// Lease under which the statement was last sent to a leader; none if it was not.
    lease: Cell<Option<LeaseInfo>>,
    /// Host that holds the connections of the server that was asked last; none if this host does.
    holder: RefCell<Option<HostId>>,
}

impl Timing {
    /// Adds the time of a stage.
    pub fn add(&self, stage: Stage, time: Duration) {
        let total = &self.stages[stage as usize];
        total.set(total.get() + time);
    }

    /// Returns the total time of a stage.
    pub fn total(&self, stage: Stage) -> Duration {
        self.stages[stage as usize].get()
    }

    /// Sets the lease under which the statement is sent to a leader; none for a replica.
    pub fn set_lease(&self, lease: Option<LeaseInfo>) {
        self.lease.set(lease);
    }

    /// Returns the lease under which the statement was last sent to a leader.
    pub fn lease(&self) -> Option<LeaseInfo> {
        self.lease.get()
    }

    /// Sets the host that holds the connections of the server that is asked.
    pub fn set_holder(&self, holder: Option<&HostId>) {
        *self.holder.borrow_mut() = holder.cloned();
    }

    /// Returns the host that holds the connections of the server that was asked last.
    pub fn holder(&self) -> Option<HostId> {
        self.holder.borrow().clone()
    }
}
