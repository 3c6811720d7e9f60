//! Rate limit for cold backend servers.
//!
//! A server that has just started is slow for some seconds, and may get only a few requests a
//! second from all hosts together. Normally a server has one holder, which could count its
//! requests. But holders change, two holders may send at once while views differ, and a host
//! that restarts has lost its count. The limit is therefore divided into shares that are
//! enforced separately: two holders and two standbys together stay within it, and other hosts
//! send nothing.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{connections, units};

/// Window over which requests are counted. The limit is stated per second; the additional 50 ms
/// are for the variation of the time that a request takes to reach the server.
pub const WINDOW: Duration = Duration::from_millis(1050);

/// Holder's share of the limit. There may be two holders while views differ.
const HOLDER_SHARE: f64 = 0.35;

/// Standby's share of the limit.
const STANDBY_SHARE: f64 = 0.15;

/// How long after the loss of a connection a server may be running again before its report of
/// the restart arrives: three report intervals.
const REPORT_TIMEOUT: Duration = Duration::from_millis(3600);

/// Rate limit for the cold servers of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second, over all hosts.
    pub rate: units::Rate,
    /// Time after its start for which a server is cold.
    pub duration: Duration,
}

/// Tolerance by which all hosts together may exceed the rate of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Factor on the rate; at least 1.
    pub overage: f64,
    /// Additional requests within [`WINDOW`], over all hosts.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self { overage: 1.0, slack: 0.0 }
    }
}

/// Returns the maximum number of requests that one host may send within [`WINDOW`].
pub fn max_requests(limit: Limit, tolerance: Tolerance, role: connections::Role) -> usize {
    let all = limit.rate.0 * tolerance.overage + tolerance.slack;
    let share = match role {
        connections::Role::Holder => HOLDER_SHARE,
        connections::Role::Standby => STANDBY_SHARE,
        connections::Role::Other => 0.0,
    };
    (all * share) as usize
}

/// Cold state of a server as observed by one host, and the host's recent requests to the server.
#[derive(Clone, Debug)]
pub struct WarmUp {
    /// End of the cold period that the server reported; none if it reported no cold period.
    reported: Option<Instant>,
    /// End of the time for which the server may be cold without having reported it.
    suspected: Option<Instant>,
    /// Times of the host's requests within [`WINDOW`], oldest first.
    sent: VecDeque<Instant>,
    /// Time before which no request is sent, since an earlier process of the host may have used
    /// the host's share.
    active_from: Instant,
}

impl WarmUp {
    /// Starts tracking a server at `now`.
    pub fn new(now: Instant) -> Self {
        let active_from = now + WINDOW;
        Self { reported: None, suspected: None, sent: VecDeque::new(), active_from }
    }

    /// Records the end of the cold period that the server reported; none if the server is not
    /// cold. `restarted` is whether the report comes from a new process of the server, which
    /// clears the suspicion of an unreported restart.
    pub fn report(&mut self, until: Option<Instant>, restarted: bool) {
        self.reported = until;
        if restarted {
            self.suspected = None;
        }
    }

    /// Records that the server refused a connection: its process may have ended and will then be cold
    /// after its start. No effect without a limit.
    pub fn refused(&mut self, limit: Option<Limit>, now: Instant) {
        let Some(limit) = limit else { return };
        self.suspect(now + limit.duration + REPORT_TIMEOUT);
    }

    /// Records that a connection to the server was lost: its process may have ended. No effect
    /// without a limit.
    pub fn lost(&mut self, limit: Option<Limit>, now: Instant) {
        if limit.is_some() {
            self.suspect(now + REPORT_TIMEOUT);
        }
    }

    fn suspect(&mut self, until: Instant) {
        self.suspected = self.suspected.max(Some(until));
    }

    /// Returns whether the server is or may be cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.reported.max(self.suspected).is_some_and(|until| now < until)
    }

    /// Takes one of the `limit` requests that may be sent within [`WINDOW`]. If all are taken, or
    /// within [`WINDOW`] after the start, returns the delay after which to try again.
    pub fn take(&mut self, limit: usize, now: Instant) -> Result<(), Duration> {
        while self.sent.front().is_some_and(|sent| now.saturating_duration_since(*sent) >= WINDOW) {
            self.sent.pop_front();
        }
        if now < self.active_from {
            return Err(self.active_from - now);
        }
        if self.sent.len() < limit {
            self.sent.push_back(now);
            return Ok(());
        }
        // A host without a share tries again after a window: the server may be warm by then.
        let first = self.sent.get(self.sent.len() - limit.min(self.sent.len())).copied();
        Err(first.map_or(WINDOW, |first| (first + WINDOW).saturating_duration_since(now)))
    }
}
