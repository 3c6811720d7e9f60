//! A statement that one host has another one run, which holds the server's connections.
//!
//! There is one for each statement, so names on the wire are short and what is usual is
//! left out.

use std::{collections::BTreeMap, time::Duration};

use bergamottrack_coordination::{AccountId, ServerId};
use bergamottrack_model::{ServerAnswer, statement::Shape};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Number of a transaction; each of a host has its own.
pub type TransactionId = u64;

/// A statement for a server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedStatement {
    /// The server.
    #[serde(rename = "s")]
    pub server: ServerId,
    /// Whose connection it runs on; none where any will do, whatever values it has.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountId>,
    /// The statement as the server is to get it.
    #[serde(rename = "l")]
    pub line: Bytes,
    /// The values that its session has set.
    #[serde(rename = "v", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// The named statement that it runs.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub shape: Option<Shape>,
    /// The transaction that it opens or belongs to.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub transaction: Option<TransactionId>,
    /// Whether it opens the transaction.
    #[serde(rename = "o", default, skip_serializing_if = "std::ops::Not::not")]
    pub opens: bool,
    /// Who goes first where not all can be served; 0 is the most urgent.
    #[serde(rename = "u")]
    pub priority: u32,
    /// How long it may wait for its turn, in milliseconds.
    #[serde(rename = "q")]
    pub queue_timeout_ms: u32,
    /// How long it may take in all, in milliseconds.
    #[serde(rename = "t")]
    pub timeout_ms: u32,
}

impl ForwardedStatement {
    /// How long it may wait for its turn.
    pub fn queue_timeout(&self) -> Duration {
        Duration::from_millis(self.queue_timeout_ms.into())
    }

    /// How long it may take in all.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }
}

/// Why a statement was not sent to its server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NotSent {
    /// Too many wait for the server; there is room after this many milliseconds.
    #[serde(rename = "Crowded")]
    QueueFull(u32),
    /// All connections are in use.
    Full,
    /// The server's process does not run.
    Dead,
    /// The server does not answer.
    Silent,
    /// Another server has the address.
    Misdirected,
    /// The server takes no connection.
    Rejected,
    /// The holder does not know the server.
    #[serde(rename = "Unlisted")]
    UnknownServer,
    /// The holder knows no such transaction: its connection was closed.
    Closed,
    /// The holder is being stopped.
    Leaving,
    /// The holder cannot be reached.
    Unreachable,
    /// The server's failure domain is evacuated.
    Evacuated,
}

/// What became of a statement.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ForwardResult {
    /// The server's answer.
    #[serde(rename = "A")]
    Answered(ServerAnswer),
    /// The server did not get it.
    #[serde(rename = "N")]
    NotSent(NotSent),
    /// The connection was lost before a whole answer came.
    #[serde(rename = "L")]
    Lost,
    /// The server did not answer in time.
    #[serde(rename = "T")]
    TimedOut,
}
