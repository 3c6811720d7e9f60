//! Whether a host may still act on the revision it knows.
//!
//! A revision is *accepted* once the table service has it and it has been told
//! to a majority of its own roster and to a majority of the roster before it;
//! no step is made from a revision that was not told so. A host acts only while
//! it can show that no newer revision was accepted within a few seconds of now.
//! It shows so by reading the head of the chain, or by the answers of a majority
//! of its own roster, none of which knows a newer revision. Times count from
//! when the question was *sent*: an answer may have been long under way.
//!
//! Why this holds. Say K+1 was accepted, and a host still at K asks the roster
//! of K. Those told of K+1 are a majority of that roster, and so are those that
//! answer: they meet in at least one host. It answers with K+1, unless it
//! restarted since and forgot. But a restarted host vouches for nothing before
//! it has itself shown freshness: by the platform, which names K+1, or by a
//! majority of hosts that vouch, and fewer than a majority of them lack K+1.
//! So the hosts that vouch and lack K+1 are never a majority, and the asker is
//! not shown fresh after the acceptance. For a host further behind the same
//! holds of the step after *its* revision, which was told before any later one
//! could be made, whatever the roster became.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{HostId, Revision, leadership};

/// What a host answers when another asks whether its revision is the newest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreshnessVote {
    /// The newest revision that it knows; 0 when it knows none.
    pub known: Revision,
    /// Whether it has shown freshness since it started. Before that its
    /// ignorance of a newer revision means nothing.
    #[serde(rename = "vouches")]
    pub confirmed: bool,
    /// The newest revision that it knows to have been told to majorities.
    #[serde(rename = "told")]
    pub propagated: Revision,
    /// Hosts that it has not heard for long.
    #[serde(rename = "silent")]
    pub unreachable: Vec<HostId>,
}

/// What a round of questions showed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// No revision newer than the asker's was accepted before the round began.
    pub newest: bool,
    /// The asker's revision is known to majorities of its roster and of the one before.
    pub propagated: bool,
    /// A host that knows a newer revision, and that revision.
    pub newer: Option<(HostId, Revision)>,
    /// Hosts of the roster that know the asker's revision or a newer one.
    pub in_force: Vec<HostId>,
}

/// Counts the answers of one round. The asker's own answer is one of them.
///
/// Answers of hosts outside both rosters, and second answers of a host, do not
/// count. Hosts that are `dead` for certain need not be told: they act no more.
/// Without that, the loss of a majority of the hosts for good would stop all
/// changes for good. The caller must be sure of it: a majority that is called
/// dead, but goes on vouching for each other where nobody reaches it, would act
/// on an old revision.
pub fn tally(
    known: Revision,
    roster: &[HostId],
    before: &[HostId],
    dead: &[HostId],
    answers: &[(HostId, FreshnessVote)],
) -> Tally {
    let answer = |host: &HostId| answers.iter().find(|(id, _)| id == host).map(|(_, vote)| vote);
    let knows = |host: &&HostId| answer(host).is_some_and(|vote| vote.known >= known);
    let confirmed = |host: &&HostId| answer(host).is_some_and(|vote| vote.confirmed);
    let alive = |hosts: &[HostId]| -> Vec<HostId> {
        hosts.iter().filter(|host| !dead.contains(host)).cloned().collect()
    };
    let newer = answers.iter().filter(|(_, vote)| vote.known > known);
    let newer = newer.max_by_key(|(_, vote)| vote.known);
    Tally {
        newest: !roster.is_empty() && newer.is_none() && has_majority(roster, confirmed),
        propagated: has_majority(&alive(roster), knows) && has_majority(&alive(before), knows),
        newer: newer.map(|(host, vote)| (host.clone(), vote.known)),
        in_force: roster.iter().filter(knows).cloned().collect(),
    }
}

/// Whether a majority of the hosts passes; of none, yes.
pub fn has_majority<'a>(hosts: &'a [HostId], passes: impl Fn(&&'a HostId) -> bool) -> bool {
    hosts.is_empty() || hosts.iter().filter(passes).count() >= leadership::majority(hosts.len())
}

