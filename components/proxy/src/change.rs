//! A change of leader that this host makes, from the intent to the new leader.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use bergamottrack_adapter::{
    promotion::{self, Promoted},
    store::{self, Change, Verdict},
};
use bergamottrack_coordination::{
    GroupId, HostId, Point, ServerId, Term,
    duty::{self, CALL_DEADLINE, CALL_TIMEOUT},
    evacuation,
    succession::{self, Next, Order, Standing, Terms},
    suspicion,
    view::{FAILOVER_TTL, Leadership, LeaseRelease, Versioned, View},
};
use bergamottrack_model::{Role, Status};
use bergamottrack_peer::{Answer, Question};
use bergamottrack_platform::http::Client;
use futures_util::future;
use tracing::{info, warn};

use crate::{fleet, follow::STORE_WITHIN, group::Group, host::Host, lead, placement, pool::Pool};

/// How long a promoted server may take to lead before it is asked for again.
const LEADS_WITHIN: Duration = Duration::from_millis(3000);

/// How often an old leader is asked whether it is back, while its leases end.
const BACK_EVERY: Duration = Duration::from_millis(300);

/// How often the store is asked for releases of hosts that cannot be reached.
const NOTED_EVERY: Duration = Duration::from_millis(500);

/// How often a promoted server is asked whether it leads.
const LEADS_EVERY: Duration = Duration::from_millis(40);

/// How long the successor of a leaving leader may take to receive all of its log.
const CAUGHT_UP_WITHIN: Duration = Duration::from_millis(1500);

/// How long another host may take to let its work at the leader end.
const ACT_WITHIN: Duration = Duration::from_millis(1800);

/// How often a host is tried that a link is being made to.
const DIAL_EVERY: Duration = Duration::from_millis(20);

/// A change of leader that this host makes.
pub struct Move {
    client: Client,
    from: Option<ServerId>,
    planned: bool,
    /// Version of the intent.
    intent: u64,
    /// What the store says of the group's terms; only the holder of the intent
    /// changes it.
    terms: Terms,
    /// When this host's turn ends.
    until: Instant,
}

