//! The prepared statements of a caller, which no server's connection keeps.

use std::{collections::HashMap, rc::Rc};

use bytes::Bytes;
use pgwire::messages::extendedquery::Parse;

use crate::{
    settings::{self, Fault},
    sql::{self, Command},
};

/// The most prepared statements of one caller.
pub const MAX_STATEMENTS: usize = 1_000;

/// The most bytes of all prepared statements of one caller.
pub const MAX_BYTES: usize = 4 << 20;

/// A statement that a caller has prepared.
#[derive(Debug)]
pub struct Statement {
    /// What it is.
    pub command: Command,
    /// Its preparation under no name, for a server.
    pub parse: Bytes,
}

impl Statement {
    /// Reads what a caller prepares.
    pub fn new(parse: Parse) -> Rc<Self> {
        let command = sql::parse_single(&parse.query);
        let unnamed = Parse::new(None, parse.query, parse.type_oids);
        Rc::new(Self { command, parse: bergamottrack_pg::frame::bytes(&unnamed) })
    }

    /// Whether the entry itself can answer for it.
    pub fn is_local(&self) -> bool {
        matches!(self.command, Command::End(_)) || !settings::runs_on_server(&self.command)
    }
}

/// The prepared statements of a caller by name; the unnamed one has an empty name.
#[derive(Debug, Default)]
pub struct Statements {
    by_name: HashMap<Box<str>, Rc<Statement>>,
    /// Bytes of all statements; at most [`MAX_BYTES`] and one statement more.
    bytes: usize,
}

impl Statements {
    /// The statement of that name.
    pub fn get(&self, name: &str) -> Option<Rc<Statement>> {
        self.by_name.get(name).cloned()
    }

    /// Whether one more may be kept.
    pub fn check_capacity(&self, added: usize) -> Result<(), Fault> {
        if self.by_name.len() + added < MAX_STATEMENTS && self.bytes < MAX_BYTES {
            return Ok(());
        }
        let message = format!(
            "a caller has at most {MAX_STATEMENTS} prepared statements of {MAX_BYTES} bytes in all"
        );
        Err(Fault::new("54000", message))
    }

    /// Keeps a statement.
    pub fn insert(&mut self, name: Box<str>, statement: Rc<Statement>) {
        self.remove(&name);
        self.bytes += statement.parse.len();
        self.by_name.insert(name, statement);
    }

    /// Forgets a statement.
    pub fn remove(&mut self, name: &str) {
        if let Some(removed) = self.by_name.remove(name) {
            self.bytes -= removed.parse.len();
        }
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
