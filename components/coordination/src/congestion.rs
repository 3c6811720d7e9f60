//! Backoff for statements whose queue is kept at another host.
//!
//! Guards against load of ten to a hundred times the capacity of the servers. The queue for
//! a server is kept at its holder, the host that holds its connections. If every host sent
//! every statement to the holder only to have it refused, the holder's processor would be
//! occupied with refusals, and callers would wait for them. A refusal contains the expected
//! wait, from which a host estimates how long further statements would be refused as well.
//! Many hosts compete for the slots that become free, so the delay doubles with each refusal
//! up to a maximum, and shrinks again as statements are served.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Minimum and maximum time for which statements are refused after one refusal. The maximum
/// keeps a queue of usual length from running empty while all hosts back off.
const BACKOFF_RANGE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(1280));

/// Maximum number of doublings of the delay; the delay also stays within
/// [`BACKOFF_RANGE`].
const MAX_DOUBLINGS: u32 = 8;

/// A queue that refused a statement.
#[derive(Clone, Copy, Debug)]
struct FullQueue {
    /// Time until which statements with at most `queue_timeout` are refused.
    until: Instant,
    /// Longest queue timeout of the refused statements.
    queue_timeout: Duration,
    /// Refusals minus statements served; at least 0.
    streak: u32,
}

/// Recent refusals of the queue for one server, by priority of the refused statement.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    /// Key: priority of the refused statement; 0 is the most urgent.
    full: BTreeMap<u32, FullQueue>,
}

impl Backoff {
    /// Records that the queue refused a statement with `queue_timeout` because it would
    /// have waited for `wait`.
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
        // The refusal of a statement with a longer queue timeout covers more statements.
        let previous = previous
            .filter(|previous| now < previous.until && previous.queue_timeout > queue_timeout);
        let queue_timeout = previous.map_or(queue_timeout, |previous| previous.queue_timeout);
        let full = FullQueue { until: now + delay, queue_timeout, streak: streak + 1 };
        self.full.insert(priority, full);
    }

    /// Records that a statement of this priority was served at `now`.
    pub fn served(&mut self, priority: u32, now: Instant) {
        // Less urgent statements may still be refused.
        for full in self.full.range_mut(..=priority).map(|(_, full)| full) {
            full.until = full.until.min(now);
            full.streak = full.streak.saturating_sub(1);
        }
    }

    /// Returns the time for which a statement would still be refused; `None` if it may be
    /// sent. A refusal also covers statements of less urgent priorities.
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
