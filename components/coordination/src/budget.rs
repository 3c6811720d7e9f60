//! Memory budget shared by connections.

use std::{cell::Cell, fmt, rc::Rc};

/// Maximum number of bytes that all connections together may hold.
///
/// Each connection may hold a large message or large session values. Without a common limit, enough of
/// them at the same time exhaust the memory of the host.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    /// Bytes that each connection may hold without a charge.
    free: usize,
    used: Cell<usize>,
}

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
#[derive(Debug)]
pub struct Charge {
    budget: Rc<Budget>,
    /// Bytes charged to the budget.
    bytes: usize,
}

impl Budget {
    /// Creates an unused budget of `limit` bytes, from which each connection has `free` bytes without a
    /// charge.
    pub fn new(limit: usize, free: usize) -> Rc<Self> {
        Rc::new(Self { limit, free, used: Cell::default() })
    }

    /// Creates the charge of a connection that holds nothing.
    pub fn charge(self: &Rc<Self>) -> Charge {
        Charge { budget: self.clone(), bytes: 0 }
    }
}

impl Charge {
    /// Sets the number of bytes that the connection holds. If they do not fit into the budget,
    /// returns an error and changes nothing. A charge that does not grow never fails.
    pub fn set(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let bytes = bytes.saturating_sub(self.budget.free);
        let used = self.budget.used.get() - self.bytes + bytes;
        if bytes > self.bytes && used > self.budget.limit {
            return Err(BudgetExhausted);
        }
        self.budget.used.set(used);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}
