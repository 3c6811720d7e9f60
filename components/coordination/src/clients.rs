//! Connections of clients, which share the places and the memory of a process, and the choice of the one
//! that is closed when either is short.
//!
//! A crowd that holds places or memory and does nothing with them would otherwise have everybody refused
//! who comes after it. The connection that holds most for the longest time is closed in place of the one
//! that comes next.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
    time::{Duration, Instant},
};

use crate::{AccountId, Clock};

/// Minimum time for which the process has waited for a client whose session is closed for others. Clients
/// that do what they are expected to do are not waited for so long in the middle of a message.
const MIN_WAIT: Duration = Duration::from_secs(1);

/// Connections above the maximum that may exist while those closed for them end.
const MAX_ENDING: usize = 64;

/// Sessions that are closed at once if there is no place for a new connection.
const MAX_CLOSED: usize = 16;

/// Time between two searches for such sessions, if there was none.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// What the process waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wait {
    /// The message that begins the session.
    Start,
    /// The rest of a message.
    Message,
    /// The client to read an answer.
    Reading,
    /// The next message, outside of a transaction.
    Idle,
    /// The next message, within a transaction.
    Transaction,
}

/// Reason why a connection is closed for others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// All places are taken.
    Places,
    /// The memory of all clients is used up.
    Memory,
}

/// A client's connection.
pub struct Client {
    /// Client account; the outer option is `None` until the session has begun, the inner one for a client
    /// without an account.
    account: RefCell<Option<Option<AccountId>>>,
    /// Bytes charged to the memory of all clients for this one.
    bytes: Cell<usize>,
    /// What the process waits for, and since when; `None` while it works for the client.
    wait: Cell<Option<(Wait, Instant)>>,
    /// Why the connection is being closed.
    closing: Cell<Option<Shortage>>,
    waker: RefCell<Option<Waker>>,
}

impl Client {
    /// Records that the process waits for the client from `now` on. A wait of the same kind that has begun
    /// goes on.
    pub fn wait(&self, wait: Wait, now: Instant) {
        match self.wait.get() {
            Some((current, _)) if current == wait => {}
            _ => self.wait.set(Some((wait, now))),
        }
    }

    /// Records that the process works for the client.
    pub fn work(&self) {
        self.wait.set(None);
    }

    /// Returns why the connection is to be closed; `None` if it is not.
    pub fn closing(&self) -> Option<Shortage> {
        self.closing.get()
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) -> Shortage {
        poll_fn(|context| match self.closing.get() {
            Some(shortage) => Poll::Ready(shortage),
            None => {
                let mut waker = self.waker.borrow_mut();
                if !waker.as_ref().is_some_and(|waker| waker.will_wake(context.waker())) {
                    *waker = Some(context.waker().clone());
                }
                Poll::Pending
            }
        })
        .await
    }

    fn close(&self, shortage: Shortage) {
        self.closing.set(Some(shortage));
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Returns how long the process has waited for the client; `None` while it works for it or closes the
    /// connection.
    fn waited(&self, now: Instant) -> Option<(Wait, Duration)> {
        let (wait, since) = self.wait.get().filter(|_| self.closing.get().is_none())?;
        Some((wait, now.saturating_duration_since(since)))
    }

    /// Returns the bytes held, times the seconds for which the process has waited for the client.
    fn weight(&self, waited: Duration) -> f64 {
        self.bytes.get() as f64 * waited.as_secs_f64()
    }
}

/// All clients of a process.
pub struct Clients {
    /// Maximum number of connections.
    max: usize,
    clock: Rc<dyn Clock>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    /// Connections without a session that are not being closed, by number, which grows with each.
    starting: RefCell<BTreeSet<u64>>,
    /// What each account holds; `None` stands for clients without one.
    accounts: RefCell<HashMap<Option<AccountId>, Holding>>,
    /// Connections that are being closed.
    ending: Cell<usize>,
    next: Cell<u64>,
    /// Time until which no session is searched for that may be closed, as there was none.
    next_search: Cell<Option<Instant>>,
}

/// What the clients of an account hold.
#[derive(Clone, Copy, Debug, Default)]
struct Holding {
    sessions: usize,
    bytes: usize,
}

/// Place of a connection, which is free again once it is dropped.
pub struct Place {
    clients: Rc<Clients>,
    number: u64,
    /// The connection.
    pub client: Rc<Client>,
}

/// Error of a connection for which there is no place.
#[derive(Clone, Copy, Debug)]
pub struct NoPlace;

impl fmt::Display for NoPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the process has as many connections of clients as it may have")
    }
}

impl std::error::Error for NoPlace {}

impl Place {
    /// Returns the account of the session; `None` before it begins and for a client without one.
    pub fn account(&self) -> Option<AccountId> {
        self.client.account.borrow().clone().flatten()
    }

    /// Records that the session has begun, for the account.
    pub fn begin(&self, account: Option<AccountId>) {
        self.clients.starting.borrow_mut().remove(&self.number);
        let bytes = self.client.bytes.get();
        self.clients.update_holding(&self.client, |holding| holding.bytes -= bytes);
        *self.client.account.borrow_mut() = Some(account);
        self.clients.update_holding(&self.client, |holding| {
            holding.sessions += 1;
            holding.bytes += bytes;
        });
    }
}

