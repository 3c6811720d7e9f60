//! Outcomes of requests that run at most once.
//!
//! Each request with an id has a row in the outcome table of its database group, written in
//! the request's own transaction. Every attempt reads the row first, and writes it only if
//! the row is unchanged; so of several attempts, however late one of them resumes, only one
//! succeeds.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// Id of one attempt to run a request, or to prevent its earlier attempts from running;
/// never reused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Attempt(Box<str>);

impl Attempt {
    /// Creates an id from a random number.
    pub fn new(random: u128) -> Self {
        Self(format!("{random:032x}").into())
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Content of a row of the outcome table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Row {
    /// The request ran.
    Done,
    /// This attempt invalidated all attempts that read the row earlier.
    Void(Attempt),
}

/// Error: a text is not a row of the outcome table.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is no outcome")]
pub struct RowError(Box<str>);

impl FromStr for Row {
    type Err = RowError;

    /// Parses a state, `done` or `void`, and an attempt, separated by a space.
    fn from_str(text: &str) -> Result<Self, RowError> {
        match text.split_once(' ') {
            Some(("done", _)) => Ok(Self::Done),
            Some(("void", attempt)) => Ok(Self::Void(Attempt(attempt.into()))),
            _ => Err(RowError(text.into())),
        }
    }
}

/// Write of a row that succeeds only if no other attempt has written the row since it was
/// read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// Insert the row, since there was none; fails if there is one by now.
    Insert,
    /// Replace the row of this attempt; changes nothing if the row belongs to another attempt
    /// by now.
    Replace(Attempt),
}

/// Action for a request, or for a query for its outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Plan {
    /// Write the row: as done in the request's transaction, or, for a query, as void in a
    /// transaction of its own.
    Write(Claim),
    /// The request already ran.
    Done,
}

/// Returns the plan for the row that was read.
///
/// A query writes a void row even if there is one already: an attempt that made its plan
/// from the old row may still be in progress, and would invalidate the answer "not run"
/// after it was given.
pub fn plan(row: Option<Row>) -> Plan {
    match row {
        None => Plan::Write(Claim::Insert),
        Some(Row::Void(attempt)) => Plan::Write(Claim::Replace(attempt)),
        Some(Row::Done) => Plan::Done,
    }
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The request ran, and this is final.
    Done,
    /// The request did not run, and will not run unless it is sent again.
    NotRun,
    /// The outcome is not known yet.
    Unknown {
        /// Delay before the outcome should be queried again.
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
