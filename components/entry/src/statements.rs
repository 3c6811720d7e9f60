//! Prepared statements of a caller. They are stored here, not on server connections.

use std::{collections::HashMap, rc::Rc};

use bytes::Bytes;
use pgwire::messages::extendedquery::Parse;

use crate::{
    settings::{self, Fault},
    sql::{self, Command},
};

/// Maximum number of prepared statements of a caller.
pub const MAX_STATEMENTS: usize = 1_000;

/// Maximum size of all prepared statements of a caller, in bytes.
pub const MAX_BYTES: usize = 4 << 20;

/// Prepared statement of a caller.
#[derive(Debug)]
pub struct Statement {
    /// Class of the statement.
    pub command: Command,
    /// `Parse` message that prepares the statement on a server, without a name.
    pub parse: Bytes,
}

impl Statement {
    /// Creates a statement from the caller's `Parse` message.
    pub fn new(parse: Parse) -> Rc<Self> {
        let command = sql::parse_single(&parse.query);
        let unnamed = Parse::new(None, parse.query, parse.type_oids);
        Rc::new(Self { command, parse: bergamottrack_pg::frame::bytes(&unnamed) })
    }

    /// Returns whether the entry itself can answer messages about the statement.
    pub fn is_local(&self) -> bool {
        matches!(self.command, Command::End(_)) || !settings::runs_on_server(&self.command)
    }
}

/// Prepared statements of a caller by name; the unnamed statement has an empty name.
#[derive(Debug, Default)]
pub struct Statements {
    by_name: HashMap<Box<str>, Rc<Statement>>,
    /// Size of all statements, in bytes. Exceeds [`MAX_BYTES`] by at most one statement.
    bytes: usize,
}

impl Statements {
    /// Returns the statement with a name.
    pub fn get(&self, name: &str) -> Option<Rc<Statement>> {
        self.by_name.get(name).cloned()
    }

    /// Returns the size of all statements in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Fails if another statement would exceed the limits, given `added` statements that are not
    /// inserted yet.
    pub fn check_capacity(&self, added: usize) -> Result<(), Fault> {
        if self.by_name.len() + added < MAX_STATEMENTS && self.bytes < MAX_BYTES {
            return Ok(());
        }
        let message = format!(
            "a caller has at most {MAX_STATEMENTS} prepared statements of {MAX_BYTES} bytes in all"
        );
        Err(Fault::new("54000", message))
    }

    /// Inserts a statement, replacing the one with the same name.
    pub fn insert(&mut self, name: Box<str>, statement: Rc<Statement>) {
        self.remove(&name);
        self.bytes += statement.parse.len();
        self.by_name.insert(name, statement);
    }

    /// Removes a statement.
    pub fn remove(&mut self, name: &str) {
        if let Some(removed) = self.by_name.remove(name) {
            self.bytes -= removed.parse.len();
        }
    }

    /// Removes all statements.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
