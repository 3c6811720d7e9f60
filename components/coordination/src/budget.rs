//! Memory budget shared by connections.

use std::{cell::Cell, fmt, rc::Rc};

use crate::clients::{Client, Clients};

/// Maximum number of bytes that all connections together may hold.
///
/// Each connection may hold a large message or large session values. Without a common limit, enough of
/// them at the same time exhaust the memory of the host.
pub struct Budget {
    limit: usize,
    /// Bytes that each charge may hold without counting.
    free: usize,
    used: Cell<usize>,
    /// Bytes kept for small charges in a budget without clients.
    small_reserve: usize,
    /// Clients of which some are closed when the budget is exhausted; `None` if none are.
    clients: Option<Rc<Clients>>,
}

/// Part of the limit that is kept for accounts that hold little, so that one that holds much leaves room for
/// others.
const RESERVE_DIVISOR: usize = 4;

/// Part of the limit up to which an account holds little.
const LITTLE_DIVISOR: usize = 8;

/// Part of a limit without clients that is kept for small charges, and part of it up to which one is small.
const SMALL_RESERVE_DIVISOR: usize = 8;
const SMALL_DIVISOR: usize = 512;

/// Part of the limit by which the budget may be exceeded until the clients that are closed for it end.
const OVERSHOOT_DIVISOR: usize = 4;

/// Error of a connection whose buffer does not fit into the budget.
#[derive(Clone, Copy, Debug)]
pub struct BudgetExhausted;

impl fmt::Display for BudgetExhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connections of this host hold too much memory")
    }
}

impl std::error::Error for BudgetExhausted {}

/// Part of a budget used by one connection, released on drop.
pub struct Charge {
    budget: Rc<Budget>,
    /// Bytes charged to the budget.
    bytes: usize,
    /// The client for which they are charged; `None` for those that are never closed for others.
    client: Option<Rc<Client>>,
}

impl Budget {
    /// Creates an unused budget of `limit` bytes, from which each connection has `free` bytes without a
    /// charge.
    pub fn new(limit: usize, free: usize) -> Rc<Self> {
        Rc::new(Self { limit, free, used: Cell::default(), small_reserve: 0, clients: None })
    }

    /// Creates an unused budget as [`Self::new`] does, a part of which is kept for small charges.
    pub fn with_reserve(limit: usize, free: usize) -> Rc<Self> {
        let small_reserve = limit / SMALL_RESERVE_DIVISOR;
        Rc::new(Self { limit, free, used: Cell::default(), small_reserve, clients: None })
    }

    /// Creates an unused budget as [`Self::new`] does. When it is exhausted, the clients that hold most for
    /// the longest time are closed.
    pub fn of_clients(limit: usize, free: usize, clients: Rc<Clients>) -> Rc<Self> {
        let clients = Some(clients);
        Rc::new(Self { limit, free, used: Cell::default(), small_reserve: 0, clients })
    }

    /// Creates the charge of a connection that holds nothing.
    pub fn charge(self: &Rc<Self>) -> Charge {
        Charge { budget: self.clone(), bytes: 0, client: None }
    }

    /// Creates a charge of a client, which may be closed for others.
    pub fn client_charge(self: &Rc<Self>, client: Rc<Client>) -> Charge {
        Charge { budget: self.clone(), bytes: 0, client: Some(client) }
    }

    /// Returns the bytes charged.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Returns the maximum number of bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns whether `used` bytes may be charged in all, `own` of them by this charge and `growth` of
    /// these in addition, for the client.
    fn admits(&self, used: usize, own: usize, growth: usize, client: Option<&Rc<Client>>) -> bool {
        let Some(clients) = &self.clients else {
            let is_small = own <= self.limit / SMALL_DIVISOR;
            return used <= self.limit - if is_small { 0 } else { self.small_reserve };
        };
        let account = client.map_or(0, |client| clients.account_bytes(client));
        let holds_little = account + growth <= self.limit / LITTLE_DIVISOR;
        let reserve = if holds_little { 0 } else { self.limit / RESERVE_DIVISOR };
        let missing = used.saturating_sub(self.limit - reserve);
        if missing == 0 {
            return true;
        }
        missing <= self.limit / OVERSHOOT_DIVISOR && clients.reclaim(missing, client)
    }
}

impl Charge {
    /// Sets the number of bytes that the connection holds. If they do not fit into the budget,
    /// returns an error and changes nothing. A charge that does not grow never fails.
    pub fn set(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let bytes = bytes.saturating_sub(self.budget.free);
        let used = self.budget.used.get() - self.bytes + bytes;
        let growth = bytes.saturating_sub(self.bytes);
        if growth > 0 && !self.budget.admits(used, bytes, growth, self.client.as_ref()) {
            return Err(BudgetExhausted);
        }
        self.budget.used.set(used);
        if let (Some(clients), Some(client)) = (&self.budget.clients, &self.client) {
            clients.set_bytes(client, self.bytes, bytes);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl fmt::Debug for Charge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Charge({} bytes)", self.bytes)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        // A charge that shrinks does not fail.
        let _ = self.set(0);
    }
}
