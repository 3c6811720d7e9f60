//! Whether the leader of a group is to be replaced, from what one host sees.
//!
//! The load it answers: a leader that dies at once (connections are refused), one
//! that goes silent, and one that is only cut off from some hosts, all under
//! constant traffic. A refusal proves a dead process. Silence proves nothing by
//! itself: a leader that this host cannot reach may serve all others, and its
//! replicas then go on receiving.

use std::time::{Duration, Instant};

use crate::Point;

/// How long a leader with work to do may be silent before it is asked how it
/// stands. Ten times the mean statement, and above stalls of 300 ms.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a leader is left to the host that holds its connections, which asks it first
/// and has it replaced.
pub const HOLDER_GRACE: Duration = Duration::from_millis(1200);

/// Hosts that ask a silent leader at the same time.
const PROBERS: usize = 5;

/// How much later the next hosts ask, and the last ones at most.
const PROBE_LATER: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(600));

/// How much later than the first hosts one asks a silent leader, or has it replaced, that
/// comes `rank`-th among all.
///
/// Guards against hundreds of hosts that each open connections to all servers of a group at
/// once, or write to the same row of the store.
pub fn stagger_delay(rank: usize) -> Duration {
    let (step, most) = PROBE_LATER;
    step.saturating_mul((rank / PROBERS) as u32).min(most)
}

/// How long a leader that does not answer that question either is given.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long the replicas of a silent leader must not receive anything. Groups
/// commit every few tens of milliseconds; stalls of 300 ms must not count.
pub const REPLICA_STALL_TIMEOUT: Duration = Duration::from_millis(350);

/// How long a leader must be out of reach, though its replicas receive, before
/// this host has it replaced. Cuts of some hosts last 5 to 7 s; a replacement
/// costs all hosts a second.
pub const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long refusals must last: a server that starts again at once is not replaced.
pub const REFUSAL_TIMEOUT: Duration = Duration::from_millis(60);

/// What is known against a leader.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    /// Since when connections are refused, without one that was not.
    refused: Option<Instant>,
    /// Since when it has not answered though asked.
    dark: Option<Instant>,
    /// The furthest point a replica received, when it was told first and when last.
    received: Option<(Point, Instant, Instant)>,
}

/// What to do about a leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Advice {
    /// It is well, as far as is known.
    Keep,
    /// Ask its replicas how far they have received.
    AskReplicas,
    /// Have it replaced.
    Replace,
}

impl Suspicion {
    /// The leader answered something.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Another host asks it: what this one knows of its silence grows old meanwhile.
    pub fn reset_silence(&mut self) {
        (self.dark, self.received) = (None, None);
    }

    /// A connection to it was refused.
    pub fn refused(&mut self, now: Instant) {
        self.refused.get_or_insert(now);
    }

    /// It was asked how it stands and did not answer.
    pub fn silent(&mut self, since: Instant) {
        self.dark.get_or_insert(since);
    }

    /// A replica told how far it has received.
    pub fn received(&mut self, point: Point, now: Instant) {
        self.received = match self.received {
            Some((last, since, _)) if point <= last => Some((last, since, now)),
            _ => Some((point, now, now)),
        };
    }

    /// What to do now.
    pub fn advice(&self, now: Instant) -> Advice {
        let for_long = |since: Instant, limit| now.saturating_duration_since(since) >= limit;
        if self.refused.is_some_and(|since| for_long(since, REFUSAL_TIMEOUT)) {
            return Advice::Replace;
        }
        let Some(dark) = self.dark else { return Advice::Keep };
        if for_long(dark, UNREACHABLE_TIMEOUT) {
            return Advice::Replace;
        }
        match self.received {
            // One answer alone does not show that nothing came after it.
            Some((_, since, last))
                if last.saturating_duration_since(since) >= REPLICA_STALL_TIMEOUT =>
            {
                Advice::Replace
            }
            _ => Advice::AskReplicas,
        }
    }
}