/// Since when, and of what, a host can show freshness.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// The latest time at which nothing newer than `known` had been accepted;
    /// none until freshness was shown once since the start.
    shown: Option<Instant>,
    /// The revision known here; never goes down.
    known: Revision,
}

impl Freshness {
    /// Notes that a revision is known now.
    ///
    /// What was shown before stays shown: where nothing newer than the old
    /// revision had been accepted, nothing newer than the new one had.
    pub fn raise(&mut self, revision: Revision) {
        self.known = self.known.max(revision);
    }

    /// Notes that nothing newer than `newest` had been accepted at `asked`.
    ///
    /// Does nothing when a newer revision than the one known here may exist.
    pub fn confirm(&mut self, newest: Revision, asked: Instant) {
        if newest <= self.known {
            self.shown = self.shown.max(Some(asked));
        }
    }

    /// Whether this host may vouch for others.
    pub fn may_vote(&self) -> bool {
        self.shown.is_some()
    }

    /// How long ago the revision was the newest for certain.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.shown.map(|shown| now.saturating_duration_since(shown))
    }

    /// Whether this host may act.
    ///
    /// A host that was frozen finds its time run out when it wakes, since the
    /// clock went on; it must show freshness again before it serves.
    pub fn is_fresh(&self, now: Instant, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}

/// How old a configuration may be while no majority of the hosts is heard and
/// nothing strict is asked for.
///
/// A host that neither the store nor the other hosts reach cannot know of a key
/// that was taken away. It goes on for a while, since most cuts last 5 to 9 s and
/// all its callers would be refused; then it stops. While it hears most hosts, and
/// none of them has anything newer, the store is away for all, and nobody can
/// change anything.
const PLAN_AGE: Duration = Duration::from_secs(10);

/// The part of a strict bound after which such a host stops; the rest is for what
/// is on its way then.
const STRICT_PART: f64 = 0.6;

/// What the settings promise of configurations.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How soon a new one is in force.
    pub apply: Duration,
    /// How soon a withdrawn key has stopped working also on hosts that are cut off; none
    /// where such hosts may go on with what they know.
    pub strict: Option<Duration>,
}

/// What a host knows of its configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigState {
    /// How long ago it was the newest for certain; none before the first.
    pub age: Option<Duration>,
    /// Whether another host has a newer one.
    pub outdated: bool,
    /// Whether most hosts are heard.
    pub majority: bool,
}

impl ConfigState {
    /// Whether the host may serve by its configuration.
    ///
    /// Guards against a host that knows of a newer one and cannot get hold of it: it would
    /// go on with a withdrawn key for as long as that lasts. The newer one was accepted
    /// after its own was last the newest, so that it has been in force for `age` at most.
    pub fn may_serve(self, bounds: Bounds) -> bool {
        let Some(age) = self.age else { return false };
        if self.outdated {
            return age < bounds.strict.map_or(bounds.apply, |strict| strict.min(bounds.apply));
        }
        let limit = bounds.strict.map_or(PLAN_AGE, |strict| strict.mul_f64(STRICT_PART));
        age < limit || self.majority
    }
}

/// How long the store is asked to wait for a new configuration, as a part of the
/// time within which one must be in force. A connection that went silent is given
/// up a second later, and the other hosts are asked meanwhile.
const WAIT_PART: f64 = 0.43;

/// How old a configuration may be before other hosts are asked for a newer one: a
/// little more than the store usually takes to say that there is none.
const ASK_PART: f64 = 0.73;

/// How old it may be before a host reads it from the store that leaves this to
/// its hub: the rest of the bound is for the call.
const READ_PART: f64 = 0.8;

/// How often a host looks for a new configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollIntervals {
    /// How long the store is asked to wait for one.
    pub wait: Duration,
    /// How old the known one may be before other hosts are asked.
    pub ask: Duration,
    /// How old it may be before a host reads it that leaves this to its hub.
    pub read: Duration,
}

impl PollIntervals {
    /// The pace that has a configuration in force within `bound`: as seldom as
    /// that allows, since each call of the store is charged for.
    pub fn for_bound(bound: Duration) -> Self {
        let part = |part| bound.mul_f64(part);
        Self { wait: part(WAIT_PART), ask: part(ASK_PART), read: part(READ_PART) }
    }
}
