//! States that are logged when they begin and when they end, not each time they are seen.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// What a look at a state has shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Seen {
    /// It has begun.
    Began,
    /// It has ended, after this time.
    Ended(Duration),
    /// It is as it was.
    Same,
}

/// A state that comes and goes, such as an outage.
#[derive(Debug, Default)]
pub struct Spell(Cell<Option<Instant>>);

impl Spell {
    /// Notes whether the state holds.
    pub fn note(&self, holds: bool, now: Instant) -> Seen {
        match (self.0.get(), holds) {
            (None, true) => {
                self.0.set(Some(now));
                Seen::Began
            }
            (Some(began), false) => {
                self.0.set(None);
                Seen::Ended(now.saturating_duration_since(began))
            }
            _ => Seen::Same,
        }
    }
}
