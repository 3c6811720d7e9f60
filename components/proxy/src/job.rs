//! Finding a server for a statement or transaction, and running it there.

use std::{rc::Rc, time::Duration};

use bergamottrack_adapter::wire;
use bergamottrack_coordination::{
    AccountId, Fate, Point, ServerId,
    choice::{self, Candidate},
};
use bergamottrack_model::{
    Access, Currency, Failure, Request, ServerAnswer, Session, State, Statement, session,
    statement::Shape,
};
use monoio::time::Instant;
use tracing::{debug, info};

use crate::{
    backend::OpenError,
    group::{Group, Need, Use},
    host::Host,
    pool::{Leased, NoConnection, Permit, Pool},
};

/// How long a statement waits for a leader while there is none. A change of
/// leader that all hosts take part in is over within this; callers that are sent
/// away come back to the same gap.
const LEADER_WITHIN: Duration = Duration::from_millis(900);

/// How long a change of leader must last before statements that come are refused
/// at once: it is one of those that wait for a silent host.
const HOPELESS_AFTER: Duration = Duration::from_millis(2500);

/// How long a statement waits for a connection while all are in use.
const CONNECTION_WITHIN: Duration = Duration::from_millis(400);

/// How long a read waits for a server's answer while other servers could answer.
/// Above the longest usual answer, so that slow reads do not run twice.
const TRY_WITHIN: Duration = Duration::from_millis(700);

/// How long a connection may take to be rolled back before it is closed.
const ROLL_BACK_WITHIN: Duration = Duration::from_millis(500);

/// How long after a refusal by the leader it is tried again, unless another one
/// comes first.
const AGAIN_AFTER: Duration = Duration::from_millis(150);

/// Servers that a read tries at most.
const MOST_TRIES: usize = 4;

/// When callers are told to come back, where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// What a statement or transaction needs, and for whom it runs.
#[derive(Clone)]
pub struct Job {
    /// The caller's id of its first statement.
    pub id: Box<str>,
    /// The account that it runs for.
    pub account: AccountId,
    /// The group that holds the database.
    pub group: Rc<Group>,
    /// What its reads must show.
    pub currency: Currency,
    /// What it may do.
    pub access: Access,
    /// How far the session has written in the group.
    pub floor: Option<Point>,
    /// When it must be done.
    pub deadline: Instant,
    /// Who goes first where not all can be served; 0 is the most urgent.
    pub priority: u32,
    /// How long it may wait for its turn at a server.
    pub patience: Duration,
}

/// Why a statement has no answer of a server.
#[derive(Clone, Debug)]
pub struct Refused {
    /// What the caller is told.
    pub failure: Failure,
    /// When to come back.
    pub retry: Option<Duration>,
    /// What decided it.
    pub why: &'static str,
}

impl Refused {
    /// Nothing has run, and the caller may come back.
    pub fn busy(why: &'static str) -> Self {
        Self { failure: Failure::Busy, retry: Some(RETRY_AFTER), why }
    }

    /// Of that kind; coming back at once is no use or no harm.
    pub fn of(failure: Failure, why: &'static str) -> Self {
        Self { failure, retry: None, why }
    }

    /// The text for the caller.
    pub fn text(&self) -> String {
        let fate = match self.failure.fate() {
            Fate::NotRun => Fate::NotRun,
            _ => Fate::Unknown,
        };
        wire::refusal_text(fate, self.retry, self.why)
    }
}

/// A server chosen for a job.
struct Place {
    pool: Rc<Pool>,
    /// The position that its log must reach.
    after: Option<Point>,
    /// The right to use it, where it is the leader.
    usage: Option<Use>,
}

/// What is logged of a place that served nothing.
struct Chosen {
    server: ServerId,
    after: Option<Point>,
    leads: bool,
}

impl Chosen {
    fn of(place: &Place) -> Self {
        let server = place.pool.listed.borrow().id.clone();
        Self { server, after: place.after, leads: place.usage.is_some() }
    }

