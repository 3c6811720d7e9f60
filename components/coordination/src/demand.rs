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

use crate::{
    AccountId, Burst, HostId, Rate,
    ledger::Ledger,
    reports::{LOST_TIMEOUT, Liveness, Participant},
};
pub use crate::{
    ledger::Tolerance,
    reports::{AccountReport, Report},
};

/// The part of a weight that follows the demand.
const DEMAND_WEIGHT: f64 = 0.75;

/// When a host that hears less than half of the hosts uses the least part only.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Demand that is not told, in requests a second: forgotten but for a trace.
const MIN_REPORTED_RATE: f64 = 0.05;

/// The part of the slack that hosts may admit beyond their weight of what is left, each
/// an equal part of it. Callers come in clusters: with nine hosts and a small account a
/// weight is less than the three or four requests that come together.
const SLACK_FRACTION: f64 = 0.25;

/// The longest time after which callers are told to come back: demand may have
/// moved by then.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

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
    /// What this host has of its party's weight.
    share: f64,
}

/// A host's share of its party's weight; `others` more hosts may be admitting for the party.
fn share(mine: f64, all: f64, others: usize) -> f64 {
    let equal = 1.0 / (others + 1) as f64;
    let by_demand = if all > 0.0 { mine / all } else { equal };
    DEMAND_WEIGHT * by_demand + (1.0 - DEMAND_WEIGHT) * equal
}

/// The rates of all accounts at one host.
#[derive(Debug)]
pub struct Demand {
    tolerance: Tolerance,
    run: u64,
    no: u64,
    /// The party that this host is of, and the other hosts of it.
    own: (Option<HostId>, Participant),
    /// The other parties.
    participants: BTreeMap<HostId, Participant>,
    ledgers: HashMap<AccountId, Ledger>,
}

impl Demand {
    /// No demand yet; `run` tells this start of the host from others.
    pub fn new(tolerance: Tolerance, run: u64, now: Instant) -> Self {
        Self {
            tolerance,
            run,
            no: 0,
            own: (None, Participant::new(now)),
            participants: BTreeMap::new(),
            ledgers: HashMap::new(),
        }
    }

    /// Notes an account that came into being while this host ran: its bucket is full,
    /// but for what the others have told that they admitted since.
    ///
    /// Guards against the refusals of a new account's first second, whose callers come at
    /// the pace of an old one.
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

