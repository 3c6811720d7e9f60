//! Connection limit and draining of the callers of a host.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc};

use bergamottrack_coordination::budget::Budget;
use bergamottrack_peer::newest::Newest;
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

/// Size of the socket receive buffer of each caller, in bytes. What it holds counts as memory of the
/// process; by default it grows to megabytes.
const RECEIVE_BUFFER: usize = 8 << 10;

/// Binds the listener for callers.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    // With SO_REUSEPORT, two hosts on one port would share the callers without an error.
    let options = ListenerOpts::new().send_buf_size(SEND_BUFFER).reuse_port(false);
    TcpListener::bind_with_config(address, &options.recv_buf_size(RECEIVE_BUFFER))
}

/// Maximum memory for large messages that a host is receiving from callers, in bytes.
const MAX_INPUT: usize = 64 << 20;

/// Part of the machine's memory for these messages, if that is less.
const INPUT_SHARE: f64 = 0.4;

/// Bytes of a message that each connection may receive without a charge to that memory.
const FREE_INPUT: usize = 8 << 10;

/// Part of the machine's memory for the connections, and memory of one in bytes: its task, its buffers and
/// what the system has received for it.
const CONNECTIONS_SHARE: f64 = 0.35;
const CONNECTION_MEMORY: usize = 32 << 10;

/// Part of the connections, as a divisor, that may be without an authenticated caller, and its minimum. The
/// oldest of them is closed for the next.
const LOGINS_DIVISOR: usize = 4;
const MIN_LOGINS: usize = 64;

/// Callers connected to a host.
pub struct Callers {
    /// Memory budget for messages received from callers.
    pub input: Rc<Budget>,
    /// Connections without an authenticated caller.
    pub logins: Rc<Newest>,
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
    /// Creates an empty set of callers with a maximum number of connections, on a machine with `memory` bytes,
    /// which may allow fewer.
    pub fn new(limit: usize, memory: usize) -> Rc<Self> {
        let part = |share: f64| (memory as f64 * share) as usize;
        let limit = limit.min(part(CONNECTIONS_SHARE) / CONNECTION_MEMORY).max(1);
        Rc::new(Self {
            input: Budget::with_reserve(MAX_INPUT.min(part(INPUT_SHARE)), FREE_INPUT),
            logins: Newest::new((limit / LOGINS_DIVISOR).max(MIN_LOGINS)),
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
