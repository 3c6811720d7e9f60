//! Proof that a host's revision of the configuration is recent enough to act on.
//!
//! A revision is *accepted* once the table service stores it and it has been propagated to a
//! majority of its own roster and to a majority of the previous roster. No revision is built
//! on a revision that was not propagated in this way. A host acts only while it can prove that
//! no newer revision had been accepted a few seconds ago. The proof is a read of the head of
//! the revision chain, or confirmed votes of a majority of the host's own roster while no vote
//! has a newer revision. The proof dates from the time at which the request was *sent*, since
//! an answer may be delayed.
//!
//! Why this is safe: suppose that K+1 was accepted, and a host at revision K requests votes
//! from the roster of K. The hosts with K+1 are a majority of that roster, and so are the hosts
//! that answer, so both majorities have at least one host in common. That host answers with
//! K+1, unless it restarted and lost K+1. But a restarted host has no vote before it has proven
//! freshness itself: by the platform, which names K+1, or by a majority of voting hosts, of
//! which fewer than a majority lack K+1. So the voting hosts that lack K+1 are never a
//! majority, and the requesting host gets no proof after the acceptance. For a host at an
//! earlier revision, the same holds for the successor of *its* revision, which was propagated
//! before any later one could be made, whatever the roster is by then.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{HostId, Revision, leadership};

/// A host's answer to a request of another host for proof that its revision is the newest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreshnessVote {
    /// Newest revision that the host has; 0 if none.
    pub known: Revision,
    /// Whether the host has proven freshness since it started. Before that, it may lack a
    /// revision that it had before its restart.
    #[serde(rename = "vouches")]
    pub confirmed: bool,
    /// Newest revision that the host has recorded as propagated to the majorities.
    #[serde(rename = "told")]
    pub propagated: Revision,
    /// Hosts without recent contact.
    #[serde(rename = "silent")]
    pub unreachable: Vec<HostId>,
}

/// Result of one round of votes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Whether the round proves that no revision newer than the requesting host's was accepted
    /// before the round began.
    pub newest: bool,
    /// Whether majorities of the revision's roster and of the previous roster have the revision
    /// or a newer one; hosts that are certainly dead are not counted.
    pub propagated: bool,
    /// Host with the newest revision, and that revision; none if no host has a newer one.
    pub newer: Option<(HostId, Revision)>,
    /// Hosts of the roster that have the revision or a newer one.
    pub in_force: Vec<HostId>,
}

/// Counts the votes of one round on the revision `known` with its `roster` and the `previous`
/// roster. The votes include the requesting host's own.
///
/// Second votes of a host and votes of hosts outside both rosters count only as evidence of a
/// newer revision. Hosts that are certainly `dead` do not need the revision, as
/// they act no more. Without this exception the permanent loss of a majority would block all
/// changes for ever. The caller must be certain: a majority that is declared dead, but is
/// running in a partition and voting for each other, would act on an old revision.
pub fn tally(
    known: Revision,
    roster: &[HostId],
    previous: &[HostId],
    dead: &[HostId],
    votes: &[(HostId, FreshnessVote)],
) -> Tally {
    let vote = |host: &HostId| votes.iter().find(|(id, _)| id == host).map(|(_, vote)| vote);
    let has_revision = |host: &&HostId| vote(host).is_some_and(|vote| vote.known >= known);
    let confirmed = |host: &&HostId| vote(host).is_some_and(|vote| vote.confirmed);
    let alive = |hosts: &[HostId]| alive(hosts, dead, votes);
    let newer = votes.iter().filter(|(_, vote)| vote.known > known);
    let newer = newer.max_by_key(|(_, vote)| vote.known);
    Tally {
        newest: !roster.is_empty() && newer.is_none() && has_majority(roster, confirmed),
        propagated: has_majority(&alive(roster), has_revision)
            && has_majority(&alive(previous), has_revision),
        newer: newer.map(|(host, vote)| (host.clone(), vote.known)),
        in_force: roster.iter().filter(has_revision).cloned().collect(),
    }
}

/// Returns the hosts that are not `dead`, or that have voted all the same: hosts are determined to
/// be dead less often than votes are requested.
pub fn alive(hosts: &[HostId], dead: &[HostId], votes: &[(HostId, FreshnessVote)]) -> Vec<HostId> {
    let has_voted = |host: &HostId| votes.iter().any(|(id, _)| id == host);
    let alive = hosts.iter().filter(|host| !dead.contains(host) || has_voted(host));
    alive.cloned().collect()
}

/// Returns whether `passes` holds for a majority of the hosts; true if there are no hosts.
pub fn has_majority<'a>(hosts: &'a [HostId], passes: impl Fn(&&'a HostId) -> bool) -> bool {
    hosts.is_empty() || hosts.iter().filter(passes).count() >= leadership::majority(hosts.len())
}

