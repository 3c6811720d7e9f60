//! Servers at which a job may run, and the connection on which it does.

use std::{rc::Rc, time::Duration};

use bergamottrack_adapter::wire;
use bergamottrack_coordination::{
    Point, ServerId,
    choice::{self, Candidate},
};
use bergamottrack_model::{Access, Failure, Request, ServerAnswer, Session, Statement, session};
use monoio::time::Instant;
use tracing::{debug, info};

use crate::{
    backend::OpenError,
    group::{Need, Use},
    host::Host,
    job::{Job, Refused},
    pool::{Leased, NoConnection, Permit, Pool},
};

/// How long a statement waits for a connection while all are in use.
const CONNECTION_WITHIN: Duration = Duration::from_millis(400);

/// A server chosen for a job.
pub struct Place {
    /// The server.
    pub pool: Rc<Pool>,
    /// The position that its log must reach.
    pub after: Option<Point>,
    /// The right to use it, where it is the leader.
    pub usage: Option<Use>,
}

/// What is logged of a place that served nothing.
pub struct Chosen {
    server: ServerId,
    after: Option<Point>,
    leads: bool,
}

impl Chosen {
    /// Of a place.
    pub fn of(place: &Place) -> Self {
        let server = place.pool.listed.borrow().id.clone();
        Self { server, after: place.after, leads: place.usage.is_some() }
    }

    /// Logs why nothing was served there.
    pub fn log(&self, job: &Job, why: &str) {
        let after = self.after.as_ref().map(tracing::field::display);
        info!(
            id = %job.id, server = %self.server, leads = self.leads, after, why,
            "statement: not served there"
        );
    }
}

/// A connection on which a job runs.
pub struct Running {
    /// The connection.
    pub leased: Leased,
    /// The right to use the leader, where it is one.
    pub usage: Option<Use>,
    /// The position asked for.
    pub after: Option<Point>,
    /// The right to have a statement under way.
    pub permit: Option<Permit>,
    /// Whether its transaction has written.
    pub wrote: bool,
}

/// The places where a job may run, best first. Empty when there is none now.
pub fn places(host: &Host, job: &Job) -> Vec<Place> {
    let now = host.now();
    let need = match job.access {
        Access::Write => Need::Leader,
        Access::Read => job.group.need(job.currency, job.floor, now),
    };
    let leader = host.begin(&job.group);
    let after = match need {
        Need::Log(point) => Some(point),
        Need::Leader => None,
    };
    let Some(after) = after else {
        let place = leader.and_then(|usage| {
            Some(Place { pool: host.server(&usage.server)?, after: None, usage: Some(usage) })
        });
        return place.into_iter().collect();
    };
    let leads = leader.as_ref().map(|usage| usage.server.clone());
    let servers = host.servers(&job.group.id);
    let health: Vec<_> = servers.iter().map(|pool| pool.health.borrow()).collect();
    let candidates: Vec<_> = servers
        .iter()
        .zip(&health)
        .map(|(pool, health)| {
            let listed = pool.listed.borrow();
            Candidate {
                health,
                near: listed.domain == host.settings.domain,
                warm: pool.is_warm(&job.account),
                leads: leads.as_ref() == Some(&listed.id),
                slots: listed.slots,
                wait: pool.wait(job.priority),
            }
        })
        .collect();
    let order = choice::order(&candidates, Some(after), now);
    drop(candidates);
    drop(health);
    let mut leader = leader;
    let mut places: Vec<Place> = Vec::new();
    for i in order {
        let pool = servers[i].clone();
        let listed = pool.listed.borrow().clone();
        // Leaving servers get no new reads as long as another one is there.
        if listed.leaving && servers.len() > 1 {
            continue;
        }
        let usage = leader.take_if(|usage| usage.server == listed.id);
        let after = if usage.is_some() { None } else { Some(after) };
        places.push(Place { pool, after, usage });
    }
    places
}

