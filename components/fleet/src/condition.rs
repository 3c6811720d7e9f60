//! Conditions that are logged when they start and end, not on each check.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Change of a condition since the previous check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// The condition started.
    Started,
    /// The condition ended after this duration.
    Ended(Duration),
    /// The condition did not change.
    Unchanged,
}

/// A condition that starts and ends repeatedly, such as an outage; contains the start time while
/// it holds.
#[derive(Debug, Default)]
pub struct Condition(Cell<Option<Instant>>);

impl Condition {
    /// Records whether the condition holds at `now` and returns the change.
    pub fn update(&self, holds: bool, now: Instant) -> Transition {
        match (self.0.get(), holds) {
            (None, true) => {
                self.0.set(Some(now));
                Transition::Started
            }
            (Some(started), false) => {
                self.0.set(None);
                Transition::Ended(now.saturating_duration_since(started))
            }
            _ => Transition::Unchanged,
        }
    }
}
