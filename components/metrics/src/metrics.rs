//! Metrics of the requests that a host serves.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    fmt,
    rc::Rc,
    time::Duration,
};

use bergamottrack_contract::Config;
use bergamottrack_coordination::{AccountId, GroupId, Reason, refusal::REASONS};
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::{Family, MetricConstructor},
        gauge::Gauge,
        histogram::Histogram,
    },
    registry::{Registry, Unit},
};

use crate::{
    gauges,
    label::{AccountLabels, GroupLabels, PhaseLabels, ReadLabels, RefusalLabels},
    latency::{self, LatencyHistogram},
    report::{AccountReport, HostReport, RefusalCount},
};

/// Prefix of all metric names.
pub(crate) const PREFIX: &str = "bergamottrack";

/// Creates histograms with buckets from 0.5 ms to 8.2 s, each twice the preceding one.
#[derive(Clone)]
struct SecondsBuckets;

impl MetricConstructor<Histogram> for SecondsBuckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(latency::upper_bounds())
    }
}

type Histograms<L> = Family<L, Histogram, SecondsBuckets>;

/// Phase of a promotion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// From the last contact with the primary to the decision.
    Notice,
    /// From the decision until a majority had promised the new term.
    Promise,
    /// From then until the new primary confirmed that it leads.
    Promote,
}

const PHASES: [Phase; 3] = [Phase::Notice, Phase::Promise, Phase::Promote];

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Notice => "notice",
            Self::Promise => "promise",
            Self::Promote => "promote",
        })
    }
}

/// Duration of a statement at its group's home.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Timing {
    /// From its arrival until it got a slot and a connection.
    pub wait: Duration,
    /// From then until the end of its answer.
    pub service: Duration,
}

/// Totals of an account's answered requests; kept beside the histogram, whose values cannot be
/// read.
#[derive(Clone, Default)]
struct ServedTotals {
    total: Duration,
    spread: LatencyHistogram,
}

/// Metrics of the requests that a host serves.
pub struct Metrics {
    registry: Registry,
    account_total: Histograms<AccountLabels>,
    account_wait: Histograms<AccountLabels>,
    account_service: Histograms<AccountLabels>,
    group_total: Histograms<GroupLabels>,
    group_wait: Histograms<GroupLabels>,
    group_service: Histograms<GroupLabels>,
    refusals: Family<RefusalLabels, Counter>,
    reads: Family<ReadLabels, Counter>,
    promotions: Histograms<PhaseLabels>,
    lent: Family<AccountLabels, Counter<f64>>,
    borrowed: Family<AccountLabels, Counter<f64>>,
    unproved: Counter,
    callers: Gauge,
    /// Accounts with labels; the labels are removed with the account from the configuration.
    accounts: RefCell<HashMap<AccountId, ServedTotals>>,
    /// Groups with labels; the labels are removed with the group from the configuration.
    groups: RefCell<HashSet<GroupId>>,
}

/// Registers a family of histograms in seconds.
fn register_histogram<L>(registry: &mut Registry, name: &str, help: &str) -> Histograms<L>
where
    L: Clone + EncodeLabelSet + Eq + fmt::Debug + std::hash::Hash + Send + Sync + 'static,
{
    let family = Family::new_with_constructor(SecondsBuckets);
    registry.register_with_unit(name, help, Unit::Seconds, family.clone());
    family
}

/// Registers a metric without a unit.
fn register_metric<M: Clone + Default + prometheus_client::registry::Metric>(
    registry: &mut Registry,
    name: &str,
    help: &str,
) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let r = &mut registry;
        Self {
            account_total: register_histogram(
                r,
                "account_total",
                "From a caller's message to its answer",
            ),
            account_wait: register_histogram(r, "account_wait", "Wait for a slot and a connection"),
            account_service: register_histogram(r, "account_service", "Time at the backend server"),
            group_total: register_histogram(
                r,
                "group_total",
                "From a caller's message to its answer",
            ),
            group_wait: register_histogram(r, "group_wait", "Wait for a slot and a connection"),
            group_service: register_histogram(r, "group_service", "Time at the backend server"),
            refusals: register_metric(r, "refusals", "Requests refused"),
            reads: register_metric(r, "reads", "Reads answered, by the kind of server"),
            promotions: register_histogram(r, "promotion", "Phases of promotions of a new primary"),
            lent: register_metric(r, "tokens_lent", "Tokens of the rate lent to other hosts"),
            borrowed: register_metric(r, "tokens_borrowed", "Tokens of the rate borrowed"),
            unproved: register_metric(r, "callers_unproved", "Callers that did not prove a key"),
            callers: register_metric(r, "callers", "Callers connected"),
            accounts: RefCell::default(),
            groups: RefCell::default(),
            registry,
        }
    }
}

/// Guard that counts a connected caller until it is dropped.
pub struct Caller(Rc<Metrics>);

impl Drop for Caller {
    fn drop(&mut self) {
        self.0.callers.dec();
    }
}

impl Metrics {
    /// Counts a connected caller until the returned guard is dropped.
    pub fn caller(self: &Rc<Self>) -> Caller {
        self.callers.inc();
        Caller(self.clone())
    }

    /// Counts a caller that did not prove a key, and thus has no account.
    pub fn unproved(&self) {
        self.unproved.inc();
    }

