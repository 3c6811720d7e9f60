//! Reports of the requests that processes admitted, and their accounting.
//!
//! A *participant* shares one part of every rate: a failure domain whose hub admits
//! requests for all its hosts, or a single host of a small fleet. Any candidate for the hub
//! may admit requests, even two at the same time, so counts are kept per admitting process,
//! and a participant's demand is the sum over its processes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{AccountId, HostId, claims, ledger::DEMAND_DECAY};

/// Interval at which a process sends its reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time without reports after which a participant's weight is reserved: two reports are missing.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time without reports after which the other participants assume that a silent one has
/// fallen back to the minimum part.
pub const LOST_TIMEOUT: Duration = Duration::from_millis(4000);

/// Time after the end of a partition within which a process that reports for the first time, or whose
/// held-up reports arrive, is assumed to have admitted requests within the claims of its side.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(2000);

/// Time from the arrival of a held-up report until the division must be over for the next report to be
/// left out as well: one report is missing.
const HELD_UP_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after which the counts of a host without reports may be dropped. If the host reports
/// again later, each account is charged for at most its recent demand there.
const COUNTS_TTL: Duration = Duration::from_secs(60);

/// Entry of one account in a report. Reports are sent several times per second with
/// hundreds of entries, so each entry is serialized as [`Packed`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct AccountReport {
    /// Client account.
    pub account: AccountId,
    /// Demand in requests per second.
    pub rate: f32,
    /// Requests admitted since the process started.
    pub admitted: u64,
    /// Tokens in the account's bucket as computed by the process; `None` while the process
    /// lacks reports of other participants.
    pub level: Option<f32>,
}

/// [`AccountReport`] without field names, and with numbers that fit into two bytes where
/// their magnitude allows it.
type Packed = (AccountId, f32, u64, Option<f32>);

/// Mantissa bits of an `f32` that a two-byte float does not have.
const EXCESS_MANTISSA_BITS: u32 = 0x1FFF;

/// Rounds a number to eleven significant bits, towards zero.
fn truncate_mantissa(number: f32) -> f32 {
    f32::from_bits(number.to_bits() & !EXCESS_MANTISSA_BITS)
}

impl From<Packed> for AccountReport {
    fn from((account, rate, admitted, level): Packed) -> Self {
        Self { account, rate, admitted, level }
    }
}

impl From<AccountReport> for Packed {
    fn from(AccountReport { account, rate, admitted, level }: AccountReport) -> Self {
        (account, truncate_mantissa(rate), admitted, level.map(truncate_mantissa))
    }
}

/// Report of one process: all accounts with demand there.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Random number drawn when the process started.
    pub run: u64,
    /// Sequence number of the report within the process.
    pub no: u64,
    /// One entry per account.
    pub figures: Vec<AccountReport>,
    /// Claims of the hosts that the process admits requests for, see the module `claims`: a part of
    /// the rate, from 0 to 1, for each entry of `figures`. Empty without a partition; `None` from a
    /// process that does not compute claims.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub claims: Option<Vec<f32>>,
}

impl Report {
    /// Returns the first claim that is not a number from 0 to 1.
    pub fn invalid_claim(&self) -> Option<f32> {
        self.claims.iter().flatten().copied().find(|part| !claims::is_valid(*part))
    }
}

/// Classification of a process or participant by the time since its last report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// Reports arrive in time.
    Live,
    /// The process or participant may still be using its weight of the remaining tokens.
    Suspect,
    /// The process or participant has ended, or has detected by now that it is isolated.
    Lost,
}

impl Liveness {
    fn since(last_contact: Instant, now: Instant) -> Self {
        match now.saturating_duration_since(last_contact) {
            silence if silence < SUSPECT_TIMEOUT => Self::Live,
            silence if silence < LOST_TIMEOUT => Self::Suspect,
            _ => Self::Lost,
        }
    }
}

