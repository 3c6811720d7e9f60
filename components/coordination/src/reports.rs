//! What processes report of the requests that they admitted, and how it is counted.
//!
//! A *party* shares one part of every rate: a failure domain whose hub admits for all its
//! hosts, or a single host of a small fleet. Any candidate for the hub may admit requests,
//! also two at once, so counts belong to the process that admitted, and a party's demand is
//! the sum over its processes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{AccountId, HostId, ledger::DEMAND_DECAY};

/// When a party's weight is set apart: it has missed two of the reports that are sent
/// every 400 ms.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// When the others count on a silent party having fallen back to the least part.
pub const LOST_TIMEOUT: Duration = Duration::from_millis(4000);

/// When a host's counts are dropped. A host that reports again later is charged for what was
/// asked for there of late.
const COUNTS_TTL: Duration = Duration::from_secs(60);

/// One account in a report. Reports are sent several times a second and have hundreds of
/// these, so they are sent as [`Packed`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct AccountReport {
    /// The account.
    pub account: AccountId,
    /// Requests asked for, a second.
    pub rate: f32,
    /// Requests admitted since the process started.
    pub admitted: u64,
    /// What the process believes is left in the account's bucket; none while it is new.
    pub level: Option<f32>,
}

/// [`AccountReport`] without the names of their fields, and with numbers that fit in two bytes
/// where their size allows it.
type Packed = (AccountId, f32, u64, Option<f32>);

/// The bits of a number that one of two bytes does not have.
const LOW_BITS: u32 = 0x1FFF;

/// The number with eleven significant bits, rounded towards zero.
fn short(number: f32) -> f32 {
    f32::from_bits(number.to_bits() & !LOW_BITS)
}

impl From<Packed> for AccountReport {
    fn from((account, rate, admitted, level): Packed) -> Self {
        Self { account, rate, admitted, level }
    }
}

impl From<AccountReport> for Packed {
    fn from(AccountReport { account, rate, admitted, level }: AccountReport) -> Self {
        (account, short(rate), admitted, level.map(short))
    }
}

/// A report of one process: all accounts that are asked for there.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Drawn at the start of the process.
    pub run: u64,
    /// Grows with each report of the process.
    pub no: u64,
    /// One for each account.
    pub figures: Vec<AccountReport>,
}

/// How long ago reports were received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// In time.
    Live,
    /// The sender may go on using its weight of what was left.
    Suspect,
    /// The sender is dead, or it has noticed by now that it is cut off.
    Lost,
}

impl Liveness {
    fn since(at: Instant, now: Instant) -> Self {
        match now.saturating_duration_since(at) {
            silence if silence < SUSPECT_TIMEOUT => Self::Live,
            silence if silence < LOST_TIMEOUT => Self::Suspect,
            _ => Self::Lost,
        }
    }
}

/// What a host reported of the requests that it admitted.
#[derive(Debug)]
struct Reporter {
    /// The process that speaks for the host and the number of its last report.
    last_report: (u64, u64),
    /// The process before that one; what is received of it is out of date.
    previous_run: Option<u64>,
    /// Requests a second; empty while the host admits nothing for its party.
    rates: BTreeMap<AccountId, f64>,
    /// By account. Accounts without demand are left out of reports; their counts stay.
    admitted: BTreeMap<AccountId, u64>,
    /// When its last report was received.
    last_contact: Instant,
}

impl Reporter {
    fn new(report: &Report, now: Instant) -> Self {
        let last_report = (report.run, 0);
        Self {
            last_report,
            previous_run: None,
            rates: BTreeMap::new(),
            admitted: BTreeMap::new(),
            last_contact: now,
        }
    }

    /// Whether a report is older than what is known of the host. Links that were cut deliver
    /// old reports behind newer ones.
    fn is_outdated(&self, report: &Report) -> bool {
        let (run, no) = self.last_report;
        if run == report.run { report.no <= no } else { self.previous_run == Some(report.run) }
    }

    fn advance(&mut self, report: &Report) {
        if self.last_report.0 != report.run {
            self.previous_run = Some(self.last_report.0);
            self.admitted.clear();
        }
        self.last_report = (report.run, report.no);
    }

