//! What became of a request that runs at most once.
//!
//! Each request with an id has a row in the outcome table of its database
//! group, written in the request's own transaction. Whoever writes the row
//! first read it, and writes it only if it is still as read; so of several
//! attempts, however late one wakes, one alone gets through.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// One attempt to run a request or to rule it out; never used twice.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Attempt(Box<str>);

impl Attempt {
    /// The attempt of that random number.
    pub fn new(random: u128) -> Self {
        Self(format!("{random:032x}").into())
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a row of the outcome table says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Row {
    /// The request ran.
    Done,
    /// This attempt ruled out all those that began before it.
    Void(Attempt),
}

/// A text is no row of the outcome table.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is no outcome")]
pub struct RowError(Box<str>);

impl FromStr for Row {
    type Err = RowError;

    /// Reads a state and an attempt, with a blank between.
    fn from_str(text: &str) -> Result<Self, RowError> {
        match text.split_once(' ') {
            Some(("done", _)) => Ok(Self::Done),
            Some(("void", attempt)) => Ok(Self::Void(Attempt(attempt.into()))),
            _ => Err(RowError(text.into())),
        }
    }
}

/// How a row is written so that it collides with every other attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// There was none: insert it, which fails if there is one by now.
    Insert,
    /// Replace the one of that attempt, which changes nothing if it is another's by now.
    Replace(Attempt),
}

/// What to do with a request, or with the question what became of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Plan {
    /// Write the row: as done in the request's transaction, or as void alone.
    Write(Claim),
    /// The request ran before.
    Done,
}

/// Plans from the row that was read.
///
/// A question writes a void row even where there is one: an attempt that
/// planned from the old one may still be on its way, and would make the answer
/// "not run" untrue after it was given.
pub fn plan(row: Option<Row>) -> Plan {
    match row {
        None => Plan::Write(Claim::Insert),
        Some(Row::Void(attempt)) => Plan::Write(Claim::Replace(attempt)),
        Some(Row::Done) => Plan::Done,
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It ran, and stays so.
    Done,
    /// It did not run, and will not unless it is sent again.
    NotRun,
    /// Not yet known.
    Unknown {
        /// When to ask again.
        again: Duration,
    },
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Done => f.write_str("done"),
            Self::NotRun => f.write_str("not run"),
            Self::Unknown { again } => {
                write!(f, "not yet known, ask again in {} ms", again.as_millis())
            }
        }
    }
}
