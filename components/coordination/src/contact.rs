//! Contact of a host with the rest of the fleet, without which the host uses no leader.
//!
//! A lease on the view outlasts an outage of the store by seconds, and so does the wait of a failover
//! for a host that neither answers nor shows a release. That the host does not answer is no proof
//! that its process has ended: a network may drop, reset or refuse connections between hosts that
//! still reach the former leader. A host therefore stops by itself once it is cut off: it uses a
//! leader only for [`CONTACT_TTL`] after its last *contact*, which is the latest of
//!
//! - the time at which its view was last proven to be the newest,
//! - the time since which a majority of the *witnesses* have answered its heartbeats,
//! - the contact of a witness that answered and holds a lease, as of that answer.
//!
//! An answer of a witness contains every leadership row that the host lacks. A failover writes its
//! intent to the store first and has every host in reach apply it. Once the witnesses that lack the
//! intent are no majority any more, each majority that answers another host includes one that has
//! it, so the host receives the intent with the answers. The last contact of a host that does not have
//! the intent is thus earlier than that time, and [`CONTACT_TTL`] after it no host uses the former
//! leader.
//!
//! The witnesses follow from the view: the most suitable hosts of each failure domain. Hosts with a
//! valid lease may have different views, all of which were the newest at some time in the last
//! [`LEASE_TTL`]. A [`Quorum`] therefore counts only rows that have been unchanged for longer as
//! members of every such view, and every other host as a possible witness that has not answered.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    FailureDomain, HostId, hubs,
    view::{LEASE_MARGIN, LEASE_TTL, View},
};

/// Time since a host's last contact after which the host uses no leader.
///
/// A change of a leader beside a host that does not answer takes this time, [`LEASE_MARGIN`], the
/// detection and the promotion, about a second each, and is to be over within 7 s. A shorter time
/// would stop hosts sooner that are cut off from the fleet.
pub const CONTACT_TTL: Duration = Duration::from_millis(4000);

/// Age of a host's contact from which it sends heartbeats to all hosts that it has links to, in place
/// of its hub alone. Heartbeats are sent every 400 ms.
pub const WIDEN_TIMEOUT: Duration = Duration::from_millis(1000);

/// Age of a host's contact from which it reads the store itself.
pub const READ_TIMEOUT: Duration = Duration::from_millis(2000);

/// [`READ_TIMEOUT`] of a host that is no hub candidate: after the loss of its hub, another candidate
/// usually has contact by then.
pub const LATE_READ_TIMEOUT: Duration = Duration::from_millis(2600);

/// Maximum number of leadership rows in the answer of a witness. A host that lacks more requests the
/// changes of the view first.
pub const MAX_ROWS: usize = 64;

/// Returns the number of hosts that is a majority of `count`.
fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Returns the witnesses of a view.
pub fn witnesses(view: &View) -> BTreeSet<HostId> {
    let is_present = |id: &HostId| {
        view.members.get(id).is_some_and(|row| row.value.contact && row.value.left.is_none())
    };
    hubs::most_suitable(view, is_present)
}

/// Last contact of one host with the rest of the fleet, other than by proofs of its view.
#[derive(Debug, Default)]
pub struct Contact {
    witnesses: BTreeSet<HostId>,
    /// Time at which the last answered heartbeat to each host was sent.
    answered: BTreeMap<HostId, Instant>,
    /// Latest contact of a witness that has answered.
    relayed: Option<Instant>,
    /// Number of witnesses other than this host whose answers complete a majority.
    needed: usize,
    /// Time since which a majority of the witnesses have answered; none before it has.
    majority_since: Option<Instant>,
}

impl Contact {
    /// Sets the witnesses of the host's newest view.
    pub fn set_witnesses(&mut self, me: &HostId, witnesses: BTreeSet<HostId>) {
        let own = usize::from(witnesses.contains(me));
        self.needed = majority(witnesses.len()).saturating_sub(own);
        self.witnesses = witnesses;
        self.witnesses.remove(me);
        self.answered.retain(|id, _| self.witnesses.contains(id));
        self.update();
    }