    fn log(&self, job: &Job, why: &str) {
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
    permit: Option<Permit>,
}

/// How a statement ended at a server.
enum Tried {
    Answered(ServerAnswer),
    /// Nothing was kept; another server may be asked.
    Elsewhere(Refused),
    /// No whole answer came to a statement that was sent.
    Lost(&'static str),
}

/// The places where a job may run, best first. Empty when there is none now.
fn places(host: &Host, job: &Job) -> Vec<Place> {
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

/// Waits until a job has a place.
async fn find(host: &Host, job: &Job) -> Result<Vec<Place>, Refused> {
    let until = job.deadline.min(Instant::now() + LEADER_WITHIN);
    loop {
        let places = places(host, job);
        if !places.is_empty() {
            return Ok(places);
        }
        if !host.leased() {
            return Err(Refused::busy("this host cannot show who leads"));
        }
        let hopeless = job.group.leaderless(host.now()) > HOPELESS_AFTER;
        if hopeless || Instant::now() >= until {
            return Err(Refused::busy("the group has no leader now"));
        }
        job.group.wait_changed(until).await;
    }
}

/// Takes a connection at the place.
async fn connect(
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
            Ok(Running { leased, usage, after, permit: Some(permit) })
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
async fn exchange(
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

/// What a statement does, if it runs at servers.
pub fn access(session: &Session, statement: &Statement) -> Option<Access> {
    match statement {
        Statement::Read => Some(Access::Read),
        Statement::Write => Some(Access::Write),
        Statement::Execute { name, .. } => {
            session.prepared.get(name).map(|Shape { access, .. }| *access)
        }
        _ => None,
    }
}

async fn attempt(
    host: &Host,
    job: &Job,
    session: &Session,
    request: &Request,
    place: Place,
    last: bool,
) -> Tried {
    let mut running = match connect(host, job, session, place).await {
        Ok(running) => running,
        Err(refused) => return Tried::Elsewhere(refused),
    };
    let after = running.after;
    let pool = running.leased.pool().clone();
    put(&mut running, session, request, after);
    let left = job.deadline.saturating_duration_since(Instant::now());
    let within = if last || job.access == Access::Write { left } else { left.min(TRY_WITHIN) };
    let answer = match exchange(host, job, &mut running, within).await {
        Ok(answer) => answer,
        Err(why) => return Tried::Lost(why),
    };
    let led = running.usage.as_ref().is_none_or(|usage| host.holds(usage));
    if running.leased.backend().is_clean(&answer) {
        running.leased.give_back();
    }
    if after.is_some() && answer.failure().is_none() {
        pool.health.borrow_mut().caught_up();
    }
    match answer.failure().and_then(|failure| elsewhere(failure, &pool, after, host)) {
        Some(refused) => Tried::Elsewhere(refused),
        // An answer of a leader that was replaced meanwhile proves nothing.
        None if !led => Tried::Lost("the leader changed"),
        None => Tried::Answered(answer),
    }
}

/// The refusal, if a server's failure is its word that nothing was kept and that
/// another server may be asked.
fn elsewhere(failure: Failure, pool: &Pool, after: Option<Point>, host: &Host) -> Option<Refused> {
    Some(Refused::busy(match failure {
        Failure::Behind => {
            if let Some(after) = after {
                pool.health.borrow_mut().behind(after, host.now());
            }
            "the replica is behind"
        }
        Failure::ReadOnly => "the server does not lead",
        Failure::Busy | Failure::TooMany => "the server is busy",
        Failure::Misdirected | Failure::UnknownName => "the server does not know the statement",
        _ => return None,
    }))
}

/// Runs a single statement.
///
/// A read is tried at several servers; a write only after a server's word that it
/// kept nothing.
pub async fn single(
    host: &Host,
    job: &Job,
    session: &Session,
    request: &Request,
) -> Result<(ServerAnswer, usize), Refused> {
    let until = job.deadline.min(Instant::now() + LEADER_WITHIN);
    let mut tries = 0;
    loop {
        let places = find(host, job).await?;
        let mut refused = Refused::busy("no server can be asked");
        let count = places.len().min(MOST_TRIES - tries);
        for (i, place) in places.into_iter().take(count).enumerate() {
            tries += 1;
            if tries > 1 {
                host.measures.retries.inc();
            }
            let chosen = Chosen::of(&place);
            match attempt(host, job, session, request, place, i + 1 == count).await {
                Tried::Answered(answer) => return Ok((answer, tries)),
                Tried::Elsewhere(why) => {
                    chosen.log(job, why.why);
                    refused = why;
                }
                Tried::Lost(why) if job.access == Access::Write => {
                    return Err(Refused::of(Failure::Uncertain, why));
                }
                Tried::Lost(why) => {
                    chosen.log(job, why);
                    refused = Refused::of(Failure::TimedOut, why);
                }
            }
            if Instant::now() >= job.deadline {
                return Err(refused);
            }
        }
        if tries >= MOST_TRIES || Instant::now() >= until {
            return Err(refused);
        }
        job.group.wait_changed(until.min(Instant::now() + AGAIN_AFTER)).await;
    }
}

/// Opens a transaction for a job.
pub async fn open(host: &Host, job: &Job, session: &Session) -> Result<Running, Refused> {
    let until = job.deadline.min(Instant::now() + LEADER_WITHIN);
    let mut tries = 0;
    loop {
        let places = find(host, job).await?;
        let mut refused = Refused::busy("no server can be asked");
        for place in places.into_iter().take(MOST_TRIES - tries) {
            tries += 1;
            if tries > 1 {
                host.measures.retries.inc();
            }
            let chosen = Chosen::of(&place);
            match begin(host, job, session, place).await {
                Ok(running) => return Ok(running),
                Err(why) => {
                    chosen.log(job, why.why);
                    refused = why;
                }
            }
            if Instant::now() >= job.deadline {
                return Err(refused);
            }
        }
        if tries >= MOST_TRIES || Instant::now() >= until {
            return Err(refused);
        }
        job.group.wait_changed(until.min(Instant::now() + AGAIN_AFTER)).await;
    }
}

async fn begin(
    host: &Host,
    job: &Job,
    session: &Session,
    place: Place,
) -> Result<Running, Refused> {
    let mut running = connect(host, job, session, place).await?;
    let pool = running.leased.pool().clone();
    let after = running.after;
    let backend = running.leased.backend();
    let steps = backend.carried.adopt(&session.values, None);
    backend.put_steps(&steps);
    wire::put_begin(job.access, after, &mut backend.out);
    let left = job.deadline.saturating_duration_since(Instant::now());
    let answer = exchange(host, job, &mut running, left.min(TRY_WITHIN)).await;
    let answer = answer.map_err(Refused::busy)?;
    if answer.state == State::Open && answer.failure().is_none() {
        if after.is_some() {
            pool.health.borrow_mut().caught_up();
        }
        return Ok(running);
    }
    if running.leased.backend().is_clean(&answer) {
        running.leased.give_back();
    }
    let refused = answer.failure().and_then(|failure| elsewhere(failure, &pool, after, host));
    Err(refused.unwrap_or(Refused::busy("the server opened no transaction")))
}

/// How a statement within a transaction ended.
pub enum Step {
    /// With an answer.
    Answered(ServerAnswer),
    /// Without a whole answer; the connection must be closed.
    Lost(&'static str),
}

/// Runs a statement on a transaction's connection.
pub async fn step(
    host: &Host,
    job: &Job,
    session: &Session,
    request: &Request,
    running: &mut Running,
) -> Step {
    if running.usage.as_ref().is_some_and(|usage| !host.holds(usage)) {
        return Step::Lost("the leader changed");
    }
    put(running, session, request, None);
    let left = job.deadline.saturating_duration_since(Instant::now());
    match exchange(host, job, running, left).await {
        Ok(answer) if running.usage.as_ref().is_none_or(|usage| host.holds(usage)) => {
            Step::Answered(answer)
        }
        Ok(_) => Step::Lost("the leader changed"),
        Err(why) => Step::Lost(why),
    }
}

/// Rolls a transaction back and keeps its connection, in a task of its own.
pub fn roll_back(running: Running) {
    let Running { mut leased, usage, .. } = running;
    monoio::spawn(async move {
        let backend = leased.backend();
        wire::put_rollback(&mut backend.out);
        // Without an answer the connection is closed, which rolls back too.
        let answer = monoio::time::timeout(ROLL_BACK_WITHIN, backend.exchange()).await;
        if let Ok(Ok(answer)) = answer
            && leased.backend().is_clean(&answer)
        {
            leased.give_back();
        }
        drop(usage);
    });
}