/// Reports of one host.
#[derive(Debug)]
struct Reporter {
    /// Process that reports for the host, and the sequence number of its last report.
    last_report: (u64, u64),
    /// Preceding process of the host, whose reports are out of date; `None` if only one
    /// process has reported.
    previous_run: Option<u64>,
    /// Demand in requests per second; empty while the host admits no requests for its
    /// participant.
    rates: BTreeMap<AccountId, f64>,
    /// Admitted requests per account. Accounts without demand are left out of reports;
    /// their counts stay.
    admitted: BTreeMap<AccountId, u64>,
    /// Requests admitted per second between the last two reports.
    speeds: BTreeMap<AccountId, f64>,
    /// Requests assumed to have been admitted since the last report, and already charged.
    assumed: BTreeMap<AccountId, u64>,
    /// Claims in the last report; `None` if it had none for its entries.
    claims: Option<BTreeMap<AccountId, f64>>,
    /// Whether the process computes claims.
    has_claims: bool,
    /// Requests in the last report if they were left out, as admitted within the claims of another
    /// side.
    left_out: Option<u64>,
    /// Whether the process was lost until its last report, or that report was held up since then.
    was_lost: bool,
    /// Time at which the last report was received.
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
            speeds: BTreeMap::new(),
            assumed: BTreeMap::new(),
            claims: None,
            has_claims: false,
            left_out: None,
            was_lost: false,
            last_contact: now,
        }
    }

    /// Returns whether a report is not newer than the last one of its process, or is from
    /// the preceding process. Links that were interrupted deliver old reports after newer
    /// ones.
    fn is_outdated(&self, report: &Report) -> bool {
        let (run, no) = self.last_report;
        if run == report.run { report.no <= no } else { self.previous_run == Some(report.run) }
    }

    /// Returns the latest time at which the last report can have been sent, given the next one.
    ///
    /// Guards against a process that counts as in contact through reports that a partition held up:
    /// when it heals, they arrive first, and the next report has the requests of seconds.
    fn sent_before(&self, report: &Report, now: Instant) -> Instant {
        let (run, no) = self.last_report;
        let reports = if run == report.run { report.no.saturating_sub(no) } else { 0 };
        let elapsed = REPORT_INTERVAL.saturating_mul(u32::try_from(reports).unwrap_or(u32::MAX));
        now.checked_sub(elapsed).map_or(self.last_contact, |at| at.min(self.last_contact))
    }

    /// Returns whether the last report, which was sent at `sent_before` at the latest, was held up.
    /// Reports that were held up arrive together.
    fn was_held_up(&self, sent_before: Instant) -> bool {
        sent_before + REPORT_INTERVAL / 2 <= self.last_contact
    }

    /// Returns whether the process was lost until it sent the next report. A report that was held up
    /// does not end this.
    fn is_lost_before(&self, sent_before: Instant, now: Instant) -> bool {
        Liveness::since(self.last_contact, now) == Liveness::Lost
            || self.was_lost && self.was_held_up(sent_before)
    }

    fn advance(&mut self, report: &Report) {
        if self.last_report.0 != report.run {
            self.previous_run = Some(self.last_report.0);
            self.admitted.clear();
        }
        self.last_report = (report.run, report.no);
        let claims = report.claims.as_ref().filter(|_| report.invalid_claim().is_none());
        self.has_claims = claims.is_some();
        let claims = claims.filter(|claims| claims.len() == report.figures.len());
        self.claims = claims.map(|claims| {
            let entries = report.figures.iter().zip(claims);
            entries.map(|(entry, claim)| (entry.account.clone(), f64::from(*claim))).collect()
        });
    }

    /// Returns whether claims have divided the rates while the process, in contact at `contact`, was
    /// silent. `claimed_at` is the last time at which they did.
    fn is_claimed(contact: Instant, claimed_at: Option<Instant>) -> bool {
        claimed_at.is_some_and(|at| at >= contact + claims::DIVISION_TIMEOUT)
    }

    /// Returns whether the requests of a report were within the claims of another side. The last
    /// report was sent at `sent_before` at the latest.
    fn is_of_other_side(
        &self,
        sent_before: Instant,
        claimed_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        let ended_recently =
            claimed_at.is_some_and(|at| now.saturating_duration_since(at) < FIRST_REPORT_TIMEOUT);
        if self.admitted.is_empty() {
            return ended_recently;
        }
        // While claims divide the rates, those of a process in contact belong to this side. A
        // division lasts little longer than the held-up reports take to arrive.
        let ended = claimed_at.is_some_and(|at| at < self.last_contact + HELD_UP_TIMEOUT);
        let continues =
            self.left_out.is_some() && self.was_held_up(sent_before) && ended && ended_recently;
        continues || Self::is_claimed(self.last_contact, claimed_at)
    }

    /// Applies the entries of a report and returns, for each entry, the number of requests
    /// admitted since the previous report; if there is none or the host was lost, at most
    /// the recent demand. Requests that were charged as assumed are subtracted, so that the
    /// number is negative if fewer were admitted. If claims divided the rates while the process was
    /// silent, the requests since then were within its own claims and are left out; of those that
    /// were charged as assumed, the rest is subtracted at the next report that is not left out.
    /// The last report was sent at `sent_before` at the latest.
    fn count(
        &mut self,
        figures: &[AccountReport],
        sent_before: Instant,
        claimed_at: Option<Instant>,
        now: Instant,
    ) -> Vec<i64> {
        let lost = self.is_lost_before(sent_before, now);
        self.was_lost = lost;
        let claimed = self.is_of_other_side(sent_before, claimed_at, now);
        self.left_out = claimed.then_some(0);
        let elapsed = now.saturating_duration_since(sent_before).max(REPORT_INTERVAL);
        self.last_contact = now;
        self.speeds.clear();
        let mut assumed = std::mem::take(&mut self.assumed);
        self.rates =
            figures.iter().map(|entry| (entry.account.clone(), entry.rate.into())).collect();
        let charge = |entry: &AccountReport| {
            // Without a recent count, the recent demand is an upper bound of the requests
            // admitted recently.
            let recent_demand = (f64::from(entry.rate) * DEMAND_DECAY.as_secs_f64()).ceil() as u64;
            let before = self.admitted.insert(entry.account.clone(), entry.admitted);
            let since = before.and_then(|before| entry.admitted.checked_sub(before));
            let speed = since.unwrap_or_default() as f64 / elapsed.as_secs_f64();
            self.speeds.insert(entry.account.clone(), speed);
            let assumed = assumed.remove(&entry.account).unwrap_or_default();
            if let Some(left_out) = &mut self.left_out {
                *left_out += since.unwrap_or_default();
                let rest = assumed.saturating_sub(since.unwrap_or_default());
                if rest > 0 {
                    self.assumed.insert(entry.account.clone(), rest);
                }
                return 0;
            }
            let admitted = match since {
                Some(since) if !lost => since,
                Some(since) => since.min(recent_demand),
                None => entry.admitted.min(recent_demand),
            };
            admitted as i64 - assumed as i64
        };
        figures.iter().map(charge).collect()
    }

    /// Returns the requests of the account that the process is assumed to have admitted since its
    /// last report and that were not returned before. The process is assumed to continue at its
    /// last speed, but no longer than `timeout` after its last report, and not at all if claims have
    /// divided the rates since then.
    fn assume(
        &mut self,
        account: &AccountId,
        timeout: Duration,
        claimed_at: Option<Instant>,
        now: Instant,
    ) -> u64 {
        if Self::is_claimed(self.last_contact, claimed_at) {
            return 0;
        }
        let silence = now.saturating_duration_since(self.last_contact);
        let Some(speed) = self.speeds.get(account) else { return 0 };
        if silence <= REPORT_INTERVAL {
            return 0;
        }
        let due = (speed * silence.min(timeout).as_secs_f64()) as u64;
        let charged = self.assumed.entry(account.clone()).or_default();
        let uncharged = due.saturating_sub(*charged);
        *charged += uncharged;
        uncharged
    }
}

