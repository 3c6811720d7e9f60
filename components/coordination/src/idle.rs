//! Idle connections, indexed by account and by last use.
//!
//! Sized for thousands of accounts at one server that accepts thousands of connections.
//! Each statement requires a look-up of a connection of its account, and each connection
//! opened in advance a check of which accounts have none; neither may scan all connections.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids;

/// Idle connections of one server.
#[derive(Debug)]
pub struct Connections<T> {
    /// Connections by a key that increases with each use; the most recently used is last.
    by_use: BTreeMap<u64, (ids::AccountId, T)>,
    /// Keys in `by_use` of each account's connections; accounts without any are absent.
    by_account: HashMap<ids::AccountId, BTreeSet<u64>>,
    next_key: u64,
}

impl<T> Default for Connections<T> {
    fn default() -> Self {
        Self { by_use: BTreeMap::new(), by_account: HashMap::new(), next_key: 0 }
    }
}

impl<T> Connections<T> {
    /// Adds a connection that was just used.
    pub fn push(&mut self, account: ids::AccountId, connection: T) {
        self.by_account.entry(account.clone()).or_default().insert(self.next_key);
        self.by_use.insert(self.next_key, (account, connection));
        self.next_key += 1;
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.by_use.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.by_use.is_empty()
    }

    /// Returns whether the account has a connection.
    pub fn has(&self, account: &ids::AccountId) -> bool {
        self.by_account.contains_key(account)
    }

    /// Removes and returns the account's connection with the lowest `cost`, and among
    /// connections of equal cost the most recently used.
    pub fn take(&mut self, account: &ids::AccountId, cost: impl Fn(&T) -> usize) -> Option<T> {
        let keys = self.by_account.get(account)?.iter().rev();
        let key = *keys
            .min_by_key(|key| self.by_use.get(*key).map(|(_, connection)| cost(connection)))?;
        self.remove(key)
    }

    /// Removes and returns the most recently used connection.
    pub fn pop_newest(&mut self) -> Option<T> {
        let (key, _) = self.by_use.last_key_value()?;
        self.remove(*key)
    }

    /// Returns the least recently used connection.
    pub fn oldest(&self) -> Option<&T> {
        self.by_use.first_key_value().map(|(_, (_, connection))| connection)
    }

    /// Removes and returns the least recently used connection.
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
