//! A host's part of an account's rate, by where the account's callers are.
//!
//! The load it answers: a balancer that spreads callers unevenly over the hosts,
//! accounts of which a few are large, and an account that sends several times
//! its rate. Equal parts would refuse callers at the host where most of them
//! are, while other hosts have tokens that nobody asks for. So the larger part
//! of the rate follows the demand that hosts tell each other, and the smaller
//! one is spread equally, for hosts where demand begins.
//!
//! The sum of all parts stays the rate while hosts hear each other. When some do
//! not, parts must not grow on both sides of a cut. So a host that has lost
//! another lets its part only shrink at first. Hosts that hear less than half of
//! the fleet fall back to the least part each; later, when that has surely
//! happened, the others share the rest. Two halves have half of the rate each.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{AccountId, Burst, HostId, Rate};

/// The part of a rate that follows the demand.
const BY_DEMAND: f64 = 0.75;

/// How long demand counts: the time in which most of an old figure is forgotten.
const MEMORY: Duration = Duration::from_millis(1500);

/// How long a host counts as heard; several times the interval of reports.
pub const HEARD_FOR: Duration = Duration::from_millis(1600);

/// When a host that hears less than half of the hosts uses the least part only.
pub const ALONE_AFTER: Duration = Duration::from_millis(2500);

/// When the others count on it. Later by more than the time that a host may take
/// to notice, with the last message it heard on its way.
pub const LOST_AFTER: Duration = Duration::from_millis(4000);

/// The part of the tolerance that hosts use on purpose. The rest is for what they
/// cannot know: demand that moved since it was told, and clocks that differ.
const TOLERANCE_USED: f64 = 0.5;

/// How far a rate may be exceeded over the whole fleet.
///
/// It is there to be used: with parts that sum to just the rate, a host refuses
/// requests that one bucket for all would have admitted, whenever callers come to
/// the hosts in another rhythm than tokens do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// As a part of the rate and the burst.
    pub overage: f64,
    /// In requests, within one window.
    pub slack: f64,
}

/// Requests asked for, by account, each a second.
pub type Asked = Vec<(AccountId, f64)>;

#[derive(Clone, Debug)]
struct Meter {
    rate: f64,
    at: Instant,
}

impl Meter {
    fn decayed(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at);
        self.rate * (-passed.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Instant) {
        self.rate = self.decayed(now) + 1.0 / MEMORY.as_secs_f64();
        self.at = now;
    }
}

#[derive(Debug)]
struct Told {
    asked: BTreeMap<AccountId, f64>,
    /// When it was heard last, or became known.
    at: Instant,
}

/// The longest time after which callers are told to come back: demand may have
/// moved by then.
const LONGEST_RETRY: Duration = Duration::from_secs(5);

/// Tokens of one account at this host.
#[derive(Debug)]
struct Tokens {
    saved: f64,
    at: Instant,
    /// The last part of the rate; it does not grow while a lost host may use its own.
    part: f64,
}

/// What was decided about a request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ruling {
    /// Whether it may run.
    pub admitted: bool,
    /// This host's part of the rate, from 0 to 1.
    pub part: f64,
    /// When a token will be there.
    pub retry: Duration,
}

/// The parts of all rates at one host.
#[derive(Debug, Default)]
pub struct Demand {
    tolerance: Tolerance,
    mine: HashMap<AccountId, Meter>,
    hosts: BTreeMap<HostId, Told>,
    tokens: HashMap<AccountId, Tokens>,
}

impl Demand {
    /// No demand yet.
    pub fn new(tolerance: Tolerance) -> Self {
        Self { tolerance, ..Self::default() }
    }

    /// Sets which other hosts have a part.
    pub fn set_hosts(&mut self, hosts: impl IntoIterator<Item = HostId>, now: Instant) {
        let mut old = std::mem::take(&mut self.hosts);
        for host in hosts {
            let told = old.remove(&host);
            let told = told.unwrap_or(Told { asked: BTreeMap::new(), at: now });
            self.hosts.insert(host, told);
        }
    }

    /// Notes what another host said.
    pub fn heard(&mut self, host: &HostId, asked: Asked, now: Instant) {
        if let Some(told) = self.hosts.get_mut(host) {
            *told = Told { asked: asked.into_iter().collect(), at: now };
        }
    }

