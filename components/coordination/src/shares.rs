//! Each host's part of every account's rate and burst, by the revision.
//!
//! The parts of one revision add up to the contract. While hosts may act on
//! different revisions a host uses the least of its parts in any of them, so
//! that the parts in use never add up to more:
//! a part that shrinks does so at once, and one that grows, or is new, is used
//! only when no host can act on an older revision any more. That is so once the
//! revision has been told to majorities and the time for which freshness lasts
//! has passed, and with it the time for which a loan may be spent.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{AccountId, Burst, HostId, Rate, Revision, bucket, rendezvous};

/// The least burst of a part, in tokens. With less a host could never hold a
/// whole token; so accounts with a small burst have fewer hosts that hold a
/// part, and the others borrow from them.
const MIN_BURST: f64 = 2.0;

/// How much slower one host's clock may run than another's.
const MAX_CLOCK_DRIFT: f64 = 0.1;

/// A rate with its burst.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Tokens a second.
    pub rate: Rate,
    /// The most tokens at once.
    pub burst: Burst,
}

impl Share {
    /// Nothing.
    pub const NONE: Self = Self { rate: Rate(0.0), burst: Burst(0.0) };

    fn min(self, other: Self) -> Self {
        Self {
            rate: Rate(self.rate.0.min(other.rate.0)),
            burst: Burst(self.burst.0.min(other.burst.0)),
        }
    }

    fn part(self, holders: usize) -> Self {
        let holders = holders as f64;
        Self { rate: Rate(self.rate.0 / holders), burst: Burst(self.burst.0 / holders) }
    }
}

/// What one revision says of rates.
#[derive(Clone, Debug)]
pub struct Allotment {
    /// The revision.
    pub revision: Revision,
    /// How long a host may act on it without showing freshness.
    pub fresh: Duration,
    /// The hosts, none twice.
    pub roster: Vec<HostId>,
    /// Rate and burst of each account over the whole fleet.
    pub contracts: HashMap<AccountId, Share>,
}

impl Allotment {
    /// The hosts that hold a part of the account's rate.
    pub fn holders(&self, account: &AccountId) -> Vec<&HostId> {
        let Some(contract) = self.contracts.get(account) else { return Vec::new() };
        let most = (contract.burst.0 / MIN_BURST).floor().max(1.0) as usize;
        let mut hosts = rendezvous::order(account.as_str(), &self.roster);
        hosts.truncate(most);
        hosts
    }

    /// The part of each host that holds one.
    pub fn typical(&self, account: &AccountId) -> Share {
        let contract = self.contracts.get(account).copied().unwrap_or_default();
        contract.part(self.holders(account).len().max(1))
    }

    /// The part of a host; `None` when the account is not known, so that no
    /// host uses any of it.
    fn part(&self, account: &AccountId, host: &HostId) -> Option<Share> {
        let contract = self.contracts.get(account)?;
        let holders = self.holders(account);
        Some(if holders.contains(&host) { contract.part(holders.len()) } else { Share::NONE })
    }
}

/// A revision that some host may still act on.
#[derive(Debug)]
struct ActiveRevision {
    allotment: Allotment,
    /// When no host can act on an older one any more, once it was told.
    settles_at: Option<Instant>,
}

/// The parts of one host.
#[derive(Debug)]
pub struct Shares {
    host: HostId,
    /// Revisions that some host may still act on, oldest first. Until the first
    /// of them has settled there may be older ones that this host never knew.
    active: Vec<ActiveRevision>,
    complete: bool,
}

impl Shares {
    /// A host that has just started: it may use nothing, since its part may be
    /// in use by the host that it replaces.
    pub fn new(host: HostId) -> Self {
        Self { host, active: Vec::new(), complete: false }
    }

    /// This host has made the first revision of all: there is no older one.
    pub fn begin(&mut self) {
        self.complete = true;
    }

    /// A newer revision is in force here.
    ///
    /// A host that missed the one before it knows nothing of the parts that others
    /// may still use by that one: it starts like a host that has just started.
    /// Otherwise a part that is the same before and after the gap would be used
    /// beside the larger parts of others within it.
    pub fn advance(&mut self, allotment: Allotment) {
        let last = self.newest().map(|newest| newest.revision);
        if last.is_some_and(|last| last.next() != allotment.revision) {
            self.active.clear();
            self.complete = false;
        }
        self.active.push(ActiveRevision { allotment, settles_at: None });
    }

    /// The revision, and with it all before it, was told to majorities before `now`.
    ///
    /// Each revision settles by itself. Were a later one to start the wait anew, a
    /// fleet whose hosts are replaced one after another would have hosts without
    /// any part all the while, and refuse accounts that are within their rate.
    pub fn acknowledged(&mut self, revision: Revision, now: Instant) {
        let fresh = self.active.iter().map(|active| active.allotment.fresh).max();
        let wait =
            fresh.unwrap_or_default().mul_f64(1.0 + MAX_CLOCK_DRIFT) + bucket::LENDER_HOLD_TTL;
        let settled = usize::from(self.complete);
        for active in self.active.iter_mut().skip(settled) {
            if active.allotment.revision <= revision && active.settles_at.is_none() {
                active.settles_at = Some(now + wait);
            }
        }
    }

    /// Forgets revisions that no host can act on any more; since when parts that
    /// grow may be used, if that has come. The parts in use stay below those of
    /// the oldest revision that is left, which every host acts on or has seen.
    ///
    /// Guards against a burst that is lost at a host that nobody has asked for a
    /// while: `now` may be long after the parts settled, and tokens have been due
    /// from then on.
    pub fn settle(&mut self, now: Instant) -> Option<Instant> {
        let due = |active: &ActiveRevision| active.settles_at.is_some_and(|at| now >= at);
        let newest = self.active.iter().rposition(due)?;
        self.active.drain(..newest);
        self.complete = true;
        self.active[0].settles_at.take()
    }

    /// What this host may use of an account's rate now.
    pub fn share(&self, account: &AccountId) -> Share {
        let newest = self.newest().and_then(|newest| newest.part(account, &self.host));
        let Some(newest) = newest.filter(|_| self.complete) else { return Share::NONE };
        let parts =
            self.active.iter().filter_map(|active| active.allotment.part(account, &self.host));
        parts.fold(newest, Share::min)
    }

    /// Whether the newest revision brought the account, so that nobody can have
    /// used any of its rate before.
    pub fn is_new(&self, account: &AccountId) -> bool {
        let before = &self.active[..self.active.len().saturating_sub(1)];
        self.complete
            && !before.is_empty()
            && before.iter().all(|active| !active.allotment.contracts.contains_key(account))
    }

    /// The newest revision.
    pub fn newest(&self) -> Option<&Allotment> {
        self.active.last().map(|active| &active.allotment)
    }
}
