//! Rate limits of accounts over all hosts, based on the demand that hosts report to each
//! other.
//!
//! Handles load balancers that spread callers unevenly over the hosts, a few large accounts
//! among many small ones, and accounts that send several times their rate, all while hosts
//! fail and return. With a fixed part of the rate at each host, callers would be refused at
//! the host where most of them are connected while other hosts have unused tokens.
//!
//! Each host keeps a replica of the account's single token bucket. It fills at the full
//! rate and is drained by what all hosts *reported* as admitted, this host included. All
//! replicas are computed from the same reports, so they agree within one report interval.
//! Until the next reports each host may admit its *weight* of the remaining tokens: three
//! quarters of the weight follow the reported demand, with the unrequested part of the rate
//! divided equally, and one quarter is equal. All hosts together admit no more than the
//! remaining tokens plus a fraction of the slack. In a fleet with hubs, a weight
//! belongs to a *participant*, see the module `reports`, and is divided between its hosts.
//!
//! A host that has just started uses equal weights until the others have reported, and
//! adopts the bucket levels in their reports. When all hosts fail, the level is lost. A
//! bucket then starts with a part of the tolerance that is otherwise unused: requests admitted
//! before and after the restart together stay within the limit over any window, however
//! short the outage, and accounts within their rate are served again immediately.
//!
//! Hosts that cannot reach each other must not both use the remaining tokens. The weight of
//! a host without recent reports is reserved. In a fleet with hubs, each side of a partition has
//! the part of the rate that its hosts claim, see the module `claims`. Otherwise hosts in contact
//! with less than half of the fleet fall back to the minimum part each; the other hosts share the
//! rest only later, when that fallback has certainly happened. If the fleet splits into two
//! halves, each half has half of the rate.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    AccountId, Burst, HostId, Rate,
    claims::{Claim, Claims, DIVISION_TIMEOUT},
    ledger::Ledger,
    reports::{LOST_TIMEOUT, Liveness, Participant, REPORT_INTERVAL, SUSPECT_TIMEOUT},
    reserve::{self, Decision, Urgency},
    view,
};
pub use crate::{
    ledger::Tolerance,
    reports::{AccountReport, Report},
};

/// Fraction of a weight that follows the demand.
const DEMAND_WEIGHT: f64 = 0.75;

/// Fraction of a weight that follows the demand while claims divide the rate: a side has little more
/// of the rate than its callers request.
const CLAIMED_DEMAND_WEIGHT: f64 = 0.9;

/// Time after which a host that has lost contact with more than half of the fleet uses only
/// the minimum part.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time without contact after which the accumulated tokens are left to a silent host in proportion
/// to its demand: one report is missing.
const MISSED_REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which a host that may admit requests is taken into account after it has left the fleet:
/// until then it may have renewed its lease, and it can run no statements after that has expired.
const CONTACT_TTL: Duration = view::LEASE_TTL.saturating_add(view::LEASE_MARGIN);

/// Demand in requests per second up to which an account is left out of reports: almost all
/// of the demand has decayed.
const MIN_REPORTED_RATE: f64 = 0.05;

/// Fraction of the slack that hosts may admit beyond their weight of the remaining tokens,
/// divided equally between them. Requests arrive in clusters: with nine hosts and a small
/// account, a weight is less than the three or four requests that arrive together.
const SLACK_FRACTION: f64 = 0.25;

/// Decision on one request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ruling {
    /// Whether the request may run.
    pub admitted: bool,
    /// This host's part of the rate, from 0 to 1.
    pub part: f64,
    /// Part of the rate shared by the hosts that this host can reach, itself included, from
    /// 0 to 1.
    pub side: f64,
    /// Tokens that remained for these hosts before the decision, according to all reports.
    pub level: f64,
    /// Time until a token is expected to be available.
    pub retry: Duration,
    /// Claim of the host that sent the request, see the module `claims`; 0 from a host that does
    /// not compute claims.
    #[serde(default)]
    pub claim: f32,
    /// Whether the request was refused although tokens remained, which are reserved for more urgent
    /// requests.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reserved: bool,
}

