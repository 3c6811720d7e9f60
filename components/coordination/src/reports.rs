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

use crate::{AccountId, HostId, ledger::MEMORY};

/// When a party's weight is set apart: it has missed two of the reports that are sent
/// every 400 ms.
pub const QUIET_AFTER: Duration = Duration::from_millis(1000);

/// When the others count on a silent party having fallen back to the least part.
pub const LOST_AFTER: Duration = Duration::from_millis(4000);

/// When a host's counts are dropped. A host that reports again later is charged for what was
/// asked for there of late.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// One account in a report. Reports are sent several times a second and have hundreds of
/// these, so they are sent as [`Packed`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Figures {
    /// The account.
    pub account: AccountId,
    /// Requests asked for, a second.
    pub rate: f32,
    /// Requests admitted since the process started.
    pub admitted: u64,
    /// What the process believes is left in the account's bucket; none while it is new.
    pub level: Option<f32>,
}

/// [`Figures`] without the names of their fields, and with numbers that fit in two bytes
/// where their size allows it.
type Packed = (AccountId, f32, u64, Option<f32>);

/// The bits of a number that one of two bytes does not have.
const LOW_BITS: u32 = 0x1FFF;

/// The number with eleven significant bits, rounded towards zero.
fn short(number: f32) -> f32 {
    f32::from_bits(number.to_bits() & !LOW_BITS)
}

impl From<Packed> for Figures {
    fn from((account, rate, admitted, level): Packed) -> Self {
        Self { account, rate, admitted, level }
    }
}

impl From<Figures> for Packed {
    fn from(Figures { account, rate, admitted, level }: Figures) -> Self {
        (account, short(rate), admitted, level.map(short))
    }
}

/// A report of one process: all accounts that are asked for there.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Asked {
    /// Drawn at the start of the process.
    pub run: u64,
    /// Grows with each report of the process.
    pub no: u64,
    /// One for each account.
    pub figures: Vec<Figures>,
}

/// How long ago reports were received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hearing {
    /// In time.
    Heard,
    /// The sender may go on using its weight of what was left.
    Quiet,
    /// The sender is dead, or it has noticed by now that it is cut off.
    Lost,
}

impl Hearing {
    fn since(at: Instant, now: Instant) -> Self {
        match now.saturating_duration_since(at) {
            silence if silence < QUIET_AFTER => Self::Heard,
            silence if silence < LOST_AFTER => Self::Quiet,
            _ => Self::Lost,
        }
    }
}

/// What a host reported of the requests that it admitted.
#[derive(Debug)]
struct Source {
    /// The process that speaks for the host and the number of its last report.
    last: (u64, u64),
    /// The process before that one; what is received of it is out of date.
    former: Option<u64>,
    /// Requests a second; empty while the host admits nothing for its party.
    asked: BTreeMap<AccountId, f64>,
    /// By account. Accounts without demand are left out of reports; their counts stay.
    admitted: BTreeMap<AccountId, u64>,
    /// When its last report was received.
    at: Instant,
}

impl Source {
    fn new(asked: &Asked, now: Instant) -> Self {
        let last = (asked.run, 0);
        Self { last, former: None, asked: BTreeMap::new(), admitted: BTreeMap::new(), at: now }
    }

    /// Whether a report is older than what is known of the host. Links that were cut deliver
    /// old reports behind newer ones.
    fn is_outdated(&self, asked: &Asked) -> bool {
        let (run, no) = self.last;
        if run == asked.run { asked.no <= no } else { self.former == Some(asked.run) }
    }

    fn follow(&mut self, asked: &Asked) {
        if self.last.0 != asked.run {
            self.former = Some(self.last.0);
            self.admitted.clear();
        }
        self.last = (asked.run, asked.no);
    }

    /// Takes the counts of a report and returns, for each of its figures, what was admitted
    /// since the report before.
    fn count(&mut self, figures: &[Figures], now: Instant) -> Vec<u64> {
        let lost = Hearing::since(self.at, now) == Hearing::Lost;
        self.at = now;
        self.asked = figures.iter().map(|said| (said.account.clone(), said.rate.into())).collect();
        let charge = |said: &Figures| {
            // Without a recent count, all that was admitted of late is at most what was
            // asked for of late.
            let lately = (f64::from(said.rate) * MEMORY.as_secs_f64()).ceil() as u64;
            let before = self.admitted.insert(said.account.clone(), said.admitted);
            match before.and_then(|before| said.admitted.checked_sub(before)) {
                Some(since) if !lost => since,
                Some(since) => since.min(lately),
                None => said.admitted.min(lately),
            }
        };
        figures.iter().map(charge).collect()
    }
}

/// The processes that share a part of every rate.
#[derive(Debug)]
pub struct Party {
    sources: BTreeMap<HostId, Source>,
    /// When one of them was heard last, or the party became known.
    pub at: Instant,
}

impl Party {
    /// A party that is known since `now`.
    pub fn new(now: Instant) -> Self {
        Self { sources: BTreeMap::new(), at: now }
    }

    /// Whether any report was received.
    pub fn is_heard(&self) -> bool {
        !self.sources.is_empty()
    }

    /// How long ago a report was received.
    pub fn hearing(&self, now: Instant) -> Hearing {
        Hearing::since(self.at, now)
    }

    /// Takes a report; for each of its figures, what was admitted since the host's report
    /// before. `None` when the report is out of date.
    pub fn receive(&mut self, from: &HostId, asked: &Asked, now: Instant) -> Option<Vec<u64>> {
        let silence = |source: &Source| now.saturating_duration_since(source.at);
        self.sources.retain(|host, source| host == from || silence(source) < FORGOTTEN_AFTER);
        let known = self.sources.contains_key(from);
        let source = self.sources.entry(from.clone()).or_insert_with(|| Source::new(asked, now));
        if known && source.is_outdated(asked) {
            return None;
        }
        source.follow(asked);
        self.at = now;
        Some(source.count(&asked.figures, now))
    }

    /// Notes that a host of the party admits nothing now. Its counts stay.
    pub fn idle(&mut self, host: &HostId) {
        if let Some(source) = self.sources.get_mut(host) {
            source.asked.clear();
        }
    }

    /// Requests of the account admitted by the party, as far as was reported.
    pub fn admitted(&self, account: &AccountId) -> u64 {
        self.sources.values().filter_map(|source| source.admitted.get(account)).sum()
    }

    /// Requests of the account a second, by those processes that are heard; by the last one
    /// that was where none is.
    pub fn rate(&self, account: &AccountId, now: Instant) -> f64 {
        let rate = |source: &Source| source.asked.get(account).copied().unwrap_or_default();
        let heard = |source: &&Source| Hearing::since(source.at, now) == Hearing::Heard;
        let mut sources = self.sources.values().filter(heard).peekable();
        if sources.peek().is_some() {
            return sources.map(rate).sum();
        }
        self.sources.values().max_by_key(|source| source.at).map(rate).unwrap_or_default()
    }

    /// Requests of the account a second at each process that may be admitting some.
    pub fn rates(&self, account: &AccountId, now: Instant) -> impl Iterator<Item = f64> {
        let admits = move |source: &&Source| {
            !source.asked.is_empty() && Hearing::since(source.at, now) != Hearing::Lost
        };
        let rate = |source: &Source| source.asked.get(account).copied().unwrap_or_default();
        self.sources.values().filter(admits).map(rate)
    }
}
