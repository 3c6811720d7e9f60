//! Failure detection for the leader of a group, from the observations of one host.
//!
//! The detection covers, under constant traffic, a leader that crashes (connections are
//! refused), a leader that stops answering, and a leader that only some hosts cannot reach. A
//! missing answer alone proves nothing: a leader that this host cannot reach may serve all other
//! hosts, and its replicas then continue to receive its log.
//!
//! A refused connection proves nothing either, since a network may reject connections to a leader
//! that runs. It suffices all the same: silence between the leader and the holder of its
//! connections replaces the leader as well, only later, and the hosts that are not its holder
//! send it most statements through the holder.

use std::time::{Duration, Instant};

use crate::Point;

/// How long a leader may leave statements unanswered before it is probed: ten times the mean
/// duration of a statement, and longer than stalls of 300 ms.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long after a leader's last answer to its holder the other hosts do not probe it. The
/// holder, which has the connections to the leader, probes first and starts the failover.
pub const HOLDER_GRACE: Duration = Duration::from_millis(1200);

/// Number of hosts that act on a silent leader at the same time.
const BATCH_SIZE: usize = 5;

/// Delay between two batches of hosts, and maximum delay of a batch.
const STAGGER_RANGE: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(600));

/// Returns the delay before the host of the given rank probes a silent leader or starts its
/// failover; zero for the first batch.
///
/// Guards against hundreds of hosts that open connections to all servers of a group at once,
/// or write to the same row of the store.
pub fn stagger_delay(rank: usize) -> Duration {
    let (step, max) = STAGGER_RANGE;
    step.saturating_mul((rank / BATCH_SIZE) as u32).min(max)
}

/// Time allowed for the answer to a probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long the replicas of a silent leader must have received nothing before the leader is
/// replaced. Groups commit every few tens of milliseconds; stalls of 300 ms must not count.
pub const REPLICA_STALL_TIMEOUT: Duration = Duration::from_millis(350);

/// How long a leader must have answered this host neither statements nor probes before it is
/// replaced although its replicas receive its log. Partitions of some hosts last 5 to 7 s; a
/// failover interrupts all hosts for a second.
pub const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long connections must have been refused before the leader is replaced. A server that
/// restarts at once is not replaced.
pub const REFUSAL_TIMEOUT: Duration = Duration::from_millis(60);

/// How long after the start of its leadership a leader that refuses connections is replaced only if
/// its replicas receive nothing either.
///
/// Guards against hosts that each reach another server, because a network rejects connections to the
/// others, and replace each other's choice in turn. Exceeds the time of 3 s in which two hosts may not
/// promote alternately.
pub const NEW_LEADER_DURATION: Duration = Duration::from_millis(3500);

/// Evidence that a leader has failed.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    /// Time until which the leader counts as new; none for the first leader that a host finds.
    new_until: Option<Instant>,
    /// Time of the first refused connection since the last answer; none without a refusal.
    refused: Option<Instant>,
    /// Time since which the leader has answered neither statements nor probes.
    unanswered: Option<Instant>,
    /// Greatest point received by a replica, the time of its first report, and the time of the
    /// last report of any replica.
    received: Option<(Point, Instant, Instant)>,
}

/// Recommended action for a leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Advice {
    /// Keep the leader: there is no sufficient evidence of a failure.
    Keep,
    /// Query the replicas for the last log record that each has received.
    AskReplicas,
    /// Replace the leader.
    Replace,
}

impl Suspicion {
    /// Records that another server has become the leader.
    pub fn start_leadership(&mut self, now: Instant) {
        *self = Self { new_until: Some(now + NEW_LEADER_DURATION), ..Self::default() };
    }

    /// Records an answer of the leader, which clears all evidence.
    pub fn answered(&mut self) {
        *self = Self { new_until: self.new_until, ..Self::default() };
    }

    /// Discards the evidence of silence, which becomes outdated while another host probes the
    /// leader. Refused connections are kept.
    pub fn reset_silence(&mut self) {
        (self.unanswered, self.received) = (None, None);
    }

    /// Records a refused connection.
    pub fn refused(&mut self, now: Instant) {
        self.refused.get_or_insert(now);
    }

    /// Records that a probe was not answered; `since` is the start of the silence. An earlier
    /// start is kept.
    pub fn silent(&mut self, since: Instant) {
        self.unanswered.get_or_insert(since);
    }

    /// Records the last log record that a replica reports as received.
    pub fn received(&mut self, point: Point, now: Instant) {
        self.received = match self.received {
            Some((last, since, _)) if point <= last => Some((last, since, now)),
            _ => Some((point, now, now)),
        };
    }

    /// Returns the recommended action at `now`.
    pub fn advice(&self, now: Instant) -> Advice {
        let has_lasted = |since: Instant, limit| now.saturating_duration_since(since) >= limit;
        let refused = self.refused.filter(|since| has_lasted(*since, REFUSAL_TIMEOUT));
        if refused.is_some() && self.new_until.is_none_or(|until| now >= until) {
            return Advice::Replace;
        }
        let Some(unanswered) = self.unanswered.or(refused) else { return Advice::Keep };
        if has_lasted(unanswered, UNREACHABLE_TIMEOUT) {
            return Advice::Replace;
        }
        match self.received {
            // A single report does not prove that nothing was received after it.
            Some((_, since, last))
                if last.saturating_duration_since(since) >= REPLICA_STALL_TIMEOUT =>
            {
                Advice::Replace
            }
            _ => Advice::AskReplicas,
        }
    }
}