    /// Sets the party that this host is of and the others.
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
        let known = |id: HostId| {
            let participant = old.remove(&id).unwrap_or_else(|| Participant::new(now));
            (id, participant)
        };
        self.participants = others.into_iter().map(known).collect();
    }

    /// Notes an account's contract. It begins without its burst: hosts that start anew
    /// would otherwise grant it again each time.
    pub fn set_contract(&mut self, account: &AccountId, rate: Rate, burst: Burst, now: Instant) {
        let start = Ledger::new(rate, burst, &self.tolerance, now);
        let ledger = self.ledgers.entry(account.clone()).or_insert(start);
        (ledger.rate, ledger.burst) = (rate, burst);
    }

    /// Takes a report of what the host `from` of a party admitted.
    pub fn receive_report(
        &mut self,
        participant: &HostId,
        from: &HostId,
        report: &Report,
        now: Instant,
    ) {
        let new = self.is_new(now);
        let own = self.own.0.as_ref() == Some(participant);
        let participant =
            if own { Some(&mut self.own.1) } else { self.participants.get_mut(participant) };
        let Some(participant) = participant else { return };
        // What a lost party admitted was within the part that was left to it.
        let charged =
            own || (participant.has_reported() && participant.liveness(now) != Liveness::Lost);
        let Some(admitted) = participant.receive(from, report, now) else { return };
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
    }

    /// Notes that another host of this host's party admits nothing now.
    pub fn mark_idle(&mut self, host: &HostId) {
        self.own.1.mark_idle(host);
    }

    /// Notes what this host admitted and is asked for, as it is reported to all others now.
    pub fn publish(&mut self, now: Instant) {
        self.no += 1;
        let accounts: Vec<_> = self.ledgers.keys().cloned().collect();
        for account in accounts {
            let part = self.part(&account, now);
            let Some(ledger) = self.ledgers.get_mut(&account) else { continue };
            ledger.fill(&self.tolerance, part.side, now);
            ledger.spend((ledger.admitted - ledger.admitted_reported) as f64);
            ledger.admitted_reported = ledger.admitted;
            ledger.reported = ledger.requests.decayed(now);
        }
    }

    /// The report of what was noted last.
    pub fn report(&self, now: Instant) -> Report {
        let new = self.is_new(now);
        let active = self.ledgers.iter().filter(|(_, ledger)| ledger.reported > MIN_REPORTED_RATE);
        let figures = active.map(|(account, ledger)| AccountReport {
            account: account.clone(),
            rate: ledger.reported as f32,
            admitted: ledger.admitted_reported,
            level: (!new).then_some(ledger.level as f32),
        });
        Report { run: self.run, no: self.no, figures: figures.collect() }
    }

    /// Whether another party that may be there has not been heard since it is known here.
    fn is_new(&self, now: Instant) -> bool {
        let pending = |p: &Participant| !p.has_reported() && p.liveness(now) != Liveness::Lost;
        self.participants.values().any(pending)
    }

    /// The part of every rate that the hosts heard within that time share, this
    /// one included. Over all sides of a cut the sum is 1 at most.
    fn pool(&self, timeout: Duration, now: Instant) -> f64 {
        let hosts = (self.participants.len() + 1) as f64;
        let silences = self
            .participants
            .values()
            .map(|participant| now.saturating_duration_since(participant.last_contact));
        let reachable = (silences.filter(|silence| *silence < timeout).count() + 1) as f64;
        let min_part = (1.0 - DEMAND_WEIGHT) / hosts;
        match (2.0 * reachable).total_cmp(&hosts) {
            Ordering::Greater => 1.0 - (hosts - reachable) * min_part,
            Ordering::Equal => 0.5,
            Ordering::Less => reachable * min_part,
        }
    }

    /// This host's part of the account's rate.
    fn part(&self, account: &AccountId, now: Instant) -> Part {
        let ledger = self.ledgers.get(account);
        let (mine, contract_rate) =
            ledger.map_or((0.0, 0.0), |ledger| (ledger.reported, ledger.rate.0));
        let peers = self.own.1.rates(account, now);
        let (others, ours) = peers.fold((0, mine), |(n, sum), rate| (n + 1, sum + rate));
        let present = self
            .participants
            .values()
            .filter(|participant| participant.liveness(now) != Liveness::Lost);
        let count = (present.clone().count() + 1) as f64;
        let all =
            ours + present.clone().map(|participant| participant.rate(account, now)).sum::<f64>();
        let total = all.max(contract_rate).max(f64::MIN_POSITIVE);
        let initialized = !self.is_new(now);
        // What nobody asks for is spread equally.
        let weight = |rate: f64| match initialized {
            true => {
                let by_demand = (rate + (total - all) / count) / total;
                DEMAND_WEIGHT * by_demand + (1.0 - DEMAND_WEIGHT) / count
            }
            false => 1.0 / count,
        };
        let suspects = present.filter(|participant| participant.liveness(now) == Liveness::Suspect);
        let reserved: f64 =
            suspects.map(|participant| weight(participant.rate(account, now))).sum();
        let pool = self.pool(ISOLATION_TIMEOUT, now).min(self.pool(LOST_TIMEOUT, now));
        let unreserved = (1.0 - reserved).max(f64::MIN_POSITIVE);
        let share = share(mine, ours, others);
        Part {
            side: pool.min(unreserved),
            weight: (weight(ours) / unreserved).min(1.0) * share,
            share,
        }
    }

    /// Takes a token for a request of the account.
    pub fn take(&mut self, account: &AccountId, rate: Rate, burst: Burst, now: Instant) -> Ruling {
        self.set_contract(account, rate, burst, now);
        let part = self.part(account, now);
        let tolerance = self.tolerance;
        let ledger = self.ledgers.get_mut(account).expect("the account is known by now");
        ledger.requests.add(now);
        ledger.fill(&tolerance, part.side, now);
        let unreported = (ledger.admitted - ledger.admitted_reported) as f64;
        let allowance =
            part.share * SLACK_FRACTION * tolerance.slack / (self.participants.len() + 1) as f64;
        let available = part.weight * ledger.level + allowance - unreported;
        let admitted = available >= 1.0;
        ledger.admitted += u64::from(admitted);
        let fill_rate = part.weight * ledger.fill_rate(&tolerance);
        let retry = Duration::try_from_secs_f64((1.0 - available).max(0.0) / fill_rate);
        let retry = retry.unwrap_or(MAX_RETRY_DELAY).min(MAX_RETRY_DELAY);
        let Part { side, weight, .. } = part;
        Ruling { admitted, part: side * weight, side, level: ledger.level, retry }
    }
}
