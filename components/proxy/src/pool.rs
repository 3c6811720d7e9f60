//! The connections of this host to one backend server.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::{Duration, Instant as StdInstant},
};

use bergamottrack_coordination::{
    AccountId, HostId,
    choice::Health,
    cold, congestion,
    connections::{self, Bounds, Role, Usage},
    gate::{Admission, Gate, QueueKey},
    idle, silence,
};
use bergamottrack_model::{Failure, ListedServer};
use monoio::time::Instant;
use tokio::sync::{Notify, oneshot};
use tracing::info;

use crate::backend::{Backend, OpenError};

/// How long after a server had too many connections this host opens one fewer, and
/// keeps none that it does not use.
const CROWDED_FOR: Duration = Duration::from_secs(3);

/// The same for a host that holds the connections for all: those that crowd the server
/// are of hosts that died, and servers drop these one by one within 3 s.
const HELD_FOR: Duration = Duration::from_millis(250);

/// Statements that a holder keeps under way beyond a server's slots: the next one is
/// there when a slot falls free, in place of one way there and back later.
const SPARE: usize = 1;

/// How long connections are opened ahead before it is decided anew for which accounts.
const OPENING_AHEAD_FOR: Duration = Duration::from_secs(1);

/// How long after a connection failed none are opened ahead.
const AHEAD_AGAIN_AFTER: Duration = Duration::from_secs(1);

/// How often unused connections are looked for.
pub const TRIM_EVERY: Duration = Duration::from_millis(100);

/// Values of a session, by name.
type Values = BTreeMap<Box<str>, Box<str>>;

/// The connections to one server.
pub struct Pool {
    /// The server's own entry in the list.
    pub listed: RefCell<ListedServer>,
    /// What its answers say of it.
    pub health: RefCell<Health>,
    /// What the server owes on connections of this host, other hosts' statements included.
    pub exchanges: RefCell<silence::AnswerTracker>,
    /// Whether the host that holds its connections has room for statements.
    pub congestion: RefCell<congestion::Backoff>,
    /// Whether it has just started, and what it was sent since.
    pub warmth: RefCell<cold::WarmUp>,
    /// The limit while it is cold, and how far all hosts may exceed it.
    cold: Cell<(Option<cold::Limit>, cold::Tolerance)>,
    /// How many statements are under way, and who waits.
    gate: RefCell<Gate>,
    /// Whom to tell that they may go on, by their places at the gate.
    waiting: RefCell<HashMap<QueueKey, oneshot::Sender<()>>>,
    /// Connections that nobody uses and since when.
    idle: RefCell<idle::Connections<(Backend, Instant)>>,
    /// Connections open or being opened, idle ones included; at most the cap of `bounds`.
    open: Cell<usize>,
    bounds: Cell<Bounds>,
    /// What this host is to the server's connections.
    role: Cell<Role>,
    /// Hosts that hold the server's connections, best first.
    pub holders: RefCell<Vec<HostId>>,
    /// Until when the server counts as crowded, and how many connections it took.
    crowded: Cell<Option<(Instant, usize)>>,
    freed: Notify,
    /// Until when connections are opened ahead, or are not after one failed.
    opens_ahead: Cell<Option<Instant>>,
}

/// Why no connection was given.
#[derive(Debug)]
pub enum NoConnection {
    /// All are in use, and stayed so for as long as the request could wait.
    Full,
    /// A new one could not be opened.
    Open(OpenError),
}

/// A connection in use; closed when dropped.
pub struct Leased {
    backend: Option<Backend>,
    pool: Rc<Pool>,
    /// Whether the connection stays open.
    kept: bool,
}

/// The right to have one statement under way; given back when dropped.
pub struct Permit {
    pool: Rc<Pool>,
    /// How long the server took to answer; none if it did not.
    pub took: Cell<Option<Duration>>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.gate.borrow_mut().end(self.took.get());
        self.pool.wake(StdInstant::now());
    }
}

