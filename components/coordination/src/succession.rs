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
//! of a closed term is never adopted; another promotion is required. It has the commits of its term,
//! so a replica that lacks them must receive them first, or the former leader itself is promoted.
//!
//! A successor must be shown to be *complete*, that is, to have every acknowledged commit. An
//! acknowledged commit is held by two servers of the group's [`ReplicaSet`], so a record that fewer can
//! hold was not acknowledged: a server that has not reported its position may hold any record.
//!
//! Each replica counts for the confirmation of a commit, also one that is being removed. Such a
//! server is therefore promoted if no other one is complete and no leader can send the records. It is
//! replaced in a planned failover once another server has received its term, which begins with the whole
//! log that it brought.

use std::collections::BTreeSet;

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
    /// Process that reports.
    pub process: Process,
}

/// Process of a server whose report a [`Standing`] is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Process {
    /// The one that the group's row names, or the row names none of the server.
    Recorded,
    /// Not shown to be the one that the row names.
    Unknown,
    /// A later one than the row names, which may lack what the earlier one had confirmed.
    Restarted,
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

    /// Returns the newest term to close before a promotion is requested, where `after` is the newest
    /// reported or known term: also the term of an earlier call that may have taken effect unnoticed.
    pub fn close(&self, after: Term) -> Term {
        if self.closed < after { after } else { self.closed.next() }
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
        /// successor is complete without it, if the leader did not report its state, or in
        /// [`Order::Stalled`].
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
    /// As [`Order::Log`], without a wait for the former leader's last record. For failovers whose
    /// successor does not receive it.
    Stalled,
}

impl Order {
    /// Returns a key by which the candidates are compared; the greatest one is first.
    fn rank(self, server: &Standing) -> impl Ord + use<> {
        let placement = (server.served, !server.cold);
        match self {
            Self::Placement => (Some(placement), server.received, placement),
            Self::Log | Self::Stalled => (None, server.received, placement),
        }
    }
}

/// Servers of a group that may have confirmed a commit.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplicaSet {
    /// Ids of the servers, among them the leader.
    pub servers: BTreeSet<ServerId>,
    /// Whether no server outside of `servers` can have confirmed a commit. If not, one may have.
    pub exhaustive: bool,
}

/// Whether a server may be promoted that is not shown to be complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completeness {
    /// Never.
    Required,
    /// Not yet: further reports are awaited for some time.
    Awaited,
    /// Yes, if no server is shown to be complete.
    Waived,
}

/// Knowledge about a group by which a successor is shown to be complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Evidence {
    /// Terms in the store.
    pub terms: Terms,
    /// Servers that may have confirmed a commit.
    pub replica_set: ReplicaSet,
    /// Last record that a replica is known to have confirmed; `None` if none is known. Later ones may
    /// have been confirmed.
    pub confirmed: Option<Point>,
    /// Position that covers every acknowledged commit by the reports of all hosts, see the module
    /// [`coverage`](crate::coverage); `None` if they show none.
    pub coverage: Option<Point>,
    /// Whether a server may be promoted that is not shown to be complete.
    pub completeness: Completeness,
}

impl Evidence {
    /// Returns whether a server is shown to have every acknowledged commit. The positions must have been
    /// read after all hosts had released the former leader.
    pub fn shows_complete(&self, server: &Standing, states: &[Standing]) -> bool {
        if Some(server.received) < self.confirmed {
            return false;
        }
        if self.coverage.is_some_and(|point| server.received >= point) {
            return true;
        }
        // No other server leads in the known term, and no commit of a later one is acknowledged.
        let has_log_of = |leader: &Standing| {
            let known = leader.leads && leader.term == self.terms.known;
            let known = known && !leader.busy && leader.process != Process::Restarted;
            known && server.term >= leader.term && server.received >= leader.received
        };
        if self.terms.known > Term(0) && states.iter().any(has_log_of) {
            return true;
        }
        let servers = &self.replica_set.servers;
        let reported = states.iter().filter(|state| {
            // A busy server may have received more than it shows.
            let exact = !state.busy || state.id == server.id;
            let recorded = state.process == Process::Recorded;
            servers.contains(&state.id) && exact && recorded && state.term > Term(0)
        });
        let mut received: Vec<Point> = reported.map(|state| state.received).collect();
        received.sort_unstable_by(|a, b| b.cmp(a));
        let missing = servers.len() - received.len() + usize::from(!self.replica_set.exhaustive);
        // The servers that hold an acknowledged commit, less those that may be missing.
        let holders = servers.len().min(2).saturating_sub(missing);
        holders > 0 && received.get(holders - 1).is_some_and(|point| server.received >= *point)
    }

