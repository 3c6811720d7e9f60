//! Counters and histograms of the proxy.

use std::time::Duration;

use bergamottrack_coordination::AccountId;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::timing::{Stage, Timing};

/// Returns a histogram of latencies from 1 ms to 8 s, in buckets of doubling width.
fn latencies() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct AccountLabel {
    account: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PriorityLabel {
    priority: u32,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StageLabel {
    stage: &'static str,
    priority: u32,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct WaitEndLabel {
    why: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct TokenRefusalLabel {
    account: String,
    priority: u32,
    /// `empty` or `reserved`.
    tokens: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ClosingLabel {
    limit: &'static str,
}

/// Returns a histogram of durations from 50 ms to 12.8 s, in buckets of doubling width.
fn durations() -> Histogram {
    Histogram::new(exponential_buckets(0.05, 2.0, 9))
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct FailoverLabel {
    planned: String,
    phase: &'static str,
}

/// Counters and histograms of one host.
pub struct Metrics {
    registry: Registry,
    latency: Family<AccountLabel, Histogram, fn() -> Histogram>,
    outcomes: Family<OutcomeLabel, Counter>,
    stages: Family<StageLabel, Histogram, fn() -> Histogram>,
    token_waits: Family<PriorityLabel, Histogram, fn() -> Histogram>,
    token_refusals: Family<TokenRefusalLabel, Counter>,
    wait_ends: Family<WaitEndLabel, Counter>,
    failovers: Family<FailoverLabel, Histogram, fn() -> Histogram>,
    closings: Family<ClosingLabel, Counter>,
    /// Number of statements sent to a server again.
    pub retries: Counter,
    /// Bytes of configurations sent to other hosts.
    pub sent_bytes: Counter,
    /// Bytes of configurations received from other hosts.
    pub received_bytes: Counter,
    /// Number of evacuated failure domains.
    pub evacuated: Gauge,
    /// Number of hub candidates without contact.
    pub silent_candidates: Gauge,
    /// Number of failovers of this host that wait, since no server is shown to be complete.
    pub incomplete_failovers: Gauge,
    /// Number of these that wait beside a server of an evacuated failure domain, which may have the
    /// commits.
    pub evacuated_failovers: Gauge,
    /// Number of requests for newer state that other hosts did not answer in time.
    pub unanswered: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("bergamottrack");
        let latency: Family<_, _, fn() -> Histogram> = Family::new_with_constructor(latencies);
        let outcomes = Family::default();
        let retries = Counter::default();
        registry.register(
            "statement_seconds",
            "Time from a statement to its answer, by client account",
            latency.clone(),
        );
        registry.register("statements", "Statements by outcome", outcomes.clone());
        let stages: Family<_, _, fn() -> Histogram> = Family::new_with_constructor(latencies);
        registry.register(
            "statement_stage_seconds",
            "Time that statements spent in each stage, by priority",
            stages.clone(),
        );
        let token_waits: Family<_, _, fn() -> Histogram> = Family::new_with_constructor(latencies);
        let token_refusals = Family::default();
        registry.register(
            "token_wait_seconds",
            "Time in which an operation got a token of its account's rate or none, by priority",
            token_waits.clone(),
        );
        registry.register(
            "token_refusals",
            "Operations over their account's rate, by whether the remaining tokens were reserved",
            token_refusals.clone(),
        );
        let wait_ends = Family::default();
        registry.register(
            "failover_wait_ends",
            "Hosts for whose lease a failover of this host waited, by why the wait ended",
            wait_ends.clone(),
        );
        registry.register("retries", "Statements sent to a server again", retries.clone());
        let (sent_bytes, received_bytes, unanswered) = <(Counter, Counter, Counter)>::default();
        registry.register(
            "configuration_told_bytes",
            "Bytes of configurations told to other hosts",
            sent_bytes.clone(),
        );
        registry.register(
            "configuration_heard_bytes",
            "Bytes of configurations that other hosts told in time",
            received_bytes.clone(),
        );
        registry.register(
            "news_unanswered",
            "Questions for what is new that other hosts did not answer in time",
            unanswered.clone(),
        );
        let evacuated = Gauge::default();
        registry.register(
            "evacuated_domains",
            "Failure domains whose servers are sent nothing",
            evacuated.clone(),
        );
        let incomplete_failovers = Gauge::default();
        registry.register(
            "failovers_without_complete_successor",
            "Failovers of this host that wait, since no server is shown to have every acknowledged commit",
            incomplete_failovers.clone(),
        );
        let evacuated_failovers = Gauge::default();
        registry.register(
            "failovers_beside_evacuated_server",
            "Failovers of this host that wait beside a server of an evacuated failure domain, which may have the commits",
            evacuated_failovers.clone(),
        );
        let failovers: Family<_, _, fn() -> Histogram> = Family::new_with_constructor(durations);
        registry.register(
            "failover_seconds",
            "Time that completed failovers of this host spent in each phase",
            failovers.clone(),
        );
        let closings = Family::default();
        registry.register(
            "client_closings",
            "Connections of clients refused or closed by a limit",
            closings.clone(),
        );
        let silent_candidates = Gauge::default();
        registry.register(
            "silent_hub_candidates",
            "Hub candidates without contact; above 0, each side of a partition has a part of every rate",
            silent_candidates.clone(),
        );
        Self {
            registry,
            latency,
            outcomes,
            stages,
            token_waits,
            token_refusals,
            wait_ends,
            failovers,
            closings,
            retries,
            sent_bytes,
            received_bytes,
            evacuated,
            silent_candidates,
            incomplete_failovers,
            evacuated_failovers,
            unanswered,
        }
    }
}

impl Metrics {
    /// Records the outcome and latency of a statement.
    pub fn record_statement(&self, account: &AccountId, outcome: &'static str, took: Duration) {
        let label = AccountLabel { account: account.to_string() };
        self.latency.get_or_create(&label).observe(took.as_secs_f64());
        self.outcomes.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Records the time that a statement spent in each stage that it passed.
    pub fn record_stages(&self, priority: u32, timing: &Timing) {
        for stage in Stage::ALL {
            let (label, time) = (StageLabel { stage: stage.name(), priority }, timing.total(stage));
            if !time.is_zero() {
                self.stages.get_or_create(&label).observe(time.as_secs_f64());
            }
        }
    }

    /// Records the time in which an operation got a token of its account's rate or none.
    pub fn record_token_wait(&self, priority: u32, waited: Duration) {
        let label = PriorityLabel { priority };
        self.token_waits.get_or_create(&label).observe(waited.as_secs_f64());
    }

    /// Records an operation that got no token; `reserved` if tokens remained for more urgent ones.
    pub fn record_token_refusal(&self, account: &AccountId, priority: u32, reserved: bool) {
        let tokens = if reserved { "reserved" } else { "empty" };
        let label = TokenRefusalLabel { account: account.to_string(), priority, tokens };
        self.token_refusals.get_or_create(&label).inc();
    }

    /// Records why a failover no longer waits for a host's lease.
    pub fn record_wait_end(&self, why: &'static str) {
        self.wait_ends.get_or_create(&WaitEndLabel { why }).inc();
    }

    /// Records the time that a completed failover spent in a phase.
    pub fn record_failover(&self, planned: bool, phase: &'static str, time: Duration) {
        let label = FailoverLabel { planned: planned.to_string(), phase };
        self.failovers.get_or_create(&label).observe(time.as_secs_f64());
    }

    /// Records that a connection of a client was refused or closed by a limit.
    pub fn record_closing(&self, limit: &'static str) {
        self.closings.get_or_create(&ClosingLabel { limit }).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        text::encode(&mut text, &self.registry).expect("writing to memory");
        text
    }
}