impl Pool {
    /// A pool without connections, of a server that is known since `now`.
    pub fn new(listed: ListedServer, now: StdInstant) -> Rc<Self> {
        Rc::new(Self {
            listed: RefCell::new(listed),
            health: RefCell::default(),
            exchanges: RefCell::default(),
            congestion: RefCell::default(),
            warmth: RefCell::new(cold::WarmUp::new(now)),
            cold: Cell::default(),
            gate: RefCell::new(Gate::new(1)),
            waiting: RefCell::default(),
            idle: RefCell::default(),
            open: Cell::default(),
            bounds: Cell::new(connections::bounds(1, 1, 1, Role::Other)),
            role: Cell::default(),
            holders: RefCell::default(),
            crowded: Cell::default(),
            freed: Notify::new(),
            opens_ahead: Cell::default(),
        })
    }

    /// Sets how many connections the server takes, how many hosts share them and what this
    /// host is to them.
    pub fn set_bounds(&self, most: usize, hosts: usize, role: Role) {
        let slots = self.listed.borrow().slots;
        let bounds = connections::bounds(most, slots, hosts, role);
        self.bounds.set(bounds);
        self.role.set(role);
        let least = if role == Role::Holder { slots + SPARE } else { 1 };
        self.gate.borrow_mut().set_bounds(least, bounds.cap);
    }

    /// Sets the limit while the server is cold.
    pub fn set_cold(&self, limit: Option<cold::Limit>, tolerance: cold::Tolerance) {
        self.cold.set((limit, tolerance));
    }

    /// Whether the server is cold, or may be.
    pub fn is_cold(&self, now: StdInstant) -> bool {
        self.warmth.borrow().is_cold(now)
    }

    /// Takes a request of this host's part of what a cold server may get; when there is none,
    /// the time after which there may be.
    fn take_cold(&self, now: StdInstant) -> Result<(), Duration> {
        let mut warmth = self.warmth.borrow_mut();
        let (Some(limit), tolerance) = self.cold.get() else { return Ok(()) };
        if !warmth.is_cold(now) {
            return Ok(());
        }
        warmth.take(cold::max_requests(limit, tolerance, self.role.get()), now)
    }

    /// Notes that a connection in use broke.
    pub fn note_lost(&self) {
        let (limit, _) = self.cold.get();
        self.warmth.borrow_mut().lost(limit, StdInstant::now());
    }

    /// Whether this host holds the server's connections for all.
    fn is_holder(&self) -> bool {
        self.role.get() == Role::Holder
    }

    /// How long a statement of that priority and patience would wait at the gate.
    pub fn wait(&self, priority: u32, patience: Duration, now: StdInstant) -> Duration {
        self.gate.borrow().wait(priority, now + patience)
    }

    /// Waits until a statement may be sent; when to come back if that takes too long.
    pub async fn enter(
        self: &Rc<Self>,
        priority: u32,
        patience: Duration,
        now: StdInstant,
    ) -> Result<Permit, Duration> {
        self.take_cold(now)?;
        let entry = self.gate.borrow_mut().enter(priority, patience, now);
        let place = match entry {
            Admission::Admitted => return Ok(Permit { pool: self.clone(), took: Cell::default() }),
            Admission::Refused(wait) => return Err(wait),
            Admission::Queued(place) => place,
        };
        let (go, going) = oneshot::channel();
        self.waiting.borrow_mut().insert(place, go);
        if let Ok(Ok(())) = monoio::time::timeout(patience, going).await {
            return Ok(Permit { pool: self.clone(), took: Cell::default() });
        }
        self.gate.borrow_mut().leave(place);
        // Told just now, but too late to be heard: its turn goes to the next one.
        if self.waiting.borrow_mut().remove(&place).is_none() {
            self.gate.borrow_mut().end(None);
            self.wake(now + patience);
        }
        Err(self.wait(priority, patience, now + patience))
    }

    /// A statement of an open transaction goes on without waiting, unless the server is cold;
    /// the time after which it may where that is beyond `until`.
    pub async fn go_on(self: &Rc<Self>, until: Instant) -> Result<Permit, Duration> {
        while let Err(wait) = self.take_cold(StdInstant::now()) {
            if Instant::now() + wait >= until {
                return Err(wait);
            }
            monoio::time::sleep(wait).await;
        }
        self.gate.borrow_mut().go_on();
        Ok(Permit { pool: self.clone(), took: Cell::default() })
    }

