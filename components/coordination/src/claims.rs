//! Division of an account's rate between the sides of a network partition, by the hosts that its
//! callers use.
//!
//! Handles a partition that leaves hosts, callers and hubs of every failure domain on each side,
//! with accounts whose callers are spread unevenly over the hosts. If a side's part followed from
//! the number of hubs that it reaches, the callers of most hosts could share a third of the rate
//! while the other hosts do not use their two thirds.
//!
//! A *claim* is the part of an account's rate that belongs to the callers of one host. A hub divides
//! its own claim, which follows from the demand that all hubs reported, between the hosts that it
//! admits requests for, and returns a host's claim with each ruling. A hub drops the claim of a
//! host that is silent for [`DEPARTURE_TIMEOUT`], also if the host returns. A host that has sent
//! nothing to its hub for longer, [`ARRIVAL_TIMEOUT`], presents the claim to the hub that it uses
//! then. So no two hubs count a claim at the same time. The part of a side is the sum of the claims of its hosts. The rest of the rate,
//! which nobody claims, is divided by the number of hub candidates that a side reaches.
//!
//! Claims follow from demand of before the partition: they are computed at each report from the
//! last few reports, and stay constant from the first second of silence of any hub candidate until
//! all are in contact again. Of the values from before that second the smallest is in force, so
//! that the sum of all claims does not exceed the rate while demand moves between hubs that see
//! each other's reports at different times.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    AccountId, HostId,
    ledger::Meter,
    reports::{REPORT_INTERVAL, SUSPECT_TIMEOUT},
};

/// Part of the rate that all claims on an account may reach. The rest covers reports that hubs
/// received at different times.
const CLAIMED_PART: f64 = 0.95;

/// Demand, as a fraction of the rate, at which all claims together reach [`CLAIMED_PART`]. The few
/// requests of an account with less demand do not show where its callers are.
const FULL_DEMAND: f64 = 0.1;

/// Number of computed values that are kept.
const SNAPSHOTS: usize = 7;

/// Number of the newest values that are not in force: they may have been computed between the begin
/// of a partition and its detection, from the reports of one side.
const SKIPPED_SNAPSHOTS: usize = 3;

/// Number of values that are left out after the first request of an account: hubs receive each other's
/// first reports at different times.
const FIRST_SNAPSHOTS: usize = 2;

/// Time constant of the decay of a host's demand. A host sends few requests of an account.
const HOST_DEMAND_DECAY: Duration = Duration::from_secs(8);

/// Time without contact after which a hub no longer counts the claim of a host: two heartbeats.
pub const DEPARTURE_TIMEOUT: Duration = Duration::from_millis(800);

/// Time since a host's last message to a hub after which another hub counts the claim. Exceeds
/// [`DEPARTURE_TIMEOUT`] by the transfer of a message.
pub const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time of silence of a hub candidate after which claims divide the rate: a host sends messages to
/// its hub for 600 ms before it notices the silence, and the next hub counts the claim
/// [`ARRIVAL_TIMEOUT`] later.
pub const DIVISION_TIMEOUT: Duration = Duration::from_millis(1600);

/// Time for which a hub remembers, while there is no partition, that a host was silent or has
/// presented a claim: a partition is detected seconds after hosts have changed to another hub.
const DEPARTURE_TTL: Duration = Duration::from_millis(5000);

/// Time without contact after which a host's entry is dropped.
const HOST_TTL: Duration = Duration::from_secs(60);

/// Claim of a host on an account's rate, granted by one hub and presented to another one.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// Part of the rate, from 0 to 1.
    pub part: f32,
    /// Time since the host last sent a message to the hub that granted the claim, in milliseconds.
    pub idle_ms: u32,
}

impl Claim {
    /// Returns whether the hub that granted the claim has certainly dropped it.
    pub fn is_movable(self) -> bool {
        Duration::from_millis(self.idle_ms.into()) >= ARRIVAL_TIMEOUT
    }
}

/// Returns whether a part that another host sent is a number from 0 to 1.
pub fn is_valid(part: f32) -> bool {
    (0.0..=1.0).contains(&part)
}

/// Last values of a quantity, one per report interval; the newest is the first.
#[derive(Clone, Debug, Default)]
struct History(VecDeque<f32>);

impl History {
    fn push(&mut self, value: f32) {
        self.0.truncate(SNAPSHOTS - 1);
        self.0.push_front(value);
    }

    fn newest(&self) -> f64 {
        self.0.front().copied().unwrap_or_default().into()
    }

    /// Returns the values that are certainly from before a partition, newest first.
    fn settled(&self) -> impl Iterator<Item = f64> {
        self.0.iter().skip(SKIPPED_SNAPSHOTS).copied().map(f64::from)
    }
}

/// Claim of one host as counted by a hub.
#[derive(Debug)]
struct HostClaim {
    /// Requests of the host's callers.
    requests: Meter,
    /// Fraction of the hub's claim that belongs to the host.
    fractions: History,
    /// Claim that the host has presented, with the time at which it did.
    presented: Option<(f32, Instant)>,
    /// Time at which the host last sent a claim, also one that it could not present yet.
    announced_at: Option<Instant>,
}