    /// Takes the counts of a report and returns, for each of its figures, what was admitted
    /// since the report before.
    fn count(&mut self, figures: &[AccountReport], now: Instant) -> Vec<u64> {
        let lost = Liveness::since(self.last_contact, now) == Liveness::Lost;
        self.last_contact = now;
        self.rates =
            figures.iter().map(|entry| (entry.account.clone(), entry.rate.into())).collect();
        let charge = |entry: &AccountReport| {
            // Without a recent count, all that was admitted of late is at most what was
            // asked for of late.
            let recent_demand = (f64::from(entry.rate) * DEMAND_DECAY.as_secs_f64()).ceil() as u64;
            let before = self.admitted.insert(entry.account.clone(), entry.admitted);
            match before.and_then(|before| entry.admitted.checked_sub(before)) {
                Some(since) if !lost => since,
                Some(since) => since.min(recent_demand),
                None => entry.admitted.min(recent_demand),
            }
        };
        figures.iter().map(charge).collect()
    }
}

/// The processes that share a part of every rate.
#[derive(Debug)]
pub struct Participant {
    reporters: BTreeMap<HostId, Reporter>,
    /// When one of them was heard last, or the party became known.
    pub last_contact: Instant,
}

impl Participant {
    /// A party that is known since `now`.
    pub fn new(now: Instant) -> Self {
        Self { reporters: BTreeMap::new(), last_contact: now }
    }

    /// Whether any report was received.
    pub fn has_reported(&self) -> bool {
        !self.reporters.is_empty()
    }

    /// How long ago a report was received.
    pub fn liveness(&self, now: Instant) -> Liveness {
        Liveness::since(self.last_contact, now)
    }

    /// Takes a report; for each of its figures, what was admitted since the host's report
    /// before. `None` when the report is out of date.
    pub fn receive(&mut self, from: &HostId, report: &Report, now: Instant) -> Option<Vec<u64>> {
        let silence = |reporter: &Reporter| now.saturating_duration_since(reporter.last_contact);
        self.reporters.retain(|host, reporter| host == from || silence(reporter) < COUNTS_TTL);
        let known = self.reporters.contains_key(from);
        let reporter =
            self.reporters.entry(from.clone()).or_insert_with(|| Reporter::new(report, now));
        if known && reporter.is_outdated(report) {
            return None;
        }
        reporter.advance(report);
        self.last_contact = now;
        Some(reporter.count(&report.figures, now))
    }

    /// Notes that a host of the party admits nothing now. Its counts stay.
    pub fn mark_idle(&mut self, host: &HostId) {
        if let Some(reporter) = self.reporters.get_mut(host) {
            reporter.rates.clear();
        }
    }

    /// Requests of the account admitted by the party, as far as was reported.
    pub fn admitted(&self, account: &AccountId) -> u64 {
        self.reporters.values().filter_map(|reporter| reporter.admitted.get(account)).sum()
    }

    /// Requests of the account a second, by those processes that are heard; by the last one
    /// that was where none is.
    pub fn rate(&self, account: &AccountId, now: Instant) -> f64 {
        let rate = |reporter: &Reporter| reporter.rates.get(account).copied().unwrap_or_default();
        let live =
            |reporter: &&Reporter| Liveness::since(reporter.last_contact, now) == Liveness::Live;
        let mut reporters = self.reporters.values().filter(live).peekable();
        if reporters.peek().is_some() {
            return reporters.map(rate).sum();
        }
        self.reporters
            .values()
            .max_by_key(|reporter| reporter.last_contact)
            .map(rate)
            .unwrap_or_default()
    }

    /// Requests of the account a second at each process that may be admitting some.
    pub fn rates(&self, account: &AccountId, now: Instant) -> impl Iterator<Item = f64> {
        let admits = move |reporter: &&Reporter| {
            !reporter.rates.is_empty()
                && Liveness::since(reporter.last_contact, now) != Liveness::Lost
        };
        let rate = |reporter: &Reporter| reporter.rates.get(account).copied().unwrap_or_default();
        self.reporters.values().filter(admits).map(rate)
    }
}
