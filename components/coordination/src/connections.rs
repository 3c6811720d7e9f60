//! Bounds of the connections that a host opens and keeps to a backend server.
//!
//! Sized for deployments such as 190 accounts at servers that accept 193 connections and
//! have five slots. A connection belongs to one account, and opening it occupies a slot as
//! long as a short statement. Most accounts send a server a statement every few seconds, so
//! their connections are reused only if they stay open that long. The holder therefore
//! keeps most of the connections that the server accepts, and leaves headroom for the
//! standby that replaces it: for seconds after a host loses power, a server still counts
//! that host's connections.

use std::{collections::HashSet, time::Duration};

use crate::{AccountId, Rate};

/// Fraction of a server's connections that its holder leaves to other hosts, as a divisor.
const HEADROOM_DIVISOR: usize = 10;

/// Connections that the holder leaves for status queries to the server, which open their
/// own connections.
const PROBE_CONNECTIONS: usize = 3;

/// Minimum number of connections that a host may open, regardless of the number of hosts, if
/// the server accepts that many: enough for the transactions and statements that arrive
/// together at one host.
const MIN_CAP: usize = 4;

/// Fraction of a host's connections to a server, as a divisor, that one account leaves to the statements and
/// transactions of others.
const TRANSACTION_RESERVE_DIVISOR: usize = 4;

/// Time after which an unused connection beyond `kept` is closed: longer than the usual
/// pause between two statements of an account.
const IDLE_TTL: Duration = Duration::from_millis(800);

/// Time after which an unused connection is closed at a host that may keep none: most of the
/// server's connections are then in use by idle transactions.
const SCARCE_IDLE_TTL: Duration = Duration::from_millis(100);

/// Minimum rate, in statements per second at one server, from which connections of an account are
/// opened ahead of use. Statements of a lower rate come too late to use them.
const MIN_AHEAD_RATE: f64 = 0.5;

/// Minimum rate, in statements per second at one server, from which statements of an account use
/// shared connections: one in a minute. Below it a connection is rarely used again, and most hosts
/// would have to make a link to its holder first.
const MIN_SHARED_RATE: f64 = 1.0 / 60.0;

/// Role of a host for the connections of a server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// Opens connections on behalf of all hosts.
    Holder,
    /// Opens connections on behalf of all hosts while the holder is unreachable.
    Standby,
    /// Opens connections only while neither holder nor standby is reachable.
    #[default]
    Other,
}

/// Bounds of a host's connections to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Maximum number of open connections; at least 1.
    pub cap: usize,
    /// Number of connections up to which unused connections stay open; at most `cap`.
    pub kept: usize,
    /// Number of open connections up to which connections are opened before the first
    /// statement of their accounts; at most `kept`.
    pub ahead: usize,
    /// Time after which an unused connection beyond `kept` is closed.
    pub idle_ttl: Duration,
}

/// Returns a host's bounds for a server that accepts `max_connections` connections and runs
/// `slots` statements concurrently, in a fleet of `hosts` hosts.
pub fn bounds(max_connections: usize, slots: usize, hosts: usize, role: Role) -> Bounds {
    let share = max_connections / hosts.max(1);
    let min_cap = MIN_CAP.min(max_connections).max(1);
    let headroom =
        (max_connections / HEADROOM_DIVISOR).max(2 * (slots + 1)).min(max_connections / 2);
    match role {
        Role::Holder => {
            let cap = max_connections.saturating_sub(PROBE_CONNECTIONS.min(headroom)).max(1);
            let kept = (max_connections - headroom).min(cap);
            // Not one per account: a fleet may have more database groups than its callers
            // use.
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

/// Accounts by the use that they make of connections.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Accounts {
    /// Accounts for which connections are opened ahead of use, by descending rate.
    pub ahead: Vec<AccountId>,
    /// Accounts that do not use shared connections.
    pub unshared: HashSet<AccountId>,
}

/// Returns the accounts by the use that they make of connections, from their rates over the whole
/// fleet and the number of database groups over which their statements are spread.
///
/// The number of connections opened ahead follows the sum of the rates: with many groups few
/// accounts, or none, send a server enough statements.
pub fn by_usage(mut rates: Vec<(AccountId, Rate)>, groups: usize) -> Accounts {
    rates.sort_by(|(a, x), (b, y)| y.0.total_cmp(&x.0).then_with(|| a.cmp(b)));
    let by_server = |rate: Rate| rate.0 / groups.max(1) as f64;
    let unshared = rates.iter().filter(|(_, rate)| by_server(*rate) < MIN_SHARED_RATE);
    Accounts {
        unshared: unshared.map(|(id, _)| id.clone()).collect(),
        ahead: {
            let ahead = rates.iter().filter(|(_, rate)| by_server(*rate) >= MIN_AHEAD_RATE);
            ahead.map(|(id, _)| id.clone()).collect()
        },
    }
}

/// Number of connections and statements of a host at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Connections open or being opened.
    pub open: usize,
    /// Statements sent but not answered yet.
    pub running: usize,
    /// Statements waiting to be sent.
    pub waiting: usize,
}

/// Returns how many of `cap` connections to a server one account may hold in transactions.
pub fn max_transactions(cap: usize) -> usize {
    (cap - cap / TRANSACTION_RESERVE_DIVISOR).max(1)
}

/// Returns the account for which to open a connection before its first statement: the first
/// of `accounts` without a connection. `None` if all have one, if `bounds.ahead` connections
/// are open, if statements wait, or if the running statements leave fewer than two slots free
/// (fewer than one at a server with a single slot).
///
/// Guards against slow statements in the first seconds after a start, when every statement
/// would have to wait for a new connection.
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