/// Request for a token of an account's rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenRequest<'a> {
    /// Account.
    pub account: &'a AccountId,
    /// Rate of the account.
    pub rate: Rate,
    /// Burst of the account.
    pub burst: Burst,
    /// Host whose caller sent the request; none for this host.
    pub host: Option<&'a HostId>,
    /// Claim that the host presents.
    pub claim: Option<Claim>,
    /// Priority of the request, 0 is the most urgent; none from a host that does not send it, for
    /// which nothing is reserved against the request.
    pub priority: Option<u32>,
}

/// This host's part of an account's rate, as fractions from 0 to 1.
#[derive(Clone, Copy, Debug)]
struct Part {
    /// Part of the rate shared by the participants in contact with this host, its own
    /// included.
    side: f64,
    /// This host's fraction of `side`.
    weight: f64,
    /// This host's fraction of its participant's weight.
    share: f64,
    /// Demand at all participants in requests per second.
    requested: f64,
    /// Fraction of the accumulated tokens that this side may use.
    burst: f64,
}

/// Returns a host's fraction, from 0 to 1, of its participant's weight. `own_rate` is the
/// demand at the host and `requested` the demand at all hosts of the participant, both in
/// requests per second; `others` is the number of its other hosts that may admit requests.
fn share(own_rate: f64, requested: f64, others: usize) -> f64 {
    let equal = 1.0 / (others + 1) as f64;
    let by_demand = if requested > 0.0 { own_rate / requested } else { equal };
    DEMAND_WEIGHT * by_demand + (1.0 - DEMAND_WEIGHT) * equal
}

/// Rate limits of all accounts at one host.
#[derive(Debug)]
pub struct Demand {
    tolerance: Tolerance,
    /// Identifies this process among successive ones of the host.
    run: u64,
    /// Sequence number of the last snapshot.
    sequence: u64,
    /// This host, if it admits requests of other hosts too.
    own_host: Option<HostId>,
    /// Participant that this host belongs to, with the reports of its other hosts.
    own: (Option<HostId>, Participant),
    /// Other participants.
    participants: BTreeMap<HostId, Participant>,
    /// Time of the last contact with each host that may admit requests for any participant; empty
    /// if each participant is a single host.
    contacts: BTreeMap<HostId, Instant>,
    /// Time at which each host of `contacts` that is no longer a candidate was left out.
    departed: BTreeMap<HostId, Instant>,
    /// Time at which this host became a hub candidate; `None` if each participant is a single host.
    candidate_since: Option<Instant>,
    /// Claims of the hosts that this host admits requests for; unused if each participant is a
    /// single host.
    claims: Claims,
    /// Time at which claims last divided the rate of an account.
    claimed_at: Option<Instant>,
    /// Priorities that the configuration uses, in ascending order.
    priorities: Vec<u32>,
    ledgers: HashMap<AccountId, Ledger>,
}

impl Demand {
    /// Creates an empty state; `run` identifies this process among successive ones of the
    /// host.
    pub fn new(tolerance: Tolerance, run: u64, now: Instant) -> Self {
        Self {
            tolerance,
            run,
            sequence: 0,
            own_host: None,
            own: (None, Participant::new(now)),
            participants: BTreeMap::new(),
            contacts: BTreeMap::new(),
            departed: BTreeMap::new(),
            candidate_since: None,
            claims: Claims::default(),
            claimed_at: None,
            priorities: Vec::new(),
            ledgers: HashMap::new(),
        }
    }

    /// Adds an account that was created while this host runs: its bucket starts full, less
    /// the admissions that other hosts have already reported. For an account that is already
    /// present, only sets the contract.
    ///
    /// Guards against refusals in the first second of a new account whose callers already
    /// send at their full rate.
    pub fn create(&mut self, account: &AccountId, rate: Rate, burst: Burst, now: Instant) {
        if self.ledgers.contains_key(account) {
            return self.set_contract(account, rate, burst, now);
        }
        self.set_contract(account, rate, burst, now);
        let participants = self.participants.values().chain([&self.own.1]);
        let admitted: u64 = participants.map(|participant| participant.admitted(account)).sum();
        let side = self.part(account, now).side;
        if let Some(ledger) = self.ledgers.get_mut(account) {
            ledger.side = side;
            ledger.level = ledger.max_level(&self.tolerance);
            ledger.spend(admitted as f64);
        }
    }

