//! Selection of the next leader of a group from the states that its servers report.
//!
//! Guards against the following fault: a leader is replaced, and within a second its
//! successor crashes or stops answering before the other replicas have received its term. The
//! first leader still runs, was not notified of the failover and reports that it leads, and
//! every reachable replica confirms its term. If hosts used it again, it would acknowledge
//! writes that the next promotion discards.
//!
//! Reported states are therefore not sufficient, and the store keeps two terms: the term of
//! the last known leader, and the term up to which all terms are *closed* because a promotion
//! that may have taken effect was requested. The leader of a closed term is never adopted;
//! another promotion is required.

use crate::{Point, ServerId, Term};

/// State of a server as it reports it, with what this host has configured for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Standing {
    /// Id of the server.
    pub id: ServerId,
    /// Whether the server reports that it leads.
    pub leads: bool,
    /// Whether the server is being removed.
    pub leaving: bool,
    /// Whether the server's failure domain is evacuated.
    pub evacuated: bool,
    /// Number of databases of the group whose region bindings allow the server.
    pub served: usize,
    /// Whether the server has just started and may get only a few requests a second.
    pub cold: bool,
    /// Newest term that the server has received.
    pub term: Term,
    /// Last log record that the server has received.
    pub received: Point,
}

/// Terms of a group in the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Terms {
    /// Term of the last known leader; 0 while it is unknown.
    pub known: Term,
    /// Newest closed term: terms up to this one have ended or may have ended.
    pub closed: Term,
}

impl Terms {
    /// Returns whether a server that reports that it leads in `term` may be adopted.
    pub fn allow(&self, term: Term) -> bool {
        term >= self.known && term > self.closed
    }
}

/// Next step to give a group a leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// Use a server that leads already, in the given term.
    Adopt(ServerId, Term),
    /// Promote a server.
    Promote {
        /// Server to promote.
        successor: ServerId,
        /// Newest known term, which the promotion closes.
        after: Term,
        /// Last record of the former leader, if it reported its state.
        last: Option<Point>,
    },
    /// No server can lead at present.
    Nobody,
}

/// Priority order of the candidates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// By the number of databases that the server may serve, then warm before cold, then by
    /// log. For a planned failover, in which the successor can still receive the whole log.
    Placement,
    /// By log, since records that the server lacks may have been acknowledged; then as above.
    Log,
}

/// Returns the next step from the reported states. `leaves` is a reachable leader that is to
/// be replaced.
pub fn next(states: &[Standing], terms: Terms, leaves: Option<&ServerId>, order: Order) -> Next {
    let newest = states.iter().map(|server| server.term).max().unwrap_or_default();
    let leader = states.iter().find(|server| server.leads && server.term == newest);
    let leader = leader.filter(|leader| terms.allow(leader.term));
    let adopt = |leader: &Standing| Next::Adopt(leader.id.clone(), leader.term);
    if let Some(leader) = leader
        && Some(&leader.id) != leaves
        && !leader.evacuated
    {
        return adopt(leader);
    }
    let eligible = |server: &&Standing| !server.leads && !server.leaving && !server.evacuated;
    let replicas = states.iter().filter(eligible);
    let successor = replicas.max_by_key(|server| {
        let placement = (server.served, !server.cold);
        match order {
            Order::Placement => (Some(placement), server.received, placement),
            Order::Log => (None, server.received, placement),
        }
    });
    let Some(successor) = successor else {
        // No successor: the leader stays, for the statements that it may still run.
        return leader.filter(|leader| !leader.leaving).map_or(Next::Nobody, adopt);
    };
    // Not set for the leader of a closed term: its records must not be waited for.
    let last = leader.map(|leader| leader.received);
    Next::Promote { successor: successor.id.clone(), after: newest.max(terms.known), last }
}
