//! A host's state of one database group, and its use of the group's leader.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{
    GroupId, Point, ServerId, ages::PositionHistory, suspicion::Suspicion,
};
use bergamottrack_model::Consistency;
use tokio::sync::Notify;

use crate::confirm::Receipts;

/// Subtracted from the age that a read allows, for the read's transit to the server and
/// its wait for a slot there.
const AGE_MARGIN: Duration = Duration::from_millis(250);

/// Assumed duration of leadership for the first leader that a host finds after its start.
const INITIAL_LEADERSHIP: Duration = Duration::from_secs(60);

/// State of a database group.
pub struct Group {
    /// Id of the group.
    pub id: GroupId,
    /// Log positions of the leader over time.
    pub ages: RefCell<PositionHistory>,
    /// Newest position that this host has read itself and not yet sent to other hosts.
    pub seen: Cell<Option<(Instant, Point)>>,
    /// Evidence that the leader has failed.
    pub suspicion: RefCell<Suspicion>,
    /// Whether a task of this host is probing the leader, or checking the holder of a failover.
    pub probing: Cell<bool>,
    /// Whether this host is performing a failover.
    pub in_failover: Cell<bool>,
    /// Version of the newest failover intent for which no work of this host relies on the old
    /// leader any more.
    pub released: Cell<u64>,
    /// Version of the newest failover intent whose author has requested the release from
    /// this host directly.
    pub release_requested: Cell<u64>,
    /// Received positions of the replicas, and the commits that wait for them.
    pub receipts: Receipts,
    /// Leader that new work may use.
    leader: RefCell<Option<ServerId>>,
    /// Incremented when earlier work must no longer rely on its leader.
    epoch: Cell<u64>,
    /// Number of statements and transactions that use the leader in this epoch.
    active_uses: Cell<usize>,
    /// Time since which the leader leads, as far as this host knows.
    led_since: Cell<Option<Instant>>,
    /// Time since which the group has no leader; `None` while it has one.
    leaderless_since: Cell<Option<Instant>>,
    leader_changed: Notify,
    epoch_end: Notify,
}

/// Use of the leader by one statement or transaction; ends when dropped.
pub struct LeaderUse {
    group: Rc<Group>,
    epoch: u64,
    /// Server that leads.
    pub server: ServerId,
}

/// Requirement that a read has on its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Requirement {
    /// The server is the leader.
    Leader,
    /// The server's log has reached this position.
    Log(Point),
}

impl Group {
    /// Creates a group without a leader since `now`.
    pub fn new(id: GroupId, now: Instant) -> Rc<Self> {
        Rc::new(Self {
            id,
            ages: RefCell::default(),
            seen: Cell::default(),
            suspicion: RefCell::default(),
            probing: Cell::default(),
            in_failover: Cell::default(),
            released: Cell::default(),
            release_requested: Cell::default(),
            receipts: Receipts::default(),
            led_since: Cell::default(),
            leader: RefCell::default(),
            epoch: Cell::default(),
            active_uses: Cell::default(),
            leaderless_since: Cell::new(Some(now)),
            leader_changed: Notify::new(),
            epoch_end: Notify::new(),
        })
    }

    /// Returns the leader that new work may use.
    pub fn leader(&self) -> Option<ServerId> {
        self.leader.borrow().clone()
    }

    /// Sets the leader. Returns whether it differs from the previous one.
    pub fn set_leader(&self, leader: Option<ServerId>, now: Instant) -> bool {
        if *self.leader.borrow() == leader {
            return false;
        }
        let leaderless_for = leader.is_none();
        *self.leader.borrow_mut() = leader;
        self.leaderless_since.set(leaderless_for.then_some(now));
        if !leaderless_for {
            // Work at the former leader and the state of its log are void.
            self.end_epoch();
            *self.ages.borrow_mut() = PositionHistory::default();
            self.seen.set(None);
            self.suspicion.borrow_mut().answered();
            // The first leader that a host learns of was leading before.
            let known = self.led_since.get().is_some();
            self.led_since.set(Some(if known {
                now
            } else {
                now.checked_sub(INITIAL_LEADERSHIP).unwrap_or(now)
            }));
            self.receipts.reset();
            self.leader_changed.notify_waiters();
        }
        true
    }

    /// Returns the time since which the leader leads, as far as this host knows.
    pub fn led_since(&self) -> Option<Instant> {
        self.led_since.get()
    }

    /// Returns how long the group has had no leader; zero while it has one.
    pub fn leaderless_for(&self, now: Instant) -> Duration {
        self.leaderless_since
            .get()
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Ends the epoch: work that began in it no longer relies on its leader.
    pub fn end_epoch(&self) {
        self.epoch.set(self.epoch.get() + 1);
        self.active_uses.set(0);
        self.epoch_end.notify_waiters();
    }

    /// Returns whether no statement or transaction uses the leader.
    pub fn is_idle(&self) -> bool {
        self.active_uses.get() == 0
    }

    /// Begins to use the leader; `None` without one.
    pub fn begin(self: &Rc<Self>) -> Option<LeaderUse> {
        let server = self.leader()?;
        self.active_uses.set(self.active_uses.get() + 1);
        Some(LeaderUse { group: self.clone(), epoch: self.epoch.get(), server })
    }

    /// Waits until the group has a new leader, until the deadline at most.
    pub async fn wait_leader(&self, deadline: monoio::time::Instant) {
        // The calling function checks again in either case.
        let _ = monoio::time::timeout_at(deadline, self.leader_changed.notified()).await;
    }

    /// Returns the requirement of a read that arrived at `now`, in a session that has written
    /// up to `floor`.
    ///
    /// A position of an earlier term than the leader's may have been rolled back. The part of
    /// that term that was kept is in every log that has reached the leader's own term.
    pub fn requirement(
        &self,
        consistency: Consistency,
        floor: Option<Point>,
        now: Instant,
    ) -> Requirement {
        let (age, floor) = match consistency {
            Consistency::Current => return Requirement::Leader,
            Consistency::MaxAge(age) => (age, None),
            Consistency::OwnWrites(age) => (age, floor),
        };
        let ages = self.ages.borrow();
        let aged = ages.floor(age.saturating_sub(AGE_MARGIN), now);
        let (Some(aged), Some((_, newest))) = (aged, ages.newest()) else {
            return Requirement::Leader;
        };
        match floor {
            Some(floor) if floor.term < newest.term => Requirement::Log(newest),
            Some(floor) => Requirement::Log(aged.max(floor)),
            None => Requirement::Log(aged),
        }
    }
}

impl LeaderUse {
    /// Waits until the epoch of this use has ended.
    pub async fn epoch_ended(&self) {
        while self.holds() {
            self.group.epoch_end.notified().await;
        }
    }

    /// Returns whether the epoch of this use lasts, so that its leader still leads as far as
    /// the group knows.
    pub fn holds(&self) -> bool {
        self.group.epoch.get() == self.epoch
    }
}

impl Drop for LeaderUse {
    fn drop(&mut self) {
        if self.holds() {
            self.group.active_uses.set(self.group.active_uses.get().saturating_sub(1));
        }
    }
}
