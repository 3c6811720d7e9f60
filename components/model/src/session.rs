//! What a session has set, and how a pooled connection is brought to it.

use std::collections::{BTreeMap, HashMap, HashSet};

use xxhash_rust::xxh3;

use crate::statement::{Access, Shape};

/// Values and named statements of a caller's session.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// Values by name.
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// Statements by the caller's name.
    pub prepared: HashMap<Box<str>, Shape>,
}

/// Values and named statements that a connection to a server holds.
#[derive(Clone, Debug, Default)]
pub struct ConnectionState {
    /// Values by name; just those that the server acknowledged.
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// Named statements, by the name that [`shared_name`] gives them.
    pub prepared: HashSet<Box<str>>,
}

/// A step that brings a connection nearer to a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Drop all values and names.
    Reset,
    /// Set a value.
    Set(Box<str>, Box<str>),
    /// Name a statement.
    Prepare(Box<str>, Shape),
}

/// The name that statements of this shape have on every connection.
///
/// Callers' names collide; a name made from the shape lets sessions share a
/// connection without naming anew. 64 bits over a few hundred shapes do not collide.
pub fn shared_name(shape: &Shape) -> Box<str> {
    let kind = match shape.access {
        Access::Read => 'r',
        Access::Write => 'w',
    };
    format!("{kind}{:016x}", xxh3::xxh3_64(shape.text.as_bytes())).into()
}

impl ConnectionState {
    /// How many steps away from the values the connection is; less is better.
    pub fn distance(&self, values: &BTreeMap<Box<str>, Box<str>>) -> usize {
        if self.values == *values { 0 } else { 1 + values.len() }
    }

    /// What must be done before a statement of the session may run, and notes it as done.
    ///
    /// Values must be equal, not just present: a value left by another session
    /// would change what this one's statements do. It is only a reset that takes
    /// values away, and it drops the names too.
    pub fn reconcile(
        &mut self,
        values: &BTreeMap<Box<str>, Box<str>>,
        shape: Option<&Shape>,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.values.keys().any(|name| !values.contains_key(name)) {
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
