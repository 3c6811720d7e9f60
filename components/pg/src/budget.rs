//! Memory that many connections share.

use std::{cell::Cell, fmt, rc::Rc};

/// Bytes that each connection may hold beside the budget.
const FREE_PER_CONNECTION: usize = 64 << 10;

/// Bytes that all connections together may hold of what they are being sent.
///
/// Each may be sent a large message. Without a common limit, enough of them
/// that are sent one at the same time take all the memory of the host.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    used: Cell<usize>,
}

/// There is no room for what a connection is being sent.
#[derive(Clone, Copy, Debug)]
pub struct BudgetExhausted;

impl fmt::Display for BudgetExhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("too many large messages are on their way to this host")
    }
}

impl std::error::Error for BudgetExhausted {}

/// What one connection holds; given back when it is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Rc<Budget>,
    /// Part of the budget's use.
    bytes: usize,
}

impl Budget {
    /// A budget of which nothing is used.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { limit, used: Cell::default() })
    }

    /// A connection that holds nothing.
    pub fn charge(self: &Rc<Self>) -> Charge {
        Charge { budget: self.clone(), bytes: 0 }
    }
}

impl Charge {
    /// The connection now holds `bytes`; an error, and no change, when there is no room.
    pub fn set(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let bytes = bytes.saturating_sub(FREE_PER_CONNECTION);
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
