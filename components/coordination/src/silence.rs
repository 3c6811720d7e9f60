//! Time for which the requests of a host to a server have been pending without any answer.

use std::time::{Duration, Instant};

/// Tracks the pending requests of one host to one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTracker {
    /// Number of pending requests.
    running: usize,
    /// Time of the last answer, or of the first pending request if no answer arrived since;
    /// none while no request is pending.
    since: Option<Instant>,
    /// Time of the last answer; none if the server never answered.
    answered: Option<Instant>,
}

impl AnswerTracker {
    /// Records that a request was sent.
    pub fn begin(&mut self, now: Instant) {
        self.running += 1;
        self.since.get_or_insert(now);
    }

    /// Records the end of a request, with an answer or without one.
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

    /// Number of pending requests: sent and not ended.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Time since the last answer; none if the server never answered.
    pub fn answered(&self, now: Instant) -> Option<Duration> {
        self.answered.map(|at| now.saturating_duration_since(at))
    }

    /// Time for which requests have been pending without any answer; zero while no request is
    /// pending.
    pub fn unanswered_for(&self, now: Instant) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
