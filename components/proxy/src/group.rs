//! A host's state of one database group, and its use of the group's leader.

use std::{
    cell::{Cell, RefCell},
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use bergamottrack_coordination::{
    GroupId, Point, ServerId, ages::PositionHistory, suspicion::Suspicion,
};
use bergamottrack_model::Consistency;
use tokio::sync::Notify;

use crate::{confirm::Receipts, probe::Probes};

/// Subtracted from the age that a read allows, for the read's transit to the server and
/// its wait there until the server has capacity for it.
const AGE_MARGIN: Duration = Duration::from_millis(250);

/// Assumed duration of leadership for the first leader that a host finds after its start.
const INITIAL_LEADERSHIP: Duration = Duration::from_secs(60);

/// State of a database group.
pub struct Group {
    /// Id of the group.
    pub id: GroupId,
    /// Time at which this state was created: at the first use, or after it was dropped for lack of use.
    pub created: Instant,
    /// Time of the last use by a statement or a change of leadership.
    pub last_used: Cell<Instant>,
    /// Log positions of the leader, each with a time. Gives the age of data, and the position that
    /// data of a given maximum age must include.
    pub ages: RefCell<PositionHistory>,
    /// Last known position of a leader, with the time at which it was requested; kept over a change of the
    /// leader.
    observed: Cell<Option<(Instant, Point)>>,
    /// Last position that the leader returned to this host and that this host has not yet sent to
    /// other hosts, with the time at which the statement was sent.
    pub seen: Cell<Option<(Instant, Point)>>,
    /// Evidence that the leader has failed.
    pub suspicion: RefCell<Suspicion>,
    /// Whether a task of this host is probing the leader, or checking the holder of a failover.
    pub probing: Cell<bool>,
    /// Whether this host has scheduled or runs a failover of the group.
    pub in_failover: Cell<bool>,
    /// Whether a task of this host records the servers of the group.
    pub recording: Cell<bool>,
    /// Version of the group's row, and the time since which this host has it.
    pub row_since: Cell<Option<(u64, Instant)>>,
    /// Time since which the servers of the group are to be recorded; `None` while the row is up to date.
    pub unrecorded_since: Cell<Option<Instant>>,
    /// Failover whose host cannot be reached: the store's time at its begin, and the time since which.
    pub lost_holder: Cell<Option<(Duration, Instant)>>,
    /// Time before which no planned failover begins, since no server had received the leader's term;
    /// `None` if one may begin.
    pub successor_retry_at: Cell<Option<Instant>>,
    /// Time at which this host last began a failover of the group.
    pub began_failover: Cell<Option<Instant>>,
    /// Greatest version of a failover intent, a row `Leadership::Moving` of the group, for which no
    /// work of this host relies on the former leader any more. An intent is released if its
    /// version is at most this one.
    pub released: Cell<u64>,
    /// Greatest version of a row of the group that another host has sent to this host directly.
    /// The row of an intent requests the release of the former leader; an intent whose version is
    /// at most this one needs no release through the store.
    pub release_requested: Cell<u64>,
    /// Contact with the servers; `None` while this host keeps none.
    probes: RefCell<Weak<Probes>>,
    /// Keeps the contact outside of failovers.
    kept_probes: RefCell<Option<Rc<Probes>>>,
    /// Received positions of the replicas, and the commits that wait for them.
    pub receipts: Receipts,
    /// Leader that new work may use.
    leader: RefCell<Option<ServerId>>,
    /// Number of the epoch: an uninterrupted period in which this host uses one leader. It is
    /// incremented when earlier work must no longer rely on its leader; the loss of the leader
    /// alone does not increment it, but the next leader does, also if it is the same server.
    epoch: Cell<u64>,
    /// Number of statements and transactions that use the leader in this epoch.
    active_uses: Cell<usize>,
    /// Time at which this host began to use the leader, or `INITIAL_LEADERSHIP` earlier for the
    /// first leader; `None` before the first leader.
    led_since: Cell<Option<Instant>>,
    /// Time since which the group has no leader; `None` while it has one.
    leaderless_since: Cell<Option<Instant>>,
    leader_changed: Notify,
    epoch_end: Notify,
}

/// Use of the leader by one statement or transaction; ends on drop or with its epoch.
pub struct LeaderUse {
    group: Rc<Group>,
    epoch: u64,
    /// Server that leads.
    pub server: ServerId,
}

/// Requirement that the server of a read must meet.
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
            created: now,
            last_used: Cell::new(now),
            ages: RefCell::default(),
            observed: Cell::default(),
            seen: Cell::default(),
            suspicion: RefCell::default(),
            probing: Cell::default(),
            in_failover: Cell::default(),
            recording: Cell::default(),
            row_since: Cell::default(),
            unrecorded_since: Cell::default(),
            lost_holder: Cell::default(),
            successor_retry_at: Cell::default(),
            began_failover: Cell::default(),
            released: Cell::default(),
            release_requested: Cell::default(),
            probes: RefCell::default(),
            kept_probes: RefCell::default(),
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

    /// Sets the leader and returns whether it differs from the previous one. A new leader ends the
    /// epoch; the loss of the leader does not.
    pub fn set_leader(&self, leader: Option<ServerId>, now: Instant) -> bool {
        if *self.leader.borrow() == leader {
            return false;
        }
        let leaderless = leader.is_none();
        *self.leader.borrow_mut() = leader;
        self.leaderless_since.set(leaderless.then_some(now));
        if !leaderless {
            // Work at the former leader is void, and so is the recorded state of its log.
            self.end_epoch();
            *self.ages.borrow_mut() = PositionHistory::default();
            self.seen.set(None);
            // The first leader after a host's start is assumed to have led before.
            let had_leader = self.led_since.get().is_some();
            if had_leader {
                self.suspicion.borrow_mut().start_leadership(now);
            }
            self.led_since.set(Some(if had_leader {
                now
            } else {
                now.checked_sub(INITIAL_LEADERSHIP).unwrap_or(now)
            }));
            self.receipts.reset();
            self.leader_changed.notify_waiters();
        }
        true
    }

    /// Returns the time at which this host began to use the leader, or `INITIAL_LEADERSHIP`
    /// earlier for the first leader; `None` before the first leader.
    pub fn led_since(&self) -> Option<Instant> {
        self.led_since.get()
    }

    /// Records a position that the leader had when it was requested at the time `at`.
    pub fn note_position(&self, at: Instant, point: Point) {
        self.ages.borrow_mut().note_point(at, point);
        if self.observed.get().is_none_or(|(known, _)| known <= at) {
            self.observed.set(Some((at, point)));
        }
    }

    /// Returns the last known position of the leader or, before it has returned one, of a former leader,
    /// with the time at which it was requested.
    pub fn observed(&self) -> Option<(Instant, Point)> {
        self.observed.get()
    }

    /// Returns the contact with the servers, which lasts until the returned references are dropped and
    /// [`Self::keep_probes`] was last called with false.
    pub fn probes(&self) -> Rc<Probes> {
        let known = self.probes.borrow().upgrade();
        known.unwrap_or_else(|| {
            let probes = Rc::new(Probes::default());
            *self.probes.borrow_mut() = Rc::downgrade(&probes);
            probes
        })
    }

    /// Sets whether this host keeps contact with the servers outside of failovers; returns the contact.
    pub fn keep_probes(&self, keep: bool) -> Option<Rc<Probes>> {
        let kept = keep.then(|| self.probes());
        self.kept_probes.borrow_mut().clone_from(&kept);
        kept
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

    /// Returns whether no statement or transaction uses the leader in the current epoch.
    pub fn is_idle(&self) -> bool {
        self.active_uses.get() == 0
    }

    /// Begins to use the leader; `None` without one.
    pub fn begin(self: &Rc<Self>) -> Option<LeaderUse> {
        let server = self.leader()?;
        self.active_uses.set(self.active_uses.get() + 1);
        Some(LeaderUse { group: self.clone(), epoch: self.epoch.get(), server })
    }

    /// Waits until the group gets a leader after it had none or another one, until the deadline at
    /// most. After a loss of the leader it may be the same server again.
    pub async fn wait_leader(&self, deadline: monoio::time::Instant) {
        // The calling function checks the leader after a time-out too.
        let _ = monoio::time::timeout_at(deadline, self.leader_changed.notified()).await;
    }

    /// Returns the requirement of a read that arrived at `now`, in a session that has written
    /// up to `floor`.
    ///
    /// A position of an earlier term than the leader's may have been rolled back. The records of
    /// that term that were not rolled back are in every log that has reached the leader's own term.
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

    /// Returns whether the epoch of this use is still the group's current one. Does not check
    /// whether the group still has a leader.
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
