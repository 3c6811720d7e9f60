//! Sizes, rates and positions in a replicated log.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Error: a text is not a valid quantity.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{given:?} is not {wanted}")]
pub struct UnitError {
    /// Text that was given.
    pub given: Box<str>,
    /// Description of the expected format.
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
            /// Returns the next value.
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
    /// Term of leadership of a database group; each primary has a term of its own.
    Term, "a term (a whole number)"
}
counter! {
    /// Position in the log of a database group, counted in records.
    Position, "a log position (a whole number)"
}
counter! {
    /// Revision of the configuration; never decreases.
    Revision, "a revision (a whole number)"
}
counter! {
    /// Size of a document or of a part of it, in bytes.
    Size, "a size in bytes (a whole number)"
}

/// Term and position of the last log record that a server holds or makes visible.
///
/// Ordered by term first, so that of two servers the one with the greater point holds every
/// write that was acknowledged in the term of the lesser point or before.
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
    /// Creates a point from a term and a position.
    pub fn new(term: u64, position: u64) -> Self {
        Self { term: Term(term), position: Position(position) }
    }

    /// Returns whether a server at point `self` shows every write acknowledged up to
    /// `floor`.
    ///
    /// Both term and position must be reached: an outdated log may extend beyond the
    /// acknowledged one, and a new primary's log starts with all writes acknowledged
    /// before.
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

/// Requests per second.
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

/// Maximum number of requests that may be admitted at once, above the steady rate.
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
