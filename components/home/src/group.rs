//! A database group as its home sees it.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_contract::{Group, Policy};
use bergamottrack_coordination::{Clock, GroupId, Point, leadership::Status};
use tokio::sync::Notify;

use crate::{server::Server, watch};

/// When a caller may come back while a group has no primary.
pub const COME_BACK: Duration = Duration::from_millis(200);

/// A database group as its home sees it.
///
/// Two homes of one group at once are harmless: what they do is checked by the
/// servers' terms, never by there being one home.
pub struct GroupHome {
    /// Its name.
    pub id: GroupId,
    /// Its servers, in the operator's order.
    pub servers: Vec<Rc<Server>>,
    /// Woken whenever something is seen of a server.
    pub changed: Notify,
    /// Set when this home is given up.
    pub closed: Cell<bool>,
    pub(crate) clock: Rc<dyn Clock>,
    policy: Policy,
}

impl GroupHome {
    /// Starts a home: a watch on each server.
    pub fn start(contract: &Group, policy: Policy, clock: Rc<dyn Clock>) -> Rc<Self> {
        let servers = contract.servers.iter().cloned().map(|s| Rc::new(Server::new(s)));
        let home = Rc::new(Self {
            id: contract.id.clone(),
            servers: servers.collect(),
            changed: Notify::new(),
            closed: Cell::new(false),
            clock,
            policy,
        });
        for server in &home.servers {
            monoio::spawn(watch::watch(home.clone(), server.clone()));
        }
        home
    }

    /// How long a silent server counts as there.
    pub fn silence(&self) -> Duration {
        Duration::from_millis(self.policy.silence_ms)
    }

    /// The longest a transaction may stand idle.
    pub fn idle(&self) -> Duration {
        Duration::from_millis(self.policy.idle_ms)
    }

    /// The servers that answer, and what they last said.
    pub fn statuses(&self) -> impl Iterator<Item = (&Rc<Server>, Status)> {
        let now = self.clock.now();
        let silence = self.silence();
        self.servers.iter().filter_map(move |s| Some((s, s.status(now, silence)?)))
    }

    /// The server that leads in the greatest term seen.
    pub fn primary(&self) -> Option<(Rc<Server>, Status)> {
        let newest = self.statuses().map(|(_, status)| status.promised).max()?;
        self.statuses()
            .find(|(_, status)| status.leads() && status.term == newest)
            .map(|(server, status)| (server.clone(), status))
    }

    /// Whether a server other than the primary holds `point` in its term.
    pub fn is_confirmed(&self, primary: &Server, point: Point) -> bool {
        self.statuses().any(|(server, status)| {
            server.contract.id != primary.contract.id && status.confirms(point)
        })
    }

    /// Waits until a write is confirmed; false when `deadline` passed first or
    /// the term is over.
    pub async fn confirm(&self, primary: &Server, point: Point, deadline: Instant) -> bool {
        self.until(deadline, || {
            if self.is_confirmed(primary, point) {
                return Some(true);
            }
            let over = self.statuses().any(|(_, status)| status.promised > point.term);
            over.then_some(false)
        })
        .await
        .unwrap_or(false)
    }

    /// Looks again at each change until `look` gives something or `deadline` passes.
    pub async fn until<T>(&self, deadline: Instant, look: impl Fn() -> Option<T>) -> Option<T> {
        loop {
            let changed = self.changed.notified();
            if let Some(found) = look() {
                return Some(found);
            }
            monoio::time::timeout_at(deadline.into(), changed).await.ok()?;
        }
    }
}
