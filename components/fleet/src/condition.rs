//! States that are logged when they begin and when they end, not each time they are seen.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// What a look at a state has shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// It has begun.
    Started,
    /// It has ended, after this time.
    Ended(Duration),
    /// It is as it was.
    Unchanged,
}

/// A state that comes and goes, such as an outage.
#[derive(Debug, Default)]
pub struct Condition(Cell<Option<Instant>>);

impl Condition {
    /// Notes whether the state holds.
    pub fn update(&self, holds: bool, now: Instant) -> Transition {
        match (self.0.get(), holds) {
            (None, true) => {
                self.0.set(Some(now));
                Transition::Started
            }
            (Some(began), false) => {
                self.0.set(None);
                Transition::Ended(now.saturating_duration_since(began))
            }
            _ => Transition::Unchanged,
        }
    }
}
