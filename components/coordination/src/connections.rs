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
const HEADROOM: usize = 10;

/// Connections that a holder leaves for questions to the server, which open their own.
const QUESTIONS: usize = 3;

/// Connections that a host may open however many hosts there are: enough for the
/// transactions and statements that are received together at one host.
const LEAST_CAP: usize = 4;

/// How long a connection beyond those that are kept stays open unused: longer than a usual
/// pause between two statements of an account.
const UNUSED_FOR: Duration = Duration::from_millis(800);

/// The same for a host without a share of its own: most of the server's connections are
/// then in use by idle transactions.
const SCARCE_FOR: Duration = Duration::from_millis(100);

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
    pub unused_for: Duration,
}

/// Bounds for a server that takes `most` connections and runs `slots` statements at once.
pub fn bounds(most: usize, slots: usize, hosts: usize, role: Role) -> Bounds {
    let share = most / hosts.max(1);
    let least = LEAST_CAP.min(most).max(1);
    let headroom = (most / HEADROOM).max(2 * (slots + 1)).min(most / 2);
    match role {
        Role::Holder => {
            let cap = most.saturating_sub(QUESTIONS.min(headroom)).max(1);
            let kept = (most - headroom).min(cap);
            // Not one for each account: a fleet may have more groups than its callers use.
            let ahead = (slots + 1).min(kept);
            Bounds { cap, kept, ahead, unused_for: UNUSED_FOR }
        }
        Role::Standby => {
            let cap = headroom.max(least);
            Bounds { cap, kept: (share / 2).min(cap), ahead: 0, unused_for: UNUSED_FOR }
        }
        Role::Other => {
            let kept = share / 2;
            let unused_for = if kept == 0 { SCARCE_FOR } else { UNUSED_FOR };
            Bounds { cap: share.max(least), kept, ahead: 0, unused_for }
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
