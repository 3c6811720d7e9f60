//! Statements of callers and answers to them.

use bergamottrack_coordination::{Fate, Point};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Access of a statement or transaction to the data.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Access {
    /// Only reads.
    Read,
    /// May write.
    Write,
}

/// Parsed statement of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Opens a transaction.
    Begin(Access),
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads data.
    Read,
    /// Writes data.
    Write,
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: Box<str>,
        /// New value.
        value: Box<str>,
    },
    /// Prepares a statement.
    Prepare {
        /// Name within the session.
        name: Box<str>,
        /// Definition of the statement.
        shape: Shape,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name within the session.
        name: Box<str>,
        /// Remaining text of the statement.
        args: Box<str>,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// Name within the session.
        name: Box<str>,
    },
}

/// Definition of a prepared statement.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Shape {
    /// Access of the statement to the data.
    pub access: Access,
    /// Remaining text of the definition.
    pub text: Box<str>,
}

/// Statement received from a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Caller's id of the request, unique for each statement.
    pub id: Box<str>,
    /// Text of the statement, sent to backend servers unchanged.
    pub text: Box<str>,
    /// Parsed text.
    pub statement: Statement,
}

/// Transaction state of a session or connection between statements.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction has failed and must be ended.
    Failed,
}

/// Reason why a statement failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Failure {
    /// The transaction was rolled back.
    Aborted,
    /// The server has not reached the required log position.
    Behind,
    /// There is currently no capacity for the statement.
    Busy,
    /// The caller's key is unknown.
    Denied,
    /// The statement ran and failed.
    Failed,
    /// The statement cannot be parsed, or is not allowed in the current state.
    Malformed,
    /// The statement reached another server than the intended one.
    Misdirected,
    /// The database does not exist.
    NoDatabase,
    /// A write was sent to a server that is not the leader.
    ReadOnly,
    /// The statement timed out.
    TimedOut,
    /// The message is too large.
    TooLarge,
    /// The server has too many connections.
    TooMany,
    /// The statement may have run.
    Uncertain,
    /// There is no prepared statement of that name.
    UnknownName,
}

impl Failure {
    /// Returns whether a statement with this failure may have had an effect.
    pub fn fate(self) -> Fate {
        match self {
            Self::Failed | Self::TimedOut | Self::Uncertain => Fate::Unknown,
            _ => Fate::NotRun,
        }
    }
}

/// Result of a statement on a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The statement ran.
    Done,
    /// The statement failed, with the server's text.
    Failed(Failure, Box<str>),
}

/// Complete answer of a backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerAnswer {
    /// Rows and outcome as sent by the server, to be forwarded unchanged.
    #[serde(rename = "r")]
    pub raw: Bytes,
    /// Result of the statement.
    #[serde(rename = "o")]
    pub outcome: Outcome,
    /// Transaction state of the connection.
    #[serde(rename = "s")]
    pub state: State,
    /// Log position of the server when it answered.
    #[serde(rename = "p")]
    pub point: Option<Point>,
}

impl ServerAnswer {
    /// Returns the failure, if the statement failed.
    pub fn failure(&self) -> Option<Failure> {
        match &self.outcome {
            Outcome::Done => None,
            Outcome::Failed(failure, _) => Some(*failure),
        }
    }
}
