//! The pool of this host's connections to one backend server.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::{Duration, Instant as StdInstant},
};

use bergamottrack_coordination::{
    AccountId, HostId,
    budget::Budget,
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

/// Time after a server rejected a connection for which a host that is not the holder lowers its
/// maximum number of connections by one and keeps none of them when given back.
const OBSERVED_LIMIT_TTL: Duration = Duration::from_secs(3);

/// Time after a rejection for which the holder opens no more connections than the server
/// accepted. The excess connections belong to dead hosts, and servers drop these one by one
/// within 3 s.
const HOLDER_OBSERVED_LIMIT_TTL: Duration = Duration::from_millis(250);

/// Statements that a holder keeps in flight beyond a server's slots, so that the next one has
/// arrived when a slot becomes free, instead of a round trip later.
const EXTRA_IN_FLIGHT: usize = 1;

/// Maximum duration of one run of [`Pool::open_ahead`]; the next run uses the current accounts.
const OPEN_AHEAD_PERIOD: Duration = Duration::from_secs(1);

/// Delay after a failed connection before [`Pool::open_ahead`] runs again.
const OPEN_AHEAD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Interval between checks for unused connections.
pub const TRIM_INTERVAL: Duration = Duration::from_millis(100);

/// Values of a session, by name.
type Values = BTreeMap<Box<str>, Box<str>>;

/// A pool of connections to one server.
pub struct Pool {
    /// The server's entry in the list of servers.
    pub listed: RefCell<ListedServer>,
    /// Health of the server, derived from its answers.
    pub health: RefCell<Health>,
    /// Outstanding answers on connections of this host, forwarded statements included.
    pub exchanges: RefCell<silence::AnswerTracker>,
    /// Refusals by the queue of the server's holder.
    pub congestion: RefCell<congestion::Backoff>,
    /// Cold-start state of the server, and the requests it was sent while cold.
    pub warmth: RefCell<cold::WarmUp>,
    /// The request limit while the server is cold, and by how much all hosts may exceed it.
    cold: Cell<(Option<cold::Limit>, cold::Tolerance)>,
    /// Limiter of the statements in flight, with their queue.
    gate: RefCell<Gate>,
    /// Channels that admit queued statements, by the key of their place in the queue.
    waiters: RefCell<HashMap<QueueKey, oneshot::Sender<()>>>,
    /// Idle connections, each with the time of its last use.
    idle: RefCell<idle::Connections<(Backend, Instant)>>,
    /// Connections open or being opened, idle ones included.
    open: Cell<usize>,
    bounds: Cell<Bounds>,
    /// Role of this host for the server's connections.
    role: Cell<Role>,
    /// Generation of the view, list and configuration that `bounds` and `role` are based on.
    pub generation: Cell<u64>,
    /// Hash of the members that `holders` is based on; 0 forces recomputation.
    pub members: Cell<u64>,
    /// Hosts eligible to hold the server's connections, in order of preference.
    pub holders: RefCell<Vec<HostId>>,
    /// End of the time for which the last rejection limits the pool, and the number of this host's
    /// connections that the server had accepted then.
    observed_limit: Cell<Option<(Instant, usize)>>,
    /// Notified when connections are given back or closed.
    freed: Notify,
    /// Earliest start of the next [`Pool::open_ahead`]; `None` unless a run is in progress or has
    /// failed.
    next_open_ahead: Cell<Option<Instant>>,
    /// Memory of answers, and of the values that idle connections keep.
    memory: Rc<Budget>,
    /// Connections in transactions, by account.
    transactions: RefCell<HashMap<AccountId, usize>>,
    /// Notified when a transaction has ended.
    transaction_ended: Notify,
}

/// Reason why no connection was leased.
#[derive(Debug)]
pub enum NoConnection {
    /// All connections stayed in use until the deadline.
    Full,
    /// A new connection could not be opened.
    Open(OpenError),
}

/// Part of an account in the connections that may be in transactions; released on drop.
pub struct TransactionPlace {
    pool: Rc<Pool>,
    account: AccountId,
}

impl Drop for TransactionPlace {
    fn drop(&mut self) {
        let mut transactions = self.pool.transactions.borrow_mut();
        if let Some(count) = transactions.get_mut(&self.account) {
            *count -= 1;
            if *count == 0 {
                transactions.remove(&self.account);
            }
        }
        self.pool.transaction_ended.notify_one();
    }
}

/// A leased connection; closed on drop unless it was given back.
pub struct Leased {
    backend: Option<Backend>,
    pool: Rc<Pool>,
    /// Place of the transaction for which the connection is leased; `None` for a single statement.
    pub transaction: Option<TransactionPlace>,
    /// Whether the connection went back to the pool.
    returned: bool,
}

/// A permit for one statement in flight; released on drop.
pub struct Permit {
    pool: Rc<Pool>,
    /// Latency of the server's answer; `None` without an answer.
    pub latency: Cell<Option<Duration>>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.gate.borrow_mut().end(self.latency.get());
        self.pool.wake(StdInstant::now());
    }
}

