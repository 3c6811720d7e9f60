//! How many connections to a backend server a host opens and keeps.
//!
//! The load it answers: 190 accounts before servers that take 193 connections and have five
//! slots. A connection belongs to an account and its opening takes a slot as long as a short
//! statement. Most accounts send a statement to a server every few seconds, so their
//! connections are reused only if they stay open that long. The holder therefore keeps most
//! of what the server takes, and leaves room for the standby that replaces it: a server goes
//! on counting the connections of a host without power for seconds.

use std::time::Duration;

use crate::AccountId;

/// The part of a server's connections that its holder leaves to others, as one part of so
/// many.
const HEADROOM_DIVISOR: usize = 10;

/// Connections that a holder leaves for questions to the server, which open their own.
const PROBE_CONNECTIONS: usize = 3;

/// Connections that a host may open however many hosts there are: enough for the
/// transactions and statements that are received together at one host.
const MIN_CAP: usize = 4;

/// How long a connection beyond those that are kept stays open unused: longer than a usual
/// pause between two statements of an account.
const IDLE_TTL: Duration = Duration::from_millis(800);

/// The same for a host without a share of its own: most of the server's connections are
/// then in use by idle transactions.
const SCARCE_IDLE_TTL: Duration = Duration::from_millis(100);

/// What a host is to a server's connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// It opens them for all hosts.
    Holder,
    /// It does so while the holder cannot be reached.
    Standby,
    /// It opens some where neither can be reached.
    #[default]
    Other,
}

/// Bounds of a host's connections to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Connections that may be open; one at least.
    pub cap: usize,
    /// Connections that stay open though unused; never more than `cap`.
    pub kept: usize,
    /// Connections that are opened ahead of the first statement of their accounts; at most
    /// `kept`.
    pub ahead: usize,
    /// How long one beyond `kept` stays open unused.
    pub idle_ttl: Duration,
}

/// Bounds for a server that takes `max_connections` connections and runs `slots` statements at once.
pub fn bounds(max_connections: usize, slots: usize, hosts: usize, role: Role) -> Bounds {
    let share = max_connections / hosts.max(1);
    let min_cap = MIN_CAP.min(max_connections).max(1);
    let headroom =
        (max_connections / HEADROOM_DIVISOR).max(2 * (slots + 1)).min(max_connections / 2);
    match role {
        Role::Holder => {
            let cap = max_connections.saturating_sub(PROBE_CONNECTIONS.min(headroom)).max(1);
            let kept = (max_connections - headroom).min(cap);
            // Not one for each account: a fleet may have more groups than its callers use.
            let ahead = (slots + 1).min(kept);
            Bounds { cap, kept, ahead, idle_ttl: IDLE_TTL }
        }
        Role::Standby => {
            let cap = headroom.max(min_cap);
            Bounds { cap, kept: (share / 2).min(cap), ahead: 0, idle_ttl: IDLE_TTL }
        }
        Role::Other => {
            let kept = share / 2;
            let idle_ttl = if kept == 0 { SCARCE_IDLE_TTL } else { IDLE_TTL };
            Bounds { cap: share.max(min_cap), kept, ahead: 0, idle_ttl }
        }
    }
}

/// What a host has under way at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Connections open or being opened.
    pub open: usize,
    /// Statements sent and not answered.
    pub running: usize,
    /// Statements that wait to be sent.
    pub waiting: usize,
}

/// The account for which a connection is opened ahead of its first statement, if a slot is
/// free for it: the first of `accounts` that has none.
///
/// Guards against slow first seconds after a start, in which every statement would open a
/// connection and wait for it.
pub fn next_to_open(
    accounts: &[AccountId],
    has_connection: impl Fn(&AccountId) -> bool,
    usage: Usage,
    slots: usize,
    bounds: Bounds,
) -> Option<&AccountId> {
    let idle = usage.waiting == 0 && usage.running + 1 < slots.max(2);
    if !idle || usage.open >= bounds.ahead {
        return None;
    }
    accounts.iter().find(|account| !has_connection(account))
}