impl HostClaim {
    fn new(now: Instant) -> Self {
        let requests = Meter::new(HOST_DEMAND_DECAY, now);
        Self { requests, fractions: History::default(), presented: None, announced_at: None }
    }

    /// Returns the fraction of the hub's claim that belongs to the host.
    fn fraction(&self) -> f64 {
        self.fractions.settled().next().unwrap_or_default()
    }

    /// Returns the part of the rate; `hub` is the hub's own claim, `computed_at` the time at which it
    /// was last computed. A claim that this hub granted and one that the host has presented are for
    /// the same callers.
    fn part(&self, hub: f64, contact: &Contact, computed_at: Option<Instant>) -> f64 {
        let stays = |gap: Instant| computed_at.is_some_and(|at| at > gap + DEPARTURE_TTL);
        let own = if contact.gap.is_none_or(stays) { hub * self.fraction() } else { 0.0 };
        let presented = self.presented.filter(|(_, at)| contact.gap.is_none_or(|gap| *at >= gap));
        own.max(presented.map_or(0.0, |(part, _)| part.into()))
    }
}

/// Contact with a host.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// Time of the last message.
    last: Instant,
    /// Time at which the host last returned after it was silent for [`DEPARTURE_TIMEOUT`].
    gap: Option<Instant>,
}

/// Claims on one account.
#[derive(Debug, Default)]
struct AccountClaims {
    /// Number of values that were left out; at most [`FIRST_SNAPSHOTS`].
    left_out: usize,
    /// Claim of this hub.
    hub: History,
    /// Claims of all hubs together.
    total: History,
    /// Requests of the callers of all hosts.
    requests: Option<Meter>,
    hosts: HashMap<HostId, HostClaim>,
}

impl AccountClaims {
    /// Returns the claim of this hub; 0 before it is known.
    fn hub(&self) -> f64 {
        self.hub.settled().reduce(f64::min).unwrap_or_default()
    }

    /// Returns the claims of all hubs together. A hub that does not know the demand of before the
    /// partition leaves the rate to those that do.
    fn total(&self) -> f64 {
        self.total.settled().reduce(f64::max).unwrap_or(CLAIMED_PART)
    }
}

/// Claims of the hosts that a hub admits requests for.
#[derive(Debug, Default)]
pub struct Claims {
    accounts: HashMap<AccountId, AccountClaims>,
    contacts: HashMap<HostId, Contact>,
    /// Time at which claims were last computed.
    computed_at: Option<Instant>,
}

impl Claims {
    /// Records a message of a host.
    pub fn note_contact(&mut self, host: &HostId, now: Instant) {
        match self.contacts.get_mut(host) {
            Some(contact) => {
                let silence = now.saturating_duration_since(contact.last);
                if silence >= DEPARTURE_TIMEOUT {
                    contact.gap = Some(now);
                }
                contact.last = now;
            }
            None => {
                self.contacts.insert(host.clone(), Contact { last: now, gap: None });
            }
        }
    }

    /// Records a request of a host's caller, with the claim that the host presents. Returns the
    /// host's fraction of the demand at all hosts if it has just changed to this hub, else 0.
    pub fn record(
        &mut self,
        account: &AccountId,
        host: &HostId,
        claim: Option<Claim>,
        now: Instant,
    ) -> f64 {
        self.note_contact(host, now);
        if !self.accounts.contains_key(account) {
            self.accounts.insert(account.clone(), AccountClaims::default());
        }
        let Some(claims) = self.accounts.get_mut(account) else { return 0.0 };
        if !claims.hosts.contains_key(host) {
            claims.hosts.insert(host.clone(), HostClaim::new(now));
        }
        let Some(entry) = claims.hosts.get_mut(host) else { return 0.0 };
        entry.requests.add(now);
        claims.requests.get_or_insert_with(|| Meter::new(HOST_DEMAND_DECAY, now)).add(now);
        let Some(claim) = claim.filter(|claim| is_valid(claim.part)) else { return 0.0 };
        let announced = entry.announced_at.replace(now).is_some_and(|at| now < at + DEPARTURE_TTL);
        let is_new = !announced && entry.fraction() == 0.0;
        if claim.is_movable() {
            entry.presented = Some((claim.part, now));
        }
        if is_new { f64::from(claim.part) / CLAIMED_PART } else { 0.0 }
    }

