//! Running a statement or transaction: where it is tried, and what a failure means.

use std::{rc::Rc, time::Duration};

use bergamottrack_adapter::wire;
use bergamottrack_coordination::{AccountId, Fate, Point, homes};
use bergamottrack_model::{
    Access, Currency, Failure, Request, ServerAnswer, Session, State, Statement, statement::Shape,
};
use monoio::time::Instant;

use crate::{
    confirm,
    group::{Group, LeaderUse},
    host::Host,
    place::{self, Chosen, NoAnswer, Place, Running},
    placement,
    pool::Pool,
};

/// How long a statement waits for a leader while there is none. A change of
/// leader that all hosts take part in is over within this; callers that are sent
/// away come back to the same gap.
const LEADER_WITHIN: Duration = Duration::from_millis(900);

/// How long a change of leader must last before statements that come are refused
/// at once: it is one of those that wait for a silent host.
const HOPELESS_AFTER: Duration = Duration::from_millis(2500);

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
    /// Where it may run.
    pub homes: homes::Homes,
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
    /// The server has more to do than it can; to ask again sooner than told is no use.
    pub crowded: bool,
}

impl Refused {
    /// Nothing has run, and the caller may come back.
    pub fn busy(why: &'static str) -> Self {
        Self { failure: Failure::Busy, retry: Some(RETRY_AFTER), why, crowded: false }
    }

    /// Nothing has run; there is room after that time.
    pub fn crowded(wait: Duration) -> Self {
        let why = "too many statements wait for the server";
        Self { retry: Some(wait), crowded: true, ..Self::busy(why) }
    }