    fn wake(&self, now: StdInstant) {
        let next = || self.gate.borrow_mut().next(now);
        while let Some(place) = next() {
            let go = self.waiting.borrow_mut().remove(&place);
            if go.is_none_or(|go| go.send(()).is_err()) {
                self.gate.borrow_mut().end(None);
            }
        }
    }

    /// Whether a connection of the account waits.
    pub fn is_warm(&self, account: &AccountId) -> bool {
        self.idle.borrow().has(account)
    }

    /// Closes all idle connections, since one of the server's went silent.
    ///
    /// Connections go silent together, without a reset; each that is tried would
    /// cost a request its time, and a write its certainty.
    pub fn drop_idle(&self) {
        let dropped = std::mem::take(&mut *self.idle.borrow_mut()).len();
        self.open.set(self.open.get() - dropped);
        self.freed.notify_waiters();
    }

    /// A connection for a statement of the account, best one that already has
    /// the session's values; waits for one until `deadline`.
    pub async fn lease(
        self: &Rc<Self>,
        account: &AccountId,
        values: &Values,
        deadline: Instant,
    ) -> Result<Leased, NoConnection> {
        loop {
            while let Some(mut backend) = self.take_idle(account, values) {
                if backend.is_quiet() {
                    return Ok(self.leased(backend));
                }
                self.open.set(self.open.get() - 1);
            }
            if self.open.get() >= self.cap() {
                self.close_oldest();
            }
            if self.open.get() < self.cap() {
                match self.open_one(account).await {
                    // The next one that is given back, or makes room, will do.
                    Err(NoConnection::Open(OpenError::Rejected(Failure::TooMany)))
                        if self.is_holder() && self.open.get() > 0 => {}
                    opened => return opened,
                }
            }
            let freed = monoio::time::timeout_at(deadline, self.freed.notified()).await;
            freed.map_err(|_| NoConnection::Full)?;
        }
    }

    /// A connection for a question of the host itself, whichever account it is for.
    pub async fn lease_any(
        self: &Rc<Self>,
        account: &AccountId,
        deadline: Instant,
    ) -> Result<Leased, NoConnection> {
        let last = self.idle.borrow_mut().pop_newest();
        if let Some((mut backend, _)) = last {
            if backend.is_quiet() {
                return Ok(self.leased(backend));
            }
            self.open.set(self.open.get() - 1);
        }
        self.lease(account, &Values::new(), deadline).await
    }

    fn cap(&self) -> usize {
        let taken = self.crowded().map(|taken| if self.is_holder() { taken } else { usize::MAX });
        match taken {
            Some(taken) => taken.min(self.bounds.get().cap - 1).max(1),
            None => self.bounds.get().cap,
        }
    }

    /// How many connections the server took when it had too many lately.
    fn crowded(&self) -> Option<usize> {
        let lately = self.crowded.get().filter(|(until, _)| Instant::now() < *until);
        lately.map(|(_, taken)| taken)
    }

    /// Opens connections for accounts that have none while the server is not busy, one after
    /// the other; `accounts` begins with those of the highest rate.
    ///
    /// Does nothing while it still runs, or for a while after a connection failed.
    pub fn open_ahead(self: &Rc<Self>, accounts: &Rc<[AccountId]>) {
        let rests = self.opens_ahead.get().is_some_and(|until| Instant::now() < until);
        if rests || !self.is_holder() || self.next_to_open(accounts).is_none() {
            return;
        }
        self.opens_ahead.set(Some(Instant::now() + OPENING_AHEAD_FOR));
        let (pool, accounts) = (self.clone(), accounts.clone());
        monoio::spawn(async move {
            let until = Instant::now() + OPENING_AHEAD_FOR;
            while let Some(account) =
                pool.next_to_open(&accounts).filter(|_| Instant::now() < until)
            {
                let opened = pool.open_one(account).await;
                let Ok(leased) = opened else {
                    pool.opens_ahead.set(Some(Instant::now() + AHEAD_AGAIN_AFTER));
                    return;
                };
                leased.give_back();
            }
            pool.opens_ahead.set(None);
        });
    }