/// Takes a connection at the place.
pub async fn connect(
    host: &Host,
    job: &Job,
    session: &Session,
    place: Place,
) -> Result<Running, Refused> {
    let permit = place.pool.enter(job.priority, job.patience, host.now()).await;
    let permit = permit.map_err(|wait| Refused {
        failure: Failure::Busy,
        retry: Some(wait),
        why: "too many statements wait for the server",
    })?;
    let until = job.deadline.min(Instant::now() + CONNECTION_WITHIN);
    let now = host.now();
    match place.pool.lease(&job.account, session, until).await {
        Ok(leased) => {
            if place.usage.as_ref().is_some_and(|usage| !host.holds(usage)) {
                leased.give_back();
                return Err(Refused::busy("the leader changed"));
            }
            let (usage, after) = (place.usage, place.after);
            Ok(Running { leased, usage, after, permit: Some(permit), wrote: false })
        }
        Err(NoConnection::Full) => Err(Refused::busy("all connections to the server are in use")),
        Err(NoConnection::Open(error)) => {
            let server = place.pool.listed.borrow().id.clone();
            debug!(%server, ?error, "connection: not opened");
            let mut health = place.pool.health.borrow_mut();
            match error {
                OpenError::Refused => {
                    health.fail(now);
                    health.fail(now);
                    if place.usage.is_some() {
                        job.group.suspicion.borrow_mut().refused(host.now());
                    }
                    Err(Refused::busy("the server does not run"))
                }
                OpenError::Silent(_) => {
                    health.fail(now);
                    // Not only silence: it may accept connections and close them.
                    if place.usage.is_some() {
                        job.group.suspicion.borrow_mut().silent(now);
                    }
                    Err(Refused::busy("the server does not answer"))
                }
                OpenError::Rejected(Failure::Misdirected) => {
                    health.fail(now);
                    health.fail(now);
                    Err(Refused::busy("another server has the address"))
                }
                OpenError::Rejected(_) => Err(Refused::busy("the server takes no connection")),
            }
        }
    }
}

/// Sends what the connection has to write and reads the answer.
pub async fn exchange(
    host: &Host,
    job: &Job,
    running: &mut Running,
    within: Duration,
) -> Result<ServerAnswer, &'static str> {
    let asked = host.now();
    let pool = running.leased.pool().clone();
    let permit = running.permit.take().unwrap_or_else(|| pool.go_on());
    pool.health.borrow_mut().begin(asked);
    let given_up = async {
        match &running.usage {
            Some(usage) => usage.given_up().await,
            None => std::future::pending().await,
        }
    };
    let exchange = running.leased.backend().exchange();
    // Its answer could not be passed on any more: said now, not when time is up.
    let answer = monoio::select! {
        answer = monoio::time::timeout(within, exchange) => answer,
        _ = given_up => {
            pool.health.borrow_mut().end(None, host.now());
            return Err("the leader changed");
        }
    };
    let now = host.now();
    match answer {
        Ok(Ok(answer)) => {
            let took = now.saturating_duration_since(asked);
            pool.health.borrow_mut().end(Some(took), now);
            permit.took.set(Some(took));
            if let Some(point) = answer.point
                && job.group.leader().is_some_and(|id| id != pool.listed.borrow().id)
            {
                // What a replica shows it has received.
                job.group.receipts.state.borrow_mut().note(point);
            }
            if let Some(usage) = &running.usage
                && host.holds(usage)
            {
                job.group.suspicion.borrow_mut().answered();
                if let Some(point) = answer.point {
                    job.group.ages.borrow_mut().note_point(asked, point);
                }
            }
            Ok(answer)
        }
        Ok(Err(error)) => {
            info!(id = %job.id, error = %format_args!("{error:#}"), "statement: connection lost");
            let mut health = pool.health.borrow_mut();
            health.end(None, now);
            health.fail(now);
            Err("the connection was lost")
        }
        Err(_) => {
            let mut health = pool.health.borrow_mut();
            health.end(None, now);
            health.fail(now);
            drop(health);
            pool.drop_idle();
            Err("the server did not answer in time")
        }
    }
}

/// Puts a statement on the connection, after what brings it to the session.
pub fn put(running: &mut Running, session: &Session, request: &Request, after: Option<Point>) {
    let backend = running.leased.backend();
    let (shape, args) = match &request.statement {
        Statement::Execute { name, args } => (session.prepared.get(name), &**args),
        _ => (None, ""),
    };
    let steps = backend.carried.adopt(&session.values, shape);
    backend.put_steps(&steps);
    match shape {
        Some(shape) => {
            let name = session::shared_name(shape);
            wire::put_execute(&request.id, after, &name, args, &mut backend.out);
        }
        None => wire::put_query(&request.id, after, &request.text, &mut backend.out),
    }
}
