//! Confirmation that a commit acknowledged by the leader is held by a second server.
//!
//! Guards against a leader that is partitioned from its replicas and continues to acknowledge
//! commits for seconds. Its successor has received none of these commits, and every commit
//! confirmed to a caller in that time is lost. Replication is asynchronous, so the
//! acknowledgement itself proves nothing: a replica is probed for the last record that it has
//! received, once for all pending commits.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{Point, ServerId};

/// Time within which a replica must confirm a commit. A replica receives the commit after about
/// 2 ms, and a replica that lacks it is probed again 3 ms after its answer; a replica with no free
/// slot answers after a typical statement of 50 ms, and twice that still fits.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after [`CONFIRM_TIMEOUT`] for which the first unconfirmed commit must still not have been
/// received by any replica before the leader is replaced; the same time as
/// `suspicion::REPLICA_STALL_TIMEOUT` for the replicas of a silent leader.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(350);

/// Time for which a replica counts as reachable after an answer with its last record.
const REPORT_TTL: Duration = Duration::from_millis(600);

/// Time since this host began to use a leader for which the leader is not replaced although no
/// replica receives its first unconfirmed commit. If the replicas cannot receive from any server,
/// another leader would be no better.
const MIN_TENURE: Duration = Duration::from_secs(10);

/// Result of probing a replica for the last record that it has received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// The last record that the replica has received.
    Received(Point),
    /// The replica is running but has no capacity for the probe. The point, if its answer contains
    /// one, is a lower bound of what it has received.
    Busy(Option<Point>),
    /// The replica did not answer in time, or the connection failed. A refused connection is no
    /// proof that the process has ended: a network may reject connections to one that runs.
    Silent,
}

/// Whether a commit is confirmed, which decides the answer to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No outcome yet.
    Pending,
    /// A second server holds the commit.
    Confirmed,
    /// The leader's acknowledgement is sufficient: no other server is listed that could replace it, and
    /// no confirmation is required.
    LeaderOnly,
    /// [`CONFIRM_TIMEOUT`] has passed, and a replica that could become the leader may lack the
    /// commit.
    Unknown,
}

/// Replication progress of the replicas of one leader.
#[derive(Clone, Debug, Default)]
pub struct ReplicaProgress {
    /// Greatest point that at least one replica has received; none before the first report.
    newest: Option<Point>,
    /// Last probe of each replica and its time.
    probes: BTreeMap<ServerId, (ProbeResult, Instant)>,
    /// First commit that no replica confirmed in time, and the time since which the commit has
    /// been pending; none once a replica has received the commit or a commit was accepted without
    /// replicas.
    unconfirmed: Option<(Point, Instant)>,
}

impl ReplicaProgress {
    /// Records that at least one replica has received the log up to `point`. Unlike
    /// [`Self::record`], this does not make a replica count as reachable.
    pub fn note(&mut self, point: Point) {
        self.newest = self.newest.max(Some(point));
        if self.unconfirmed.is_some_and(|(commit, _)| self.covers(commit)) {
            self.unconfirmed = None;
        }
    }

    /// Records the result of a probe of the replica `server`, and its point as [`Self::note`] does.
    pub fn record(&mut self, server: &ServerId, probe: ProbeResult, now: Instant) {
        self.probes.insert(server.clone(), (probe, now));
        if let ProbeResult::Received(point) | ProbeResult::Busy(Some(point)) = probe {
            self.note(point);
        }
    }

    /// Returns the greatest point that at least one replica has received; `None` before the first report.
    pub fn newest(&self) -> Option<Point> {
        self.newest
    }

    /// Returns whether a replica is known to hold the commit. A point of a later term is no
    /// proof, since the commit may have been discarded before that term began.
    pub fn covers(&self, commit: Point) -> bool {
        self.newest.is_some_and(|newest| newest.term == commit.term && newest >= commit)
    }

    /// Returns the verdict on a commit that has been pending since `began`, where `replicas` are
    /// the servers that could replace the leader. If a confirmation is `required`, the leader's
    /// acknowledgement is not sufficient without replicas either: the server that received the commit
    /// may be one that a failover does not take into account.
    pub fn verdict(
        &mut self,
        commit: Point,
        replicas: &[ServerId],
        required: bool,
        began: Instant,
        now: Instant,
    ) -> Verdict {
        if self.covers(commit) {
            return Verdict::Confirmed;
        }
        if replicas.is_empty() && !required {
            self.unconfirmed = None;
            return Verdict::LeaderOnly;
        }
        if now.saturating_duration_since(began) < CONFIRM_TIMEOUT {
            return Verdict::Pending;
        }
        self.unconfirmed.get_or_insert((commit, began));
        Verdict::Unknown
    }

    /// Returns whether a commit was not confirmed in time and no replica has received it since.
    pub fn has_unconfirmed(&self) -> bool {
        self.unconfirmed.is_some()
    }

    /// Returns whether the outcome of a write sent now would be unknown, where `replicas` are the
    /// servers that could replace the leader: a commit was not confirmed in time and no replica has
    /// received it since, or a confirmation is `required` and there is no replica.
    pub fn is_stalled(&self, replicas: &[ServerId], required: bool) -> bool {
        if replicas.is_empty() { required } else { self.unconfirmed.is_some() }
    }

    /// Returns whether a leader that has led since `led_since` must be replaced because no
    /// replica receives its log although one is reachable: it answered a probe less than 600 ms
    /// ago. False within the first 10 s of the leader.
    pub fn is_partitioned(&self, led_since: Instant, now: Instant) -> bool {
        let has_lasted = |since: Instant, limit| now.saturating_duration_since(since) >= limit;
        let reachable = |(probe, time): &(ProbeResult, Instant)| {
            matches!(probe, ProbeResult::Received(_)) && !has_lasted(*time, REPORT_TTL)
        };
        self.unconfirmed
            .is_some_and(|(_, since)| has_lasted(since, CONFIRM_TIMEOUT + STALL_TIMEOUT))
            && has_lasted(led_since, MIN_TENURE)
            && self.probes.values().any(reachable)
    }
}