impl Clients {
    /// Creates an empty set of at most `max` connections.
    pub fn new(max: usize, clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            max,
            clock,
            clients: RefCell::default(),
            starting: RefCell::default(),
            accounts: RefCell::default(),
            ending: Cell::default(),
            next: Cell::default(),
            next_search: Cell::default(),
        })
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Takes a place for a new connection. If all are taken, one is closed for it.
    pub fn enter(self: &Rc<Self>) -> Result<Place, NoPlace> {
        let now = self.clock.now();
        if self.count() - self.ending.get() >= self.max {
            self.make_places(now);
        }
        if self.count() - self.ending.get() >= self.max
            || self.count() >= self.max.saturating_add(MAX_ENDING)
        {
            return Err(NoPlace);
        }
        let client = Rc::new(Client {
            account: RefCell::default(),
            bytes: Cell::default(),
            wait: Cell::new(Some((Wait::Start, now))),
            closing: Cell::default(),
            waker: RefCell::default(),
        });
        let number = self.next.get();
        self.next.set(number + 1);
        self.clients.borrow_mut().insert(number, client.clone());
        self.starting.borrow_mut().insert(number);
        Ok(Place { clients: self.clone(), number, client })
    }

    /// Closes the connection that has been without a session for the longest time or else sessions of the
    /// account with the most of them, those that have waited longest. Transactions are left to their own
    /// timeouts.
    fn make_places(&self, now: Instant) {
        let clients = self.clients.borrow();
        let oldest = self.starting.borrow_mut().pop_first();
        if let Some(client) = oldest.and_then(|number| clients.get(&number)) {
            return self.close(client, Shortage::Places);
        }
        if self.next_search.get().is_some_and(|next| now < next) {
            return;
        }
        let accounts = self.accounts.borrow();
        let rank = |client: &Client| {
            let account = client.account.borrow();
            let holding = account.as_ref().and_then(|account| accounts.get(account));
            let (wait, waited) = client.waited(now)?;
            let may_close = wait != Wait::Transaction && waited >= MIN_WAIT;
            may_close.then_some((holding.map_or(0, |holding| holding.sessions), waited))
        };
        let mut ranked: Vec<_> =
            clients.values().filter_map(|client| Some((rank(client)?, client))).collect();
        ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        if ranked.is_empty() {
            self.next_search.set(Some(now + SEARCH_INTERVAL));
        }
        let most = ranked.first().map(|((sessions, _), _)| *sessions);
        let of_account = ranked.iter().take_while(|((sessions, _), _)| Some(*sessions) == most);
        for (_, client) in of_account.take(MAX_CLOSED) {
            self.close(client, Shortage::Places);
        }
    }

    /// Updates what the client's account holds.
    fn update_holding(&self, client: &Client, update: impl FnOnce(&mut Holding)) {
        let account = client.account.borrow().clone().flatten();
        let mut accounts = self.accounts.borrow_mut();
        let holding = accounts.entry(account.clone()).or_default();
        update(holding);
        if holding.sessions == 0 && holding.bytes == 0 {
            accounts.remove(&account);
        }
    }

    /// Returns the bytes that all clients of the client's account hold.
    pub(crate) fn account_bytes(&self, client: &Client) -> usize {
        let account = client.account.borrow().clone().flatten();
        self.accounts.borrow().get(&account).map_or(0, |holding| holding.bytes)
    }

    /// Records that a client holds other bytes than before.
    pub(crate) fn set_bytes(&self, client: &Client, before: usize, after: usize) {
        if before != after {
            client.bytes.set(client.bytes.get() - before + after);
            self.update_holding(client, |holding| holding.bytes = holding.bytes - before + after);
        }
    }

    fn close(&self, client: &Client, shortage: Shortage) {
        if client.closing.get().is_none() {
            self.ending.set(self.ending.get() + 1);
            client.close(shortage);
        }
    }

    /// Closes connections until all those being closed hold at least `bytes`; returns whether they do. `for_whom`
    /// is the connection that needs the memory: it gets none from connections that weigh less than it.
    pub(crate) fn reclaim(&self, bytes: usize, for_whom: Option<&Rc<Client>>) -> bool {
        let now = self.clock.now();
        let clients = self.clients.borrow();
        let closing = clients.values().filter(|client| client.closing.get().is_some());
        let mut freed: usize = closing.map(|client| client.bytes.get()).sum();
        if freed >= bytes {
            return true;
        }
        let own = for_whom
            .and_then(|client| client.waited(now).map(|(_, waited)| client.weight(waited)))
            .unwrap_or_default();
        let waiting = clients.values().filter_map(|client| {
            let (_, waited) = client.waited(now).filter(|(_, waited)| *waited >= MIN_WAIT)?;
            let weight = client.weight(waited);
            (weight > own).then_some((weight, client))
        });
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        for (_, client) in waiting {
            if freed >= bytes {
                break;
            }
            freed += client.bytes.get();
            self.close(client, Shortage::Memory);
        }
        freed >= bytes
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let clients = &self.clients;
        clients.clients.borrow_mut().remove(&self.number);
        clients.starting.borrow_mut().remove(&self.number);
        if self.client.closing.get().is_some() {
            clients.ending.set(clients.ending.get() - 1);
        }
        if self.client.account.borrow().is_some() {
            clients.update_holding(&self.client, |holding| holding.sessions -= 1);
        }
    }
}
