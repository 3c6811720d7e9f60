//! How long a server has owed a host answers without giving any.

use std::time::{Duration, Instant};

/// The answers that a server owes.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTracker {
    /// Requests sent and not answered.
    running: usize,
    /// When the server last answered while something ran there, or when the first of what
    /// runs began; none while nothing runs.
    since: Option<Instant>,
    /// When it last answered.
    answered: Option<Instant>,
}

impl AnswerTracker {
    /// A request is sent.
    pub fn begin(&mut self, now: Instant) {
        self.running += 1;
        self.since.get_or_insert(now);
    }

    /// A request has ended, with an answer or without one.
    pub fn end(&mut self, answered: bool, now: Instant) {
        self.running = self.running.saturating_sub(1);
        if answered {
            self.since = Some(now);
            self.answered = Some(now);
        }
        if self.running == 0 {
            self.since = None;
        }
    }

    /// Requests sent and not answered.
    pub fn running(&self) -> usize {
        self.running
    }

    /// How long ago it last answered; none if it never did.
    pub fn answered(&self, now: Instant) -> Option<Duration> {
        self.answered.map(|at| now.saturating_duration_since(at))
    }

    /// How long it has owed an answer without giving any.
    pub fn lasts(&self, now: Instant) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