    /// Returns the server that leads in `newest`, the newest reported term, if it may be adopted.
    fn leader<'a>(&self, states: &'a [Standing], newest: Term) -> Option<&'a Standing> {
        let leader = states.iter().find(|server| server.leads && server.term == newest);
        let leader = leader.filter(|leader| self.terms.allow(leader.term));
        // A server that has started again under its id may have lost its log.
        let waived = self.completeness == Completeness::Waived;
        leader.filter(|leader| waived || Some(leader.received) >= self.confirmed)
    }

    /// Returns the servers of the replica set that have not reported their position.
    pub fn missing<'a>(&'a self, states: &'a [Standing]) -> impl Iterator<Item = &'a ServerId> {
        let reports = |id: &ServerId| {
            let reports = |state: &Standing| !state.busy && state.process == Process::Recorded;
            states.iter().any(|state| state.id == *id && reports(state))
        };
        self.replica_set.servers.iter().filter(move |id| !reports(id))
    }
}

/// Returns the next step from the reported states. `retiring` is the leader to be replaced in a
/// planned failover.
pub fn next(
    states: &[Standing],
    evidence: &Evidence,
    retiring: Option<&ServerId>,
    order: Order,
) -> Next {
    let Evidence { terms, confirmed, completeness, .. } = evidence;
    let newest = states.iter().map(|server| server.term).max().unwrap_or_default();
    let after = newest.max(terms.known);
    let leader = evidence.leader(states, newest);
    let adopt = |leader: &Standing| Next::Adopt(leader.id.clone(), leader.term);
    if let Some(leader) = leader
        && Some(&leader.id) != retiring
        && !leader.evacuated
    {
        return adopt(leader);
    }
    let stalled = order == Order::Stalled;
    // Without the leader's last record, placement must not decide which records are lost.
    let order = if leader.is_some() { order } else { Order::Log };
    let waits = leader.is_some() && !stalled;
    let may_follow = |server: &Standing| {
        // A replica without the leader's term may lack commits that the leader brought.
        let has_term = leader.is_none_or(|leader| server.term >= leader.term);
        let has_confirmed = Some(server.received) >= *confirmed;
        has_term && (leader.is_none() || waits || has_confirmed)
    };
    let eligible = |server: &&Standing| !server.leads && !server.evacuated && may_follow(server);
    let rank = |server: &&Standing| order.rank(server);
    let promote =
        |server: &Standing, last| Next::Promote { successor: server.id.clone(), after, last };
    let (leaving, staying): (Vec<_>, Vec<_>) =
        states.iter().filter(eligible).partition(|server| server.leaving);
    if let Some(leader) = leader.filter(|_| waits)
        && let Some(successor) = staying.iter().copied().max_by_key(rank)
    {
        // A leader that sends its log to the successor makes it complete.
        return promote(successor, Some(leader.received));
    }
    let complete = |server: &&Standing| evidence.shows_complete(server, states);
    let successor = staying.iter().copied().filter(complete).max_by_key(rank);
    if let Some(successor) = successor {
        return promote(successor, None);
    }
    // Without any staying server, a leaving one would only be replaced again.
    if let Some(successor) = leaving.iter().copied().filter(complete).max_by_key(rank)
        && !staying.is_empty()
        && !waits
    {
        return promote(successor, None);
    }
    // As in an open term, a retiring leader stays if its commits would be lost.
    let may_stay = |server: &&Standing| {
        Some(&server.id) != retiring || *completeness == Completeness::Required
    };
    let former = states.iter().filter(|server| server.leads && !server.evacuated).filter(may_stay);
    let former = former.filter(|_| leader.is_none()).filter(complete);
    if let Some(former) = former.max_by_key(rank) {
        // The platform may not have performed the promotion that closed the term: then it still takes
        // the former leader for the leader, whose promotion would change nothing.
        let receives = staying.iter().copied().filter(|_| !stalled).max_by_key(rank);
        return match receives {
            Some(successor) => promote(successor, Some(former.received)),
            None => promote(former, None),
        };
    }
    if *completeness == Completeness::Waived
        && let Some(successor) = staying.iter().copied().max_by_key(rank)
    {
        let ahead = leaving.into_iter().max_by_key(rank);
        let ahead = ahead.filter(|server| !waits && server.received > successor.received);
        return promote(ahead.unwrap_or(successor), None);
    }
    // Without a successor the leader stays, also a retiring or evacuated one: statements that only a
    // leader can run may still run on it. One that is being removed stays only if its commits would
    // be lost, and so does one whose successor may still report.
    match (leader, completeness) {
        (Some(leader), Completeness::Required) => adopt(leader),
        (Some(leader), _) if !leader.leaving && (waits || staying.is_empty()) => adopt(leader),
        _ => Next::Nobody,
    }
}