    /// Records the answer of a host to a heartbeat sent at `sent_at`, after the rows in the answer
    /// were applied. `age` is the age of that host's own contact at the answer; none before its
    /// first contact.
    pub fn note(&mut self, from: &HostId, sent_at: Instant, age: Option<Duration>) {
        if !self.witnesses.contains(from) {
            return;
        }
        let answered = self.answered.entry(from.clone()).or_insert(sent_at);
        *answered = sent_at.max(*answered);
        let relayed = age.and_then(|age| sent_at.checked_sub(age));
        self.relayed = self.relayed.max(relayed);
        self.update();
    }

    fn update(&mut self) {
        let mut times: Vec<_> = self.answered.values().copied().collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        self.majority_since = self.needed.checked_sub(1).and_then(|n| times.get(n).copied());
    }

    /// Returns the time of the last contact, `now` for a host that is the only witness; none before
    /// the first contact.
    pub fn last(&self, now: Instant) -> Option<Instant> {
        if self.needed == 0 {
            return Some(now);
        }
        self.majority_since.max(self.relayed)
    }
}

/// Versions of the view that a host has had, by time: shows which rows are older than a lease.
#[derive(Debug, Default)]
pub struct VersionHistory {
    versions: VecDeque<(Instant, u64)>,
}

impl VersionHistory {
    /// Records that the host has the view of version `version` at `now`.
    pub fn note(&mut self, version: u64, now: Instant) {
        if self.versions.back().is_none_or(|(_, last)| *last < version) {
            self.versions.push_back((now, version));
        }
        while self.versions.get(1).is_some_and(|(at, _)| is_settled(*at, now)) {
            self.versions.pop_front();
        }
    }

    /// Returns a version that the store had before the oldest lease that is valid at `now` began; 0 if
    /// this host has none.
    pub fn settled(&self, now: Instant) -> u64 {
        let mut settled = self.versions.iter().rev().filter(|(at, _)| is_settled(*at, now));
        settled.next().map_or(0, |(_, version)| *version)
    }
}

fn is_settled(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) >= LEASE_TTL + LEASE_MARGIN
}

/// Decides when the hosts that lack a failover's intent can have no further contact.
#[derive(Debug, Default)]
pub struct Quorum {
    /// Hosts that may be witnesses of a view for which a lease is valid, each with its failure domain
    /// and whether it is a member of each of these views.
    candidates: BTreeMap<HostId, (FailureDomain, bool)>,
}

impl Quorum {
    /// Returns the quorum for `view`, which contains the intent. `settled` is a version that the store
    /// had before the oldest valid lease began.
    pub fn new(view: &View, settled: u64) -> Self {
        let is_settled = |id: &HostId| {
            view.members.get(id).is_some_and(|row| {
                row.version <= settled && row.value.contact && row.value.left.is_none()
            })
        };
        // A further host of a failure domain only reduces the number of these among the witnesses.
        let witnesses = hubs::most_suitable(view, is_settled);
        let candidates = view.members.iter().filter_map(|(id, row)| {
            let settled = is_settled(id);
            let counts = !settled || witnesses.contains(id);
            counts.then(|| (id.clone(), (row.value.domain.clone(), settled)))
        });
        Self { candidates: candidates.collect() }
    }

    /// Returns whether each majority of the witnesses includes a host that has the intent, if all hosts
    /// but `waiting` have it.
    pub fn is_reached(&self, waiting: &[HostId]) -> bool {
        // A host that is no member of some of the views counts only where it is a witness, so only if
        // it lacks the intent: the majority of a view grows by less than one for each further host.
        let mut sizes: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
        let mut missing = 0;
        for (id, (domain, settled)) in &self.candidates {
            let lacks_intent = waiting.contains(id);
            missing += usize::from(lacks_intent);
            if *settled || lacks_intent {
                *sizes.entry(domain).or_default() += 1;
            }
        }
        let size: usize = sizes.values().map(|size| (*size).min(hubs::CANDIDATES)).sum();
        missing < majority(size)
    }
}
