//! Statements and their answers.

use bergamottrack_coordination::{Fate, Point};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What a statement or transaction may do to the data.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Access {
    /// It only reads.
    Read,
    /// It may write.
    Write,
}

/// What a caller asks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Opens a transaction.
    Begin(Access),
    /// Ends the transaction and keeps what it wrote.
    Commit,
    /// Ends the transaction and keeps nothing.
    Rollback,
    /// Reads.
    Read,
    /// Writes.
    Write,
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: Box<str>,
        /// The value.
        value: Box<str>,
    },
    /// Names a statement for later.
    Prepare {
        /// The session's name for it.
        name: Box<str>,
        /// What it does and to what.
        shape: Shape,
    },
    /// Runs a named statement.
    Execute {
        /// The session's name for it.
        name: Box<str>,
        /// The rest of the text.
        args: Box<str>,
    },
    /// Drops a named statement.
    Deallocate {
        /// The session's name for it.
        name: Box<str>,
    },
}

/// What a prepared statement does.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Shape {
    /// Whether it writes.
    pub access: Access,
    /// The rest of its definition.
    pub text: Box<str>,
}

/// A statement as it came from a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The caller's name for it, new for each.
    pub id: Box<str>,
    /// The text, which a backend server gets unchanged.
    pub text: Box<str>,
    /// What the text means.
    pub statement: Statement,
}

/// How a session stands between statements.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// Outside of any transaction.
    #[default]
    Idle,
    /// Within one.
    Open,
    /// Within one that has failed and waits for its end.
    Failed,
}

/// Why a statement has no answer of its own.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Failure {
    /// The transaction is over and nothing of it is kept.
    Aborted,
    /// The server lacks the log position that was asked for.
    Behind,
    /// There is no capacity for it now.
    Busy,
    /// The caller's key is not known.
    Denied,
    /// It ran and failed.
    Failed,
    /// It cannot be read, or is not allowed in this state.
    Malformed,
    /// The server is another one than was meant.
    Misdirected,
    /// There is no such database.
    NoDatabase,
    /// A write at a server that does not lead.
    ReadOnly,
    /// It ran out of time.
    TimedOut,
    /// The message is too large.
    TooLarge,
    /// The server has too many connections.
    TooMany,
    /// It may have run.
    Uncertain,
    /// No statement was prepared under that name.
    UnknownName,
}

impl Failure {
    /// Whether a statement that failed so may have left something behind.
    pub fn fate(self) -> Fate {
        match self {
            Self::Failed | Self::TimedOut | Self::Uncertain => Fate::Unknown,
            _ => Fate::NotRun,
        }
    }
}

/// How a backend server's answer ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It ran.
    Done,
    /// It failed; the text is the server's.
    Failed(Failure, Box<str>),
}

/// A whole answer of a backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerAnswer {
    /// Rows and outcome as the server sent them, to be passed on unchanged.
    #[serde(rename = "r")]
    pub raw: Bytes,
    /// How it ended.
    #[serde(rename = "o")]
    pub outcome: Outcome,
    /// How the connection stands.
    #[serde(rename = "s")]
    pub state: State,
    /// How far the server's log reached when it answered.
    #[serde(rename = "p")]
    pub point: Option<Point>,
}

impl ServerAnswer {
    /// The failure, if it is one.
    pub fn failure(&self) -> Option<Failure> {
        match &self.outcome {
            Outcome::Done => None,
            Outcome::Failed(failure, _) => Some(*failure),
        }
    }
}
