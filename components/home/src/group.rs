//! State of a database group at its home.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_contract::{Group, Policy};
use bergamottrack_coordination::{
    Clock, GroupId, HostId, Point, Reason, Refusal, Term,
    ages::{Observed, PositionHistory},
    leadership::{Status, Verdict},
    retry::RetryBudget,
};
use bergamottrack_metrics::Metrics;
use bergamottrack_peer::Intent;
use tokio::sync::Notify;
use tracing::{info, warn};

use crate::{monitor, outcome::RequestKey, promotion, server::Server};

/// Time after which a refused request may be retried, such as while the group has no primary.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time after which a request may be retried if no majority of the group's servers is reachable
/// or the group is not configured.
pub const LONG_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Home of a database group: the monitored servers, their connections and the running exchanges.
///
/// A group may have two homes at a time. Safety depends on the terms that the servers promise,
/// not on there being a single home.
pub struct GroupHome {
    /// Name of the group.
    pub id: GroupId,
    /// Servers of the group, in the order of the configuration.
    pub servers: Vec<Rc<Server>>,
    /// Notified when the state of a server or of the group's leadership has changed.
    pub changed: Notify,
    /// Whether this home is closed; its running exchanges still continue to their end.
    pub closed: Cell<bool>,
    /// Whether this host ranks first for the group; only such a home promotes servers.
    pub ranks_first: Cell<bool>,
    /// Id of this host.
    pub(crate) host: HostId,
    pub(crate) clock: Rc<dyn Clock>,
    /// Metrics of this host.
    pub(crate) metrics: Rc<Metrics>,
    /// Budget for retries of reads on another server.
    pub(crate) retries: RefCell<RetryBudget>,
    /// History of the primary's positions.
    pub(crate) positions: RefCell<PositionHistory>,
    policy: RefCell<Policy>,
    verdict: Cell<Verdict>,
    /// Whether the primary is handing over; exchanges that need the primary wait for its
    /// successor.
    pub(crate) handing_over: Cell<bool>,
    /// Requests with an id that are running at this home.
    pub(crate) running_requests: RefCell<HashSet<RequestKey>>,
    /// Number of running exchanges.
    active: Cell<usize>,
    /// Time at which an exchange last began or ended.
    last_used: Cell<Instant>,
}

/// Guard that counts an exchange as running until it is dropped.
pub struct ActiveExchange<'a>(&'a GroupHome);

impl Drop for ActiveExchange<'_> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
        self.0.last_used.set(self.0.clock.now());
    }
}

impl GroupHome {
    /// Starts a home, with a monitor of each server and one of the group's leadership.
    pub fn start(
        contract: &Group,
        policy: Policy,
        clock: Rc<dyn Clock>,
        host: HostId,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let servers =
            contract.servers.iter().cloned().map(|s| Rc::new(Server::new(s, clock.clone())));
        let home = Rc::new(Self {
            id: contract.id.clone(),
            servers: servers.collect(),
            changed: Notify::new(),
            closed: Cell::new(false),
            ranks_first: Cell::new(false),
            host,
            metrics,
            retries: RefCell::default(),
            positions: RefCell::default(),
            policy: RefCell::new(policy),
            verdict: Cell::new(Verdict::Suspected),
            handing_over: Cell::new(false),
            running_requests: RefCell::default(),
            active: Cell::new(0),
            last_used: Cell::new(clock.now()),
            clock,
        });
        for server in &home.servers {
            monoio::spawn(monitor::run(home.clone(), server.clone()));
        }
        monoio::spawn(promotion::run(home.clone()));
        home
    }

    /// Applies changes of the configuration that leave the set of servers unchanged.
    ///
    /// A server is leaving if it is marked so in the configuration or in the platform's list.
    pub fn apply_config(
        &self,
        policy: &Policy,
        contract: &Group,
        leaving_servers: &HashSet<Box<str>>,
    ) {
        *self.policy.borrow_mut() = policy.clone();
        for (server, contract) in self.servers.iter().zip(&contract.servers) {
            let leaving = contract.leaving || leaving_servers.contains(contract.id.as_str());
            if server.leaving.replace(leaving) != leaving {
                let part = if leaving { "leaves: no new work" } else { "no longer leaves" };
                info!("home: group {}: {} {part}.", self.id, contract.id);
            }
        }
    }

