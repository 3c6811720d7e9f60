//! Which server of a group leads next, from what its servers say of themselves.
//!
//! The load it answers: a leader is replaced, and within a second its successor dies
//! or goes silent too, while the other replicas have not heard of it yet. The first
//! leader still runs, was never told that it is over, and says that it leads; each
//! replica that can be asked confirms its term. Taken up again it would acknowledge
//! writes that the next promotion takes back.
//!
//! So what the servers say is not enough. Two terms are kept in the store: the one in
//! which the last known leader led, and the one up to which all terms are *closed*,
//! since a promotion was asked for that may have taken effect. A closed term's leader
//! is never taken up; the way on is a promotion.

use crate::{Point, ServerId, Term};

/// What a server says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Standing {
    /// The server.
    pub id: ServerId,
    /// Whether it leads, as it sees itself.
    pub leads: bool,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Whether its failure domain is evacuated.
    pub evacuated: bool,
    /// Databases of the group that it may serve by their homes.
    pub served: usize,
    /// Whether it may get only a few requests a second, having just started.
    pub cold: bool,
    /// The newest term that it has heard of.
    pub term: Term,
    /// The last log record that it received.
    pub received: Point,
}

/// What the store says of the terms of a group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Terms {
    /// The term of the last known leader; 0 while it is not known.
    pub known: Term,
    /// Terms up to this one are over, or may be.
    pub closed: Term,
}

impl Terms {
    /// Whether a server that says that it leads in `term` may be taken up.
    pub fn allow(&self, term: Term) -> bool {
        term >= self.known && term > self.closed
    }
}

/// What is to be done so that a group has a leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// This server leads already, in that term.
    Adopt(ServerId, Term),
    /// This server is to be promoted.
    Promote {
        /// The server.
        successor: ServerId,
        /// The newest term known: the promotion closes it.
        after: Term,
        /// The former leader's last record, where that one can be asked.
        last: Option<Point>,
    },
    /// No server can lead now.
    Nobody,
}

/// What goes first among servers that may lead next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// The databases that it may serve, then its warmth, then its log; for a change in which
    /// the successor can still receive all of its leader's log.
    Placement,
    /// Its log: what it lacks may have been acknowledged.
    Log,
}

/// Who leads next. `leaves` is a leader that is to be replaced though it is there.
pub fn next(told: &[Standing], terms: Terms, leaves: Option<&ServerId>, order: Order) -> Next {
    let newest = told.iter().map(|server| server.term).max().unwrap_or_default();
    let leader = told.iter().find(|server| server.leads && server.term == newest);
    let leader = leader.filter(|leader| terms.allow(leader.term));
    let adopt = |leader: &Standing| Next::Adopt(leader.id.clone(), leader.term);
    if let Some(leader) = leader
        && Some(&leader.id) != leaves
        && !leader.evacuated
    {
        return adopt(leader);
    }
    let fit = |server: &&Standing| !server.leads && !server.leaving && !server.evacuated;
    let replicas = told.iter().filter(fit);
    let successor = replicas.max_by_key(|server| {
        let placement = (server.served, !server.cold);
        match order {
            Order::Placement => (Some(placement), server.received, placement),
            Order::Log => (None, server.received, placement),
        }
    });
    let Some(successor) = successor else {
        // Better than nobody: it goes on with what it may still run.
        return leader.filter(|leader| !leader.leaving).map_or(Next::Nobody, adopt);
    };
    // A leader of a closed term has records that nobody is to wait for.
    let last = leader.map(|leader| leader.received);
    Next::Promote { successor: successor.id.clone(), after: newest.max(terms.known), last }
}
