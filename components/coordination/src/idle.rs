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
    by_use: BTreeMap<u64, (ids::AccountId, T)>,
    /// The keys in `by_use` of each account's connections; no account has none.
    by_account: HashMap<ids::AccountId, BTreeSet<u64>>,
    next_key: u64,
}

impl<T> Default for Connections<T> {
    fn default() -> Self {
        Self { by_use: BTreeMap::new(), by_account: HashMap::new(), next_key: 0 }
    }
}

impl<T> Connections<T> {
    /// Puts a connection that was just used.
    pub fn push(&mut self, account: ids::AccountId, connection: T) {
        self.by_account.entry(account.clone()).or_default().insert(self.next_key);
        self.by_use.insert(self.next_key, (account, connection));
        self.next_key += 1;
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_use.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_use.is_empty()
    }

    /// Whether the account has one.
    pub fn has(&self, account: &ids::AccountId) -> bool {
        self.by_account.contains_key(account)
    }

    /// Takes the account's connection with the least `cost`, among equals the one used last.
    pub fn take(&mut self, account: &ids::AccountId, cost: impl Fn(&T) -> usize) -> Option<T> {
        let keys = self.by_account.get(account)?.iter().rev();
        let key = *keys.min_by_key(|key| self.by_use.get(*key).map(|(_, entry)| cost(entry)))?;
        self.remove(key)
    }

    /// Takes the connection used last.
    pub fn pop_newest(&mut self) -> Option<T> {
        let (key, _) = self.by_use.last_key_value()?;
        self.remove(*key)
    }

    /// The connection that has not been used for longest.
    pub fn oldest(&self) -> Option<&T> {
        self.by_use.first_key_value().map(|(_, (_, connection))| connection)
    }

    /// Takes the connection that has not been used for longest.
    pub fn pop_oldest(&mut self) -> Option<T> {
        let (key, _) = self.by_use.first_key_value()?;
        self.remove(*key)
    }

    fn remove(&mut self, key: u64) -> Option<T> {
        let (account, connection) = self.by_use.remove(&key)?;
        if let Some(keys) = self.by_account.get_mut(&account) {
            keys.remove(&key);
            if keys.is_empty() {
                self.by_account.remove(&account);
            }
        }
        Some(connection)
    }
}
