//! Servers at which a job may run, and the connection on which it does.

use std::{
    rc::Rc,
    time::{Duration, Instant as StdInstant},
};

use bergamottrack_adapter::wire;
use bergamottrack_coordination::{
    Point, ServerId,
    choice::{self, Candidate},
    evacuation,
};
use bergamottrack_model::{Access, Request, ServerAnswer, Session, Statement, session};
use bergamottrack_peer::NotSent;
use monoio::time::Instant;
use tracing::info;

use crate::{
    conn::{Broken, Conn, Turn},
    group::{Need, Use},
    host::Host,
    job::{Job, Refused},
    placement,
    pool::Pool,
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
    pub conn: Conn,
    /// The right to use the leader, where it is one.
    pub usage: Option<Use>,
    /// The position asked for.
    pub after: Option<Point>,
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
    let leader = host.begin(&job.group).filter(|usage| leads_for(host, job, usage));
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
    let mut servers = host.servers(&job.group.id);
    servers.retain(|pool| {
        let fits = placement::of(host, pool) == evacuation::Placement::Allowed;
        fits && placement::is_home(host, pool, &job.homes)
    });
    let health: Vec<_> = servers.iter().map(|pool| pool.health.borrow()).collect();
    let candidates: Vec<_> = servers
        .iter()
        .zip(&health)
        .map(|(pool, health)| {
            let listed = pool.listed.borrow();
            Candidate {
                health,
                same_domain: listed.domain == host.settings.domain,
                connected: host.holder(pool).is_some() || pool.is_warm(&job.account),
                leads: leads.as_ref() == Some(&listed.id),
                cold: pool.is_cold(now),
                slots: listed.slots,
                wait: pool.wait(job.priority, job.patience, now),
            }
        })
        .collect();
    let mut order = choice::order(&candidates, Some(after), now);
    // Those that are known to lack the position are no use while another may have it.
    let lacks = |i: &usize| !candidates[*i].leads && candidates[*i].health.lacks(after, now);
    if !order.iter().all(lacks) {
        order.retain(|i| !lacks(i));
    }
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
    // A leader whose failure domain is being evacuated, after all others.
    let last = leader.and_then(|usage| Some((host.server(&usage.server)?, usage)));
    places.extend(last.map(|(pool, usage)| Place { pool, after: None, usage: Some(usage) }));
    places
}

/// How long all places would refuse a job; none if one may have room.
pub fn congested(host: &Host, job: &Job, places: &[Place]) -> Option<Duration> {
    let now = host.now();
    let remaining =
        |place: &Place| place.pool.congestion.borrow().remaining(job.priority, job.patience, now);
    let waits: Option<Vec<_>> = places.iter().map(remaining).collect();
    waits?.into_iter().min()
}

/// Whether the leader may run a job where it stands.
fn leads_for(host: &Host, job: &Job, usage: &Use) -> bool {
    let pool = host.server(&usage.server);
    pool.is_some_and(|pool| {
        !placement::is_forbidden(host, &pool) && placement::is_home(host, &pool, &job.homes)
    })
}

/// Takes a connection at the place.
pub async fn connect(
    host: &Host,
    job: &Job,
    session: &Session,
    place: Place,
) -> Result<Running, Refused> {
    let Place { pool, after, usage } = place;
    let until = job.deadline.min(Instant::now() + CONNECTION_WITHIN);
    let turn = Turn { priority: job.priority, patience: job.patience, until };
    let now = host.now();
    let conn = match placement::carrier(host, &pool, &job.homes).await {
        Some(link) => Conn::far(pool, link, job.account.clone(), turn),
        None => Conn::own(&pool, &job.account, session, turn, now)
            .await
            .map_err(|why| refused(host, job, &pool, usage.is_some(), why, now))?,
    };
    if usage.as_ref().is_some_and(|usage| !host.holds(usage)) {
        return Err(Refused::busy("the leader changed"));
    }
    Ok(Running { conn, usage, after, wrote: false })
}