impl Move {
    /// Writes the intent; `None` when another host was first.
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
        let (holder, since) = (host.settings.host.clone(), lead::store_now(host));
        let term = before.as_ref().map(|row| row.value.term()).unwrap_or_default();
        let moving = Leadership::Moving { from: from.clone(), holder, since, planned, term };
        let change = Change {
            expect: vec![(key.clone(), before.map_or(0, |row| row.version))],
            put: vec![(key, serde_json::to_vec(&moving)?)],
            remove: Vec::new(),
        };
        let verdict = store::change(&client, &change, STORE_WITHIN).await;
        let intent = match verdict {
            Ok(Verdict::Applied(version)) => Some(version),
            Ok(Verdict::Conflict) => None,
            Ok(Verdict::Refused) => bail!("the store has no capacity"),
            // The answer is lost; what the store holds tells.
            Err(error) => {
                let view = fleet::read(&client).await.context(error)?;
                let row = view.groups.get(&group.id);
                row.filter(|row| row.value == moving).map(|row| row.version)
            }
        };
        let until = now + FAILOVER_TTL;
        let terms = Terms { known: term, ..Terms::default() };
        Ok(intent.map(|intent| Self { client, from, planned, intent, terms, until }))
    }

    /// Brings the change to its end.
    pub async fn run(mut self, host: &Rc<Host>, group: &Rc<Group>) -> anyhow::Result<()> {
        let (began, asked) = (host.now(), host.now());
        let view = self.read_view(host).await?;
        self.terms = view.terms(&group.id);
        let back = monoio::select! {
            released = self.wait_released(host, group, view, asked) => released.map(|()| None),
            back = self.wait_back(host) => Ok(Some(back)),
        };
        if let Some((leader, term)) = back? {
            info!(group = %group.id, %leader, %term, intent = self.intent, "leader: back before it was replaced");
            return self.finish(host, group, leader, term).await;
        }
        let released = host.now();
        while host.now() < self.until {
            match self.settle(host, group).await {
                Ok(Some((leader, term))) => {
                    let (free, all) = (released - began, host.now() - began);
                    info!(
                        group = %group.id, %leader, %term, intent = self.intent,
                        released_ms = free.as_millis() as u64, ms = all.as_millis() as u64,
                        "leader: replaced"
                    );
                    return self.finish(host, group, leader, term).await;
                }
                Ok(None) => {}
                Err(error) => {
                    let error = format_args!("{error:#}");
                    info!(group = %group.id, %error, "leader: no successor yet");
                }
            }
            monoio::time::sleep(lead::LOOK_EVERY).await;
        }
        bail!("the turn is over")
    }

    /// Reads the view with the intent in it.
    async fn read_view(&self, host: &Host) -> anyhow::Result<View> {
        let view = loop {
            match fleet::read(&self.client).await {
                Ok(view) => break view,
                Err(error) if host.now() > self.until => return Err(error),
                Err(_) => monoio::time::sleep(lead::LOOK_EVERY).await,
            }
        };
        anyhow::ensure!(view.version >= self.intent, "the store went back");
        Ok(view)
    }

    /// Waits until the old leader answers again and still leads, in a term that no
    /// promotion has closed.
    ///
    /// While others may still count on it nobody else can lead; when it is back
    /// first, keeping it ends the gap and loses nothing that was acknowledged.
    async fn wait_back(&self, host: &Host) -> (ServerId, Term) {
        loop {
            monoio::time::sleep(BACK_EVERY).await;
            let Some(from) = self.from.as_ref().filter(|_| !self.planned) else { continue };
            let Some(pool) = host.server(from) else { continue };
            if placement::of(host, &pool) != evacuation::Placement::Allowed {
                continue;
            }
            if let Ok(status) = lead::status(host, &pool, suspicion::PROBE_TIMEOUT).await
                && status.role == Role::Primary
                && self.terms.allow(status.term)
            {
                return (from.clone(), status.term);
            }
        }
    }

    /// Waits until no host counts on the old leader, by a view that was asked for at
    /// `asked` and has the intent in it.
    async fn wait_released(
        &self,
        host: &Rc<Host>,
        group: &Group,
        view: View,
        asked: Instant,
    ) -> anyhow::Result<()> {
        let release = LeaseRelease::new(&view, &host.settings.host, host.now());
        fleet::learn(host, view.clone(), asked);
        let release = Rc::new(RefCell::new(release));
        let others = release.borrow().waiting().to_vec();
        for id in others {
            let row = view.groups.get(&group.id).cloned();
            let row = row.context("the intent is not in the view")?;
            monoio::spawn(ask_release(host.clone(), id, group.id.clone(), row, release.clone()));
        }
        let mut noted = host.now();
        loop {
            let now = host.now();
            let own = group.released.get() >= self.intent;
            let others = release.borrow().is_over(now);
            if others && (own || now >= release.borrow().deadline) {
                return Ok(());
            }
            if now >= noted + NOTED_EVERY {
                // Hosts that this one cannot reach tell it by the store.
                if let Ok(view) = fleet::read(&self.client).await {
                    release.borrow_mut().note(&view, self.intent);
                }
                noted = host.now();
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Finds out who is to lead and sees to it; `None` when nobody can yet.
    async fn settle(
        &self,
        host: &Rc<Host>,
        group: &Rc<Group>,
    ) -> anyhow::Result<Option<(ServerId, Term)>> {
        let mut pools = host.servers(&group.id);
        pools.retain(|pool| !placement::is_forbidden(host, pool));
        // A leader that is not there for the one who replaces it would only cost time.
        pools.retain(|pool| self.planned || Some(&pool.listed.borrow().id) != self.from.as_ref());
        let order = if self.planned { Order::Placement } else { Order::Log };
        let next = self.successor(host, group, &pools, order).await;
        match next {
            Next::Adopt(leader, term) => Ok(Some((leader, term))),
            Next::Nobody => Ok(None),
            Next::Promote { successor, after, last } => {
                let Some(pool) = host.server(&successor) else { return Ok(None) };
                if let Some(last) = last
                    && !wait_caught_up(host, &pool, last).await
                    && let Next::Promote { successor, after, .. } =
                        self.successor(host, group, &pools, Order::Log).await
                    && let Some(pool) = host.server(&successor)
                {
                    return self.promote(host, group, &pool, after).await;
                }
                self.promote(host, group, &pool, after).await
            }
        }
    }

    /// Asks the servers how they stand and works out which one leads next.
    async fn successor(
        &self,
        host: &Host,
        group: &Group,
        pools: &[Rc<Pool>],
        order: Order,
    ) -> Next {
        let asks = pools.iter().map(|pool| lead::status(host, pool, suspicion::PROBE_TIMEOUT));
        let statuses = future::join_all(asks).await;
        let told: Vec<Standing> = pools
            .iter()
            .zip(statuses)
            .filter_map(|(pool, status)| Some(standing(host, pool, status.ok()?)))
            .collect();
        let leaves = self.from.as_ref().filter(|_| self.planned);
        let next = succession::next(&told, self.terms, leaves, order);
        info!(group = %group.id, intent = self.intent, terms = ?self.terms, ?told, ?next, "leader: successor");
        next
    }

    async fn promote(
        &self,
        host: &Host,
        group: &Group,
        pool: &Pool,
        after: Term,
    ) -> anyhow::Result<Option<(ServerId, Term)>> {
        let server = pool.listed.borrow().id.clone();
        let Some((token, by)) = self.take_duty(host, group, after).await? else { return Ok(None) };
        // Guards against a holder that was held up: another may call by now.
        anyhow::ensure!(host.now() < by, "the time for the call is over");
        let duty = promotion::Duty { holder: &host.settings.host, token };
        let (address, id) = (host.settings.promoter_address, &group.id);
        let said = promotion::promote(address, duty, id, &server, CALL_TIMEOUT).await;
        let error = said.as_ref().err().map(tracing::field::display);
        let answer = said.as_ref().ok();
        info!(group = %id, %server, token, ?answer, error, "promotion: asked for");
        let nothing = matches!(said, Ok(Promoted::Refused | Promoted::Unavailable));
        if said.is_ok() {
            // Without an answer the call may still be on its way.
            self.free_duty(host, group, token, nothing).await;
        }
        if nothing {
            return Ok(None);
        }
        let until = host.now() + LEADS_WITHIN;
        while host.now() < until {
            if let Ok(status) = lead::status(host, pool, suspicion::PROBE_TIMEOUT).await
                && status.role == Role::Primary
                && status.term > after
            {
                return Ok(Some((server, status.term)));
            }
            monoio::time::sleep(LEADS_EVERY).await;
        }
        Ok(None)
    }

    /// Takes the duty of calling and closes the terms up to `after`; `None` while
    /// another host has it. Gives the token and the time by which the call must begin.
    ///
    /// Closing them before the call guards against a host that takes the change over
    /// from one that called and died: it would find the old leader, which has not heard
    /// of the promotion, and take it up again.
    async fn take_duty(
        &self,
        host: &Host,
        group: &Group,
        after: Term,
    ) -> anyhow::Result<Option<(u64, Instant)>> {
        let began = host.now();
        let view = fleet::read(&self.client).await?;
        if view.duty.as_ref().is_some_and(|row| !row.value.is_free(view.clock)) {
            return Ok(None);
        }
        let since = view.clock + (host.now() - began);
        let taken = duty::Duty { holder: host.settings.host.clone(), since, free: false };
        let change = Change {
            expect: vec![
                (fleet::DUTY.into(), view.duty.map_or(0, |row| row.version)),
                (fleet::group_key(&group.id), self.intent),
            ],
            put: vec![
                (fleet::DUTY.into(), serde_json::to_vec(&taken)?),
                (fleet::closed_key(&group.id), serde_json::to_vec(&after)?),
            ],
            remove: Vec::new(),
        };
        let verdict = store::change(&self.client, &change, STORE_WITHIN).await?;
        let Verdict::Applied(token) = verdict else { return Ok(None) };
        info!(group = %group.id, token, closed = %after, "duty: taken");
        Ok(Some((token, began + CALL_DEADLINE)))
    }

    /// Gives the duty back; where nothing was done the terms are as open as before.
    async fn free_duty(&self, host: &Host, group: &Group, token: u64, nothing: bool) {
        let holder = host.settings.host.clone();
        let freed = duty::Duty { holder, since: Duration::ZERO, free: true };
        let mut put =
            vec![(fleet::DUTY.into(), serde_json::to_vec(&freed).expect("writing to memory"))];
        if nothing {
            let closed = serde_json::to_vec(&self.terms.closed).expect("writing to memory");
            put.push((fleet::closed_key(&group.id), closed));
        }
        let change = Change { expect: vec![(fleet::DUTY.into(), token)], put, remove: Vec::new() };
        if let Err(error) = store::change(&self.client, &change, STORE_WITHIN).await {
            // It is free by itself after a few seconds.
            info!(token, error = %format_args!("{error:#}"), "duty: not given back");
        }
    }

    /// Writes who leads now and tells all hosts.
    async fn finish(
        &self,
        host: &Rc<Host>,
        group: &Group,
        leader: ServerId,
        term: Term,
    ) -> anyhow::Result<()> {
        let key = fleet::group_key(&group.id);
        let steady = Leadership::Steady { leader, term };
        let change = Change {
            expect: vec![(key.clone(), self.intent)],
            put: vec![(key, serde_json::to_vec(&steady)?)],
            remove: Vec::new(),
        };
        loop {
            let verdict = store::change(&self.client, &change, STORE_WITHIN).await;
            let asked = host.now();
            if let Ok(view) = fleet::read(&self.client).await {
                let row = view.groups.get(&group.id);
                if row.is_none_or(|row| row.version != self.intent) {
                    let row = row.cloned();
                    fleet::learn(host, view, asked);
                    row.into_iter().for_each(|row| tell(host, &group.id, &row));
                    return Ok(());
                }
            }
            if host.now() > self.until {
                bail!("the new leader could not be written down: {verdict:?}");
            }
            monoio::time::sleep(lead::LOOK_EVERY).await;
        }
    }
}

fn standing(host: &Host, pool: &Pool, status: Status) -> Standing {
    let listed = pool.listed.borrow();
    Standing {
        id: listed.id.clone(),
        leads: status.role == Role::Primary,
        leaving: listed.leaving,
        evacuated: placement::of(host, pool) != evacuation::Placement::Allowed,
        served: placement::served(host, pool),
        cold: pool.is_cold(host.now()),
        term: status.term,
        received: status.received,
    }
}

/// Waits until a replica has received the leaving leader's whole log, so that
/// nothing that was acknowledged is lost; false if it has not. One that receives nothing any more is not
/// waited for: it is cut off, and what it lacks was confirmed to nobody.
async fn wait_caught_up(host: &Host, pool: &Pool, last: Point) -> bool {
    let until = host.now() + CAUGHT_UP_WITHIN;
    let mut newest: Option<(Point, Instant)> = None;
    while host.now() < until {
        match lead::status(host, pool, suspicion::PROBE_TIMEOUT).await {
            Ok(status) if status.received >= last => return true,
            Ok(status) if newest.is_none_or(|(point, _)| status.received > point) => {
                newest = Some((status.received, host.now()));
            }
            _ => {}
        }
        if newest.is_some_and(|(_, since)| host.now() - since > suspicion::REPLICA_STALL_TIMEOUT) {
            break;
        }
        monoio::time::sleep(LEADS_EVERY).await;
    }
    let server = pool.listed.borrow().id.clone();
    warn!(%server, %last, "leader: the successor has not received all");
    false
}

/// Tells who leads a group to all hosts that can be reached.
fn tell(host: &Rc<Host>, id: &GroupId, row: &Versioned<Leadership>) {
    let links = host.mesh.links().into_iter().chain(host.mesh.temporary_links());
    for link in links.filter(|link| link.is_up()) {
        let act = Question::ApplyLeadership { group: id.clone(), row: row.clone() };
        monoio::spawn(async move {
            // A host that is not reached hears of it from its hub or the store.
            let _ = link.query(act, ACT_WITHIN).await;
        });
    }
}

/// Has a host give its leases on the old leader back, as long as that is waited for.
async fn ask_release(
    host: Rc<Host>,
    id: HostId,
    group: GroupId,
    row: Versioned<Leadership>,
    release: Rc<RefCell<LeaseRelease>>,
) {
    while !release.borrow().is_over(host.now()) {
        let link = host.reach(&id);
        let was_up = link.as_ref().is_some_and(|link| link.is_up());
        let returned = match link.filter(|_| was_up) {
            Some(link) => {
                let act = Question::ApplyLeadership { group: group.clone(), row: row.clone() };
                let answer = link.query(act, ACT_WITHIN).await;
                matches!(answer, Ok(Answer::LeadershipApplied(version)) if version >= row.version)
            }
            None => lead::is_dead(&host, &id).await,
        };
        if returned {
            release.borrow_mut().returned(&id);
            return;
        }
        monoio::time::sleep(if was_up { lead::LOOK_EVERY } else { DIAL_EVERY }).await;
    }
    if release.borrow().waiting().contains(&id) {
        info!(host = %id, "leader: a host did not give its lease back");
    }
}