    /// Computes the claims on an account from the demand of before the current report interval. `own` is the
    /// demand at this hub, `requested` that at all hubs and `rate` the account's rate, all in
    /// requests per second. Must not be called during a partition.
    pub fn compute(
        &mut self,
        account: &AccountId,
        own: f64,
        requested: f64,
        rate: f64,
        now: Instant,
    ) {
        let contacts = &self.contacts;
        if !self.accounts.contains_key(account) {
            self.accounts.insert(account.clone(), AccountClaims::default());
        }
        let Some(claims) = self.accounts.get_mut(account) else { return };
        if requested > 0.0 && claims.left_out < FIRST_SNAPSHOTS {
            // Values of before the first request are of no use.
            claims.hub.0.clear();
            claims.total.0.clear();
            claims.left_out += 1;
            return;
        }
        let base = requested.max(FULL_DEMAND * rate).max(f64::MIN_POSITIVE);
        claims.hub.push((CLAIMED_PART * own / base) as f32);
        claims.total.push((CLAIMED_PART * requested / base) as f32);
        claims.hosts.retain(|host, _| contacts.contains_key(host));
        let sum: f64 = claims.hosts.values().map(|host| host.requests.decayed(now)).sum();
        for host in claims.hosts.values_mut() {
            host.fractions.push((host.requests.decayed(now) / sum.max(f64::MIN_POSITIVE)) as f32);
            host.presented.take_if(|(_, at)| now > *at + DEPARTURE_TTL);
        }
        self.computed_at = Some(now);
    }

    /// Drops the hosts without contact for [`HOST_TTL`].
    pub fn expire(&mut self, now: Instant) {
        self.contacts.retain(|_, contact| now.saturating_duration_since(contact.last) < HOST_TTL);
    }

    /// Returns whether the demand of before a partition is known for the account.
    pub fn is_settled(&self, account: &AccountId) -> bool {
        let claims = self.accounts.get(account);
        claims.is_some_and(|claims| claims.total.settled().next().is_some())
    }

    /// Returns the claim to be sent to a host: its part of the rate, from 0 to 1. Without a
    /// partition, the values in force are the newest.
    pub fn granted(
        &self,
        account: &AccountId,
        host: &HostId,
        partitioned: bool,
        now: Instant,
    ) -> f32 {
        let Some(claims) = self.accounts.get(account) else { return 0.0 };
        let (Some(entry), Some(contact)) = (claims.hosts.get(host), self.contacts.get(host)) else {
            return 0.0;
        };
        let part = match partitioned {
            true => entry.part(claims.hub(), contact, self.computed_at),
            false => {
                let requests = claims.requests.as_ref().map_or(0.0, |all| all.decayed(now));
                let fraction = entry.requests.decayed(now) / requests.max(f64::MIN_POSITIVE);
                let presented = entry.presented.map_or(0.0, |(part, _)| part.into());
                f64::max(claims.hub.newest() * fraction.min(1.0), presented)
            }
        };
        part.min(1.0) as f32
    }

    /// Returns the sum of the claims of the hosts in contact with this hub.
    pub fn counted(&self, account: &AccountId, now: Instant) -> f64 {
        let Some(claims) = self.accounts.get(account) else { return 0.0 };
        let hub = claims.hub();
        let part = |(host, claim): (&HostId, &HostClaim)| {
            let contact = self.contacts.get(host)?;
            let silence = now.saturating_duration_since(contact.last);
            (silence < DEPARTURE_TIMEOUT).then(|| claim.part(hub, contact, self.computed_at))
        };
        claims.hosts.iter().filter_map(part).sum::<f64>().min(1.0)
    }

    /// Returns the part of the rate that no host claims, from 0 to 1.
    pub fn unclaimed(&self, account: &AccountId) -> f64 {
        self.accounts.get(account).map_or(1.0 - CLAIMED_PART, |claims| 1.0 - claims.total())
    }
}

/// Claims that this host received from hubs.
#[derive(Debug, Default)]
pub struct HeldClaims {
    /// Claim on each account, with the hub that granted it.
    claims: HashMap<AccountId, (HostId, f32)>,
    /// Time of the last message sent to each hub.
    sent: HashMap<HostId, Instant>,
}

impl HeldClaims {
    /// Records that a message is sent to a hub.
    pub fn note_sent(&mut self, hub: &HostId, now: Instant) {
        match self.sent.get_mut(hub) {
            Some(sent) => *sent = now,
            None => _ = self.sent.insert(hub.clone(), now),
        }
    }

    /// Records the claim that a hub granted in reply to a request with the claim `sent`. A claim of
    /// another hub is kept until it was presented.
    pub fn hold(&mut self, account: &AccountId, hub: &HostId, part: f32, sent: Option<Claim>) {
        match self.claims.get_mut(account) {
            Some((granted_by, held)) if granted_by == hub => *held = part,
            Some(_) if !sent.is_some_and(Claim::is_movable) => {}
            _ => _ = self.claims.insert(account.clone(), (hub.clone(), part)),
        }
    }

    /// Returns the claim to send to a hub; `None` if the hub granted it and still counts it.
    pub fn present(&self, account: &AccountId, hub: &HostId, now: Instant) -> Option<Claim> {
        let (granted_by, part) = self.claims.get(account)?;
        let idle = now.saturating_duration_since(*self.sent.get(granted_by)?);
        let idle_ms = u32::try_from(idle.as_millis()).unwrap_or(u32::MAX);
        let claim = Claim { part: *part, idle_ms };
        (granted_by != hub || claim.is_movable()).then_some(claim)
    }
}

const _: () = assert!(
    REPORT_INTERVAL.as_millis() * SKIPPED_SNAPSHOTS as u128 >= SUSPECT_TIMEOUT.as_millis(),
    "the values in force must be from before the detection of silence"
);