/// Processes that share one part of every rate.
#[derive(Debug)]
pub struct Participant {
    reporters: BTreeMap<HostId, Reporter>,
    /// Time of the last report of any of the processes, or when the participant was added.
    pub last_contact: Instant,
}

impl Participant {
    /// Creates a participant that is added at `now`.
    pub fn new(now: Instant) -> Self {
        Self { reporters: BTreeMap::new(), last_contact: now }
    }

    /// Returns whether any report was received.
    pub fn has_reported(&self) -> bool {
        !self.reporters.is_empty()
    }

    /// Classifies the participant by the time since its last report.
    pub fn liveness(&self, now: Instant) -> Liveness {
        Liveness::since(self.last_contact, now)
    }

    /// Applies a report; returns, for each entry, the number of requests admitted since the
    /// host's previous report less those that [`Self::assume`] returned, or `None` if the report
    /// is out of date. Without a recent previous report, the number is at most the recent demand.
    /// `claimed_at` is the time at which claims last divided the rates here.
    pub fn receive(
        &mut self,
        from: &HostId,
        report: &Report,
        claimed_at: Option<Instant>,
        now: Instant,
    ) -> Option<Vec<i64>> {
        let silence = |reporter: &Reporter| now.saturating_duration_since(reporter.last_contact);
        self.reporters.retain(|host, reporter| host == from || silence(reporter) < COUNTS_TTL);
        let has_reported = self.reporters.contains_key(from);
        let reporter =
            self.reporters.entry(from.clone()).or_insert_with(|| Reporter::new(report, now));
        if has_reported && reporter.is_outdated(report) {
            return None;
        }
        let sent_before = reporter.sent_before(report, now);
        reporter.advance(report);
        self.last_contact = now;
        Some(reporter.count(&report.figures, sent_before, claimed_at, now))
    }

