//! Who leads a database group, what is confirmed, and whom to promote.
//!
//! No clock is trusted here and no safety rests on there being one promoter:
//! a majority of the group's servers promises each term to one promoter only.

use std::{fmt, str::FromStr};

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