    /// Sets the participant that this host belongs to and the other participants. Keeps the
    /// reports of participants that are unchanged.
    pub fn set_participants(
        &mut self,
        own: &HostId,
        others: impl IntoIterator<Item = HostId>,
        now: Instant,
    ) {
        if self.own.0.as_ref() != Some(own) {
            self.own = (Some(own.clone()), Participant::new(now));
        }
        let mut old = std::mem::take(&mut self.participants);
        let keep_or_add = |id: HostId| {
            let participant = old.remove(&id).unwrap_or_else(|| Participant::new(now));
            (id, participant)
        };
        self.participants = others.into_iter().map(keep_or_add).collect();
    }

    /// Sets the id of this host, under which the requests of its own callers count.
    pub fn set_host(&mut self, host: &HostId) {
        self.own_host = Some(host.clone());
    }

    /// Sets the priorities that the configuration uses.
    pub fn set_priorities(&mut self, priorities: impl IntoIterator<Item = u32>) {
        self.priorities = priorities.into_iter().collect();
        self.priorities.sort_unstable();
        self.priorities.dedup();
    }

    /// Sets the other hosts that may admit requests for any participant, with the time of the last
    /// contact with each; a host without contact counts from now on. A host that is left out is
    /// kept until its lease has certainly expired: a host that was evicted during a partition may
    /// still admit requests.
    ///
    /// Guards against two sides of a partition that each use the whole rate: if it passes through
    /// the failure domains, each side receives reports of every participant.
    pub fn set_contacts(
        &mut self,
        hosts: impl IntoIterator<Item = (HostId, Option<Instant>)>,
        now: Instant,
    ) {
        self.candidate_since.get_or_insert(now);
        let mut old = std::mem::take(&mut self.contacts);
        let since = |(host, contact): (HostId, Option<Instant>)| {
            let known = old.remove(&host).unwrap_or(now);
            (host, contact.map_or(known, |contact| contact.max(known)))
        };
        self.contacts = hosts.into_iter().map(since).collect();
        let departed = std::mem::take(&mut self.departed);
        for (host, contact) in old {
            let since = departed.get(&host).copied().unwrap_or(now);
            if now.saturating_duration_since(since) < CONTACT_TTL {
                self.contacts.insert(host.clone(), contact);
                self.departed.insert(host, since);
            }
        }
    }

    /// Records a message of a host that may request tokens from this host, or admit requests.
    pub fn note_message(&mut self, host: &HostId, now: Instant) {
        self.claims.note_contact(host, now);
        if let Some(contact) = self.contacts.get_mut(host) {
            *contact = now;
        }
    }

    /// Sets an account's contract. A new bucket starts without its burst; otherwise hosts
    /// would grant the burst again at every restart.
    pub fn set_contract(&mut self, account: &AccountId, rate: Rate, burst: Burst, now: Instant) {
        let start = Ledger::new(rate, burst, &self.tolerance, now);
        let ledger = self.ledgers.entry(account.clone()).or_insert(start);
        (ledger.rate, ledger.burst) = (rate, burst);
    }

    /// Processes a report of the host `from`, which belongs to `participant`. Returns the number of
    /// its requests that are not charged here, as admitted within the claims of another side of a
    /// partition.
    pub fn receive_report(
        &mut self,
        participant: &HostId,
        from: &HostId,
        report: &Report,
        now: Instant,
    ) -> u64 {
        let new = self.is_new(now);
        let own = self.own.0.as_ref() == Some(participant);
        let participant =
            if own { Some(&mut self.own.1) } else { self.participants.get_mut(participant) };
        let Some(participant) = participant else { return 0 };
        // Admissions of a lost participant were within the minimum part reserved for it.
        let charged =
            own || (participant.has_reported() && !participant.was_lost(from, report, now));
        let Some(admitted) = participant.receive(from, report, self.claimed_at, now) else {
            return 0;
        };
        let left_out = participant.left_out(from);
        for (entry, admitted) in report.figures.iter().zip(admitted) {
            let part = self.part(&entry.account, now);
            let Some(ledger) = self.ledgers.get_mut(&entry.account) else { continue };
            ledger.fill(&self.tolerance, part.side, now);
            if let Some(level) = entry.level.filter(|_| new) {
                ledger.level = f64::from(level).min(ledger.max_level(&self.tolerance));
            } else if charged {
                ledger.spend(admitted as f64);
            }
        }
        left_out
    }

