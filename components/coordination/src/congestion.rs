//! Whether statements for a server that another host queues for are refused without asking it.
//!
//! The load it answers: ten to a hundred times what the servers can run. The queue for a
//! server stands at the host that holds its connections; every host that asks it for every
//! statement only to be refused spends the holder's processor on refusals, and its callers
//! wait for them. A refusal says how long the queue is, so a host knows until when the next
//! statement would be refused too. Many hosts compete for the room that falls free: each
//! that is refused again in a row waits twice as long, and one that is served starts anew.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The least and the most time for which statements are refused after one refusal. The most
/// keeps a queue of usual length from running empty while all hosts wait.
const BACKOFF_RANGE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(1280));

/// How often the time is doubled at most.
const MAX_DOUBLINGS: u32 = 8;

/// A queue that refused a statement.
#[derive(Clone, Copy, Debug)]
struct FullQueue {
    until: Instant,
    /// How long the refused statement could have waited.
    queue_timeout: Duration,
    /// Refusals less statements served.
    streak: u32,
}

/// What a host knows of the queue for one server, by the priority of statements.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    full: BTreeMap<u32, FullQueue>,
}

impl Backoff {
    /// A statement that could wait for `queue_timeout` was refused: it would have waited for `wait`.
    pub fn refused(
        &mut self,
        priority: u32,
        queue_timeout: Duration,
        wait: Duration,
        now: Instant,
    ) {
        let previous = self.full.get(&priority);
        let streak = previous.map_or(0, |previous| previous.streak);
        let (min, max) = BACKOFF_RANGE;
        let excess = wait.saturating_sub(queue_timeout).max(min);
        let delay = excess.saturating_mul(1 << streak.min(MAX_DOUBLINGS)).min(max);
        // One that could wait longer says more.
        let previous = previous
            .filter(|previous| now < previous.until && previous.queue_timeout > queue_timeout);
        let queue_timeout = previous.map_or(queue_timeout, |previous| previous.queue_timeout);
        let full = FullQueue { until: now + delay, queue_timeout, streak: streak + 1 };
        self.full.insert(priority, full);
    }

    /// A statement of that priority was served at `now`.
    pub fn served(&mut self, priority: u32, now: Instant) {
        // What is less urgent may be refused still.
        for full in self.full.range_mut(..=priority).map(|(_, full)| full) {
            full.until = full.until.min(now);
            full.streak = full.streak.saturating_sub(1);
        }
    }

    /// How long a statement would be refused; none if it may be sent.
    pub fn remaining(
        &self,
        priority: u32,
        queue_timeout: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let covers = |full: &&FullQueue| now < full.until && queue_timeout <= full.queue_timeout;
        let full = self.full.range(..=priority).map(|(_, full)| full).filter(covers);
        full.map(|full| full.until - now).max()
    }
}