/// Notes what speaks against a server that did not get a statement sent at `since`, and
/// says so to the caller.
fn refused(
    host: &Host,
    job: &Job,
    pool: &Pool,
    leads: bool,
    why: NotSent,
    since: StdInstant,
) -> Refused {
    let mut health = pool.health.borrow_mut();
    match why {
        NotSent::Crowded(wait_ms) => {
            let wait = Duration::from_millis(wait_ms.into());
            let mut congestion = pool.congestion.borrow_mut();
            congestion.refused(job.priority, job.patience, wait, host.now());
            return Refused::crowded(wait);
        }
        NotSent::Dead => {
            health.fail(since);
            health.fail(since);
            if leads {
                job.group.suspicion.borrow_mut().refused(host.now());
            }
        }
        NotSent::Silent => {
            health.fail(since);
            // Not only silence: it may accept connections and close them.
            if leads {
                job.group.suspicion.borrow_mut().silent(since);
            }
        }
        NotSent::Misdirected => {
            health.fail(since);
            health.fail(since);
        }
        _ => {}
    }
    Refused::busy(match why {
        NotSent::Full => "all connections to the server are in use",
        NotSent::Dead => "the server does not run",
        NotSent::Silent => "the server does not answer",
        NotSent::Misdirected => "another server has the address",
        NotSent::Rejected | NotSent::Crowded(_) => "the server takes no connection",
        NotSent::Unlisted => "the holder of its connections does not know the server",
        NotSent::Closed => "the transaction's connection was closed",
        NotSent::Leaving => "the holder of the server's connections is being stopped",
        NotSent::Unreachable => "the holder of the server's connections is out of reach",
        NotSent::Evacuated => "the server's failure domain is evacuated",
    })
}

/// Why an exchange brought no answer.
pub enum NoAnswer {
    /// Nothing was sent.
    NotSent(Refused),
    /// No whole answer came to what was sent.
    Lost(&'static str),
}

/// Sends what the connection has to write and reads the answer.
pub async fn exchange(
    host: &Host,
    job: &Job,
    running: &mut Running,
    within: Duration,
) -> Result<ServerAnswer, NoAnswer> {
    let asked = host.now();
    let pool = running.conn.pool().clone();
    pool.health.borrow_mut().begin(asked);
    let given_up = async {
        match &running.usage {
            Some(usage) => usage.given_up().await,
            None => std::future::pending().await,
        }
    };
    // Its answer could not be passed on any more: said now, not when time is up.
    let answer = monoio::select! {
        answer = running.conn.exchange(within) => answer,
        _ = given_up => {
            pool.health.borrow_mut().end(None, host.now());
            return Err(NoAnswer::Lost("the leader changed"));
        }
    };
    let now = host.now();
    match answer {
        Ok(answer) => {
            pool.congestion.borrow_mut().served(job.priority, now);
            let took = now.saturating_duration_since(asked);
            pool.health.borrow_mut().end(Some(took), now);
            note(host, job, running, &pool, &answer, asked);
            Ok(answer)
        }
        Err(Broken::NotSent(why)) => {
            pool.health.borrow_mut().end(None, now);
            let leads = running.usage.is_some();
            Err(NoAnswer::NotSent(refused(host, job, &pool, leads, why, asked)))
        }
        Err(broken) => {
            let mut health = pool.health.borrow_mut();
            health.end(None, now);
            health.fail(now);
            Err(NoAnswer::Lost(match broken {
                Broken::Late => "the server did not answer in time",
                _ => "the connection was lost",
            }))
        }
    }
}

/// Notes what an answer shows of the server's log and of who leads.
fn note(
    host: &Host,
    job: &Job,
    running: &Running,
    pool: &Pool,
    answer: &ServerAnswer,
    asked: StdInstant,
) {
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
            job.group.seen.set(Some((asked, point)));
        }
    }
}

/// Puts a statement on the connection, after what brings it to the session.
pub fn put(running: &mut Running, session: &Session, request: &Request, after: Option<Point>) {
    let (shape, args) = match &request.statement {
        Statement::Execute { name, args } => (session.prepared.get(name), &**args),
        _ => (None, ""),
    };
    running.conn.put(session, shape, |out| match shape {
        Some(shape) => {
            let name = session::shared_name(shape);
            wire::put_execute(&request.id, after, &name, args, out);
        }
        None => wire::put_query(&request.id, after, &request.text, out),
    });
}
