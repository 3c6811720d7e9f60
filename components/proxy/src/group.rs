//! What a host knows of one database group, and its use of the leader.

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

/// What is taken off the age that a read allows, for the read's way to the
/// server and its wait for a slot there.
const AGE_MARGIN: Duration = Duration::from_millis(250);

/// How long a leader that a host finds at its start is taken to have led.
const LONG_AGO: Duration = Duration::from_secs(60);

/// A database group.
pub struct Group {
    /// Its name.
    pub id: GroupId,
    /// The leader's positions over time.
    pub ages: RefCell<PositionHistory>,
    /// The newest of them that this host saw itself and has not sent to others.
    pub seen: Cell<Option<(Instant, Point)>>,
    /// What speaks against the leader.
    pub suspicion: RefCell<Suspicion>,
    /// Whether a host task asks the leader how it stands just now.
    pub probed: Cell<bool>,
    /// Whether this host is changing the leader.
    pub moved: Cell<bool>,
    /// The version of the newest intent to change the leader after which no work
    /// of this host counts on the old one any more.
    pub released: Cell<u64>,
    /// The version of the newest intent whose maker has asked this host itself.
    pub asked: Cell<u64>,
    /// What is known of the replicas, and which commits wait for them.
    pub receipts: Receipts,
    /// The leader that new work may use.
    leader: RefCell<Option<ServerId>>,
    /// Grows when work begun before must no longer count on its leader.
    epoch: Cell<u64>,
    /// Statements and transactions at the leader in this epoch.
    using: Cell<usize>,
    /// Since when the leader leads, as far as this host knows.
    led: Cell<Option<Instant>>,
    /// Since when there has been no leader.
    since: Cell<Option<Instant>>,
    changed: Notify,
    gave_up: Notify,
}

/// The right to use the leader for one statement or transaction.
pub struct Use {
    group: Rc<Group>,
    epoch: u64,
    /// The leader.
    pub server: ServerId,
}

/// Where a read may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Need {
    /// At the leader only.
    Leader,
    /// Anywhere where the log reaches the point.
    Log(Point),
}

impl Group {
    /// A group of which nothing is known but that it has been there since `now`.
    pub fn new(id: GroupId, now: Instant) -> Rc<Self> {
        Rc::new(Self {
            id,
            ages: RefCell::default(),
            seen: Cell::default(),
            suspicion: RefCell::default(),
            probed: Cell::default(),
            moved: Cell::default(),
            released: Cell::default(),
            asked: Cell::default(),
            receipts: Receipts::default(),
            led: Cell::default(),
            leader: RefCell::default(),
            epoch: Cell::default(),
            using: Cell::default(),
            since: Cell::new(Some(now)),
            changed: Notify::new(),
            gave_up: Notify::new(),
        })
    }

    /// The leader that new work may use.
    pub fn leader(&self) -> Option<ServerId> {
        self.leader.borrow().clone()
    }

    /// Sets the leader; true when it is another one than before.
    pub fn set_leader(&self, leader: Option<ServerId>, now: Instant) -> bool {
        if *self.leader.borrow() == leader {
            return false;
        }
        let gone = leader.is_none();
        *self.leader.borrow_mut() = leader;
        self.since.set(gone.then_some(now));
        if !gone {
            // Work of the former leader, and what was known of its log, end with it.
            self.give_up();
            *self.ages.borrow_mut() = PositionHistory::default();
            self.seen.set(None);
            self.suspicion.borrow_mut().answered();
            // The first leader that a host hears of has led before.
            let known = self.led.get().is_some();
            self.led.set(Some(if known { now } else { now.checked_sub(LONG_AGO).unwrap_or(now) }));
            self.receipts.reset();
            self.changed.notify_waiters();
        }
        true
    }

    /// Since when the leader leads, as far as this host knows.
    pub fn led(&self) -> Option<Instant> {
        self.led.get()
    }

    /// How long there has been no leader.
    pub fn leaderless(&self, now: Instant) -> Duration {
        self.since.get().map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Work begun before counts on its leader no more.
    pub fn give_up(&self) {
        self.epoch.set(self.epoch.get() + 1);
        self.using.set(0);
        self.gave_up.notify_waiters();
    }

    /// Whether nothing runs at the leader.
    pub fn is_unused(&self) -> bool {
        self.using.get() == 0
    }

    /// Begins to use the leader.
    pub fn begin(self: &Rc<Self>) -> Option<Use> {
        let server = self.leader()?;
        self.using.set(self.using.get() + 1);
        Some(Use { group: self.clone(), epoch: self.epoch.get(), server })
    }

    /// Waits until there is a leader again, until the deadline at most.
    pub async fn wait_changed(&self, deadline: monoio::time::Instant) {
        // The caller looks again either way.
        let _ = monoio::time::timeout_at(deadline, self.changed.notified()).await;
    }

    /// What a read must be shown that came at `now`, after a session wrote up to `floor`.
    ///
    /// A point of an earlier term than the leader's may have been taken back; what
    /// remains of that term is in every log that reaches the leader's own.
    pub fn need(&self, consistency: Consistency, floor: Option<Point>, now: Instant) -> Need {
        let (age, floor) = match consistency {
            Consistency::Current => return Need::Leader,
            Consistency::MaxAge(age) => (age, None),
            Consistency::OwnWrites(age) => (age, floor),
        };
        let ages = self.ages.borrow();
        let aged = ages.floor(age.saturating_sub(AGE_MARGIN), now);
        let (Some(aged), Some((_, newest))) = (aged, ages.newest()) else { return Need::Leader };
        match floor {
            Some(floor) if floor.term < newest.term => Need::Log(newest),
            Some(floor) => Need::Log(aged.max(floor)),
            None => Need::Log(aged),
        }
    }
}

impl Use {
    /// Waits until work of this epoch counts no more.
    pub async fn given_up(&self) {
        while self.holds() {
            self.group.gave_up.notified().await;
        }
    }

    /// Whether the leader is still the one that was meant, as far as the group knows.
    pub fn holds(&self) -> bool {
        self.group.epoch.get() == self.epoch
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        if self.holds() {
            self.group.using.set(self.group.using.get().saturating_sub(1));
        }
    }
}