impl Pool {
    /// Returns a pool without connections. `now` is the time from which requests to the server
    /// count against this host's share of a cold server's limit. Answers are charged to `memory`.
    pub fn new(listed: ListedServer, now: StdInstant, memory: Rc<Budget>) -> Rc<Self> {
        Rc::new(Self {
            listed: RefCell::new(listed),
            health: RefCell::default(),
            exchanges: RefCell::default(),
            congestion: RefCell::default(),
            warmth: RefCell::new(cold::WarmUp::new(now)),
            cold: Cell::default(),
            gate: RefCell::new(Gate::new(1)),
            waiters: RefCell::default(),
            idle: RefCell::default(),
            open: Cell::default(),
            bounds: Cell::new(connections::bounds(1, 1, 1, Role::Other)),
            role: Cell::default(),
            generation: Cell::default(),
            members: Cell::default(),
            holders: RefCell::default(),
            observed_limit: Cell::default(),
            freed: Notify::new(),
            next_open_ahead: Cell::default(),
            memory,
            transactions: RefCell::default(),
            transaction_ended: Notify::new(),
        })
    }

    /// Sets the number of connections that the server accepts, the number of hosts that share
    /// them, and this host's role for them.
    ///
    /// With `keep_slot_free`, the holder leaves one slot of the server to requests for its status: a
    /// failover waits for the position of each server, and a server without a free slot reports none.
    pub fn set_bounds(
        &self,
        max_connections: usize,
        hosts: usize,
        role: Role,
        keep_slot_free: bool,
    ) {
        let slots = self.listed.borrow().slots;
        let bounds = connections::bounds(max_connections, slots, hosts, role);
        self.bounds.set(bounds);
        self.role.set(role);
        let (min_in_flight, max_in_flight) = match role {
            Role::Holder if keep_slot_free => (1, slots.saturating_sub(1)),
            Role::Holder => (slots + EXTRA_IN_FLIGHT, bounds.cap),
            _ => (1, bounds.cap),
        };
        self.gate.borrow_mut().set_bounds(min_in_flight, max_in_flight.min(bounds.cap));
    }

    /// Sets the request limit that applies while the server is cold, and its tolerance; `None` for
    /// no limit.
    pub fn set_cold(&self, limit: Option<cold::Limit>, tolerance: cold::Tolerance) {
        self.cold.set((limit, tolerance));
    }

    /// Returns whether the server is cold, or may be.
    pub fn is_cold(&self, now: StdInstant) -> bool {
        self.warmth.borrow().is_cold(now)
    }

    /// Counts a request against this host's share of a cold server's limit; fails with the delay
    /// after which the share may allow one. Requests to a server that is warm or has no limit are
    /// not counted.
    fn admit_cold(&self, now: StdInstant) -> Result<(), Duration> {
        let mut warmth = self.warmth.borrow_mut();
        let (Some(limit), tolerance) = self.cold.get() else { return Ok(()) };
        if !warmth.is_cold(now) {
            return Ok(());
        }
        warmth.take(cold::max_requests(limit, tolerance, self.role.get()), now)
    }

    /// Records that a connection in use broke: the server may have restarted and be cold.
    pub fn record_disconnect(&self) {
        let (limit, _) = self.cold.get();
        self.warmth.borrow_mut().lost(limit, StdInstant::now());
    }

    /// Returns whether any connection is open or being opened.
    pub fn has_connections(&self) -> bool {
        self.open.get() > 0
    }

    /// Returns whether this host holds the server's connections for all hosts.
    pub fn is_holder(&self) -> bool {
        self.role.get() == Role::Holder
    }

    /// Returns the expected wait of a statement for its turn; priority 0 is the most urgent.
    pub fn wait(&self, priority: u32, queue_timeout: Duration, now: StdInstant) -> Duration {
        self.gate.borrow().wait(priority, now + queue_timeout)
    }