    /// Returns the number of requests in the last report of a host that were left out, as admitted
    /// within the claims of another side of a partition.
    pub fn left_out(&self, host: &HostId) -> u64 {
        self.reporters.get(host).and_then(|reporter| reporter.left_out).unwrap_or_default()
    }

    /// Returns whether the participant was lost until the host `from` sent a report.
    pub fn was_lost(&self, from: &HostId, report: &Report, now: Instant) -> bool {
        if self.reporters.is_empty() {
            return self.liveness(now) == Liveness::Lost;
        }
        self.reporters.iter().all(|(host, reporter)| match host == from {
            true => reporter.is_lost_before(reporter.sent_before(report, now), now),
            false => {
                reporter.was_lost || Liveness::since(reporter.last_contact, now) == Liveness::Lost
            }
        })
    }

    /// Returns the requests of the account that silent processes are assumed to have admitted
    /// since this was last called. Each is assumed to continue as in its last report until it is
    /// lost or, if all are silent, until the weight of the participant is reserved.
    ///
    /// Guards against requests above the limit during a partition: without the assumption, the
    /// buckets on both sides fill at the whole rate until the silence is detected, and for as long
    /// as another process reports for the participant, it is not detected at all.
    pub fn assume(
        &mut self,
        account: &AccountId,
        claimed_at: Option<Instant>,
        now: Instant,
    ) -> u64 {
        let timeout = match self.liveness(now) {
            Liveness::Live => LOST_TIMEOUT,
            Liveness::Suspect | Liveness::Lost => SUSPECT_TIMEOUT,
        };
        let reporters = self.reporters.values_mut();
        reporters.map(|reporter| reporter.assume(account, timeout, claimed_at, now)).sum()
    }

    /// Records that a host of the participant currently admits no requests. The host's
    /// counts stay.
    pub fn mark_idle(&mut self, host: &HostId) {
        if let Some(reporter) = self.reporters.get_mut(host) {
            reporter.rates.clear();
            reporter.speeds.clear();
        }
    }

    /// Returns whether all processes that have reported compute claims.
    pub fn computes_claims(&self) -> bool {
        self.reporters.values().all(|reporter| reporter.has_claims)
    }

    /// Returns the sum of the claims on the account that the processes in contact less than
    /// `timeout` ago have reported; `None` if one of them reported no claims.
    pub fn claims(&self, account: &AccountId, timeout: Duration, now: Instant) -> Option<f64> {
        let silence = |reporter: &Reporter| now.saturating_duration_since(reporter.last_contact);
        let recent = self.reporters.values().filter(|reporter| silence(reporter) < timeout);
        let claim = |reporter: &Reporter| {
            Some(reporter.claims.as_ref()?.get(account).copied().unwrap_or_default())
        };
        recent.map(claim).sum()
    }

    /// Returns the number of the account's requests that the participant's processes have
    /// reported as admitted since each of them started.
    pub fn admitted(&self, account: &AccountId) -> u64 {
        self.reporters.values().filter_map(|reporter| reporter.admitted.get(account)).sum()
    }

    /// Returns the account's demand in requests per second, summed over the processes that
    /// report in time; if there are none, the demand at the process that reported last, and
    /// 0 before the first report.
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

    /// Returns the account's demand in requests per second at the processes in contact less than
    /// `timeout` ago, and at those that may have admitted requests after their last report.
    pub fn heard_and_silent(
        &self,
        account: &AccountId,
        timeout: Duration,
        now: Instant,
    ) -> (f64, f64) {
        let mut rates = (0.0, 0.0);
        for reporter in self.reporters.values() {
            let rate = reporter.rates.get(account).copied().unwrap_or_default();
            match now.saturating_duration_since(reporter.last_contact) {
                silence if silence < timeout => rates.0 += rate,
                silence if silence < LOST_TIMEOUT => rates.1 += rate,
                _ => {}
            }
        }
        rates
    }

    /// Returns the account's demand in requests per second at each process that may be
    /// admitting requests.
    pub fn rates(&self, account: &AccountId, now: Instant) -> impl Iterator<Item = f64> {
        let admits = move |reporter: &&Reporter| {
            !reporter.rates.is_empty()
                && Liveness::since(reporter.last_contact, now) != Liveness::Lost
        };
        let rate = |reporter: &Reporter| reporter.rates.get(account).copied().unwrap_or_default();
        self.reporters.values().filter(admits).map(rate)
    }
}
