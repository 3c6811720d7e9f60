//! Selection of the next leader of a group from the states that its servers report.
//!
//! Guards against the following fault: a leader is replaced, and within a second its
//! successor crashes or stops answering before the other replicas have received the new term.
//! The former leader still runs, was not notified of the failover and reports that it leads,
//! and every reachable replica confirms its term. If hosts used the former leader again, it
//! would acknowledge writes that the next promotion discards.
//!
//! Reported states are therefore not sufficient, and the store keeps two terms: the term of
//! the last known leader, and the newest *closed* term. Before a host requests a promotion, it
//! closes all terms up to the newest reported or known one, because the promotion may take
//! effect and end them; a rejected request reopens the terms that were closed for it. The leader
//! of a closed term is never adopted; another promotion is required.
//!
//! Each replica counts for the confirmation of a commit, also one that is being removed. Such a
//! server is therefore promoted if it has records that no other replica shows and no leader can
//! send them. It is replaced in a planned failover once another server has received its term, which
//! begins with the whole log that it brought.

use crate::{Point, ServerId, Term};

/// State of a server. `id`, `leaving`, `evacuated`, `served` and `cold` are this host's own
/// information about the server; the server reports `leads`, `term` and `received`.
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
    /// Number of databases of the group whose homes include the server's region.
    pub served: usize,
    /// Whether the server has just started and may get only a few requests a second.
    pub cold: bool,
    /// Newest term that the server has received.
    pub term: Term,
    /// Last log record that the server has received.
    pub received: Point,
    /// Whether the server had no capacity to report its position. `received` is then the last record
    /// that it has applied, and it may have received more.
    pub busy: bool,
}

/// Terms of a group in the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Terms {
    /// Term of the last known leader; 0 while no leader is known.
    pub known: Term,
    /// Newest closed term: all terms up to this one are closed, since a requested promotion may
    /// have ended them; 0 if no term is closed.
    pub closed: Term,
}

impl Terms {
    /// Returns whether a server that reports that it leads in `term` may be adopted: no later
    /// term is known, and `term` is not closed.
    pub fn allow(&self, term: Term) -> bool {
        term >= self.known && term > self.closed
    }
}

/// Next step to give a group a leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// Use the server that already leads, in the given term.
    Adopt(ServerId, Term),
    /// Promote a server.
    Promote {
        /// Server to promote.
        successor: ServerId,
        /// Newest term, reported or known. All terms up to this one are closed before the
        /// promotion is requested.
        after: Term,
        /// Last record of the former leader, which the successor must receive first; none if the
        /// leader did not report its state, if its term is closed, if a server reports a newer term
        /// or a newer one is known, or in [`Order::Stalled`].
        last: Option<Point>,
    },
    /// No server can lead at present.
    Nobody,
}

/// Priority order of the candidates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// By the number of databases that the server may serve, then warm before cold, then by
    /// log. For planned failovers, in which the successor can still receive the whole log; as
    /// [`Order::Log`] if the leader does not report its state.
    Placement,
    /// By log, since records missing from the successor's log may have been acknowledged; then
    /// by the number of databases and warm before cold. For unplanned failovers.
    Log,
    /// As [`Order::Log`], without a wait for the leader's last record. For planned failovers whose
    /// successor does not receive it.
    Stalled,
}

/// Returns whether the selection must be repeated, since a server that has not reported its position may
/// be ahead of the selected successor. `silent` is the number of listed servers without any report, and
/// `confirmed` the last record that a replica is known to have confirmed.
///
/// A server that has no capacity to report may have confirmed commits that it has not applied yet, and
/// one that is not listed now may be back.
pub fn is_undecided(
    next: &Next,
    states: &[Standing],
    silent: usize,
    confirmed: Option<Point>,
) -> bool {
    let Next::Promote { successor, last: None, .. } = next else { return false };
    let may_be_ahead =
        |server: &Standing| server.busy && !server.evacuated && server.id != *successor;
    let lacks_confirmed =
        |server: &Standing| server.id == *successor && Some(server.received) < confirmed;
    silent > 0 || states.iter().any(|server| may_be_ahead(server) || lacks_confirmed(server))
}

/// Returns the next step from the reported states. `retiring` is the leader to be replaced in a
/// planned failover, and `confirmed` the last record that a replica is known to have confirmed.
pub fn next(
    states: &[Standing],
    terms: Terms,
    confirmed: Option<Point>,
    retiring: Option<&ServerId>,
    order: Order,
) -> Next {
    let newest = states.iter().map(|server| server.term).max().unwrap_or_default();
    let leader = states.iter().find(|server| server.leads && server.term == newest);
    let leader = leader.filter(|leader| terms.allow(leader.term));
    let adopt = |leader: &Standing| Next::Adopt(leader.id.clone(), leader.term);
    if let Some(leader) = leader
        && Some(&leader.id) != retiring
        && !leader.evacuated
    {
        return adopt(leader);
    }
    // Without the leader's last record, nothing shows which acknowledged records a successor lacks.
    let order = if leader.is_some() { order } else { Order::Log };
    // The leader may be the only server with a confirmed record: the replica that confirmed it may be
    // gone, and a replica without the leader's term may lack commits that the leader brought.
    let waits = leader.is_some() && order != Order::Stalled;
    let may_follow = |server: &Standing| {
        let has_term = leader.is_none_or(|leader| server.term >= leader.term);
        has_term && (leader.is_none() || waits || Some(server.received) >= confirmed)
    };
    let eligible = |server: &&Standing| !server.leads && !server.evacuated && may_follow(server);
    let rank = |server: &&Standing| {
        let placement = (server.served, !server.cold);
        match order {
            Order::Placement => (Some(placement), server.received, placement),
            Order::Log | Order::Stalled => (None, server.received, placement),
        }
    };
    let (leaving, staying): (Vec<_>, Vec<_>) =
        states.iter().filter(eligible).partition(|server| server.leaving);
    let Some(successor) = staying.into_iter().max_by_key(rank) else {
        // Without a successor the leader stays, also a retiring or evacuated one, unless it is
        // being removed: statements that only a leader can run may still run on it.
        return leader.filter(|leader| !leader.leaving).map_or(Next::Nobody, adopt);
    };
    // A leader that sends its log to the successor makes the promotion of a leaving server needless.
    let ahead = leaving.into_iter().max_by_key(rank);
    let ahead = ahead.filter(|server| !waits && server.received > successor.received);
    let successor = ahead.unwrap_or(successor);
    // `None` for the leader of a closed term: the promotion must not wait for its records.
    let last = leader.filter(|_| waits).map(|leader| leader.received);
    Next::Promote { successor: successor.id.clone(), after: newest.max(terms.known), last }
}
