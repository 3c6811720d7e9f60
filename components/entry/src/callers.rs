//! Connection limit and draining of the callers of a host.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc};

use bergamottrack_coordination::budget::Budget;
use monoio::net::{ListenerOpts, TcpListener};
use tokio::sync::Notify;

/// Size of the socket send buffer of each caller, in bytes.
///
/// Data in this buffer counts as received by the caller. By default the kernel buffers up to
/// 4 MB, with which a caller that reads nothing would occupy a server's slot for a long time.
const SEND_BUFFER: usize = 128 << 10;

/// Maximum number of connections above the limit that are answered with a refusal at the same
/// time. Any further ones are closed without an answer.
const MAX_REFUSED: usize = 64;

/// Binds the listener for callers.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    // With SO_REUSEPORT, two hosts on one port would share the callers without an error.
    let options = ListenerOpts::new().send_buf_size(SEND_BUFFER).reuse_port(false);
    TcpListener::bind_with_config(address, &options)
}

/// Maximum memory for large messages that a host is receiving from callers, in bytes.
const MAX_INPUT: usize = 64 << 20;

/// Bytes of a message that each connection may receive without a charge to that memory.
const FREE_INPUT: usize = 64 << 10;

/// Callers connected to a host.
pub struct Callers {
    /// Memory budget for messages received from callers.
    pub input: Rc<Budget>,
    /// Maximum number of connections, without those above the limit that are being refused.
    limit: usize,
    connected: Cell<usize>,
    over_limit: Cell<usize>,
    /// Number of callers with a running request or an open transaction.
    busy: Cell<usize>,
    draining: Cell<bool>,
    drain_notify: Notify,
}

/// Permit for one connection; released when dropped.
pub struct Permit {
    callers: Rc<Callers>,
    busy: Cell<bool>,
    /// Whether the connection is above the limit and only accepted in order to be refused.
    pub over_limit: bool,
}

impl Callers {
    /// Creates an empty set of callers with a maximum number of connections.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            input: Budget::new(MAX_INPUT, FREE_INPUT),
            limit,
            connected: Cell::default(),
            over_limit: Cell::default(),
            busy: Cell::default(),
            draining: Cell::default(),
            drain_notify: Notify::new(),
        })
    }

    /// Acquires a permit for a new connection; `None` if the connection must be closed at once.
    pub fn acquire(self: &Rc<Self>) -> Option<Permit> {
        let over_limit = self.connected.get() >= self.limit;
        let count = if over_limit { &self.over_limit } else { &self.connected };
        if over_limit && count.get() >= MAX_REFUSED {
            return None;
        }
        count.set(count.get() + 1);
        Some(Permit { callers: self.clone(), busy: Cell::default(), over_limit })
    }

    /// Returns the number of connected callers.
    pub fn count(&self) -> usize {
        self.connected.get()
    }

    /// Starts to disconnect all callers, each once its request or transaction has ended.
    pub fn drain(&self) {
        self.draining.set(true);
        self.drain_notify.notify_waiters();
    }

    /// Returns whether draining has started.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns whether no request is running and no transaction is open.
    pub fn is_idle(&self) -> bool {
        self.busy.get() == 0
    }
}

impl Permit {
    /// Sets whether a request is running or a transaction is open.
    pub fn set_busy(&self, busy: bool) {
        if self.busy.replace(busy) != busy {
            let count = self.callers.busy.get();
            self.callers.busy.set(if busy { count + 1 } else { count - 1 });
        }
    }

    /// Waits until draining starts.
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
