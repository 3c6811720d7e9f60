//! Who leads a database group, what is confirmed, and whom to promote.
//!
//! No clock is trusted here and no safety rests on there being one promoter:
//! a majority of the group's servers promises each term to one promoter only.

use std::{
    fmt,
    str::FromStr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{Point, Position, Term, UnitError};

/// What a backend server does in its group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Takes writes in its term.
    Primary,
    /// Follows a primary.
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

/// What a backend server says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// What it does.
    pub role: Role,
    /// Term of the primary that it is or follows; at most `promised`.
    pub term: Term,
    /// The greatest term promised; it takes no log of an earlier one.
    pub promised: Term,
    /// The last record in its log, held but perhaps not yet shown.
    pub held: Point,
    /// The last record that its reads show; at most `held.position`.
    pub applied: Point,
}

impl Status {
    /// Whether the server takes writes: a primary that has promised no later term.
    pub fn leads(&self) -> bool {
        self.role == Role::Primary && self.promised == self.term
    }

    /// Whether this server, not the primary, holds `point` in the point's own term.
    ///
    /// A later promise by this server reports `held`, so the promoter sees the record.
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
        let bad = || UnitError { given: text.into(), wanted: "a server status" };
        let mut words = text.split(' ');
        let role = match words.next() {
            Some("primary") => Role::Primary,
            Some("replica") => Role::Replica,
            _ => return Err(bad()),
        };
        let mut value = |name: &str| {
            words.next().and_then(|word| word.strip_prefix(name)?.strip_prefix('=')).ok_or_else(bad)
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

/// How many of `servers` make a majority.
pub fn majority(servers: usize) -> usize {
    servers / 2 + 1
}

/// Of the servers that promised a term, the one to promote: with the greatest
/// log. `None` unless they are a majority of the group's `servers`.
///
/// An acknowledged record is held by two of three servers in its own term, so
/// one of any majority holds it, and no greater log lacks it.
pub fn successor<K: Clone + Ord>(promises: &[(K, Point)], servers: usize) -> Option<K> {
    if promises.len() < majority(servers) {
        return None;
    }
    promises.iter().max_by_key(|(key, held)| (*held, key.clone())).map(|(key, _)| key.clone())
}

/// The term to ask promises for: above all that was seen.
pub fn next_term<'a>(seen: impl IntoIterator<Item = &'a Status>) -> Term {
    seen.into_iter().map(|s| s.promised.max(s.term)).max().unwrap_or_default().next()
}

/// The position that a lagging server still lacks.
pub fn lag(primary: Position, applied: Position) -> u64 {
    primary.0.saturating_sub(applied.0)
}

/// How long connections must have been refused before the server counts as gone.
///
/// A process that ends refuses at once, so this is quicker evidence than silence.
pub const REFUSAL_TIMEOUT: Duration = Duration::from_millis(150);

/// A look that comes later than this after the one before means that the
/// observer itself stood still.
const PAUSE: Duration = Duration::from_millis(150);

/// What an observer has seen of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observation {
    /// What the server last said, however long ago.
    pub status: Option<Status>,
    /// When it was last heard of.
    pub last_seen: Option<Instant>,
    /// Since when it refuses connections.
    pub refused_since: Option<Instant>,
}

/// Why a group needs another primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The primary's machine refuses connections.
    Refused,
    /// The primary has not answered for too long.
    Silent,
    /// The primary answers, but its replicas no longer receive its log.
    Unconfirmed,
    /// No server leads in the greatest term promised.
    Leaderless,
    /// The operator takes the primary out of work.
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

/// What is to be done about a group's leadership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// A primary leads.
    Healthy,
    /// Something is wrong, but not for long enough.
    Suspected,
    /// Another primary is needed.
    Promote(Cause),
    /// Too few servers are reachable for a primary to be trusted.
    NoMajority,
}

/// Judges from what is seen of a group whether it needs another primary.
///
/// It only ever makes a promotion start early or late: whether one is safe is
/// decided by the promises of the servers.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    /// How long a silent server counts as there.
    pub silence_timeout: Duration,
    /// When the observer last looked.
    looked: Instant,
    /// Silence is counted from here on: the observer itself stood still before.
    from: Instant,
    /// The greatest term promised, and since when it has been that.
    newest: (Term, Instant),
    /// The most that replicas held of the primary's log while it held more,
    /// and since when that has been so.
    behind: Option<(Point, Instant)>,
}

impl FailureDetector {
    /// A detector that has seen nothing yet.
    pub fn new(silence_timeout: Duration, now: Instant) -> Self {
        Self { silence_timeout, looked: now, from: now, newest: (Term(0), now), behind: None }
    }

