//! One account's rate over all hosts, by what hosts tell each other.
//!
//! The load it answers: a balancer that spreads callers unevenly over the hosts,
//! accounts of which a few are large, an account that sends several times its rate,
//! and all of that while hosts die and come back. Fixed parts would refuse callers at
//! the host where most of them are, while other hosts have tokens that nobody asks for.
//!
//! Each host keeps a copy of the one bucket that the account has. It fills by the
//! whole rate and is emptied by what all hosts *told* that they admitted, the host's
//! own figure included. All copies are drawn from the same figures, so they agree
//! within the interval of telling. Until the next figures each host may admit its
//! *weight* of what is left: three quarters of the weight follow the demand that was
//! told, with what nobody asks for spread equally, and one quarter is equal. What all
//! admit meanwhile is no more than was left.
//!
//! A host that starts has equal weights until it has heard the others; it takes their
//! level over. When all hosts died the level is lost with them. A bucket then begins with
//! a part of the tolerance that hosts do not use otherwise: what was admitted before they
//! died and what is admitted after it stays within the limit over any window, however
//! short they were away, and accounts within their rate are served again at once.
//!
//! Hosts that do not hear each other must not both use what is left. A host that has
//! been quiet for a moment has its weight set apart. Hosts that hear less than half of
//! the fleet fall back to the least part each; later, when that has surely happened,
//! the others share the rest. Two halves have half of the rate each.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

pub use crate::ledger::Tolerance;
use crate::{
    AccountId, Burst, HostId, Rate,
    ledger::{Ledger, MEMORY},
};

/// The part of a weight that follows the demand.
const BY_DEMAND: f64 = 0.75;

/// When a host's weight is set apart: it has missed two of the figures that hosts tell
/// every 400 ms.
pub const QUIET_AFTER: Duration = Duration::from_millis(1000);

/// When a host that hears less than half of the hosts uses the least part only.
pub const ALONE_AFTER: Duration = Duration::from_millis(2500);

/// When the others count on it. Later by more than the time that a host may take
/// to notice, with the last message it heard on its way.
pub const LOST_AFTER: Duration = Duration::from_millis(4000);

/// Demand that is not told, in requests a second: forgotten but for a trace.
const LEAST_TOLD: f64 = 0.05;

/// The part of the slack that hosts may admit beyond their weight of what is left, each
/// an equal part of it. Callers come in clusters: with nine hosts and a small account a
/// weight is less than the three or four requests that come together.
const LENT: f64 = 0.25;

/// The longest time after which callers are told to come back: demand may have
/// moved by then.
const LONGEST_RETRY: Duration = Duration::from_secs(5);

/// What a host tells of one account. It is told to all hosts several times a second,
/// so its names on the wire are short.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Figures {
    /// The account.
    #[serde(rename = "a")]
    pub account: AccountId,
    /// Requests asked for, a second.
    #[serde(rename = "r")]
    pub rate: f32,
    /// Requests admitted since the teller started.
    #[serde(rename = "n")]
    pub admitted: u64,
    /// What the teller thinks is left in the account's bucket; none while it is new.
    #[serde(rename = "l")]
    pub level: Option<f32>,
}

/// What a host tells of all accounts that are asked for there.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Asked {
    /// Drawn at the teller's start.
    pub run: u64,
    /// Grows each time that it tells.
    pub no: u64,
    /// One for each account.
    pub figures: Vec<Figures>,
}

/// What another host told last.
#[derive(Debug)]
struct Told {
    asked: BTreeMap<AccountId, f64>,
    /// The run that speaks for the host and the number of what it told last.
    heard: Option<(u64, u64)>,
    /// The run that spoke before that one.
    former: Option<u64>,
    admitted: BTreeMap<AccountId, u64>,
    /// When it was heard last, or became known.
    at: Instant,
}

/// How a host stands to this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Hearing {
    Heard,
    /// It may go on using its weight of what was left.
    Quiet,
    /// It is dead, or it has noticed by now that it stands alone.
    Lost,
}

impl Told {
    /// Notes that figures came; false when they are older than those that are known.
    ///
    /// Guards against what was held up on a link while it was cut, and comes seconds
    /// later behind newer figures: counts would go back and forth, and all that was
    /// admitted in those seconds would be taken out of the buckets once more.
    fn follow(&mut self, run: u64, no: u64) -> bool {
        let old = match self.heard {
            Some((known, last)) if known == run => no <= last,
            _ => self.former == Some(run),
        };
        if old {
            return false;
        }
        if let Some((known, _)) = self.heard.filter(|(known, _)| *known != run) {
            self.former = Some(known);
            self.admitted.clear();
        }
        self.heard = Some((run, no));
        true
    }

