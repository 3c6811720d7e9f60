//! Sizes, rates and the positions of a replicated log.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Why a text is not a valid quantity.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{given:?} is not {wanted}")]
pub struct UnitError {
    /// The text that was given.
    pub given: Box<str>,
    /// What is wanted instead.
    pub wanted: &'static str,
}

impl UnitError {
    fn new(given: &str, wanted: &'static str) -> Self {
        Self { given: given.into(), wanted }
    }
}

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident, $wanted:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The value that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                text.parse().map(Self).map_err(|_| UnitError::new(text, $wanted))
            }
        }
    };
}

counter! {
    /// A term of leadership of a database group; each primary has its own.
    Term, "a term (a whole number)"
}
counter! {
    /// A place in the log of a database group, counted in records.
    Position, "a log position (a whole number)"
}
counter! {
    /// A revision of the configuration; it never goes down.
    Revision, "a revision (a whole number)"
}
counter! {
    /// Bytes of a document or of a part of it.
    Size, "a size in bytes (a whole number)"
}

/// The last log record that a server holds or shows: its term and position.
///
/// Ordered by term first, so that of two servers the greater point holds every
/// write that was acknowledged in the lesser one's term or before.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Point {
    /// Term in which the record was written.
    pub term: Term,
    /// Position of the record.
    pub position: Position,
}

impl Point {
    /// The point of the given term and position.
    pub fn new(term: u64, position: u64) -> Self {
        Self { term: Term(term), position: Position(position) }
    }

    /// Whether a server that shows `self` shows all that was acknowledged up to `floor`.
    ///
    /// Both must hold: a stale log may run further than the acknowledged one,
    /// and a new primary's log starts with all that was acknowledged before.
    pub fn covers(self, floor: Self) -> bool {
        self.term >= floor.term && self.position >= floor.position
    }
}

impl fmt::Display for Point {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.position)
    }
}

impl FromStr for Point {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let wanted = "a point (term/position)";
        let (term, position) = text.split_once('/').ok_or_else(|| UnitError::new(text, wanted))?;
        Ok(Self { term: term.parse()?, position: position.parse()? })
    }
}

/// Requests a second.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = text.strip_suffix("/s").unwrap_or(text);
        match number.parse::<f64>() {
            Ok(n) if n.is_finite() && n >= 0.0 => Ok(Self(n)),
            _ => Err(UnitError::new(text, "a rate such as 20/s")),
        }
    }
}

/// The most requests that may run at once above the steady rate.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Burst(pub f64);

impl fmt::Display for Burst {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Burst {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text.parse::<f64>() {
            Ok(n) if n.is_finite() && n >= 0.0 => Ok(Self(n)),
            _ => Err(UnitError::new(text, "a burst such as 40")),
        }
    }
}