/// The newest revision of a host and the latest proof that no newer one was accepted.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// Latest time at which no revision newer than `known` had been accepted; none until the
    /// first proof since the start.
    confirmed_at: Option<Instant>,
    /// Newest revision of this host; never decreases.
    known: Revision,
}

impl Freshness {
    /// Raises the newest revision of this host.
    ///
    /// An earlier proof remains valid: if no revision newer than the old one had been
    /// accepted, no revision newer than the new one had been accepted either.
    pub fn raise(&mut self, revision: Revision) {
        self.known = self.known.max(revision);
    }

    /// Records a proof that no revision newer than `newest` had been accepted at `sent_at`. The
    /// proof is ignored if this host does not have `newest` yet.
    pub fn confirm(&mut self, newest: Revision, sent_at: Instant) {
        if newest <= self.known {
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        }
    }

    /// Returns whether this host's vote counts, because it has proven freshness since its start.
    pub fn may_vote(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Time since the revision was last proven to be the newest; none before the first proof.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns whether the last proof is younger than `limit`, so that this host may act; false
    /// before the first proof.
    ///
    /// The clock advances while a host is suspended, so that after a long suspension the host
    /// needs a new proof before it serves.
    pub fn is_fresh(&self, now: Instant, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}

/// Maximum age of the configuration of an isolated host without a strict bound.
///
/// A host that reaches neither the store nor a majority of the hosts receives no revocation of
/// a key. It continues for this time, since most partitions last 5 to 9 s and all its callers
/// would be refused otherwise, and then stops. A host that has contact with a majority, none of
/// which has a newer configuration, continues: the store is unavailable to all of them, so the
/// configuration cannot be changed.
const MAX_ISOLATED_AGE: Duration = Duration::from_secs(10);

/// Fraction of the strict bound after which an isolated host stops; the rest is for requests
/// in flight.
const STRICT_FRACTION: f64 = 0.6;

/// Bounds from the settings on how long a new configuration takes to be in force.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time within which a new configuration is in force.
    pub apply: Duration,
    /// Time within which a revoked key stops working even on isolated hosts; none if isolated
    /// hosts may continue with their configuration.
    pub strict: Option<Duration>,
}

/// State of a host's configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigState {
    /// Time since the configuration was last proven to be the newest; none before the first
    /// proof.
    pub age: Option<Duration>,
    /// Whether another host has a newer configuration.
    pub outdated: bool,
    /// Whether the host has contact with a majority of the hosts.
    pub majority: bool,
}

impl ConfigState {
    /// Returns whether the host may serve by its configuration; false before the first proof.
    ///
    /// An outdated host stops within the bounds. Otherwise, a host that cannot fetch the newer
    /// configuration would accept a revoked key until it can. The newer configuration was
    /// accepted after the last proof of the host's own, so it was accepted at most `age` ago.
    pub fn may_serve(self, bounds: Bounds) -> bool {
        let Some(age) = self.age else { return false };
        if self.outdated {
            return age < bounds.strict.map_or(bounds.apply, |strict| strict.min(bounds.apply));
        }
        let limit =
            bounds.strict.map_or(MAX_ISOLATED_AGE, |strict| strict.mul_f64(STRICT_FRACTION));
        age < limit || self.majority
    }
}

/// Duration of a long poll of the store for a new configuration, as a fraction of the bound
/// within which a new configuration must be in force. A connection without an answer is closed
/// a second after the end of the poll, and the other hosts are polled in the meantime.
const WAIT_FRACTION: f64 = 0.43;

/// Age of the configuration at which other hosts are polled for a newer one, as a fraction of
/// the bound: slightly more than the store usually takes to answer that there is none.
const PEER_FRACTION: f64 = 0.73;

/// Age of the configuration at which a host that normally receives the configuration from its
/// hub reads the store itself, as a fraction of the bound; the rest of the bound is for the
/// call.
const READ_FRACTION: f64 = 0.8;

/// Duration of a poll, and the ages of the configuration at which a host polls for a new one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollIntervals {
    /// Duration of a long poll of the store.
    pub wait: Duration,
    /// Age of the configuration at which other hosts are polled.
    pub ask: Duration,
    /// Age of the configuration at which a host with a hub reads it from the store itself.
    pub read: Duration,
}

impl PollIntervals {
    /// Returns the longest times with which a new configuration is in force within `bound`;
    /// longer times save calls of the store, each of which is charged.
    pub fn for_bound(bound: Duration) -> Self {
        let fraction = |fraction| bound.mul_f64(fraction);
        Self {
            wait: fraction(WAIT_FRACTION),
            ask: fraction(PEER_FRACTION),
            read: fraction(READ_FRACTION),
        }
    }
}