    /// Records that another host of this host's participant currently admits no requests.
    pub fn mark_idle(&mut self, host: &HostId) {
        self.own.1.mark_idle(host);
    }

    /// Takes a snapshot of this host's admissions and demand for the reports that are sent
    /// to all other hosts now, and charges the admissions to the buckets, with those that silent
    /// processes are assumed to have made.
    pub fn publish(&mut self, now: Instant) {
        self.sequence += 1;
        let computes_claims = !self.contacts.is_empty()
            && !self.is_new(now)
            && !self.has_silent_contact(SUSPECT_TIMEOUT, now);
        self.claims.expire(now);
        let accounts: Vec<_> = self.ledgers.keys().cloned().collect();
        for account in accounts {
            let part = self.part(&account, now);
            // What a silent process admits within its claims is not part of this side's rate.
            let claimed = self.claimed_side(&account, now).is_some();
            let mut assumed = 0;
            if claimed {
                self.claimed_at = Some(now);
            } else {
                let participants = self.participants.values_mut().chain([&mut self.own.1]);
                let claimed_at = self.claimed_at;
                assumed = participants
                    .map(|participant| participant.assume(&account, claimed_at, now))
                    .sum();
            }
            let Some(ledger) = self.ledgers.get_mut(&account) else { continue };
            ledger.fill(&self.tolerance, part.side, now);
            ledger.cap(&self.tolerance, part.burst);
            ledger.spend((ledger.admitted - ledger.admitted_reported + assumed) as f64);
            ledger.admitted_reported = ledger.admitted;
            ledger.reported = ledger.requests.decayed(now);
            ledger.arrived = 0.0;
            if computes_claims {
                self.compute_claims(&account, now);
            }
        }
    }

    /// Returns the report of the last snapshot. Omits bucket levels while this host lacks
    /// reports of other participants.
    pub fn report(&self, now: Instant) -> Report {
        let new = self.is_new(now);
        let active = self.ledgers.iter().filter(|(_, ledger)| ledger.reported > MIN_REPORTED_RATE);
        let figures = active.map(|(account, ledger)| AccountReport {
            account: account.clone(),
            rate: ledger.reported as f32,
            admitted: ledger.admitted_reported,
            level: (!new).then_some(ledger.level as f32),
        });
        let figures: Vec<_> = figures.collect();
        let mut claims = Vec::new();
        if self.needs_claims(now) {
            let claim = |entry: &AccountReport| self.claims.counted(&entry.account, now) as f32;
            claims.extend(figures.iter().map(claim));
        }
        Report { run: self.run, no: self.sequence, figures, claims: Some(claims) }
    }

    /// Returns the number of silent hub candidates while claims may divide the rates, else 0.
    pub fn silent_candidates(&self, now: Instant) -> usize {
        let is_silent = |at: &&Instant| now.saturating_duration_since(**at) >= DIVISION_TIMEOUT;
        self.contacts.values().filter(is_silent).count()
    }

    /// Returns whether this host's reports contain claims: while it detects a partition, and until it
    /// has been a hub candidate for long enough to detect one.
    fn needs_claims(&self, now: Instant) -> bool {
        let is_new = self.candidate_since.is_some_and(|since| {
            now.saturating_duration_since(since) < DIVISION_TIMEOUT + REPORT_INTERVAL
        });
        is_new || self.has_silent_contact(SUSPECT_TIMEOUT, now)
    }

    /// Computes the claims on an account from the last reports; there must be no partition.
    fn compute_claims(&mut self, account: &AccountId, now: Instant) {
        let Some(ledger) = self.ledgers.get(account) else { return };
        let others = self.participants.values().map(|participant| participant.rate(account, now));
        let peers: f64 = self.own.1.rates(account, now).sum();
        let requested = ledger.reported + peers + others.sum::<f64>();
        self.claims.compute(account, ledger.reported, requested, ledger.rate.0, now);
    }

    /// Returns whether another host that may admit requests has been silent for `timeout`.
    fn has_silent_contact(&self, timeout: Duration, now: Instant) -> bool {
        self.contacts.values().any(|at| now.saturating_duration_since(*at) >= timeout)
    }

