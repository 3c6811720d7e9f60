//! Leadership of a database group: confirmed records, detection of a failed primary, and
//! selection of the server to promote.
//!
//! Safety depends neither on clocks nor on a single promoter: each server promises a term to
//! one promoter only, and a promotion requires the promises of a majority of the servers.

use std::{
    fmt,
    str::FromStr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{Point, Position, Term, UnitError};

/// Role of a backend server in its group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Accepts writes in its term.
    Primary,
    /// Replicates from a primary.
    Replica,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Primary => "primary",
            Self::Replica => "replica",
        })
    }
}

/// State of a backend server as it reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// Role of the server.
    pub role: Role,
    /// Term of the primary that the server is or follows; at most `promised`.
    pub term: Term,
    /// Greatest term promised; the server accepts no log of an earlier term.
    pub promised: Term,
    /// Last record in the log, possibly not applied yet.
    pub held: Point,
    /// Last record that reads return; its position is at most that of `held`.
    pub applied: Point,
}

impl Status {
    /// Returns whether the server accepts writes: a primary that has promised no later term.
    pub fn leads(&self) -> bool {
        self.role == Role::Primary && self.promised == self.term
    }

    /// Returns whether this server holds `point` in the point's own term and has promised no
    /// later term, so that it confirms the record.
    ///
    /// A later promise by this server reports `held`, so the promoter receives the record.
    pub fn confirms(&self, point: Point) -> bool {
        self.promised <= point.term
            && self.held.term == point.term
            && self.held.position >= point.position
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { role, term, promised, held, applied } = self;
        write!(f, "{role} term={term} promised={promised} held={held} applied={applied}")
    }
}

impl FromStr for Status {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let invalid = || UnitError { given: text.into(), wanted: "a server status" };
        let mut fields = text.split(' ');
        let role = match fields.next() {
            Some("primary") => Role::Primary,
            Some("replica") => Role::Replica,
            _ => return Err(invalid()),
        };
        let mut value = |name: &str| {
            fields
                .next()
                .and_then(|field| field.strip_prefix(name)?.strip_prefix('='))
                .ok_or_else(invalid)
        };
        Ok(Self {
            role,
            term: value("term")?.parse()?,
            promised: value("promised")?.parse()?,
            held: value("held")?.parse()?,
            applied: value("applied")?.parse()?,
        })
    }
}

/// Returns the size of a majority of `servers`.
pub fn majority(servers: usize) -> usize {
    servers / 2 + 1
}

/// Selects the server to promote from the `promises` of a term, each with the last record of
/// its server: the server with the greatest log. Returns `None` unless the promises are a
/// majority of the group's `servers`.
///
/// An acknowledged record is held by two of three servers in its own term, so at least one
/// server of any majority holds it, and no greater log lacks it.
pub fn successor<K: Clone + Ord>(promises: &[(K, Point)], servers: usize) -> Option<K> {
    if promises.len() < majority(servers) {
        return None;
    }
    promises.iter().max_by_key(|(key, held)| (*held, key.clone())).map(|(key, _)| key.clone())
}

/// Returns the term for which to request promises: greater than every term in `statuses`.
pub fn next_term<'a>(statuses: impl IntoIterator<Item = &'a Status>) -> Term {
    statuses.into_iter().map(|s| s.promised.max(s.term)).max().unwrap_or_default().next()
}

/// Returns the number of positions by which `applied` trails the primary; 0 if it is ahead.
pub fn lag(primary: Position, applied: Position) -> u64 {
    primary.0.saturating_sub(applied.0)
}

/// How long connections must have been refused before a primary is replaced.
///
/// After a process ends, connections are refused at once, so refusals detect a crash earlier
/// than the silence timeout.
pub const REFUSAL_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum time between two observations; after a longer gap the observer itself is assumed to
/// have been paused.
const MAX_OBSERVE_GAP: Duration = Duration::from_millis(150);

/// Last observed state of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observation {
    /// Last reported status, however old; none before the first report.
    pub status: Option<Status>,
    /// Time of the last contact; none before the first contact.
    pub last_seen: Option<Instant>,
    /// Time since which the server has refused connections; none while it accepts them.
    pub refused_since: Option<Instant>,
}

/// Reason for the replacement of a primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Connections to the primary have been refused for longer than [`REFUSAL_TIMEOUT`].
    Refused,
    /// The primary has not answered within the silence timeout.
    Silent,
    /// The primary answers, but its replicas have not received its log within the silence
    /// timeout.
    Unconfirmed,
    /// No server has led in the greatest term promised within the silence timeout.
    Leaderless,
    /// The operator is removing the primary.
    Leaving,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "the primary refuses connections",
            Self::Silent => "the primary is silent",
            Self::Unconfirmed => "the primary is cut from its replicas",
            Self::Leaderless => "no server leads",
            Self::Leaving => "the primary is leaving",
        })
    }
}

/// Assessment of a group's leadership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// A primary leads the group.
    Healthy,
    /// A fault is observed, but has not lasted long enough for a failover.
    Suspected,
    /// Another server must be promoted.
    Promote(Cause),
    /// Too few servers are reachable to rely on a primary.
    NoMajority,
}

/// Detects from observations of a group that its primary must be replaced.
///
/// The detector only affects when a promotion starts; the safety of the promotion depends on
/// the promises of the servers.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    /// Time since the last contact after which a server is considered unreachable.
    pub silence_timeout: Duration,
    /// Time of the last observation.
    observed_at: Instant,
    /// Start of the period over which silence is counted: the end of the observer's last
    /// pause.
    active_since: Instant,
    /// Greatest term promised, and the time since which it has been the greatest.
    newest: (Term, Instant),
    /// Greatest point held by a replica while the primary held a greater one, and the time since
    /// which that point has not advanced.
    stalled: Option<(Point, Instant)>,
}