    /// Records an answered request at its entry host; `total` is its duration.
    pub fn answered(&self, account: &AccountId, group: &GroupId, total: Duration) {
        self.account_total
            .get_or_create(&self.account_labels(account))
            .observe(total.as_secs_f64());
        if let Some(served) = self.accounts.borrow_mut().get_mut(account) {
            served.total += total;
            served.spread.add(total);
        }
        self.group_total.get_or_create(&self.group_labels(group)).observe(total.as_secs_f64());
    }

    /// Counts a read that was answered by a replica, or else by the primary.
    pub fn read(&self, group: &GroupId, replica: bool) {
        self.group_labels(group);
        self.reads.get_or_create(&ReadLabels::new(group, replica)).inc();
    }

    /// Counts a refused request at its entry host, also if another host refused it.
    pub fn refused(&self, account: &AccountId, reason: Reason) {
        self.account_labels(account);
        self.refusals.get_or_create(&RefusalLabels::new(account, reason)).inc();
    }

    /// Records a statement that was served at its group's home.
    pub fn served(&self, account: &AccountId, group: &GroupId, timing: Timing) {
        let (wait, service) = (timing.wait.as_secs_f64(), timing.service.as_secs_f64());
        let labels = self.account_labels(account);
        self.account_wait.get_or_create(&labels).observe(wait);
        self.account_service.get_or_create(&labels).observe(service);
        let labels = self.group_labels(group);
        self.group_wait.get_or_create(&labels).observe(wait);
        self.group_service.get_or_create(&labels).observe(service);
    }

    /// Records the duration of a phase of a promotion.
    pub fn promotion(&self, group: &GroupId, phase: Phase, took: Duration) {
        self.group_labels(group);
        let labels = PhaseLabels::new(group, &phase);
        self.promotions.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Counts tokens of an account's rate that were lent to another host.
    pub fn lent(&self, account: &AccountId, tokens: f64) {
        self.lent.get_or_create(&self.account_labels(account)).inc_by(tokens);
    }

    /// Counts tokens of an account's rate that were borrowed from another host.
    pub fn borrowed(&self, account: &AccountId, tokens: f64) {
        self.borrowed.get_or_create(&self.account_labels(account)).inc_by(tokens);
    }

    /// Returns the number of connected callers.
    pub fn callers(&self) -> u64 {
        self.callers.get().try_into().unwrap_or_default()
    }

    /// Returns the reports of all accounts in the configuration.
    pub fn accounts(&self, config: &Config) -> Vec<AccountReport> {
        config.accounts.iter().map(|account| self.report(&account.id)).collect()
    }

    fn report(&self, account: &AccountId) -> AccountReport {
        let served = self.accounts.borrow().get(account).cloned().unwrap_or_default();
        let refused = REASONS.iter().filter_map(|&reason| {
            let count = self.refusals.get(&RefusalLabels::new(account, reason))?.get();
            (count > 0).then_some(RefusalCount { reason, count })
        });
        AccountReport {
            account: account.clone(),
            served: served.spread.total(),
            seconds: served.total.as_secs_f64(),
            spread: served.spread,
            refused: refused.collect(),
        }
    }

    /// Returns the labels of an account, and registers the account for their later removal.
    fn account_labels(&self, account: &AccountId) -> AccountLabels {
        if !self.accounts.borrow().contains_key(account) {
            self.accounts.borrow_mut().insert(account.clone(), ServedTotals::default());
        }
        AccountLabels::new(account)
    }

    /// Returns the labels of a group, and registers the group for their later removal.
    fn group_labels(&self, group: &GroupId) -> GroupLabels {
        if !self.groups.borrow().contains(group) {
            self.groups.borrow_mut().insert(group.clone());
        }
        GroupLabels::new(group)
    }

    /// Removes the metrics of accounts and groups that are no longer in the configuration.
    ///
    /// Guards against an unbounded number of labels: over months of changes, scrapes would become
    /// slow and large.
    pub fn retain(&self, config: &Config) {
        self.accounts.borrow_mut().retain(|account, _| {
            let stays = config.account(account).is_some();
            if !stays {
                self.remove_account(account);
            }
            stays
        });
        self.groups.borrow_mut().retain(|group| {
            let stays = config.group(group).is_some();
            if !stays {
                self.remove_group(group);
            }
            stays
        });
    }

    fn remove_account(&self, account: &AccountId) {
        let labels = AccountLabels::new(account);
        self.account_total.remove(&labels);
        self.account_wait.remove(&labels);
        self.account_service.remove(&labels);
        self.lent.remove(&labels);
        self.borrowed.remove(&labels);
        for reason in REASONS {
            self.refusals.remove(&RefusalLabels::new(account, reason));
        }
    }

    fn remove_group(&self, group: &GroupId) {
        let labels = GroupLabels::new(group);
        self.group_total.remove(&labels);
        self.group_wait.remove(&labels);
        self.group_service.remove(&labels);
        for replica in [true, false] {
            self.reads.remove(&ReadLabels::new(group, replica));
        }
        for phase in PHASES {
            self.promotions.remove(&PhaseLabels::new(group, &phase));
        }
    }

    /// Formats the metrics and the gauges of `report` in the OpenMetrics text format.
    pub fn render(&self, report: &HostReport) -> Result<String, fmt::Error> {
        let mut out = String::new();
        text::encode_registry(&mut out, &self.registry)?;
        text::encode_registry(&mut out, &gauges::registry(report))?;
        text::encode_eof(&mut out)?;
        Ok(out)
    }
}