    /// Returns the part of an account's rate, from 0 to 1, that belongs to this side of a partition
    /// by the claims of its hosts. Returns `None` without a partition, or if a process that admits
    /// requests does not compute claims or has not detected the partition.
    fn claimed_side(&self, account: &AccountId, now: Instant) -> Option<f64> {
        if !self.has_silent_contact(DIVISION_TIMEOUT, now) {
            return None;
        }
        let mut participants = self.participants.values().chain([&self.own.1]);
        if !participants.clone().all(Participant::computes_claims) {
            return None;
        }
        let reported: f64 = participants
            .try_fold(0.0, |sum, p| Some(sum + p.claims(account, DIVISION_TIMEOUT, now)?))?;
        let claimed = reported + self.claims.counted(account, now);
        if claimed == 0.0 && !self.claims.is_settled(account) {
            // All processes of this side are new.
            return None;
        }
        let reachable = self.reachable_candidates(DIVISION_TIMEOUT, now);
        let unclaimed = self.claims.unclaimed(account) * reachable;
        Some((claimed + unclaimed).min(1.0))
    }

    /// Returns the fraction, from 0 to 1, of the accumulated tokens that this side of a partition may
    /// use until the partition is detected: that of the demand at the processes in contact.
    ///
    /// Guards against a burst that is granted on each side to an account that begins to exceed its
    /// rate just after the begin of the partition.
    fn burst_fraction(&self, account: &AccountId, now: Instant) -> f64 {
        if !self.has_silent_contact(MISSED_REPORT_TIMEOUT, now) {
            return 1.0;
        }
        let own = self.ledgers.get(account).map_or(0.0, |ledger| ledger.reported);
        let participants = self.participants.values().chain([&self.own.1]);
        let (heard, silent) = participants.fold((own, 0.0), |sum, participant| {
            let (heard, silent) = participant.heard_and_silent(account, MISSED_REPORT_TIMEOUT, now);
            (sum.0 + heard, sum.1 + silent)
        });
        if silent > 0.0 { heard / (heard + silent) } else { 1.0 }
    }

    /// Returns the fraction, from 0 to 1, of the hosts that may admit requests that this host had
    /// contact with less than `timeout` ago, itself included.
    fn reachable_candidates(&self, timeout: Duration, now: Instant) -> f64 {
        let is_reachable = |at: &&Instant| now.saturating_duration_since(**at) < timeout;
        let reachable = self.contacts.values().filter(is_reachable).count() + 1;
        reachable as f64 / (self.contacts.len() + 1) as f64
    }

    /// Returns whether another participant that may be running has not reported since it
    /// was added here.
    fn is_new(&self, now: Instant) -> bool {
        let pending = |p: &Participant| !p.has_reported() && p.liveness(now) != Liveness::Lost;
        self.participants.values().any(pending)
    }

    /// Returns the part of every rate, from 0 to 1, shared by the hosts in contact with this host
    /// less than `timeout` ago. The sum over all sides of a network partition is at most 1.
    ///
    /// A partition through the failure domains leaves callers and participants on each side, so a
    /// side also has at most the fraction of the hub candidates that it reaches.
    fn pool(&self, timeout: Duration, now: Instant) -> f64 {
        let is_reachable = |at: &Instant| now.saturating_duration_since(*at) < timeout;
        let participants = self.participants.values().map(|participant| participant.last_contact);
        let reachable = (participants.filter(is_reachable).count() + 1) as f64;
        let count = (self.participants.len() + 1) as f64;
        let min_part = (1.0 - DEMAND_WEIGHT) / count;
        let part = match (2.0 * reachable).total_cmp(&count) {
            Ordering::Greater => 1.0 - (count - reachable) * min_part,
            Ordering::Equal => 0.5,
            Ordering::Less => reachable * min_part,
        };
        part.min(self.reachable_candidates(timeout, now))
    }