    /// Waits until a statement may be sent. Fails with the delay before a retry: at once if the
    /// expected wait exceeds `queue_timeout` or the share of a cold server's limit is used up, and
    /// otherwise if the turn does not come within `queue_timeout`. Priority 0 is the most urgent.
    pub async fn enter(
        self: &Rc<Self>,
        priority: u32,
        queue_timeout: Duration,
        now: StdInstant,
    ) -> Result<Permit, Duration> {
        self.admit_cold(now)?;
        let entry = self.gate.borrow_mut().enter(priority, queue_timeout, now);
        let key = match entry {
            Admission::Admitted => {
                return Ok(Permit { pool: self.clone(), latency: Cell::default() });
            }
            Admission::Refused(wait) => return Err(wait),
            Admission::Queued(key) => key,
        };
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(key, sender);
        if let Ok(Ok(())) = monoio::time::timeout(queue_timeout, receiver).await {
            return Ok(Permit { pool: self.clone(), latency: Cell::default() });
        }
        self.gate.borrow_mut().leave(key);
        // The statement was admitted after its timeout: the next one is admitted in its place.
        if self.waiters.borrow_mut().remove(&key).is_none() {
            self.gate.borrow_mut().end(None);
            self.wake(now + queue_timeout);
        }
        Err(self.wait(priority, queue_timeout, now + queue_timeout))
    }

    /// Admits a statement of an open transaction without queueing.
    ///
    /// On a cold server, waits until this host's share of the request limit allows the statement;
    /// fails with the remaining delay if that is not before `deadline`.
    pub async fn enter_in_transaction(
        self: &Rc<Self>,
        deadline: Instant,
    ) -> Result<Permit, Duration> {
        while let Err(wait) = self.admit_cold(StdInstant::now()) {
            if Instant::now() + wait >= deadline {
                return Err(wait);
            }
            monoio::time::sleep(wait).await;
        }
        self.gate.borrow_mut().force();
        Ok(Permit { pool: self.clone(), latency: Cell::default() })
    }

    /// Waits until `deadline` for a part of the connections that the account may hold in transactions.
    ///
    /// Guards against an account whose transactions are left open: with all connections in use, the
    /// statements of all others would wait for them.
    pub async fn enter_transaction(
        self: &Rc<Self>,
        account: &AccountId,
        deadline: Instant,
    ) -> Option<TransactionPlace> {
        let count = || self.transactions.borrow().get(account).copied().unwrap_or_default();
        while count() >= connections::max_transactions(self.bounds.get().cap) {
            let ended = self.transaction_ended.notified();
            monoio::time::timeout_at(deadline, ended).await.ok()?;
        }
        *self.transactions.borrow_mut().entry(account.clone()).or_default() += 1;
        Some(TransactionPlace { pool: self.clone(), account: account.clone() })
    }

    /// Admits queued statements as far as the limiter allows.
    fn wake(&self, now: StdInstant) {
        let next = || self.gate.borrow_mut().next(now);
        while let Some(key) = next() {
            let sender = self.waiters.borrow_mut().remove(&key);
            if sender.is_none_or(|sender| sender.send(()).is_err()) {
                self.gate.borrow_mut().end(None);
            }
        }
    }

    /// Returns whether the account has an idle connection.
    pub fn has_idle(&self, account: &AccountId) -> bool {
        self.idle.borrow().has(account)
    }

    /// Closes all idle connections.
    ///
    /// Also used when a connection times out: the connections to a server stop responding together,
    /// without a reset. Each use of another one would cost a request its timeout and leave the
    /// outcome of a write unknown.
    pub fn drop_idle(&self) {
        let dropped = std::mem::take(&mut *self.idle.borrow_mut()).len();
        self.open.set(self.open.get() - dropped);
        self.freed.notify_waiters();
    }