    fn hearing(&self, now: Instant) -> Hearing {
        match now.saturating_duration_since(self.at) {
            silence if silence < QUIET_AFTER => Hearing::Heard,
            silence if silence < LOST_AFTER => Hearing::Quiet,
            _ => Hearing::Lost,
        }
    }
}

/// What was decided about a request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ruling {
    /// Whether it may run.
    pub admitted: bool,
    /// This host's part of the rate, from 0 to 1.
    pub part: f64,
    /// What all hosts have that this one hears, from 0 to 1.
    pub side: f64,
    /// What was left for all of them.
    pub level: f64,
    /// When a token will be there.
    pub retry: Duration,
}

/// This host's part of an account's rate.
#[derive(Clone, Copy, Debug)]
struct Part {
    /// What all hosts have that this one hears, itself included.
    side: f64,
    /// What this host has of that.
    weight: f64,
}

/// The rates of all accounts at one host.
#[derive(Debug, Default)]
pub struct Demand {
    tolerance: Tolerance,
    run: u64,
    no: u64,
    hosts: BTreeMap<HostId, Told>,
    ledgers: HashMap<AccountId, Ledger>,
}

impl Demand {
    /// No demand yet; `run` tells this start of the host from others.
    pub fn new(tolerance: Tolerance, run: u64) -> Self {
        Self { tolerance, run, ..Self::default() }
    }

    /// Notes an account that came into being while this host ran: its bucket is full,
    /// but for what the others have told that they admitted since.
    ///
    /// Guards against the refusals of a new account's first second, whose callers come at
    /// the pace of an old one.
    pub fn create(&mut self, account: &AccountId, rate: Rate, burst: Burst, now: Instant) {
        if self.ledgers.contains_key(account) {
            return self.know(account, rate, burst, now);
        }
        self.know(account, rate, burst, now);
        let told = self.hosts.values().filter_map(|told| told.admitted.get(account));
        let admitted: u64 = told.sum();
        let side = self.part(account, now).side;
        if let Some(ledger) = self.ledgers.get_mut(account) {
            ledger.side = side;
            ledger.level = ledger.most(&self.tolerance);
            ledger.spend(admitted as f64);
        }
    }

    /// Sets which other hosts admit requests.
    pub fn set_hosts(&mut self, hosts: impl IntoIterator<Item = HostId>, now: Instant) {
        let mut old = std::mem::take(&mut self.hosts);
        for host in hosts {
            let told = old.remove(&host);
            let (asked, admitted) = Default::default();
            let new = Told { asked, heard: None, former: None, admitted, at: now };
            let told = told.unwrap_or(new);
            self.hosts.insert(host, told);
        }
    }

    /// Notes an account's contract. It begins without its burst: hosts that start anew
    /// would otherwise grant it again each time.
    pub fn know(&mut self, account: &AccountId, rate: Rate, burst: Burst, now: Instant) {
        let start = Ledger::new(rate, burst, &self.tolerance, now);
        let ledger = self.ledgers.entry(account.clone()).or_insert(start);
        (ledger.rate, ledger.burst) = (rate, burst);
    }

    /// Notes what another host said, or who speaks for it.
    pub fn heard(&mut self, host: &HostId, asked: Asked, now: Instant) {
        let new = self.is_new(now);
        let Some(told) = self.hosts.get_mut(host) else { return };
        let lost = told.hearing(now) == Hearing::Lost;
        let first = told.heard.is_none();
        if !told.follow(asked.run, asked.no) {
            return;
        }
        told.at = now;
        let figures = asked.figures;
        told.asked = figures.iter().map(|said| (said.account.clone(), said.rate.into())).collect();
        // Accounts that are not asked for any more are not told of; their counts stay.
        let before = told.admitted.clone();
        told.admitted.extend(figures.iter().map(|said| (said.account.clone(), said.admitted)));
        for said in figures {
            let part = self.part(&said.account, now);
            let Some(ledger) = self.ledgers.get_mut(&said.account) else { continue };
            ledger.fill(&self.tolerance, part.side, now);
            if let Some(level) = said.level.filter(|_| new) {
                let level = f64::from(level).min(ledger.most(&self.tolerance));
                ledger.level = level;
            } else if !first && !lost {
                // Without an earlier count, all that it admitted of late is at most what was
                // asked for there of late.
                let lately = (f64::from(said.rate) * MEMORY.as_secs_f64()).ceil() as u64;
                let since = before.get(&said.account).and_then(|n| said.admitted.checked_sub(*n));
                ledger.spend(since.unwrap_or(said.admitted.min(lately)) as f64);
            }
        }
    }