    fn next_to_open<'a>(&self, accounts: &'a [AccountId]) -> Option<&'a AccountId> {
        let listed = self.listed.borrow();
        if listed.leaving || self.crowded().is_some() {
            return None;
        }
        let gate = self.gate.borrow();
        let (running, waiting) = (gate.running(), gate.waiting());
        let usage = Usage { open: self.open.get(), running, waiting };
        let has_connection = |account: &AccountId| self.is_warm(account);
        let bounds = self.bounds.get();
        connections::next_to_open(accounts, has_connection, usage, listed.slots, bounds)
    }

    /// Closes connections beyond those that are kept and that were not used for a while.
    pub fn trim(&self) {
        let Bounds { kept, idle_ttl, .. } = self.bounds.get();
        let mut idle = self.idle.borrow_mut();
        while self.open.get() > kept
            && idle.oldest().is_some_and(|(_, since)| since.elapsed() > idle_ttl)
        {
            idle.pop_oldest();
            self.open.set(self.open.get() - 1);
        }
    }

    fn leased(self: &Rc<Self>, backend: Backend) -> Leased {
        Leased { backend: Some(backend), pool: self.clone(), kept: false }
    }

    fn take_idle(&self, account: &AccountId, values: &Values) -> Option<Backend> {
        let mut idle = self.idle.borrow_mut();
        let taken = idle.take(account, |(backend, _)| backend.carried.distance(values));
        taken.map(|(backend, _)| backend)
    }

    /// Makes room for another account's connection.
    fn close_oldest(&self) {
        if self.idle.borrow_mut().pop_oldest().is_some() {
            self.open.set(self.open.get() - 1);
        }
    }

    async fn open_one(self: &Rc<Self>, account: &AccountId) -> Result<Leased, NoConnection> {
        // Counted before it is there, and given back by the drop when it does not come.
        self.open.set(self.open.get() + 1);
        let mut leased = Leased { backend: None, pool: self.clone(), kept: false };
        let listed = self.listed.borrow().clone();
        match Backend::open(&listed, account).await {
            Ok(backend) => {
                leased.backend = Some(backend);
                Ok(leased)
            }
            Err(error) => {
                if matches!(error, OpenError::Refused) {
                    let (limit, _) = self.cold.get();
                    self.warmth.borrow_mut().refused(limit, StdInstant::now());
                }
                if matches!(error, OpenError::Rejected(Failure::TooMany)) {
                    info!(server = %listed.id, open = self.open.get(), "pool: too many connections");
                    let lasts = if self.is_holder() { HELD_FOR } else { CROWDED_FOR };
                    let taken = self.open.get() - 1;
                    self.crowded.set(Some((Instant::now() + lasts, taken)));
                }
                Err(NoConnection::Open(error))
            }
        }
    }
}

impl Leased {
    /// The connection.
    pub fn backend(&mut self) -> &mut Backend {
        self.backend.as_mut().expect("a lease holds its connection until it is given back")
    }

    /// The pool that it is of.
    pub fn pool(&self) -> &Rc<Pool> {
        &self.pool
    }

    /// Keeps the connection for the next statement.
    pub fn give_back(mut self) {
        if let Some(backend) = self.backend.take() {
            // While the server is crowded other hosts need its place more, if they have
            // connections of their own.
            if self.pool.crowded().is_some() && !self.pool.is_holder() {
                return;
            }
            let account = backend.account.clone();
            self.pool.idle.borrow_mut().push(account, (backend, Instant::now()));
            self.kept = true;
        }
    }
}

impl Drop for Leased {
    fn drop(&mut self) {
        if !self.kept {
            self.pool.open.set(self.pool.open.get() - 1);
        }
        self.pool.freed.notify_one();
    }
}