    /// Leases a connection for a statement of the account, preferably one that already has the
    /// session's values; waits for one until `deadline`.
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
                match self.open_connection(account).await {
                    // The holder waits until one of its connections is given back or closed.
                    Err(NoConnection::Open(OpenError::Rejected(Failure::TooMany)))
                        if self.is_holder() && self.open.get() > 0 => {}
                    opened => return opened,
                }
            }
            let freed = monoio::time::timeout_at(deadline, self.freed.notified()).await;
            freed.map_err(|_| NoConnection::Full)?;
        }
    }

    /// Leases a connection of any account for a query of the host itself; a new one is opened
    /// for `account`.
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

    /// Returns the maximum number of open connections; lower than the cap of `bounds` for a time
    /// after the server rejected one, but at least 1.
    fn cap(&self) -> usize {
        let limit =
            self.observed_limit().map(|limit| if self.is_holder() { limit } else { usize::MAX });
        match limit {
            Some(limit) => limit.min(self.bounds.get().cap - 1).max(1),
            None => self.bounds.get().cap,
        }
    }

    /// Returns the number of this host's connections that the server had accepted when it rejected
    /// one; `None` without a recent rejection.
    fn observed_limit(&self) -> Option<usize> {
        let current = self.observed_limit.get().filter(|(until, _)| Instant::now() < *until);
        current.map(|(_, limit)| limit)
    }

    /// Opens connections for accounts without one, sequentially, while the server is not busy;
    /// `accounts` are in descending order of their rates.
    ///
    /// Does nothing unless this host is the holder, while a previous call still runs, or for
    /// `OPEN_AHEAD_RETRY_DELAY` after a connection failed.
    pub fn open_ahead(self: &Rc<Self>, accounts: &Rc<[AccountId]>) {
        let paused = self.next_open_ahead.get().is_some_and(|until| Instant::now() < until);
        if paused || !self.is_holder() || self.next_to_open(accounts).is_none() {
            return;
        }
        self.next_open_ahead.set(Some(Instant::now() + OPEN_AHEAD_PERIOD));
        let (pool, accounts) = (self.clone(), accounts.clone());
        monoio::spawn(async move {
            let deadline = Instant::now() + OPEN_AHEAD_PERIOD;
            while let Some(account) =
                pool.next_to_open(&accounts).filter(|_| Instant::now() < deadline)
            {
                let opened = pool.open_connection(account).await;
                let Ok(leased) = opened else {
                    pool.next_open_ahead.set(Some(Instant::now() + OPEN_AHEAD_RETRY_DELAY));
                    return;
                };
                leased.give_back();
            }
            pool.next_open_ahead.set(None);
        });
    }

    /// Returns the account for which to open a connection ahead of use; `None` if the server is
    /// busy or leaving, has rejected a connection lately, or has enough connections.
    fn next_to_open<'a>(&self, accounts: &'a [AccountId]) -> Option<&'a AccountId> {
        let listed = self.listed.borrow();
        if listed.leaving || self.observed_limit().is_some() {
            return None;
        }
        let gate = self.gate.borrow();
        let (running, waiting) = (gate.running(), gate.waiting());
        let usage = Usage { open: self.open.get(), running, waiting };
        let has_connection = |account: &AccountId| self.has_idle(account);
        let bounds = self.bounds.get();
        connections::next_to_open(accounts, has_connection, usage, listed.slots, bounds)
    }

    /// Closes connections beyond the number to keep that have been idle for too long.
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
        Leased { backend: Some(backend), pool: self.clone(), transaction: None, returned: false }
    }

    fn take_idle(&self, account: &AccountId, values: &Values) -> Option<Backend> {
        let mut idle = self.idle.borrow_mut();
        let taken = idle.take(account, |(backend, _)| backend.carried.distance(values));
        taken.map(|(backend, _)| backend)
    }

    /// Closes the connection that has been idle longest, to make room for another account's.
    fn close_oldest(&self) {
        if self.idle.borrow_mut().pop_oldest().is_some() {
            self.open.set(self.open.get() - 1);
        }
    }

    async fn open_connection(self: &Rc<Self>, account: &AccountId) -> Result<Leased, NoConnection> {
        // Counted before it is open; on failure the drop of `leased` decrements the count.
        self.open.set(self.open.get() + 1);
        let mut leased =
            Leased { backend: None, pool: self.clone(), transaction: None, returned: false };
        let listed = self.listed.borrow().clone();
        match Backend::open(&listed, account, &self.memory).await {
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
                    info!(
                        server = %listed.id, open = self.open.get(),
                        "pool: server rejected a connection, too many are open"
                    );
                    let ttl = if self.is_holder() {
                        HOLDER_OBSERVED_LIMIT_TTL
                    } else {
                        OBSERVED_LIMIT_TTL
                    };
                    let limit = self.open.get() - 1;
                    self.observed_limit.set(Some((Instant::now() + ttl, limit)));
                }
                Err(NoConnection::Open(error))
            }
        }
    }
}

impl Leased {
    /// Returns the connection.
    pub fn backend(&mut self) -> &mut Backend {
        self.backend.as_mut().expect("a lease holds its connection until it is given back")
    }

    /// Returns the pool that the connection belongs to.
    pub fn pool(&self) -> &Rc<Pool> {
        &self.pool
    }

    /// Gives the connection back to the pool for the next statement; closes it instead on a host
    /// that is not the holder while the server is at its connection limit, and if there is no memory for
    /// the values that it holds.
    pub fn give_back(mut self) {
        if let Some(mut backend) = self.backend.take() {
            if !backend.keep_values() {
                return;
            }
            // While the server is at its limit, a host that is not the holder closes the
            // connection to make room for others. The holder keeps its connections, since they
            // serve all hosts.
            if self.pool.observed_limit().is_some() && !self.pool.is_holder() {
                return;
            }
            let account = backend.account.clone();
            self.pool.idle.borrow_mut().push(account, (backend, Instant::now()));
            self.returned = true;
        }
    }
}

impl Drop for Leased {
    fn drop(&mut self) {
        if !self.returned {
            self.pool.open.set(self.pool.open.get() - 1);
        }
        self.pool.freed.notify_one();
    }
}
