//! A database group as its home sees it.

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

/// When a caller may come back while a group has no primary.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);

/// When a caller may come back while a group lacks a majority of its servers.
pub const LONG_RETRY_DELAY: Duration = Duration::from_secs(1);

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
    /// Set when this home is given up; what runs on it still ends.
    pub closed: Cell<bool>,
    /// Whether this host ranks first for the group: only then it promotes.
    pub ranks_first: Cell<bool>,
    /// This host.
    pub(crate) host: HostId,
    pub(crate) clock: Rc<dyn Clock>,
    /// What this host measures.
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) retries: RefCell<RetryBudget>,
    /// Where the primary stood over time.
    pub(crate) positions: RefCell<PositionHistory>,
    policy: RefCell<Policy>,
    verdict: Cell<Verdict>,
    /// Set while the primary hands over: new work waits for the next one.
    pub(crate) handing_over: Cell<bool>,
    /// Requests with an id that run here.
    pub(crate) running_requests: RefCell<HashSet<RequestKey>>,
    /// Exchanges that run.
    active: Cell<usize>,
    /// When an exchange last began or ended.
    last_used: Cell<Instant>,
}

/// Counts an exchange as running until dropped.
pub struct ActiveExchange<'a>(&'a GroupHome);

impl Drop for ActiveExchange<'_> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
        self.0.last_used.set(self.0.clock.now());
    }
}

impl GroupHome {
    /// Starts a home: a watch on each server and one on the group's leadership.
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

    /// Takes over what may change while the servers stay the same.
    ///
    /// A server is leaving when the operator says so or the platform's list does.
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
                let part = if leaving { "leaves: no new work" } else { "is back" };
                info!("home: group {}: {} {part}.", self.id, contract.id);
            }
        }
    }

    /// Counts an exchange as running.
    pub fn begin_exchange(&self) -> ActiveExchange<'_> {
        self.active.set(self.active.get() + 1);
        self.last_used.set(self.clock.now());
        ActiveExchange(self)
    }

    /// Whether this home is given up and nothing runs on it any more.
    pub fn is_finished(&self) -> bool {
        self.closed.get() && self.active.get() == 0
    }

    /// Whether nothing has run on this home for `time`.
    pub fn is_idle(&self, time: Duration) -> bool {
        self.active.get() == 0 && self.clock.now() > self.last_used.get() + time
    }

    /// Notes how the group's leadership stands.
    pub(crate) fn record_verdict(&self, verdict: Verdict) {
        let before = self.verdict.replace(verdict);
        if before == verdict {
            return;
        }
        if verdict == Verdict::NoMajority {
            warn!(
                "home: group {}: no majority of its servers is reachable; \
                 what needs the primary is refused.",
                self.id
            );
        } else if before == Verdict::NoMajority {
            info!("home: group {}: a majority of its servers is reachable again.", self.id);
        }
        self.changed.notify_waiters();
    }

    /// The refusal that all get at once who need a primary while there can be none.
    pub fn no_majority(&self) -> Option<Refusal> {
        (self.verdict.get() == Verdict::NoMajority).then(|| {
            let message = format!("no majority of the servers of group {} is reachable", self.id);
            Refusal::not_run(Reason::NoMajority, Some(LONG_RETRY_DELAY), message)
        })
    }

    /// The server that led the greatest term when last heard of.
    pub fn last_leader(&self) -> Option<&Rc<Server>> {
        let leads = |s: &&Rc<Server>| s.last_status.get().is_some_and(|status| status.leads());
        self.servers
            .iter()
            .filter(leads)
            .max_by_key(|s| s.last_status.get().map(|status| status.term))
    }

    /// Whether a server has promised a later term: what runs in `term` can no
    /// longer be confirmed.
    pub fn is_superseded(&self, term: Term) -> bool {
        self.statuses().any(|(_, status)| status.promised > term)
    }

    /// Notes where the primary stands, from what the servers last said.
    pub(crate) fn record_position(&self) {
        let seen = |server: &Rc<Server>| {
            server
                .reading
                .get()
                .map(|seen| Observed { status: seen.status, sent: seen.requested_at })
        };
        let Some((primary, _)) = self.primary() else { return };
        let Some(observed) = seen(&primary) else { return };
        let others = self.servers.iter().filter(|s| s.contract.id != primary.contract.id);
        let others: Vec<_> = others.filter_map(seen).collect();
        self.positions.borrow_mut().note(observed, &others);
    }

    /// How long a silent server counts as there.
    pub fn silence_timeout(&self) -> Duration {
        Duration::from_millis(self.policy.borrow().silence_ms)
    }

    /// The longest a transaction may stand idle.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.policy.borrow().idle_ms)
    }

    /// The servers that answer, and what they last said.
    pub fn statuses(&self) -> impl Iterator<Item = (&Rc<Server>, Status)> {
        let now = self.clock.now();
        let silence_timeout = self.silence_timeout();
        self.servers.iter().filter_map(move |s| Some((s, s.status(now, silence_timeout)?)))
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
        self.wait_until(deadline, || {
            if self.is_confirmed(primary, point) {
                return Some(true);
            }
            self.is_superseded(point.term).then_some(false)
        })
        .await
        .unwrap_or(false)
    }

    /// This home's own reference to one of its servers.
    pub fn own_server(&self, server: &Server) -> &Server {
        let same = |s: &&Rc<Server>| s.contract.id == server.contract.id;
        self.servers.iter().find(same).expect("a server that this home chose")
    }

    /// Whether a server, chosen in `term`, can no longer answer an exchange:
    /// a primary was replaced, or a reader's server is lost.
    ///
    /// A frozen server closes nothing: without this what waits on it would
    /// wait until its deadline, also long after another one leads.
    pub fn is_unusable(&self, server: &Server, intent: &Intent, term: Term) -> bool {
        match intent {
            Intent::Write => self.is_superseded(term),
            Intent::Read { .. } => {
                server.status(self.clock.now(), self.silence_timeout()).is_none()
            }
        }
    }

    /// Waits until a server is unfit for an exchange.
    pub async fn wait_unusable(&self, server: &Server, intent: &Intent, term: Term) {
        loop {
            let changed = self.changed.notified();
            if self.is_unusable(server, intent, term) {
                return;
            }
            changed.await;
        }
    }

    /// Looks again at each change until `look` gives something or `deadline` passes.
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