    /// Of that kind; coming back at once is no use or no harm.
    pub fn of(failure: Failure, why: &'static str) -> Self {
        Self { failure, retry: None, why, crowded: false }
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

/// How a statement ended at a server.
enum Tried {
    Answered(ServerAnswer),
    /// Nothing was kept; another server may be asked.
    Elsewhere(Refused),
    /// No whole answer came to a statement that was sent.
    Lost(&'static str),
}

/// Waits until a job has a place.
async fn find(host: &Host, job: &Job) -> Result<Vec<Place>, Refused> {
    let until = job.deadline.min(Instant::now() + LEADER_WITHIN);
    loop {
        if job.access == Access::Write && job.group.receipts.state.borrow().is_stuck() {
            return Err(Refused::busy("the leader's replicas receive nothing"));
        }
        let mut places = place::places(host, job);
        if let Some(wait) = place::congested(host, job, &places) {
            return Err(Refused::crowded(wait));
        }
        places.retain(|place| {
            let congestion = place.pool.congestion.borrow();
            congestion.lasts(job.priority, job.patience, host.now()).is_none()
        });
        if !places.is_empty() {
            return Ok(places);
        }
        if let Some(why) = placement::barred(host, job) {
            return Err(Refused::busy(why));
        }
        if !host.leased() {
            return Err(Refused::busy("this host cannot show who leads"));
        }
        let hopeless = job.group.leaderless_for(host.now()) > HOPELESS_AFTER;
        if hopeless || Instant::now() >= until {
            return Err(Refused::busy("the group has no leader now"));
        }
        job.group.wait_leader(until).await;
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
    host: &Rc<Host>,
    job: &Job,
    session: &Session,
    request: &Request,
    place: Place,
    last: bool,
) -> Tried {
    let mut running = match place::connect(host, job, session, place).await {
        Ok(running) => running,
        Err(refused) => return Tried::Elsewhere(refused),
    };
    let after = running.after;
    let pool = running.conn.pool().clone();
    place::put(&mut running, session, request, after);
    let left = job.deadline.saturating_duration_since(Instant::now());
    let within = if last || job.access == Access::Write { left } else { left.min(TRY_WITHIN) };
    let answer = match place::exchange(host, job, &mut running, within).await {
        Ok(answer) => answer,
        Err(NoAnswer::NotSent(refused)) => return Tried::Elsewhere(refused),
        Err(NoAnswer::Lost(why)) => return Tried::Lost(why),
    };
    let led = running.usage.as_ref().is_none_or(|usage| host.holds(usage));
    let Running { conn, usage, .. } = running;
    conn.give_back(&answer);
    if after.is_some() && answer.failure().is_none() {
        pool.health.borrow_mut().caught_up();
    }
    match elsewhere(host, job, &pool, after, &answer) {
        Some(refused) => Tried::Elsewhere(refused),
        // An answer of a leader that was replaced meanwhile proves nothing.
        None if !led => Tried::Lost("the leader changed"),
        None if job.access == Access::Write => {
            match confirmed(host, job, &answer, usage.as_ref()).await {
                Ok(()) => Tried::Answered(answer),
                Err(why) => Tried::Lost(why),
            }
        }
        None => Tried::Answered(answer),
    }
}

/// Waits until a second server holds what an answer says is kept.
///
/// Guards against a booking that a caller was told of and that a promotion takes
/// back: the successor is the replica that has received most.
async fn confirmed(
    host: &Rc<Host>,
    job: &Job,
    answer: &ServerAnswer,
    usage: Option<&LeaderUse>,
) -> Result<(), &'static str> {
    let (None, Some(commit)) = (answer.failure(), answer.point) else { return Ok(()) };
    confirm::wait(host, &job.group, commit).await?;
    let led = usage.is_none_or(|usage| host.holds(usage));
    if led { Ok(()) } else { Err("the leader changed") }
}

/// The refusal, if a server's failure is its word that nothing was kept and that
/// another server may be asked.
fn elsewhere(
    host: &Host,
    job: &Job,
    pool: &Pool,
    after: Option<Point>,
    answer: &ServerAnswer,
) -> Option<Refused> {
    Some(Refused::busy(match answer.failure()? {
        Failure::Behind => {
            if let Some(after) = after {
                let (ages, now) = (job.group.ages.borrow(), host.now());
                let lag = answer.point.and_then(|shown| ages.age(shown, now));
                let missing =
                    lag.zip(ages.age(after, now)).map(|(lag, due)| lag.saturating_sub(due));
                pool.health.borrow_mut().behind(after, missing, now);
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
    host: &Rc<Host>,
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
                host.metrics.retries.inc();
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
        if refused.crowded || tries >= MOST_TRIES || Instant::now() >= until {
            return Err(refused);
        }
        job.group.wait_leader(until.min(Instant::now() + AGAIN_AFTER)).await;
    }
}

/// Opens a transaction for a job.
pub async fn open(host: &Rc<Host>, job: &Job, session: &Session) -> Result<Running, Refused> {
    let until = job.deadline.min(Instant::now() + LEADER_WITHIN);
    let mut tries = 0;
    loop {
        let places = find(host, job).await?;
        let mut refused = Refused::busy("no server can be asked");
        for place in places.into_iter().take(MOST_TRIES - tries) {
            tries += 1;
            if tries > 1 {
                host.metrics.retries.inc();
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
        if refused.crowded || tries >= MOST_TRIES || Instant::now() >= until {
            return Err(refused);
        }
        job.group.wait_leader(until.min(Instant::now() + AGAIN_AFTER)).await;
    }
}

async fn begin(
    host: &Rc<Host>,
    job: &Job,
    session: &Session,
    place: Place,
) -> Result<Running, Refused> {
    let mut running = place::connect(host, job, session, place).await?;
    let pool = running.conn.pool().clone();
    let after = running.after;
    running.conn.open_work();
    running.conn.put(session, None, |out| wire::put_begin(job.access, after, out));
    let left = job.deadline.saturating_duration_since(Instant::now());
    let answer = place::exchange(host, job, &mut running, left.min(TRY_WITHIN)).await;
    let answer = answer.map_err(|error| match error {
        NoAnswer::NotSent(refused) => refused,
        // Nothing but the opening was sent.
        NoAnswer::Lost(why) => Refused::busy(why),
    })?;
    if answer.state == State::Open && answer.failure().is_none() {
        if after.is_some() {
            pool.health.borrow_mut().caught_up();
        }
        return Ok(running);
    }
    running.conn.give_back(&answer);
    let refused = elsewhere(host, job, &pool, after, &answer);
    Err(refused.unwrap_or(Refused::busy("the server opened no transaction")))
}

/// How a statement within a transaction ended.
pub enum Step {
    /// With an answer.
    Answered(ServerAnswer),
    /// Without a whole answer; the connection must be closed.
    Lost(&'static str),
    /// It was not sent, and the transaction is over.
    NotSent(Refused),
}

/// Runs a statement on a transaction's connection.
pub async fn step(
    host: &Rc<Host>,
    job: &Job,
    session: &Session,
    request: &Request,
    running: &mut Running,
) -> Step {
    if running.usage.as_ref().is_some_and(|usage| !host.holds(usage)) {
        return Step::Lost("the leader changed");
    }
    if placement::is_forbidden(host, running.conn.pool()) {
        return Step::NotSent(Refused::busy("the server's failure domain is evacuated"));
    }
    running.wrote |= access(session, &request.statement) == Some(Access::Write);
    place::put(running, session, request, None);
    let left = job.deadline.saturating_duration_since(Instant::now());
    match place::exchange(host, job, running, left).await {
        Ok(answer) if running.usage.as_ref().is_none_or(|usage| host.holds(usage)) => {
            let commits = running.wrote && request.statement == Statement::Commit;
            if commits && let Err(why) = confirmed(host, job, &answer, running.usage.as_ref()).await
            {
                return Step::Lost(why);
            }
            Step::Answered(answer)
        }
        Ok(_) => Step::Lost("the leader changed"),
        Err(NoAnswer::NotSent(refused)) => Step::NotSent(refused),
        Err(NoAnswer::Lost(why)) => Step::Lost(why),
    }
}

/// Rolls a transaction back and keeps its connection, in a task of its own. At a server to
/// which nothing may be sent the connection is closed, which rolls back too.
pub fn roll_back(host: &Host, running: Running) {
    let Running { mut conn, usage, .. } = running;
    if placement::is_forbidden(host, conn.pool()) {
        return;
    }
    monoio::spawn(async move {
        conn.put_bare(wire::put_rollback);
        // Without an answer the connection is closed, which rolls back too.
        if let Ok(answer) = conn.exchange(ROLL_BACK_WITHIN).await {
            conn.give_back(&answer);
        }
        drop(usage);
    });
}
