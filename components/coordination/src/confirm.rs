//! Whether a commit that the leader has acknowledged is held by a second server.
//!
//! The load it answers: a leader that is cut off from its replicas and goes on
//! acknowledging for seconds. Its successor has received none of it, and each
//! booking that a caller was told of in that time is taken back. Replication is
//! asynchronous, so the acknowledgement itself proves nothing: a replica is asked
//! how far it has received, once for all commits that wait.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{Point, ServerId};

/// How long a commit waits for a replica. A replica has it after some 2 ms and is
/// asked within 3 ms; one whose slots are all taken answers after a usual statement
/// of 50 ms, and twice that still fits.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// How long replicas must have received nothing before the leader is replaced: as
/// long as a silent leader is given.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(350);

/// How old a replica's word may be that it receives nothing.
const WORD_FOR: Duration = Duration::from_millis(600);

/// How long a new leader is kept though its replicas receive nothing. Where they
/// receive from nobody another leader would do no better.
const KEPT_FOR: Duration = Duration::from_secs(10);

/// What came of asking a replica how far it has received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// So far.
    Received(Point),
    /// It is alive, but has no capacity for the question.
    Busy,
    /// Its process does not run.
    Dead,
    /// Nothing came back.
    Silent,
}

/// What a caller that waits for a commit can be told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing yet.
    Pending,
    /// A second server holds the commit.
    Confirmed,
    /// It is acknowledged on the leader's word: no replica runs that could lead in
    /// its place, or those that run are alive and too busy to answer.
    LeaderOnly,
    /// A replica that could lead may lack it.
    Unknown,
}

/// What is known of the replicas of one leader.
#[derive(Clone, Debug, Default)]
pub struct ReplicaProgress {
    /// The furthest point that a replica has received.
    newest: Option<Point>,
    heard: BTreeMap<ServerId, (ProbeResult, Instant)>,
    /// The commit that no replica had in time, and since when.
    stuck: Option<(Point, Instant)>,
}

impl ReplicaProgress {
    /// Notes that a replica has received so far.
    pub fn note(&mut self, point: Point) {
        self.newest = self.newest.max(Some(point));
        if self.stuck.is_some_and(|(lacking, _)| self.covers(lacking)) {
            self.stuck = None;
        }
    }

    /// Notes what came of asking a replica.
    pub fn record(&mut self, server: &ServerId, heard: ProbeResult, now: Instant) {
        self.heard.insert(server.clone(), (heard, now));
        if let ProbeResult::Received(point) = heard {
            self.note(point);
        }
    }

    /// Whether a second server holds the commit. A point of a later term proves
    /// nothing of it: it may have been taken back before that term began.
    pub fn covers(&self, commit: Point) -> bool {
        self.newest.is_some_and(|newest| newest.term == commit.term && newest >= commit)
    }

    /// What can be told of a commit that waits since `began`, with these replicas.
    pub fn verdict(
        &mut self,
        commit: Point,
        replicas: &[ServerId],
        began: Instant,
        now: Instant,
    ) -> Verdict {
        if self.covers(commit) {
            return Verdict::Confirmed;
        }
        let heard = |id| self.heard.get(id).filter(|(_, at)| *at >= began).map(|(heard, _)| *heard);
        let all = |wanted: &[ProbeResult]| {
            replicas.iter().all(|id| heard(id).is_some_and(|heard| wanted.contains(&heard)))
        };
        if all(&[ProbeResult::Dead]) {
            return Verdict::LeaderOnly;
        }
        if now.saturating_duration_since(began) < CONFIRM_TIMEOUT {
            return Verdict::Pending;
        }
        if all(&[ProbeResult::Dead, ProbeResult::Busy]) {
            return Verdict::LeaderOnly;
        }
        self.stuck.get_or_insert((commit, began));
        Verdict::Unknown
    }

    /// Whether replicas receive nothing, as far as is known: a write that is sent
    /// now would have to be called uncertain.
    pub fn is_stalled(&self) -> bool {
        self.stuck.is_some()
    }

    /// Whether the leader, which leads since `led`, is to be replaced: a replica
    /// that can be reached receives nothing from it.
    pub fn is_partitioned(&self, led: Instant, now: Instant) -> bool {
        let for_long = |since: Instant, limit| now.saturating_duration_since(since) >= limit;
        let lacks = |(heard, at): &(ProbeResult, Instant)| {
            matches!(heard, ProbeResult::Received(_)) && !for_long(*at, WORD_FOR)
        };
        self.stuck.is_some_and(|(_, since)| for_long(since, CONFIRM_TIMEOUT + STALL_TIMEOUT))
            && for_long(led, KEPT_FOR)
            && self.heard.values().any(lacks)
    }
}
