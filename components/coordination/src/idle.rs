//! Connections that nobody uses, by the account that they are for and by their last use.
//!
//! The load it answers: thousands of accounts before one server that takes thousands of
//! connections. Each statement looks for a connection of its account, and each connection that
//! is opened ahead for an account that has none; neither may look at all the others.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids;

/// Connections that nobody uses.
#[derive(Debug)]
pub struct Connections<T> {
    /// By the order in which they were put, the one used last at the end.
    all: BTreeMap<u64, (ids::AccountId, T)>,
    /// The keys in `all` of each account's connections; no account has none.
    owned: HashMap<ids::AccountId, BTreeSet<u64>>,
    next: u64,
}

impl<T> Default for Connections<T> {
    fn default() -> Self {
        Self { all: BTreeMap::new(), owned: HashMap::new(), next: 0 }
    }
}

impl<T> Connections<T> {
    /// Puts a connection that was just used.
    pub fn push(&mut self, account: ids::AccountId, connection: T) {
        self.owned.entry(account.clone()).or_default().insert(self.next);
        self.all.insert(self.next, (account, connection));
        self.next += 1;
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether the account has one.
    pub fn has(&self, account: &ids::AccountId) -> bool {
        self.owned.contains_key(account)
    }

    /// Takes the account's connection with the least `cost`, among equals the one used last.
    pub fn take(&mut self, account: &ids::AccountId, cost: impl Fn(&T) -> usize) -> Option<T> {
        let owned = self.owned.get(account)?.iter().rev();
        let key = *owned.min_by_key(|key| self.all.get(*key).map(|(_, of)| cost(of)))?;
        self.remove(key)
    }

    /// Takes the connection used last.
    pub fn pop_newest(&mut self) -> Option<T> {
        let (key, _) = self.all.last_key_value()?;
        self.remove(*key)
    }

    /// The connection that has not been used for longest.
    pub fn oldest(&self) -> Option<&T> {
        self.all.first_key_value().map(|(_, (_, connection))| connection)
    }

    /// Takes the connection that has not been used for longest.
    pub fn pop_oldest(&mut self) -> Option<T> {
        let (key, _) = self.all.first_key_value()?;
        self.remove(*key)
    }

    fn remove(&mut self, key: u64) -> Option<T> {
        let (account, connection) = self.all.remove(&key)?;
        if let Some(owned) = self.owned.get_mut(&account) {
            owned.remove(&key);
            if owned.is_empty() {
                self.owned.remove(&account);
            }
        }
        Some(connection)
    }
}