    /// Notes what this host's callers ask for, to be told to all others now.
    pub fn tell(&mut self, now: Instant) {
        self.no += 1;
        let accounts: Vec<_> = self.ledgers.keys().cloned().collect();
        for account in accounts {
            let part = self.part(&account, now);
            let Some(ledger) = self.ledgers.get_mut(&account) else { continue };
            ledger.fill(&self.tolerance, part.side, now);
            ledger.spend((ledger.admitted - ledger.admitted_told) as f64);
            ledger.admitted_told = ledger.admitted;
            ledger.told = ledger.asked.decayed(now);
        }
    }

    /// What this host's callers asked for when that was told last.
    pub fn asked(&self, now: Instant) -> Asked {
        let new = self.is_new(now);
        let asked = self.ledgers.iter().filter(|(_, ledger)| ledger.told > LEAST_TOLD);
        let figures = asked.map(|(account, ledger)| Figures {
            account: account.clone(),
            rate: ledger.told as f32,
            admitted: ledger.admitted_told,
            level: (!new).then_some(ledger.level as f32),
        });
        Asked { run: self.run, no: self.no, figures: figures.collect() }
    }

    /// Whether another host that may be there has not been heard since this one knows it.
    fn is_new(&self, now: Instant) -> bool {
        let unheard = |told: &Told| told.heard.is_none() && told.hearing(now) != Hearing::Lost;
        self.hosts.values().any(unheard)
    }

    /// The part of every rate that the hosts heard within that time share, this
    /// one included. Over all sides of a cut the sum is 1 at most.
    fn pool(&self, within: Duration, now: Instant) -> f64 {
        let hosts = (self.hosts.len() + 1) as f64;
        let silences = self.hosts.values().map(|told| now.saturating_duration_since(told.at));
        let heard = (silences.filter(|silence| *silence < within).count() + 1) as f64;
        let least = (1.0 - BY_DEMAND) / hosts;
        match (2.0 * heard).total_cmp(&hosts) {
            Ordering::Greater => 1.0 - (hosts - heard) * least,
            Ordering::Equal => 0.5,
            Ordering::Less => heard * least,
        }
    }

    /// This host's part of the account's rate.
    fn part(&self, account: &AccountId, now: Instant) -> Part {
        let ledger = self.ledgers.get(account);
        let (mine, owed) = ledger.map_or((0.0, 0.0), |ledger| (ledger.told, ledger.rate.0));
        let there = self.hosts.values().filter(|told| told.hearing(now) != Hearing::Lost);
        let rate = |told: &Told| told.asked.get(account).copied().unwrap_or_default();
        let count = (there.clone().count() + 1) as f64;
        let all = mine + there.clone().map(rate).sum::<f64>();
        let whole = all.max(owed).max(f64::MIN_POSITIVE);
        let known = !self.is_new(now);
        // What nobody asks for is spread equally.
        let weight = |rate: f64| match known {
            true => {
                let by_demand = (rate + (whole - all) / count) / whole;
                BY_DEMAND * by_demand + (1.0 - BY_DEMAND) / count
            }
            false => 1.0 / count,
        };
        let quiet = there.filter(|told| told.hearing(now) == Hearing::Quiet);
        let apart: f64 = quiet.map(|told| weight(rate(told))).sum();
        let pool = self.pool(ALONE_AFTER, now).min(self.pool(LOST_AFTER, now));
        let heard = (1.0 - apart).max(f64::MIN_POSITIVE);
        Part { side: pool.min(heard), weight: (weight(mine) / heard).min(1.0) }
    }

    /// Takes a token for a request of the account.
    pub fn take(&mut self, account: &AccountId, rate: Rate, burst: Burst, now: Instant) -> Ruling {
        self.know(account, rate, burst, now);
        let part = self.part(account, now);
        let tolerance = self.tolerance;
        let ledger = self.ledgers.get_mut(account).expect("the account is known by now");
        ledger.asked.add(now);
        ledger.fill(&tolerance, part.side, now);
        let untold = (ledger.admitted - ledger.admitted_told) as f64;
        let lent = LENT * tolerance.slack / (self.hosts.len() + 1) as f64;
        let left = part.weight * ledger.level + lent - untold;
        let admitted = left >= 1.0;
        ledger.admitted += u64::from(admitted);
        let pace = part.weight * ledger.pace(&tolerance);
        let retry = Duration::try_from_secs_f64((1.0 - left).max(0.0) / pace);
        let retry = retry.unwrap_or(LONGEST_RETRY).min(LONGEST_RETRY);
        let Part { side, weight } = part;
        Ruling { admitted, part: side * weight, side, level: ledger.level, retry }
    }
}
