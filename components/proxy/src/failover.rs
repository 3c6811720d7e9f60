//! A failover run by this host, from the intent to the new leader.

mod evidence;
mod promotion;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use bergamottrack_adapter::store::{self, Change, TxOutcome};
use bergamottrack_coordination::{
    HostId, Point, ServerId, Term,
    coverage::Acknowledged,
    duty, evacuation,
    succession::{self, Completeness, Evidence, Next, Order, Process, Standing, Terms},
    suspicion,
    view::{FAILOVER_TTL, Leadership, LeaseRelease, RecordedSet, Versioned, View},
};
use bergamottrack_model::{Role, Status};
use bergamottrack_platform::http::Client;
use futures_util::{StreamExt, stream::FuturesUnordered};
use prometheus_client::metrics::gauge::Gauge;
use tracing::{info, warn};

use self::evidence::evacuated;
use crate::{
    fleet,
    follow::STORE_TIMEOUT,
    group::Group,
    host::Host,
    monitor::{self, StatusError},
    placement,
    pool::Pool,
    probe::Probes,
    release::{self, WaitEnd},
    replica_set,
};

/// Interval between status requests to the former leader while hosts may still hold leases on it.
const RECOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between reads of the store for the releases of hosts that this host cannot reach.
const RELEASE_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Time from the intent after which the newest log is promoted although it is not shown to be complete,
/// in groups whose configuration permits it. With a second each for detection and promotion, a change of
/// leader is over within 7 s.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(4000);

/// Interval between status requests to the successor.
const STATUS_INTERVAL: Duration = Duration::from_millis(40);

/// Time for the successor of a leaving leader to receive all of its log.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1500);

/// A failover that this host runs.
pub struct Failover {
    client: Client,
    /// Leader to replace; `None` if it is unknown.
    from: Option<ServerId>,
    planned: bool,
    /// Version of the intent's row in the store.
    intent: u64,
    /// The group's terms as stored; only the host that wrote the intent changes them.
    terms: Cell<Terms>,
    /// Last record that a replica has confirmed to a host which has released the former leader; `None`
    /// if no host has named one.
    confirmed: Rc<Cell<Option<Point>>>,
    /// What the hosts that have released the former leader have acknowledged.
    acknowledged: Rc<RefCell<BTreeMap<HostId, Acknowledged>>>,
    /// View that contains the intent; empty before it is read.
    view: RefCell<View>,
    /// Servers that may have confirmed a commit, by the group's row.
    recorded: RecordedSet,
    /// Contact with the servers; used if a complete successor is required.
    probes: Rc<Probes>,
    /// Acquisition of the duty whose answer has not arrived; `None` after an answer.
    unanswered_duty: RefCell<Option<duty::Duty>>,
    /// Entries in the metrics while no server is shown to be complete.
    incomplete: RefCell<Vec<Entry>>,
    /// Time of the last choice of a leader; `None` before the first one.
    chosen: Cell<Option<Instant>>,
    /// Last selected step and the servers whose reports were missing, as logged.
    logged: RefCell<Option<(Next, Vec<ServerId>)>>,
    /// Time by which this host must finish; another host may take over some time later.
    deadline: Instant,
    /// Time from which a successor may be promoted without evidence, if the configuration permits it.
    replicas_until: Instant,
}

