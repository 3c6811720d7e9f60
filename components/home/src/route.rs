//! Which server runs an exchange, and what its answer must show.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{Point, Reason, Refusal, leadership::Status};
use bergamottrack_peer::Intent;

use crate::{
    group::{COME_BACK, GroupHome},
    server::Server,
};

/// How long an exchange waits for a server that can run it: longer than a
/// failover takes, and no longer, so that a caller is told while it can still act.
const WAIT_FOR_SERVER: Duration = Duration::from_secs(3);

/// What the answer of a server must show.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Need {
    /// What the session has been told of.
    pub floor: Option<Point>,
    /// Where the primary stood as long ago as the caller accepts.
    pub aged: Option<Point>,
    /// Whether the primary must be seen to lead after the exchange came.
    pub current: bool,
}

impl Need {
    /// Whether an answer that shows `point` shows enough.
    pub fn is_met(&self, point: Point) -> bool {
        let covers = |floor: Option<Point>| floor.is_none_or(|floor| point.covers(floor));
        covers(self.floor) && covers(self.aged)
    }

    /// Whether any point would do.
    pub fn is_open(&self) -> bool {
        self.floor.is_none() && self.aged.is_none()
    }
}

impl GroupHome {
    /// Chooses the server that runs an exchange; waits a while for one.
    pub async fn route(&self, intent: &Intent, deadline: Instant) -> Result<Rc<Server>, Refusal> {
        // A write that no other server can confirm is not even begun.
        let refuse = || self.no_majority().map(Err);
        let choose = || self.choose(intent).map(Ok);
        let look = || match intent {
            Intent::Write => refuse().or_else(choose),
            Intent::Read { .. } => choose().or_else(refuse),
        };
        let until = deadline.min(self.clock.now() + WAIT_FOR_SERVER);
        let found = self.until(until, look).await;
        found.unwrap_or_else(|| {
            let message = format!("group {} has no server for this now", self.id);
            Err(Refusal::not_run(Reason::Unavailable, Some(COME_BACK), message))
        })
    }

    fn choose(&self, intent: &Intent) -> Option<Rc<Server>> {
        let leads = || self.primary().map(|(server, _)| server);
        let primary = || leads().filter(|_| !self.handing.get());
        match intent {
            Intent::Write => primary(),
            Intent::Read { .. } => {
                let fit = |server: &Server, status: &Status| {
                    !status.leads() && !server.leaving.get() && self.shows(intent, status)
                };
                let replicas = self.statuses().filter(|(server, status)| fit(server, status));
                // Loads change between two looks; the order of equals does not matter.
                let least = replicas.map(|(s, _)| s).min_by_key(|s| load(s));
                least.cloned().or_else(|| {
                    primary().filter(|server| {
                        let status = server.status(self.clock.now(), self.silence());
                        status.is_some_and(|status| self.shows(intent, &status))
                    })
                })
            }
        }
    }

    /// Whether a server with this status may answer, as far as is known.
    fn shows(&self, intent: &Intent, status: &Status) -> bool {
        self.need(intent, status.leads()).is_some_and(|need| need.is_met(status.applied))
    }

    /// What the answer of the primary, or of a replica, must show; `None` when
    /// no answer of such a server can show it.
    pub fn need(&self, intent: &Intent, primary: bool) -> Option<Need> {
        let Intent::Read { required_position: floor, max_age } = intent else {
            return Some(Need::default());
        };
        let Some(max_age) = max_age else {
            // A session that has been told nothing reads where writes are.
            let known = primary || floor.is_some();
            return known.then_some(Need { floor: *floor, ..Need::default() });
        };
        let aged = match max_age.is_zero() {
            true => None,
            false => self.ages.borrow().floor(*max_age, self.clock.now()),
        };
        match (aged, primary) {
            (Some(aged), _) => Some(Need { floor: *floor, aged: Some(aged), current: false }),
            (None, true) => Some(Need { floor: *floor, aged: None, current: true }),
            (None, false) => None,
        }
    }

    /// Waits until a primary that was read at or after `since` is seen to have
    /// led then: it says so itself, and another server had promised no later term.
    ///
    /// Guards against a primary that was frozen or cut off and replaced: it
    /// would answer from the past. Had a later term been promised by a majority
    /// before `since`, one of the two servers asked since would say so. A server
    /// that lets twice the silence pass will not say it: waiting for it up to the
    /// deadline would only hold the refusal back.
    pub async fn is_current(&self, primary: &Server, since: Instant, deadline: Instant) -> bool {
        self.servers.iter().for_each(|server| server.probe.notify_one());
        let until = deadline.min(self.clock.now() + 2 * self.silence());
        self.until(until, || {
            let seen = primary.seen.get().filter(|seen| seen.asked >= since)?;
            let term = seen.status.term;
            if !seen.status.leads() || self.is_past(term) {
                return Some(false);
            }
            let others = self.servers.iter().filter(|s| s.contract.id != primary.contract.id);
            let mut others = others.filter_map(|server| server.seen.get());
            let agrees = others.any(|s| s.asked >= since && s.status.promised <= term);
            agrees.then_some(true)
        })
        .await
        .unwrap_or(false)
    }
}

fn load(server: &Server) -> usize {
    let (waiting, running) = server.load();
    waiting + running
}
