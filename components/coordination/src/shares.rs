//! Parts of every account's rate and burst that each host may use, per configuration
//! revision.
//!
//! The parts of one revision add up to the contract. While hosts may act on different
//! revisions, a host uses the minimum of its parts in all of them, so that the parts in use
//! never add up to more: a part that shrinks does so immediately, and a part that grows or
//! is new is used only when no host can act on an older revision any more. That is the case
//! once majorities have acknowledged the revision, and then the freshness period and the
//! time for which a loan may be spent have passed.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{AccountId, Burst, HostId, Rate, Revision, bucket, rendezvous};

/// Minimum burst of a part, in tokens, unless a single host holds the whole contract. With
/// less, a host could never hold a whole token; accounts with a small burst therefore have
/// fewer holders of a part, and the other hosts borrow from these.
const MIN_BURST: f64 = 2.0;

/// Maximum fraction by which one host's clock may run slower than another's.
const MAX_CLOCK_DRIFT: f64 = 0.1;

/// A rate with its burst.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Tokens per second.
    pub rate: Rate,
    /// Maximum number of accumulated tokens.
    pub burst: Burst,
}

impl Share {
    /// Zero rate and burst.
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

/// Rates in one configuration revision.
#[derive(Clone, Debug)]
pub struct Allotment {
    /// Configuration revision.
    pub revision: Revision,
    /// Freshness period: maximum time for which a host may act on the revision without a new
    /// confirmation that the revision is the newest.
    pub fresh: Duration,
    /// Hosts of the fleet, without duplicates.
    pub roster: Vec<HostId>,
    /// Rate and burst of each account over the whole fleet.
    pub contracts: HashMap<AccountId, Share>,
}

impl Allotment {
    /// Returns the hosts that hold a part of the account's rate.
    pub fn holders(&self, account: &AccountId) -> Vec<&HostId> {
        let Some(contract) = self.contracts.get(account) else { return Vec::new() };
        let max_holders = (contract.burst.0 / MIN_BURST).floor().max(1.0) as usize;
        let mut hosts = rendezvous::order(account.as_str(), &self.roster);
        hosts.truncate(max_holders);
        hosts
    }

    /// Returns the part of each holder; zero if the revision does not contain the account.
    pub fn typical(&self, account: &AccountId) -> Share {
        let contract = self.contracts.get(account).copied().unwrap_or_default();
        contract.part(self.holders(account).len().max(1))
    }

    /// Returns a host's part; `None` if the revision does not contain the account, so that no
    /// host uses any of its rate under this revision.
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
    /// Time from which no host can act on an older revision; `None` before the revision is
    /// acknowledged and after it has settled.
    settles_at: Option<Instant>,
}

/// Parts of all accounts at one host.
#[derive(Debug)]
pub struct Shares {
    host: HostId,
    /// Revisions that some host may still act on, oldest first. While `complete` is false,
    /// there may be older revisions that this host never received.
    active: Vec<ActiveRevision>,
    /// Whether `active` contains every revision that some host may still act on.
    complete: bool,
}

impl Shares {
    /// Creates the state of a host that has just started. It may use no tokens, since its
    /// part may still be in use by the host that it replaces.
    pub fn new(host: HostId) -> Self {
        Self { host, active: Vec::new(), complete: false }
    }

    /// Records that this host created the very first revision, so that there is no older
    /// one.
    pub fn begin(&mut self) {
        self.complete = true;
    }

    /// Puts a newer revision into force on this host.
    ///
    /// A host that missed the preceding revision lacks the parts that other hosts may still
    /// use under that revision, so it starts over like a host that has just started.
    /// Otherwise a part that is the same before and after the gap would be used together
    /// with the larger parts of other hosts within the gap.
    pub fn advance(&mut self, allotment: Allotment) {
        let last = self.newest().map(|newest| newest.revision);
        if last.is_some_and(|last| last.next() != allotment.revision) {
            self.active.clear();
            self.complete = false;
        }
        self.active.push(ActiveRevision { allotment, settles_at: None });
    }

    /// Records that majorities acknowledged the revision, and with it all earlier ones,
    /// before `now`.
    ///
    /// Each revision has its own wait. If a later revision restarted the wait, a fleet
    /// whose hosts are replaced one after another would have hosts without any part
    /// throughout, and would refuse accounts that are within their rate.
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

    /// Drops revisions that no host can act on any more. If a revision has settled, returns
    /// the time from which growing parts may be used. The parts in use stay within the parts
    /// of the oldest remaining revision, which every host acts on or has received.
    ///
    /// Guards against losing the burst at a host without recent requests: `now` may be long
    /// after the parts settled, and tokens accrue from that earlier time.
    pub fn settle(&mut self, now: Instant) -> Option<Instant> {
        let due = |active: &ActiveRevision| active.settles_at.is_some_and(|at| now >= at);
        let newest = self.active.iter().rposition(due)?;
        self.active.drain(..newest);
        self.complete = true;
        self.active[0].settles_at.take()
    }

    /// Returns the part of an account's rate and burst that this host may use now; zero until
    /// a revision has settled, except after [`Shares::begin`].
    pub fn share(&self, account: &AccountId) -> Share {
        let newest = self.newest().and_then(|newest| newest.part(account, &self.host));
        let Some(newest) = newest.filter(|_| self.complete) else { return Share::NONE };
        let parts =
            self.active.iter().filter_map(|active| active.allotment.part(account, &self.host));
        parts.fold(newest, Share::min)
    }

    /// Returns whether the newest revision added the account, so that no host can have used
    /// any of its rate before.
    pub fn is_new(&self, account: &AccountId) -> bool {
        let before = &self.active[..self.active.len().saturating_sub(1)];
        self.complete
            && !before.is_empty()
            && before.iter().all(|active| !active.allotment.contracts.contains_key(account))
    }

    /// Returns the newest revision.
    pub fn newest(&self) -> Option<&Allotment> {
        self.active.last().map(|active| &active.allotment)
    }
}
