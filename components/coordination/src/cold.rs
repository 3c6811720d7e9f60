//! How many requests a cold backend server may get.
//!
//! The load it answers: a server that has just started is slow for some seconds, and may get
//! only a few requests a second from all hosts together. Normally one host holds a server's
//! connections and could count them, but holders change, two may serve at once while views
//! differ, and a host that restarts has forgotten what it sent. So the limit is divided into
//! parts that hold by themselves: two holders and two standbys together stay within it, and
//! other hosts send nothing.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{connections, units};

/// The window over which requests are counted; longer than the second for which the limit is
/// stated by what a request's way to the server may vary.
pub const WINDOW: Duration = Duration::from_millis(1050);

/// The part of the limit that a holder has. While views differ there may be two.
const HOLDER_PART: f64 = 0.35;

/// The part that a standby has.
const STANDBY_PART: f64 = 0.15;

/// How long after a connection was lost a server may have started again without having said
/// so: three of its reports.
const UNREPORTED_FOR: Duration = Duration::from_millis(3600);

/// The limit for the cold servers of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second, over all hosts.
    pub rate: units::Rate,
    /// How long a server is cold after it started.
    pub lasts: Duration,
}

/// How far all hosts together may go beyond a limit's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// A factor of the rate; at least 1.
    pub overage: f64,
    /// Requests beyond it.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self { overage: 1.0, slack: 0.0 }
    }
}

/// How many requests one host may send within [`WINDOW`].
pub fn part(limit: Limit, tolerance: Tolerance, role: connections::Role) -> usize {
    let all = limit.rate.0 * tolerance.overage + tolerance.slack;
    let part = match role {
        connections::Role::Holder => HOLDER_PART,
        connections::Role::Standby => STANDBY_PART,
        connections::Role::Other => 0.0,
    };
    (all * part) as usize
}

/// What one host knows of a server's warmth, and what it has sent to it while cold.
#[derive(Clone, Debug)]
pub struct WarmUp {
    /// Until when the server is cold, as it reported.
    reported: Option<Instant>,
    /// Until when it may be cold without having reported it.
    suspected: Option<Instant>,
    /// When requests were sent within the window, oldest first.
    sent: VecDeque<Instant>,
    /// Before this an earlier process of the host may have used its part.
    counts_from: Instant,
}

impl WarmUp {
    /// A server that this process knows since `now`.
    pub fn new(now: Instant) -> Self {
        let counts_from = now + WINDOW;
        Self { reported: None, suspected: None, sent: VecDeque::new(), counts_from }
    }

    /// The server reported until when it is cold; `restarted` if in a new run of its process,
    /// which ends any suspicion.
    pub fn report(&mut self, until: Option<Instant>, restarted: bool) {
        self.reported = until;
        if restarted {
            self.suspected = None;
        }
    }

    /// The server's process does not run: it will be cold once it does.
    pub fn refused(&mut self, limit: Option<Limit>, now: Instant) {
        let Some(limit) = limit else { return };
        self.suspect(now + limit.lasts + UNREPORTED_FOR);
    }

    /// A connection to the server broke: its process may have ended.
    pub fn lost(&mut self, limit: Option<Limit>, now: Instant) {
        if limit.is_some() {
            self.suspect(now + UNREPORTED_FOR);
        }
    }

    fn suspect(&mut self, until: Instant) {
        self.suspected = self.suspected.max(Some(until));
    }

    /// Whether the server is cold, or may be.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.reported.max(self.suspected).is_some_and(|until| now < until)
    }

    /// Takes one of `most` requests that may be sent within [`WINDOW`]; otherwise the time
    /// after which one may be.
    pub fn take(&mut self, most: usize, now: Instant) -> Result<(), Duration> {
        while self.sent.front().is_some_and(|sent| now.saturating_duration_since(*sent) >= WINDOW) {
            self.sent.pop_front();
        }
        if now < self.counts_from {
            return Err(self.counts_from - now);
        }
        if self.sent.len() < most {
            self.sent.push_back(now);
            return Ok(());
        }
        // With no part at all, the limit may be over after a window.
        let first = self.sent.get(self.sent.len() - most.min(self.sent.len())).copied();
        Err(first.map_or(WINDOW, |first| (first + WINDOW).saturating_duration_since(now)))
    }
}