impl Failover {
    /// Writes the intent to replace `from`; `None` if the group's row is no longer `before`, which
    /// is the case after another host has written an intent.
    pub async fn begin(
        host: &Rc<Host>,
        group: &Rc<Group>,
        before: Option<Versioned<Leadership>>,
        from: Option<ServerId>,
        planned: bool,
    ) -> anyhow::Result<Option<Self>> {
        let client = Client::new(host.settings.store_address);
        let key = fleet::group_key(&group.id);
        let now = host.now();
        let (holder, since) = (host.settings.host.clone(), monitor::store_now(host));
        let term = before.as_ref().map(|row| row.value.term()).unwrap_or_default();
        let recorded = before.as_ref().map(|row| row.value.recorded().clone()).unwrap_or_default();
        let recorded = if replica_set::is_required(host, group) {
            recorded
        } else {
            // A set of before is outdated where servers are not recorded any more.
            replica_set::unrecorded(host, &recorded)
        };
        let moving = Leadership::Moving {
            from: from.clone(),
            holder,
            since,
            planned,
            term,
            recorded: recorded.clone(),
        };
        let change = Change {
            expect: vec![(key.clone(), before.map_or(0, |row| row.version))],
            put: vec![(key, serde_json::to_vec(&moving)?)],
            remove: Vec::new(),
        };
        let verdict = store::change(&client, &change, STORE_TIMEOUT).await;
        let intent = match verdict {
            Ok(TxOutcome::Applied(version)) => Some(version),
            Ok(TxOutcome::Conflict) => None,
            Ok(TxOutcome::Refused) => bail!("store refused to write the intent: no capacity"),
            // The answer was lost: the row shows whether the write was applied.
            Err(error) => {
                let view = fleet::read(&client).await.context(error)?;
                let row = view.groups.get(&group.id);
                row.filter(|row| row.value == moving).map(|row| row.version)
            }
        };
        let deadline = now + FAILOVER_TTL;
        let terms = Cell::new(Terms { known: term, ..Terms::default() });
        let replicas_until = now + REPLICA_TIMEOUT;
        Ok(intent.map(|intent| Self {
            client,
            from,
            planned,
            intent,
            terms,
            confirmed: Rc::default(),
            acknowledged: Rc::default(),
            view: RefCell::default(),
            recorded,
            probes: group.probes(),
            unanswered_duty: RefCell::default(),
            incomplete: RefCell::default(),
            chosen: Cell::default(),
            logged: RefCell::default(),
            deadline,
            replicas_until,
        }))
    }

    /// Runs the failover until the leader is written to the store: a new one, or the former one
    /// if it recovers. Fails if no leader is found before the deadline.
    pub async fn run(self, host: &Rc<Host>, group: &Rc<Group>) -> anyhow::Result<()> {
        let (began, sent_at) = (host.now(), host.now());
        if self.identifies(host, group) {
            self.probes.keep(host, &self.candidates(host, group));
            self.probes.set_urgent(true);
        }
        let view = self.read_view(host).await?;
        self.terms.set(view.terms(&group.id));
        *self.view.borrow_mut() = view.clone();
        let recovered = monoio::select! {
            released = self.wait_released(host, group, view, sent_at) => released.map(|()| None),
            recovered = self.wait_recovery(host, group) => Ok(Some(recovered)),
        };
        if let Some((leader, term)) = recovered? {
            info!(
                group = %group.id, %leader, %term, intent = self.intent,
                "leader: former leader recovered and stays"
            );
            return self.finish(host, group, leader, term).await;
        }
        let released = host.now();
        while host.now() < self.deadline {
            match self.install_leader(host, group).await {
                Ok(Some((leader, term))) => {
                    let chosen = self.chosen.get().unwrap_or(released);
                    let phases = [
                        ("release", began, released),
                        ("choice", released, chosen),
                        ("promotion", chosen, host.now()),
                    ];
                    for (phase, start, end) in phases {
                        host.metrics.record_failover(self.planned, phase, end - start);
                    }
                    let ms = |end: Instant| (end - began).as_millis() as u64;
                    info!(
                        group = %group.id, %leader, %term, intent = self.intent, planned = self.planned,
                        released_ms = ms(released), chosen_ms = ms(chosen), ms = ms(host.now()),
                        "leader: replaced"
                    );
                    return self.finish(host, group, leader, term).await;
                }
                Ok(None) => {}
                Err(error) => {
                    let error = format_args!("{error:#}");
                    info!(group = %group.id, %error, "leader: failover step failed, retrying");
                }
            }
            self.probes.wait_update(monitor::CHECK_INTERVAL).await;
        }
        bail!("failover not finished within its time limit")
    }

    /// Reads a view that contains the intent; retries failed reads until the deadline. Fails on
    /// a view older than the intent.
    async fn read_view(&self, host: &Host) -> anyhow::Result<View> {
        let view = loop {
            match fleet::read(&self.client).await {
                Ok(view) => break view,
                Err(error) if host.now() > self.deadline => return Err(error),
                Err(_) => monoio::time::sleep(monitor::CHECK_INTERVAL).await,
            }
        };
        anyhow::ensure!(
            view.version >= self.intent,
            "store returned a view of a lower version than the intent"
        );
        Ok(view)
    }

