//! Records of connections of clients that are refused or closed by a limit.

use std::{
    cell::Cell,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tracing::warn;

use crate::host::Host;

/// Minimum time between two lines of the log. Those between are counted in the next one.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limit by which a connection is refused or closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Limit {
    /// All places are taken, and none is closed for the new connection.
    NoPlace,
    /// The place is needed for another connection.
    Place,
    /// The memory of all clients is used up.
    Memory,
    /// A message is longer than it may be.
    MessageLength,
    /// A message arrives too slowly.
    MessageTime,
    /// An answer is read too slowly.
    AnswerTime,
}

impl Limit {
    /// Returns the name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoPlace => "no_place",
            Self::Place => "place",
            Self::Memory => "memory",
            Self::MessageLength => "message_length",
            Self::MessageTime => "message_time",
            Self::AnswerTime => "answer_time",
        }
    }
}

/// Lines of the log on closed connections, of which there may be thousands a second.
#[derive(Default)]
pub struct ClosingLog {
    last: Cell<Option<Instant>>,
    /// Connections closed since the last line.
    unlogged: Cell<u64>,
}

/// Records that a connection is refused or closed by a limit.
pub fn record(host: &Host, limit: Limit, database: &str, address: Option<SocketAddr>) {
    host.metrics.record_closing(limit.name());
    let (log, now) = (&host.closing_log, host.now());
    log.unlogged.set(log.unlogged.get() + 1);
    if log.last.get().is_some_and(|last| now < last + LOG_INTERVAL) {
        return;
    }
    log.last.set(Some(now));
    warn!(
        limit = limit.name(),
        database,
        address = address.map(tracing::field::display),
        count = log.unlogged.take(),
        clients = host.clients.count(),
        held = host.memory.used(),
        "client: connection closed by a limit; count includes those since the last line"
    );
}