    /// Returns this host's part of the account's rate.
    fn part(&self, account: &AccountId, now: Instant) -> Part {
        let ledger = self.ledgers.get(account);
        let (own_rate, contract_rate) =
            ledger.map_or((0.0, 0.0), |ledger| (ledger.reported + ledger.arrived, ledger.rate.0));
        let peer_rates = self.own.1.rates(account, now);
        let (others, participant_rate) =
            peer_rates.fold((0, own_rate), |(n, sum), rate| (n + 1, sum + rate));
        let present = self
            .participants
            .values()
            .filter(|participant| participant.liveness(now) != Liveness::Lost);
        let count = (present.clone().count() + 1) as f64;
        let requested = participant_rate
            + present.clone().map(|participant| participant.rate(account, now)).sum::<f64>();
        let claimed = self.claimed_side(account, now);
        let side_rate = claimed.unwrap_or(1.0) * contract_rate;
        let total = requested.max(side_rate).max(f64::MIN_POSITIVE);
        let initialized = !self.is_new(now);
        // Rate that is not requested is divided equally.
        let demand_weight = if claimed.is_some() { CLAIMED_DEMAND_WEIGHT } else { DEMAND_WEIGHT };
        let weight = |rate: f64| match initialized {
            true => {
                let by_demand = (rate + (total - requested) / count) / total;
                demand_weight * by_demand + (1.0 - demand_weight) / count
            }
            false => 1.0 / count,
        };
        let suspects = present.filter(|participant| participant.liveness(now) == Liveness::Suspect);
        let reserved: f64 =
            suspects.map(|participant| weight(participant.rate(account, now))).sum();
        let pool = self.pool(ISOLATION_TIMEOUT, now).min(self.pool(LOST_TIMEOUT, now));
        let unreserved = (1.0 - reserved).max(f64::MIN_POSITIVE);
        let share = share(own_rate, participant_rate, others);
        Part {
            // Claims already leave the silent participants' parts to them.
            side: claimed.unwrap_or(pool.min(unreserved)),
            weight: (weight(participant_rate) / unreserved).min(1.0) * share,
            share,
            requested,
            burst: if claimed.is_some() { 1.0 } else { self.burst_fraction(account, now) },
        }
    }

    /// Decides on a request of this host's own caller, see [`Self::admit`].
    pub fn take(&mut self, account: &AccountId, rate: Rate, burst: Burst, now: Instant) -> Ruling {
        let request =
            TokenRequest { account, rate, burst, host: None, claim: None, priority: None };
        self.admit(&request, now)
    }

    /// Decides on a request for a token; counts an admitted request against this host's weight.
    pub fn admit(&mut self, request: &TokenRequest<'_>, now: Instant) -> Ruling {
        let account = request.account;
        self.set_contract(account, request.rate, request.burst, now);
        let host = request.host.or(self.own_host.as_ref()).filter(|_| !self.contacts.is_empty());
        let arrived =
            host.map_or(0.0, |host| self.claims.record(account, host, request.claim, now));
        let part = self.part(account, now);
        let partitioned = self.has_silent_contact(SUSPECT_TIMEOUT, now);
        let tolerance = self.tolerance;
        let ledger = self.ledgers.get_mut(account).expect("contract was set above");
        ledger.requests.add(now);
        // The demand of a host that has changed to this hub moves with it, before it is observed.
        ledger.requests.raise(arrived * part.requested, now);
        ledger.arrived += arrived * part.requested;
        ledger.fill(&tolerance, part.side, now);
        ledger.cap(&tolerance, part.burst);
        let unreported = (ledger.admitted - ledger.admitted_reported) as f64;
        let allowance =
            part.share * SLACK_FRACTION * tolerance.slack / (self.participants.len() + 1) as f64;
        let bucket = reserve::Bucket {
            available: part.weight * ledger.level + allowance - unreported,
            capacity: part.weight * ledger.max_level(&tolerance),
            fill_rate: part.weight * ledger.fill_rate(&tolerance),
        };
        let urgency = request.priority.map(|priority| Urgency::new(priority, &self.priorities));
        // A hub may be short of tokens although the account keeps to its rate, while its callers
        // change to the hub from others.
        let exceeds = part.requested > part.side * request.rate.0;
        let urgency = urgency.filter(|_| exceeds).unwrap_or_default();
        let decision = ledger.reserve.decide(urgency, bucket, now);
        let admitted = decision == Decision::Granted;
        ledger.admitted += u64::from(admitted);
        let retry = match admitted {
            true => Duration::ZERO,
            false => ledger.reserve.next_return(urgency, bucket, now),
        };
        let Part { side, weight, .. } = part;
        let claim = host.map_or(0.0, |host| self.claims.granted(account, host, partitioned, now));
        let reserved = decision == Decision::Reserved;
        Ruling { admitted, part: side * weight, side, level: ledger.level, retry, claim, reserved }
    }
}