    /// Registers a running exchange.
    pub fn begin_exchange(&self) -> ActiveExchange<'_> {
        self.active.set(self.active.get() + 1);
        self.last_used.set(self.clock.now());
        ActiveExchange(self)
    }

    /// Returns whether this home is closed and its last exchange has ended.
    pub fn is_finished(&self) -> bool {
        self.closed.get() && self.active.get() == 0
    }

    /// Returns whether no exchange has run at this home for longer than `time`.
    pub fn is_idle(&self, time: Duration) -> bool {
        self.active.get() == 0 && self.clock.now() > self.last_used.get() + time
    }

    /// Records the verdict on the group's leadership.
    pub(crate) fn record_verdict(&self, verdict: Verdict) {
        let before = self.verdict.replace(verdict);
        if before == verdict {
            return;
        }
        if verdict == Verdict::NoMajority {
            warn!(
                "home: group {}: no majority of its servers is reachable; \
                 requests that need the primary are refused.",
                self.id
            );
        } else if before == Verdict::NoMajority {
            info!("home: group {}: a majority of its servers is reachable again.", self.id);
        }
        self.changed.notify_waiters();
    }

    /// Returns the refusal of requests that need the primary, if no majority is reachable.
    pub fn no_majority(&self) -> Option<Refusal> {
        (self.verdict.get() == Verdict::NoMajority).then(|| {
            let message = format!("no majority of the servers of group {} is reachable", self.id);
            Refusal::not_run(Reason::NoMajority, Some(LONG_RETRY_DELAY), message)
        })
    }

    /// Returns the server whose last status, of any age, led the greatest term.
    pub fn last_leader(&self) -> Option<&Rc<Server>> {
        let leads = |s: &&Rc<Server>| s.last_status.get().is_some_and(|status| status.leads());
        self.servers
            .iter()
            .filter(leads)
            .max_by_key(|s| s.last_status.get().map(|status| status.term))
    }

    /// Returns whether a server has promised a term later than `term`, so that writes in `term`
    /// may no longer be confirmed.
    pub fn is_superseded(&self, term: Term) -> bool {
        self.statuses().any(|(_, status)| status.promised > term)
    }

    /// Records the primary's position from the current readings of the servers.
    pub(crate) fn record_position(&self) {
        let observe = |server: &Rc<Server>| {
            server
                .reading
                .get()
                .map(|reading| Observed { status: reading.status, sent: reading.requested_at })
        };
        let Some((primary, _)) = self.primary() else { return };
        let Some(observed) = observe(&primary) else { return };
        let others = self.servers.iter().filter(|s| s.contract.id != primary.contract.id);
        let others: Vec<_> = others.filter_map(observe).collect();
        self.positions.borrow_mut().note(observed, &others);
    }

    /// Returns the time since the last contact after which a server counts as unreachable.
    pub fn silence_timeout(&self) -> Duration {
        Duration::from_millis(self.policy.borrow().silence_ms)
    }

    /// Returns the maximum time for which an open transaction may be idle.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.policy.borrow().idle_ms)
    }

    /// Returns the reachable servers with their last reported statuses.
    pub fn statuses(&self) -> impl Iterator<Item = (&Rc<Server>, Status)> {
        let now = self.clock.now();
        let silence_timeout = self.silence_timeout();
        self.servers.iter().filter_map(move |s| Some((s, s.status(now, silence_timeout)?)))
    }

    /// Returns the server that leads in the greatest term promised by a reachable server.
    pub fn primary(&self) -> Option<(Rc<Server>, Status)> {
        let newest = self.statuses().map(|(_, status)| status.promised).max()?;
        self.statuses()
            .find(|(_, status)| status.leads() && status.term == newest)
            .map(|(server, status)| (server.clone(), status))
    }

    /// Returns whether a server other than the primary holds `point` in the point's own term.
    pub fn is_confirmed(&self, primary: &Server, point: Point) -> bool {
        self.statuses().any(|(server, status)| {
            server.contract.id != primary.contract.id && status.confirms(point)
        })
    }

    /// Waits until the write at `point` is confirmed. Returns false if `deadline` passes first or
    /// a server has promised a later term.
    pub async fn confirm(&self, primary: &Server, point: Point, deadline: Instant) -> bool {
        self.wait_until(deadline, || {
            if self.is_confirmed(primary, point) {
                return Some(true);
            }
            self.is_superseded(point.term).then_some(false)
        })
        .await
        .unwrap_or(false)
    }

    /// Returns this home's own reference to one of its servers.
    ///
    /// Panics if the server is not one of this home.
    pub fn own_server(&self, server: &Server) -> &Server {
        let same = |s: &&Rc<Server>| s.contract.id == server.contract.id;
        self.servers.iter().find(same).expect("server belongs to this home")
    }

    /// Returns whether a server that was selected in `term` can no longer answer an exchange:
    /// for a write because its primary was replaced, for a read because it is unreachable.
    ///
    /// A frozen server closes no connections. Without this check its exchanges would wait until
    /// their deadlines, even long after another server has become the primary.
    pub fn is_unusable(&self, server: &Server, intent: &Intent, term: Term) -> bool {
        match intent {
            Intent::Write => self.is_superseded(term),
            Intent::Read { .. } => {
                server.status(self.clock.now(), self.silence_timeout()).is_none()
            }
        }
    }

    /// Waits until a server can no longer answer an exchange; see [`Self::is_unusable`].
    pub async fn wait_unusable(&self, server: &Server, intent: &Intent, term: Term) {
        loop {
            let changed = self.changed.notified();
            if self.is_unusable(server, intent, term) {
                return;
            }
            changed.await;
        }
    }

    /// Evaluates `check` now and at each change until it returns a value. Returns `None` if
    /// `deadline` passes first.
    pub async fn wait_until<T>(
        &self,
        deadline: Instant,
        check: impl Fn() -> Option<T>,
    ) -> Option<T> {
        loop {
            let changed = self.changed.notified();
            if let Some(found) = check() {
                return Some(found);
            }
            monoio::time::timeout_at(deadline.into(), changed).await.ok()?;
        }
    }
}