    /// What this host's callers ask for.
    pub fn asked(&self, now: Instant) -> Asked {
        let asked = self.mine.iter().map(|(account, meter)| (account.clone(), meter.decayed(now)));
        asked.filter(|(_, rate)| *rate > 0.05).collect()
    }

    /// How long ago each other host was heard.
    fn silences(&self, now: Instant) -> impl Iterator<Item = Duration> {
        self.hosts.values().map(move |told| now.saturating_duration_since(told.at))
    }

    /// Whether a host was lost so lately that it may still use its old part.
    fn is_unsettled(&self, now: Instant) -> bool {
        self.silences(now).any(|silence| silence >= HEARD_FOR && silence < LOST_AFTER)
    }

    /// The part of every rate that the hosts heard within that time share, this
    /// one included. Over all sides of a cut the sum is 1 at most.
    fn pool(&self, within: Duration, now: Instant) -> f64 {
        let hosts = (self.hosts.len() + 1) as f64;
        let heard = (self.silences(now).filter(|silence| *silence < within).count() + 1) as f64;
        let least = (1.0 - BY_DEMAND) / hosts;
        match (2.0 * heard).total_cmp(&hosts) {
            Ordering::Greater => 1.0 - (hosts - heard) * least,
            Ordering::Equal => 0.5,
            Ordering::Less => heard * least,
        }
    }

    /// This host's part of the account's rate, from 0 to 1.
    fn part(&self, account: &AccountId, now: Instant) -> f64 {
        let mine = self.mine.get(account).map_or(0.0, |meter| meter.decayed(now));
        let counts = |told: &&Told| now.saturating_duration_since(told.at) < LOST_AFTER;
        let told = |told: &Told| told.asked.get(account).copied().unwrap_or(0.0);
        let heard = self.hosts.values().filter(counts);
        let equal = 1.0 / (heard.clone().count() + 1) as f64;
        let all = mine + heard.map(told).sum::<f64>();
        let by_demand = if all > 0.0 { mine / all } else { equal };
        let pool = self.pool(ALONE_AFTER, now).min(self.pool(LOST_AFTER, now));
        pool * (BY_DEMAND * by_demand + (1.0 - BY_DEMAND) * equal)
    }

    /// Takes a token for a request of the account.
    ///
    /// A bucket starts empty: hosts that start anew one after the other would
    /// otherwise grant the burst again each time.
    pub fn take(&mut self, account: &AccountId, rate: Rate, burst: Burst, now: Instant) -> Ruling {
        let meter = Meter { rate: 0.0, at: now };
        self.mine.entry(account.clone()).or_insert(meter).add(now);
        let mut part = self.part(account, now);
        let unsettled = self.is_unsettled(now);
        let start = Tokens { saved: 0.0, at: now, part: 0.0 };
        let tokens = self.tokens.entry(account.clone()).or_insert(start);
        if unsettled {
            let equal = 1.0 / (self.hosts.len() + 1) as f64;
            part = part.min(if tokens.part > 0.0 { tokens.part } else { equal });
        }
        tokens.part = part;
        let over = 1.0 + TOLERANCE_USED * self.tolerance.overage;
        let extra = TOLERANCE_USED * self.tolerance.slack / (self.hosts.len() + 1) as f64;
        let pace = (rate.0 * part * over).max(f64::MIN_POSITIVE);
        let passed = now.saturating_duration_since(tokens.at).as_secs_f64();
        let most = (burst.0 * part + extra).max(1.0);
        tokens.saved = (tokens.saved + passed * pace).min(most);
        tokens.at = now;
        let admitted = tokens.saved >= 1.0;
        if admitted {
            tokens.saved -= 1.0;
        }
        let missing = (1.0 - tokens.saved).max(0.0);
        let retry = Duration::try_from_secs_f64(missing / pace).unwrap_or(LONGEST_RETRY);
        let retry = retry.min(LONGEST_RETRY);
        Ruling { admitted, part, retry }
    }

    /// Begins to save up tokens for accounts that have not asked yet.
    pub fn know(&mut self, account: &AccountId, now: Instant) {
        let start = Tokens { saved: 0.0, at: now, part: 0.0 };
        self.tokens.entry(account.clone()).or_insert(start);
    }
}