    /// Waits until the former leader answers again and still leads, in a term that no promotion
    /// has closed. Never returns in a planned failover or if no former leader is known.
    ///
    /// No other server can lead while hosts may hold leases on the former leader. If the former
    /// leader recovers in that time, keeping it ends the outage without loss of acknowledged
    /// writes.
    async fn wait_recovery(&self, host: &Host, group: &Group) -> (ServerId, Term) {
        loop {
            monoio::time::sleep(RECOVERY_CHECK_INTERVAL).await;
            let Some(from) = self.from.as_ref().filter(|_| !self.planned) else { continue };
            let Some(pool) = host.server(from) else { continue };
            if placement::of(host, &pool) != evacuation::Placement::Allowed {
                continue;
            }
            if let Ok(status) = monitor::status(host, &pool, suspicion::PROBE_TIMEOUT).await
                && status.role == Role::Primary
                && self.terms.get().allow(status.term)
                && Some(status.received) >= self.confirmed(group)
            {
                return (from.clone(), status.term);
            }
        }
    }

    /// Waits until no host uses the former leader any more, because each host has released it or
    /// its lease has expired. `view` contains the intent and was requested at `sent_at`.
    async fn wait_released(
        &self,
        host: &Rc<Host>,
        group: &Group,
        view: View,
        sent_at: Instant,
    ) -> anyhow::Result<()> {
        // Applied first, so that this host's answers to heartbeats contain the intent.
        fleet::apply_view(host, view.clone(), sent_at);
        let now = host.now();
        let settled = host.leased_view.borrow().settled(now);
        let release = LeaseRelease::new(&view, &host.settings.host, settled, now);
        let release = Rc::new(RefCell::new(release));
        let waiting = release.borrow().waiting().to_vec();
        for id in waiting {
            let row = view.groups.get(&group.id).cloned();
            let row = row.context("view does not contain the intent")?;
            monoio::spawn(release::request_release(
                host.clone(),
                id,
                group.id.clone(),
                row,
                release.clone(),
                self.confirmed.clone(),
                self.acknowledged.clone(),
            ));
        }
        let mut last_read = host.now();
        loop {
            let now = host.now();
            let own = group.released.get() >= self.intent;
            let others_released = release.borrow().is_over(now);
            if others_released && (own || now >= release.borrow().deadline) {
                return Ok(());
            }
            if now >= last_read + RELEASE_READ_INTERVAL {
                // Hosts that this host cannot reach publish their releases through the store.
                if let Ok(view) = fleet::read(&self.client).await {
                    let ended = release.borrow_mut().note(&view, self.intent, host.now());
                    for id in ended {
                        release::record_wait_end(host, &group.id, &id, WaitEnd::Stored);
                    }
                }
                last_read = host.now();
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Selects the next leader and promotes it if needed; `None` while no server can lead.
    async fn install_leader(
        &self,
        host: &Rc<Host>,
        group: &Rc<Group>,
    ) -> anyhow::Result<Option<(ServerId, Term)>> {
        let pools = self.candidates(host, group);
        let order = if self.planned { Order::Placement } else { Order::Log };
        let next = self.select_successor(host, group, &pools, order).await;
        let next = match next {
            Next::Promote { ref successor, last: Some(last), .. } => {
                let Some(pool) = host.server(successor) else { return Ok(None) };
                if wait_caught_up(host, &pool, last).await {
                    next
                } else {
                    self.select_successor(host, group, &pools, Order::Stalled).await
                }
            }
            next => next,
        };
        if next != Next::Nobody {
            self.chosen.set(Some(host.now()));
        }
        match next {
            Next::Adopt(leader, term) => Ok(Some((leader, term))),
            Next::Nobody => Ok(None),
            Next::Promote { successor, after, .. } => {
                let Some(pool) = host.server(&successor) else { return Ok(None) };
                self.promote(host, group, &pool, after).await
            }
        }
    }

    /// Returns the servers whose status is requested.
    fn candidates(&self, host: &Host, group: &Group) -> Vec<Rc<Pool>> {
        let mut pools = host.servers(&group.id);
        pools.retain(|pool| !placement::is_forbidden(host, pool));
        pools
    }

    /// Returns whether reports count only from processes that are shown to be the recorded ones.
    fn identifies(&self, host: &Host, group: &Group) -> bool {
        !self.recorded.servers.is_empty() && replica_set::is_required(host, group)
    }

    /// Requests a server's status.
    async fn read_status(
        &self,
        host: &Rc<Host>,
        group: &Group,
        pool: &Rc<Pool>,
    ) -> Result<Status, StatusError> {
        if self.identifies(host, group) {
            self.probes.status(host, pool).await
        } else {
            monitor::free_status(host, pool, suspicion::PROBE_TIMEOUT).await
        }
    }

    /// Requests the status of the servers and selects the next leader.
    ///
    /// In an unplanned failover, the report of the former leader is awaited only if the others show no
    /// complete successor: it would usually cost its timeout.
    async fn select_successor(
        &self,
        host: &Rc<Host>,
        group: &Group,
        pools: &[Rc<Pool>],
        order: Order,
    ) -> Next {
        let is_former =
            |pool: &Pool| !self.planned && Some(&pool.listed.borrow().id) == self.from.as_ref();
        let requests =
            pools.iter().map(async |pool| (pool, self.read_status(host, group, pool).await));
        let mut requests: FuturesUnordered<_> = requests.collect();
        let mut others = pools.iter().filter(|pool| !is_former(pool)).count();
        let mut standings = Vec::new();
        while let Some((pool, status)) = requests.next().await {
            others -= usize::from(!is_former(pool));
            let report = self.reported(pool, status);
            standings.extend(report.map(|report| self.standing(host, pool, report)));
            if others > 0 {
                continue;
            }
            let next = self.next_step(host, group, &standings, order, false);
            if next != Next::Nobody {
                return next;
            }
        }
        self.next_step(host, group, &standings, order, true)
    }

    /// Selects the next step from the reports. `all` if no further report arrives; only then may a
    /// successor be promoted that is not shown to be complete.
    fn next_step(
        &self,
        host: &Host,
        group: &Group,
        standings: &[Standing],
        order: Order,
        all: bool,
    ) -> Next {
        let leaving = self.from.as_ref().filter(|_| self.planned);
        let evidence = self.evidence(host, group, standings, all);
        let next = succession::next(standings, &evidence, leaving, order);
        let missing: Vec<_> = evidence.missing(standings).cloned().collect();
        if next == Next::Nobody && !all {
            return next;
        }
        let incomplete = next == Next::Nobody && evidence.completeness == Completeness::Required;
        let evacuated = if incomplete { evacuated(host, group, &evidence) } else { Vec::new() };
        let metrics = &host.metrics;
        let gauges = [
            incomplete.then_some(&metrics.incomplete_failovers),
            (!evacuated.is_empty()).then_some(&metrics.evacuated_failovers),
        ];
        *self.incomplete.borrow_mut() = gauges.into_iter().flatten().map(Entry::new).collect();
        let unproven = match &next {
            Next::Promote { successor, last: None, .. } => {
                let state = standings.iter().find(|state| state.id == *successor);
                !state.is_some_and(|state| evidence.shows_complete(state, standings))
            }
            _ => false,
        };
        let step = Some((next.clone(), missing.clone()));
        if self.logged.replace(step.clone()) != step {
            let Evidence { terms, confirmed, coverage, completeness, replica_set } = evidence;
            let recorded = replica_set.exhaustive;
            info!(
                group = %group.id, intent = self.intent, ?terms, ?confirmed, ?coverage, ?completeness, recorded,
                ?missing, told = ?standings, ?next, "leader: next step of the failover selected"
            );
            if incomplete {
                warn!(
                    group = %group.id, ?missing, ?evacuated, ?confirmed,
                    "leader: no server is shown to have every acknowledged commit, waiting"
                );
            } else if unproven {
                warn!(
                    group = %group.id, ?missing, ?confirmed,
                    "leader: selected without evidence that it has every acknowledged commit"
                );
            }
        }
        next
    }

    /// Returns the status that counts for the selection of the next leader. That of a busy server is
    /// the position in its answer, a lower bound of what it has received; a busy former leader has
    /// none.
    fn reported(&self, pool: &Pool, status: Result<Status, StatusError>) -> Option<Report> {
        let is_former = || self.from.as_ref() == Some(&pool.listed.borrow().id);
        match status {
            Ok(status) => Some(Report { status, busy: false }),
            Err(StatusError::Busy(Some(received))) if !is_former() => {
                let status = Status { role: Role::Replica, term: received.term, received };
                Some(Report { status, busy: true })
            }
            Err(_) => None,
        }
    }

    /// Combines a server's report with its entry in the list and its placement.
    fn standing(&self, host: &Host, pool: &Pool, Report { status, busy }: Report) -> Standing {
        let listed = pool.listed.borrow();
        let recorded = self.recorded.servers.get(&listed.id);
        let process = match (recorded, self.probes.started(&listed.id)) {
            (Some(recorded), _) if *recorded != listed.started_ms => Process::Restarted,
            (Some(recorded), Some(started)) if *recorded != started => Process::Restarted,
            (Some(_), None) => Process::Unknown,
            _ => Process::Recorded,
        };
        Standing {
            id: listed.id.clone(),
            leads: status.role == Role::Primary,
            leaving: listed.leaving,
            evacuated: placement::of(host, pool) != evacuation::Placement::Allowed,
            served: placement::served(host, pool),
            cold: pool.is_cold(host.now()),
            term: status.term,
            received: status.received,
            busy,
            process,
        }
    }

    /// Writes the leader to the store and notifies all hosts in reach. Retries until the group's
    /// row is no longer this failover's intent, at most until the deadline.
    async fn finish(
        &self,
        host: &Rc<Host>,
        group: &Group,
        leader: ServerId,
        term: Term,
    ) -> anyhow::Result<()> {
        let key = fleet::group_key(&group.id);
        let mut recorded = self.recorded.clone();
        if !recorded.servers.is_empty()
            && let Some(pool) = host.server(&leader)
        {
            recorded.servers.insert(leader.clone(), pool.listed.borrow().started_ms);
        }
        let steady = Leadership::Steady { leader, term, recorded };
        let change = Change {
            expect: vec![(key.clone(), self.intent)],
            put: vec![(key, serde_json::to_vec(&steady)?)],
            remove: Vec::new(),
        };
        loop {
            let verdict = store::change(&self.client, &change, STORE_TIMEOUT).await;
            let sent_at = host.now();
            if let Ok(view) = fleet::read(&self.client).await {
                let row = view.groups.get(&group.id);
                if row.is_none_or(|row| row.version != self.intent) {
                    let row = row.cloned();
                    fleet::apply_view(host, view, sent_at);
                    row.into_iter().for_each(|row| release::notify_hosts(host, &group.id, &row));
                    return Ok(());
                }
            }
            if host.now() > self.deadline {
                bail!("new leader not written to the store: {verdict:?}");
            }
            monoio::time::sleep(monitor::CHECK_INTERVAL).await;
        }
    }
}

impl Drop for Failover {
    fn drop(&mut self) {
        self.probes.set_urgent(false);
    }
}

/// Entry of a failover in a metric; removed on drop.
struct Entry(Gauge);

impl Entry {
    fn new(gauge: &Gauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Answer of a server to a request for its status.
struct Report {
    /// Reported status; that of a busy server contains the position of its answer.
    status: Status,
    /// Whether the server had no capacity to report its status.
    busy: bool,
}

/// Waits until a replica has received the leaving leader's log up to `last`, so that no
/// acknowledged write is lost; returns false if that takes longer than [`CATCH_UP_TIMEOUT`].
///
/// Returns false early if the replica's position stands still: the replica is cut off from the
/// leader, and no caller got a confirmation of the records that it lacks.
async fn wait_caught_up(host: &Host, pool: &Pool, last: Point) -> bool {
    let deadline = host.now() + CATCH_UP_TIMEOUT;
    let mut newest: Option<(Point, Instant)> = None;
    while host.now() < deadline {
        match monitor::status(host, pool, suspicion::PROBE_TIMEOUT).await {
            Ok(status) if status.received >= last => return true,
            Ok(status) if newest.is_none_or(|(point, _)| status.received > point) => {
                newest = Some((status.received, host.now()));
            }
            _ => {}
        }
        if newest.is_some_and(|(_, since)| host.now() - since > suspicion::REPLICA_STALL_TIMEOUT) {
            break;
        }
        monoio::time::sleep(STATUS_INTERVAL).await;
    }
    let server = pool.listed.borrow().id.clone();
    warn!(%server, %last, "leader: successor has not received the leader's whole log");
    false
}