impl FailureDetector {
    /// Creates a detector without any observation.
    pub fn new(silence_timeout: Duration, now: Instant) -> Self {
        Self {
            silence_timeout,
            observed_at: now,
            active_since: now,
            newest: (Term(0), now),
            stalled: None,
        }
    }

    /// Assesses the current observations; to be called every few tens of milliseconds.
    pub fn observe(&mut self, now: Instant, observations: &[Observation]) -> Verdict {
        // After a pause of the observer itself every server seems to have been silent, and a
        // healthy primary would be replaced.
        if now.saturating_duration_since(self.observed_at) > MAX_OBSERVE_GAP {
            (self.active_since, self.stalled) = (now, None);
        }
        self.observed_at = now;
        let newest = observations.iter().filter_map(|s| s.status).map(|s| s.promised).max();
        let newest = newest.unwrap_or_default();
        if newest != self.newest.0 {
            self.newest = (newest, now);
        }
        let verdict = self.assess(now, newest, observations);
        let reachable = observations.iter().filter(|s| self.is_reachable(now, s)).count();
        match verdict {
            Verdict::Suspected => verdict,
            _ if reachable >= majority(observations.len()) => verdict,
            _ if self.elapsed(now, None) <= self.silence_timeout => Verdict::Suspected,
            _ => Verdict::NoMajority,
        }
    }

    /// Time since which the replicas have received nothing although the primary's log is
    /// ahead; none while they have caught up or too few of them are reachable.
    pub fn stalled_since(&self) -> Option<Instant> {
        self.stalled.map(|(_, since)| since)
    }

    /// Records that the observer was active until `now`, so that the time since the last
    /// observation does not count as a pause.
    pub fn mark_active(&mut self, now: Instant) {
        self.observed_at = now;
    }

    fn assess(&mut self, now: Instant, newest: Term, observations: &[Observation]) -> Verdict {
        let leads = |s: &&Observation| s.status.is_some_and(|s| s.leads() && s.term == newest);
        let Some(leader) = observations.iter().find(leads) else {
            // Another observer may be running a promotion, which has the silence timeout to
            // give a new term a leader.
            return promote_after(
                self.silence_timeout,
                self.elapsed(now, Some(self.newest.1)),
                Cause::Leaderless,
            );
        };
        if leader
            .refused_since
            .is_some_and(|since| now.saturating_duration_since(since) > REFUSAL_TIMEOUT)
        {
            return Verdict::Promote(Cause::Refused);
        }
        if !self.is_reachable(now, leader) {
            return promote_after(
                self.silence_timeout,
                self.elapsed(now, leader.last_seen),
                Cause::Silent,
            );
        }
        self.assess_replicas(now, leader, observations)
    }

    /// Assesses whether the replicas receive the primary's log.
    ///
    /// A primary that answers its observers but is partitioned from its replicas gets no write
    /// confirmed, so callers would time out until the partition ends.
    fn assess_replicas(
        &mut self,
        now: Instant,
        leader: &Observation,
        observations: &[Observation],
    ) -> Verdict {
        let Some(status) = leader.status else { return Verdict::Suspected };
        let replicas =
            observations.iter().filter(|s| !std::ptr::eq(*s, leader) && self.is_reachable(now, s));
        let held: Vec<Point> = replicas.filter_map(|s| Some(s.status?.held)).collect();
        let best = held.iter().max().copied().unwrap_or_default();
        if best >= status.held || held.len() < majority(observations.len()) {
            self.stalled = None;
            return Verdict::Healthy;
        }
        match self.stalled {
            Some((point, since)) if point == best => {
                let elapsed = now.saturating_duration_since(since);
                match promote_after(self.silence_timeout, elapsed, Cause::Unconfirmed) {
                    Verdict::Suspected => Verdict::Healthy,
                    verdict => verdict,
                }
            }
            _ => {
                self.stalled = Some((best, now));
                Verdict::Healthy
            }
        }
    }

    fn is_reachable(&self, now: Instant, observation: &Observation) -> bool {
        observation.refused_since.is_none()
            && observation.last_seen.is_some()
            && self.elapsed(now, observation.last_seen) <= self.silence_timeout
    }

    /// Returns the time elapsed from `since`, or from the end of the observer's last pause if that
    /// is later or `since` is none.
    fn elapsed(&self, now: Instant, since: Option<Instant>) -> Duration {
        now.saturating_duration_since(
            since.map_or(self.active_since, |since| since.max(self.active_since)),
        )
    }
}

fn promote_after(limit: Duration, elapsed: Duration, cause: Cause) -> Verdict {
    if elapsed > limit { Verdict::Promote(cause) } else { Verdict::Suspected }
}

/// Returns the delay before the next attempt after `failures` failed promotions in a row,
/// between 40 ms and 1 s. `chance` is a random number from 0 to 1, so that two promoters that
/// failed at the same time do not retry at the same time.
pub fn backoff(failures: u32, chance: f64) -> Duration {
    const MIN_DELAY_MS: f64 = 40.0;
    const MAX_DELAY_MS: f64 = 1_000.0;
    let max_delay = (MIN_DELAY_MS * 2_f64.powi(failures.min(8) as i32)).min(MAX_DELAY_MS);
    Duration::from_millis((MIN_DELAY_MS + chance * (max_delay - MIN_DELAY_MS)) as u64)
}
