//! Selection of the server that runs an exchange, and the requirement for its answer.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{Point, Reason, Refusal, leadership::Status};
use bergamottrack_peer::Intent;

use crate::{
    group::{GroupHome, RETRY_DELAY},
    server::Server,
};

/// Maximum time for which an exchange waits for a server that can run it. It covers a failover,
/// and is no longer than that, so that the caller gets a refusal while it can still react.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);

/// Requirement for the data that an answer shows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Requirement {
    /// Point that the session requires: the latest one reported to it.
    pub session_point: Option<Point>,
    /// Point of the primary at the maximum age that the caller accepts.
    pub age_point: Option<Point>,
    /// Whether the primary must be proven to have led after the exchange arrived.
    pub current: bool,
}

impl Requirement {
    /// Returns whether data up to `point` meets the requirement.
    pub fn is_met(&self, point: Point) -> bool {
        let covers = |floor: Option<Point>| floor.is_none_or(|floor| point.covers(floor));
        covers(self.session_point) && covers(self.age_point)
    }

    /// Returns whether any point meets the requirement.
    pub fn is_unconstrained(&self) -> bool {
        self.session_point.is_none() && self.age_point.is_none()
    }
}

impl GroupHome {
    /// Selects the server that runs an exchange; waits for one until `deadline`, but at most
    /// `ROUTE_TIMEOUT`.
    pub async fn route(&self, intent: &Intent, deadline: Instant) -> Result<Rc<Server>, Refusal> {
        // A write is refused before it starts if no other server can confirm it.
        let refuse = || self.no_majority().map(Err);
        let select_server = || self.select_server(intent).map(Ok);
        let select = || match intent {
            Intent::Write => refuse().or_else(select_server),
            Intent::Read { .. } => select_server().or_else(refuse),
        };
        let timeout_at = deadline.min(self.clock.now() + ROUTE_TIMEOUT);
        let found = self.wait_until(timeout_at, select).await;
        found.unwrap_or_else(|| {
            let message = format!("group {} has no server for this now", self.id);
            Err(Refusal::not_run(Reason::Unavailable, Some(RETRY_DELAY), message))
        })
    }

    fn select_server(&self, intent: &Intent) -> Option<Rc<Server>> {
        let leads = || self.primary().map(|(server, _)| server);
        let primary = || leads().filter(|_| !self.handing_over.get());
        match intent {
            Intent::Write => primary(),
            Intent::Read { .. } => {
                let is_eligible = |server: &Server, status: &Status| {
                    !status.leads() && !server.leaving.get() && self.satisfies(intent, status)
                };
                let replicas =
                    self.statuses().filter(|(server, status)| is_eligible(server, status));
                // Loads change between two selections; the order of equal loads is irrelevant.
                let least = replicas.map(|(s, _)| s).min_by_key(|s| load(s));
                least.cloned().or_else(|| {
                    primary().filter(|server| {
                        let status = server.status(self.clock.now(), self.silence_timeout());
                        status.is_some_and(|status| self.satisfies(intent, &status))
                    })
                })
            }
        }
    }

    /// Returns whether a server with this status can answer, according to the readings so far.
    fn satisfies(&self, intent: &Intent, status: &Status) -> bool {
        self.requirement(intent, status.leads())
            .is_some_and(|requirement| requirement.is_met(status.applied))
    }

    /// Returns the requirement for an answer of the primary or of a replica; `None` if no answer
    /// of a server in that role can meet the intent.
    pub fn requirement(&self, intent: &Intent, primary: bool) -> Option<Requirement> {
        let Intent::Read { required_position: floor, max_age } = intent else {
            return Some(Requirement::default());
        };
        let Some(max_age) = max_age else {
            // Without a required point only the primary is known to show the newest writes.
            let known = primary || floor.is_some();
            return known
                .then_some(Requirement { session_point: *floor, ..Requirement::default() });
        };
        let age_point = match max_age.is_zero() {
            true => None,
            false => self.positions.borrow().floor(*max_age, self.clock.now()),
        };
        match (age_point, primary) {
            (Some(age_point), _) => Some(Requirement {
                session_point: *floor,
                age_point: Some(age_point),
                current: false,
            }),
            (None, true) => {
                Some(Requirement { session_point: *floor, age_point: None, current: true })
            }
            (None, false) => None,
        }
    }

    /// Waits for proof that `primary` led at `since` or later: its own status, requested no
    /// earlier, and that of another server, which has promised no later term. Returns false if
    /// a later term was promised, or without proof until `deadline` or twice the silence timeout.
    ///
    /// Guards against stale answers of a primary that was frozen or partitioned and replaced.
    /// If a majority had promised a later term before `since`, one of the two servers queried
    /// since then would report it. A server that has not answered within twice the silence
    /// timeout is not expected to; a longer wait would only delay the refusal.
    pub async fn is_current(&self, primary: &Server, since: Instant, deadline: Instant) -> bool {
        self.servers.iter().for_each(|server| server.probe.notify_one());
        let timeout_at = deadline.min(self.clock.now() + 2 * self.silence_timeout());
        self.wait_until(timeout_at, || {
            let reading = primary.reading.get().filter(|reading| reading.requested_at >= since)?;
            let term = reading.status.term;
            if !reading.status.leads() || self.is_superseded(term) {
                return Some(false);
            }
            let others = self.servers.iter().filter(|s| s.contract.id != primary.contract.id);
            let mut others = others.filter_map(|server| server.reading.get());
            let agrees = others.any(|s| s.requested_at >= since && s.status.promised <= term);
            agrees.then_some(true)
        })
        .await
        .unwrap_or(false)
    }
}

/// Returns the number of waiting and running requests of a server.
fn load(server: &Server) -> usize {
    let (waiting, running) = server.load();
    waiting + running
}
