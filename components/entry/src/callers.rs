//! The callers of one host: how many there are, and whether they are to leave.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc};

use bergamottrack_pg::budget::Budget;
use monoio::net::{ListenerOpts, TcpListener};
use tokio::sync::Notify;

/// Bytes of an answer that the machine holds for each caller.
///
/// What the machine takes counts as taken by the caller. By itself it takes up
/// to 4 MB, so that one that reads nothing would keep a server's slot for long.
const SEND_BUFFER: usize = 128 << 10;

/// Connections above the limit that are told so at the same time; all further
/// ones are closed without a word.
const MAX_REFUSED: usize = 64;

/// Listens for callers.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    // Without its own port a host would share callers with another one, or fail to say so.
    let options = ListenerOpts::new().send_buf_size(SEND_BUFFER).reuse_port(false);
    TcpListener::bind_with_config(address, &options)
}

/// Bytes that a host holds of large messages that are on their way from callers.
const MAX_INPUT: usize = 64 << 20;

/// The callers of one host.
pub struct Callers {
    /// Memory that what they send may take.
    pub input: Rc<Budget>,
    /// The most connections at once.
    limit: usize,
    connected: Cell<usize>,
    over_limit: Cell<usize>,
    /// Callers whose request runs or whose transaction is open.
    busy: Cell<usize>,
    draining: Cell<bool>,
    drain_notify: Notify,
}

/// A place among the callers; given back when it is dropped.
pub struct Permit {
    callers: Rc<Callers>,
    busy: Cell<bool>,
    /// Whether the caller is above the limit, and only there to be told so.
    pub over_limit: bool,
}

impl Callers {
    /// No callers yet, and at most `limit` at once.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            input: Budget::new(MAX_INPUT),
            limit,
            connected: Cell::default(),
            over_limit: Cell::default(),
            busy: Cell::default(),
            draining: Cell::default(),
            drain_notify: Notify::new(),
        })
    }

    /// A place for a new connection; `None` when it is to be closed at once.
    pub fn acquire(self: &Rc<Self>) -> Option<Permit> {
        let over_limit = self.connected.get() >= self.limit;
        let count = if over_limit { &self.over_limit } else { &self.connected };
        if over_limit && count.get() >= MAX_REFUSED {
            return None;
        }
        count.set(count.get() + 1);
        Some(Permit { callers: self.clone(), busy: Cell::default(), over_limit })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.connected.get()
    }

    /// Tells all callers to leave as soon as their requests and transactions have ended.
    pub fn drain(&self) {
        self.draining.set(true);
        self.drain_notify.notify_waiters();
    }

    /// Whether callers are told to leave.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Whether no request runs and no transaction is open.
    pub fn is_idle(&self) -> bool {
        self.busy.get() == 0
    }
}

impl Permit {
    /// Notes whether a request runs or a transaction is open.
    pub fn set_busy(&self, busy: bool) {
        if self.busy.replace(busy) != busy {
            let count = self.callers.busy.get();
            self.callers.busy.set(if busy { count + 1 } else { count - 1 });
        }
    }

    /// Waits until callers are told to leave.
    pub async fn drain_started(&self) {
        loop {
            let notified = self.callers.drain_notify.notified();
            if self.callers.draining.get() {
                return;
            }
            notified.await;
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.set_busy(false);
        let count =
            if self.over_limit { &self.callers.over_limit } else { &self.callers.connected };
        count.set(count.get() - 1);
    }
}
