//! Statements forwarded to the holder of a server's connections.
//!
//! One message is sent for each statement, so field names on the wire are short and fields with
//! default values are omitted.

use std::{collections::BTreeMap, time::Duration};

use bergamottrack_coordination::{AccountId, ServerId};
use bergamottrack_model::{ServerAnswer, statement::Shape};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Identifier of a transaction, unique among the transactions of the host that opened it.
pub type TransactionId = u64;

/// Statement forwarded to the holder of the server's connections.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedStatement {
    /// Server that runs the statement.
    #[serde(rename = "s")]
    pub server: ServerId,
    /// Account whose connection is used; `None` if any connection will do, whatever session values
    /// are set on it.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountId>,
    /// Encoded statement, sent to the server unchanged.
    #[serde(rename = "l")]
    pub line: Bytes,
    /// Values set by the caller's session.
    #[serde(rename = "v", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// Definition of the prepared statement to be executed.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub shape: Option<Shape>,
    /// Transaction that the statement opens or belongs to.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub transaction: Option<TransactionId>,
    /// Whether the statement opens the transaction.
    #[serde(rename = "o", default, skip_serializing_if = "std::ops::Not::not")]
    pub opens: bool,
    /// Whether the server is used as the leader of its group, which requires a lease of the host that
    /// sends the statement to the server.
    #[serde(rename = "n", default, skip_serializing_if = "std::ops::Not::not")]
    pub leads: bool,
    /// Priority under overload; 0 is the highest.
    #[serde(rename = "u")]
    pub priority: u32,
    /// Queue timeout in milliseconds.
    #[serde(rename = "q")]
    pub queue_timeout_ms: u32,
    /// Timeout of the statement in all, from when it was sent to the holder, in milliseconds.
    #[serde(rename = "t")]
    pub timeout_ms: u32,
    /// Reading of the holder's clock on the link when the statement was sent, at the earliest; `None`
    /// from a sender that has no reading.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub sent: Option<Duration>,
}

impl ForwardedStatement {
    /// Returns how long the statement may be queued.
    pub fn queue_timeout(&self) -> Duration {
        Duration::from_millis(self.queue_timeout_ms.into())
    }

    /// Returns how long the statement may take in all, from when it was sent to the holder.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }
}

/// Reason why a statement was not sent to its server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NotSent {
    /// Too many statements are queued for the server; there is room after this many milliseconds.
    #[serde(rename = "Crowded")]
    QueueFull(u32),
    /// All connections are in use.
    Full,
    /// The connection to the server was refused, by its machine or by the network.
    #[serde(rename = "Dead")]
    Refused,
    /// The server does not answer.
    Silent,
    /// Another server has the address.
    Misdirected,
    /// The server rejected the connection.
    Rejected,
    /// The server is not in the holder's list of servers.
    #[serde(rename = "Unlisted")]
    UnknownServer,
    /// The holder has no such transaction: its connection was closed.
    Closed,
    /// The holder is shutting down.
    #[serde(rename = "Leaving")]
    Draining,
    /// The holder cannot be reached.
    Unreachable,
    /// The server's failure domain is evacuated.
    Evacuated,
    /// The host with the connection may not use the server as leader: it has no lease, or its view
    /// names no leader or another one.
    NotLeader,
}

/// Result of a forwarded statement.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ForwardResult {
    /// The server's answer.
    #[serde(rename = "A")]
    Answered(ServerAnswer),
    /// The statement was not sent to the server.
    #[serde(rename = "N")]
    NotSent(NotSent),
    /// The connection was lost before the complete answer was received.
    #[serde(rename = "L")]
    Lost,
    /// The server did not answer in time.
    #[serde(rename = "T")]
    TimedOut,
}