    /// Judges what is seen now; to be called every few tens of milliseconds.
    pub fn observe(&mut self, now: Instant, sights: &[Observation]) -> Verdict {
        // Guards against the observer's own pause: after it every server seems
        // to have been silent, and a healthy primary would be replaced.
        if now.saturating_duration_since(self.looked) > PAUSE {
            (self.from, self.behind) = (now, None);
        }
        self.looked = now;
        let newest = sights.iter().filter_map(|s| s.status).map(|s| s.promised).max();
        let newest = newest.unwrap_or_default();
        if newest != self.newest.0 {
            self.newest = (newest, now);
        }
        let verdict = self.judge(now, newest, sights);
        let there = sights.iter().filter(|s| self.is_there(now, s)).count();
        match verdict {
            Verdict::Suspected => verdict,
            _ if there >= majority(sights.len()) => verdict,
            _ if self.passed(now, None) <= self.silence_timeout => Verdict::Suspected,
            _ => Verdict::NoMajority,
        }
    }

    /// Since when the replicas have received none of what the primary holds more.
    pub fn stalled_since(&self) -> Option<Instant> {
        self.behind.map(|(_, since)| since)
    }

    /// Notes that the observer was at work until `now` and did not stand still.
    pub fn mark_active(&mut self, now: Instant) {
        self.looked = now;
    }

    fn judge(&mut self, now: Instant, newest: Term, sights: &[Observation]) -> Verdict {
        let leads = |s: &&Observation| s.status.is_some_and(|s| s.leads() && s.term == newest);
        let Some(leader) = sights.iter().find(leads) else {
            // Another observer may be at it: a new term gets its time first.
            return after(
                self.silence_timeout,
                self.passed(now, Some(self.newest.1)),
                Cause::Leaderless,
            );
        };
        if leader
            .refused_since
            .is_some_and(|since| now.saturating_duration_since(since) > REFUSAL_TIMEOUT)
        {
            return Verdict::Promote(Cause::Refused);
        }
        if !self.is_there(now, leader) {
            return after(self.silence_timeout, self.passed(now, leader.last_seen), Cause::Silent);
        }
        self.judge_replicas(now, leader, sights)
    }

    /// A primary that answers its observers but has lost its replicas can have
    /// no write confirmed: callers would wait in vain until the link is mended.
    fn judge_replicas(
        &mut self,
        now: Instant,
        leader: &Observation,
        sights: &[Observation],
    ) -> Verdict {
        let Some(status) = leader.status else { return Verdict::Suspected };
        let others = sights.iter().filter(|s| !std::ptr::eq(*s, leader) && self.is_there(now, s));
        let held: Vec<Point> = others.filter_map(|s| Some(s.status?.held)).collect();
        let best = held.iter().max().copied().unwrap_or_default();
        if best >= status.held || held.len() < majority(sights.len()) {
            self.behind = None;
            return Verdict::Healthy;
        }
        match self.behind {
            Some((point, since)) if point == best => {
                let passed = now.saturating_duration_since(since);
                match after(self.silence_timeout, passed, Cause::Unconfirmed) {
                    Verdict::Suspected => Verdict::Healthy,
                    verdict => verdict,
                }
            }
            _ => {
                self.behind = Some((best, now));
                Verdict::Healthy
            }
        }
    }

    fn is_there(&self, now: Instant, sight: &Observation) -> bool {
        sight.refused_since.is_none()
            && sight.last_seen.is_some()
            && self.passed(now, sight.last_seen) <= self.silence_timeout
    }

    /// The time since `at`, without that in which the observer stood still.
    fn passed(&self, now: Instant, at: Option<Instant>) -> Duration {
        now.saturating_duration_since(at.map_or(self.from, |at| at.max(self.from)))
    }
}

fn after(limit: Duration, passed: Duration, cause: Cause) -> Verdict {
    if passed > limit { Verdict::Promote(cause) } else { Verdict::Suspected }
}

/// How long to wait after `failures` failed promotions in a row; `chance` is
/// a random number from 0 to 1, so that two promoters do not meet again.
pub fn backoff(failures: u32, chance: f64) -> Duration {
    const LEAST_MS: f64 = 40.0;
    const MOST_MS: f64 = 1_000.0;
    let most = (LEAST_MS * 2_f64.powi(failures.min(8) as i32)).min(MOST_MS);
    Duration::from_millis((LEAST_MS + chance * (most - LEAST_MS)) as u64)
}
