//! Session state, and its transfer to pooled connections.

use std::collections::{BTreeMap, HashMap, HashSet};

use xxhash_rust::xxh3;

use crate::statement::{Access, Shape, Statement};

/// Values and prepared statements of a caller's session.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// Values by name.
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// Prepared statements by the caller's name.
    pub prepared: HashMap<Box<str>, Shape>,
}

impl Session {
    /// Returns the size of all values in bytes.
    pub fn values_size(&self) -> usize {
        self.values.iter().map(|(name, value)| name.len() + value.len()).sum()
    }

    /// Returns the size in bytes of all names, values and prepared statements after a statement that
    /// changes them.
    pub fn size_after(&self, statement: &Statement) -> usize {
        let mut size = self.values_size();
        size +=
            self.prepared.iter().map(|(name, shape)| name.len() + shape.text.len()).sum::<usize>();
        let value_size =
            |name: &str| self.values.get(name).map_or(0, |value| name.len() + value.len());
        let shape_size =
            |name: &str| self.prepared.get(name).map_or(0, |shape| name.len() + shape.text.len());
        match statement {
            Statement::Set { name, value } => size - value_size(name) + name.len() + value.len(),
            Statement::Prepare { name, shape } => {
                size - shape_size(name) + name.len() + shape.text.len()
            }
            Statement::Deallocate { name } => size - shape_size(name),
            _ => size,
        }
    }
}

/// Values and prepared statements of a connection to a server.
#[derive(Clone, Debug, Default)]
pub struct ConnectionState {
    /// Values by name, as acknowledged by the server.
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// Names of the prepared statements, as returned by [`shared_name`].
    pub prepared: HashSet<Box<str>>,
}

/// Step that transfers session state to a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Drops all values and prepared statements.
    Reset,
    /// Sets a value, given by name and content.
    Set(Box<str>, Box<str>),
    /// Prepares a statement under a name.
    Prepare(Box<str>, Shape),
}

/// Returns the name of a prepared statement on connections to servers.
///
/// Names chosen by callers collide. A name derived from the definition lets sessions share a
/// connection without preparing the statement again. Hashes of 64 bits do not collide for a few
/// hundred definitions.
pub fn shared_name(shape: &Shape) -> Box<str> {
    let kind = match shape.access {
        Access::Read => 'r',
        Access::Write => 'w',
    };
    format!("{kind}{:016x}", xxh3::xxh3_64(shape.text.as_bytes())).into()
}

/// Maximum number of prepared statements of a connection, beyond which all are dropped: sessions may
/// prepare a new one for each statement.
const MAX_PREPARED: usize = 1024;

impl ConnectionState {
    /// Returns the size of all values in bytes.
    pub fn size(&self) -> usize {
        self.values.iter().map(|(name, value)| name.len() + value.len()).sum()
    }

    /// Returns an estimate of the steps needed to give the connection these values; 0 if it has
    /// them already.
    pub fn distance(&self, values: &BTreeMap<Box<str>, Box<str>>) -> usize {
        if self.values == *values { 0 } else { 1 + values.len() }
    }

    /// Returns the steps required before a statement of the session may run, and records them as
    /// done.
    ///
    /// The connection must have exactly the session's values: a value set by another session would
    /// change the effect of statements. Only a reset removes values, and it also drops the prepared
    /// statements.
    pub fn reconcile(
        &mut self,
        values: &BTreeMap<Box<str>, Box<str>>,
        shape: Option<&Shape>,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        let is_full = self.prepared.len() >= MAX_PREPARED;
        if is_full || self.values.keys().any(|name| !values.contains_key(name)) {
            *self = Self::default();
            steps.push(Step::Reset);
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                self.values.insert(name.clone(), value.clone());
                steps.push(Step::Set(name.clone(), value.clone()));
            }
        }
        if let Some(shape) = shape {
            let name = shared_name(shape);
            if self.prepared.insert(name.clone()) {
                steps.push(Step::Prepare(name, shape.clone()));
            }
        }
        steps
    }
}
