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
    group::{Group, Use},
    host::Host,
    placement,
    pool::Pool,
    target::{self, ExchangeError, Execution, Target, TargetInfo},
};

/// How long a statement waits for a leader while there is none. A change of
/// leader that all hosts take part in is over within this; callers that are sent
/// away come back to the same gap.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// How long a change of leader must last before statements that come are refused
/// at once: it is one of those that wait for a silent host.
const FAILOVER_STALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long a read waits for a server's answer while other servers could answer.
/// Above the longest usual answer, so that slow reads do not run twice.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a connection may take to be rolled back before it is closed.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// How long after a refusal by the leader it is tried again, unless another one
/// comes first.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Servers that a read tries at most.
const MAX_ATTEMPTS: usize = 4;

/// When callers are told to come back, where nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// What a statement or transaction needs, and for whom it runs.
#[derive(Clone)]
pub struct Operation {
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
    pub last_write: Option<Point>,
    /// When it must be done.
    pub deadline: Instant,
    /// Who goes first where not all can be served; 0 is the most urgent.
    pub priority: u32,
    /// How long it may wait for its turn at a server.
    pub queue_timeout: Duration,
}

/// Why a statement has no answer of a server.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// What the caller is told.
    pub failure: Failure,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// What decided it.
    pub reason: &'static str,
    /// The server has more to do than it can; to ask again sooner than told is no use.
    pub overloaded: bool,
}

impl Refusal {
    /// Nothing has run, and the caller may come back.
    pub fn busy(reason: &'static str) -> Self {
        Self {
            failure: Failure::Busy,
            retry_after: Some(DEFAULT_RETRY_AFTER),
            reason,
            overloaded: false,
        }
    }

    /// Nothing has run; there is room after that time.
    pub fn overloaded(wait: Duration) -> Self {
        let reason = "too many statements wait for the server";
        Self { retry_after: Some(wait), overloaded: true, ..Self::busy(reason) }
    }

    /// Of that kind; coming back at once is no use or no harm.
    pub fn new(failure: Failure, reason: &'static str) -> Self {
        Self { failure, retry_after: None, reason, overloaded: false }
    }

    /// The text for the caller.
    pub fn text(&self) -> String {
        let fate = match self.failure.fate() {
            Fate::NotRun => Fate::NotRun,
            _ => Fate::Unknown,
        };
        wire::refusal_text(fate, self.retry_after, self.reason)
    }
}

/// How a statement ended at a server.
enum Attempt {
    Answered(ServerAnswer),
    /// Nothing was kept; another server may be asked.
    Retryable(Refusal),
    /// No whole answer came to a statement that was sent.
    Lost(&'static str),
}

/// Waits until a job has a place.
async fn wait_for_targets(host: &Host, operation: &Operation) -> Result<Vec<Target>, Refusal> {
    let until = operation.deadline.min(Instant::now() + LEADER_TIMEOUT);
    loop {
        if operation.access == Access::Write && operation.group.receipts.state.borrow().is_stuck() {
            return Err(Refusal::busy("the leader's replicas receive nothing"));
        }
        let mut targets = target::select(host, operation);
        if let Some(wait) = target::congestion_wait(host, operation, &targets) {
            return Err(Refusal::overloaded(wait));
        }
        targets.retain(|target| {
            let congestion = target.pool.congestion.borrow();
            congestion.lasts(operation.priority, operation.queue_timeout, host.now()).is_none()
        });
        if !targets.is_empty() {
            return Ok(targets);
        }
        if let Some(reason) = placement::rejection_reason(host, operation) {
            return Err(Refusal::busy(reason));
        }
        if !host.leased() {
            return Err(Refusal::busy("this host cannot show who leads"));
        }
        let stalled = operation.group.leaderless(host.now()) > FAILOVER_STALL_TIMEOUT;
        if stalled || Instant::now() >= until {
            return Err(Refusal::busy("the group has no leader now"));
        }
        operation.group.wait_changed(until).await;
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
    operation: &Operation,
    session: &Session,
    request: &Request,
    target: Target,
    last: bool,
) -> Attempt {
    let mut execution = match target::connect(host, operation, session, target).await {
        Ok(execution) => execution,
        Err(refusal) => return Attempt::Retryable(refusal),
    };
    let required_position = execution.required_position;
    let pool = execution.conn.pool().clone();
    target::put_statement(&mut execution, session, request, required_position);
    let left = operation.deadline.saturating_duration_since(Instant::now());
    let timeout =
        if last || operation.access == Access::Write { left } else { left.min(ATTEMPT_TIMEOUT) };
    let answer = match target::exchange(host, operation, &mut execution, timeout).await {
        Ok(answer) => answer,
        Err(ExchangeError::NotSent(refusal)) => return Attempt::Retryable(refusal),
        Err(ExchangeError::Lost(reason)) => return Attempt::Lost(reason),
    };
    let still_leads = execution.usage.as_ref().is_none_or(|usage| host.holds(usage));
    let Execution { conn, usage, .. } = execution;
    conn.give_back(&answer);
    if required_position.is_some() && answer.failure().is_none() {
        pool.health.borrow_mut().caught_up();
    }
    match retryable(host, operation, &pool, required_position, &answer) {
        Some(refusal) => Attempt::Retryable(refusal),
        // An answer of a leader that was replaced meanwhile proves nothing.
        None if !still_leads => Attempt::Lost("the leader changed"),
        None if operation.access == Access::Write => {
            match wait_replicated(host, operation, &answer, usage.as_ref()).await {
                Ok(()) => Attempt::Answered(answer),
                Err(reason) => Attempt::Lost(reason),
            }
        }
        None => Attempt::Answered(answer),
    }
}

/// Waits until a second server holds what an answer says is kept.
///
/// Guards against a booking that a caller was told of and that a promotion takes
/// back: the successor is the replica that has received most.
async fn wait_replicated(
    host: &Rc<Host>,
    operation: &Operation,
    answer: &ServerAnswer,
    usage: Option<&Use>,
) -> Result<(), &'static str> {
    let (None, Some(commit)) = (answer.failure(), answer.point) else { return Ok(()) };
    confirm::wait(host, &operation.group, commit).await?;
    let still_leads = usage.is_none_or(|usage| host.holds(usage));
    if still_leads { Ok(()) } else { Err("the leader changed") }
}

/// The refusal, if a server's failure is its word that nothing was kept and that
/// another server may be asked.
fn retryable(
    host: &Host,
    operation: &Operation,
    pool: &Pool,
    required_position: Option<Point>,
    answer: &ServerAnswer,
) -> Option<Refusal> {
    Some(Refusal::busy(match answer.failure()? {
        Failure::Behind => {
            if let Some(required_position) = required_position {
                let (ages, now) = (operation.group.ages.borrow(), host.now());
                let lag = answer.point.and_then(|shown| ages.age(shown, now));
                let missing = lag
                    .zip(ages.age(required_position, now))
                    .map(|(lag, due)| lag.saturating_sub(due));
                pool.health.borrow_mut().behind(required_position, missing, now);
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
pub async fn run_statement(
    host: &Rc<Host>,
    operation: &Operation,
    session: &Session,
    request: &Request,
) -> Result<(ServerAnswer, usize), Refusal> {
    let until = operation.deadline.min(Instant::now() + LEADER_TIMEOUT);
    let mut attempts = 0;
    loop {
        let targets = wait_for_targets(host, operation).await?;
        let mut refusal = Refusal::busy("no server can be asked");
        let count = targets.len().min(MAX_ATTEMPTS - attempts);
        for (i, target) in targets.into_iter().take(count).enumerate() {
            attempts += 1;
            if attempts > 1 {
                host.measures.retries.inc();
            }
            let chosen = TargetInfo::new(&target);
            match attempt(host, operation, session, request, target, i + 1 == count).await {
                Attempt::Answered(answer) => return Ok((answer, attempts)),
                Attempt::Retryable(reason) => {
                    chosen.log(operation, reason.reason);
                    refusal = reason;
                }
                Attempt::Lost(reason) if operation.access == Access::Write => {
                    return Err(Refusal::new(Failure::Uncertain, reason));
                }
                Attempt::Lost(reason) => {
                    chosen.log(operation, reason);
                    refusal = Refusal::new(Failure::TimedOut, reason);
                }
            }
            if Instant::now() >= operation.deadline {
                return Err(refusal);
            }
        }
        if refusal.overloaded || attempts >= MAX_ATTEMPTS || Instant::now() >= until {
            return Err(refusal);
        }
        operation.group.wait_changed(until.min(Instant::now() + RETRY_DELAY)).await;
    }
}

/// Opens a transaction for a job.
pub async fn open_transaction(
    host: &Rc<Host>,
    operation: &Operation,
    session: &Session,
) -> Result<Execution, Refusal> {
    let until = operation.deadline.min(Instant::now() + LEADER_TIMEOUT);
    let mut attempts = 0;
    loop {
        let targets = wait_for_targets(host, operation).await?;
        let mut refusal = Refusal::busy("no server can be asked");
        for target in targets.into_iter().take(MAX_ATTEMPTS - attempts) {
            attempts += 1;
            if attempts > 1 {
                host.measures.retries.inc();
            }
            let chosen = TargetInfo::new(&target);
            match begin(host, operation, session, target).await {
                Ok(execution) => return Ok(execution),
                Err(reason) => {
                    chosen.log(operation, reason.reason);
                    refusal = reason;
                }
            }
            if Instant::now() >= operation.deadline {
                return Err(refusal);
            }
        }
        if refusal.overloaded || attempts >= MAX_ATTEMPTS || Instant::now() >= until {
            return Err(refusal);
        }
        operation.group.wait_changed(until.min(Instant::now() + RETRY_DELAY)).await;
    }
}

async fn begin(
    host: &Rc<Host>,
    operation: &Operation,
    session: &Session,
    target: Target,
) -> Result<Execution, Refusal> {
    let mut execution = target::connect(host, operation, session, target).await?;
    let pool = execution.conn.pool().clone();
    let required_position = execution.required_position;
    execution.conn.open_work();
    execution
        .conn
        .put(session, None, |out| wire::put_begin(operation.access, required_position, out));
    let left = operation.deadline.saturating_duration_since(Instant::now());
    let answer = target::exchange(host, operation, &mut execution, left.min(ATTEMPT_TIMEOUT)).await;
    let answer = answer.map_err(|error| match error {
        ExchangeError::NotSent(refusal) => refusal,
        // Nothing but the opening was sent.
        ExchangeError::Lost(reason) => Refusal::busy(reason),
    })?;
    if answer.state == State::Open && answer.failure().is_none() {
        if required_position.is_some() {
            pool.health.borrow_mut().caught_up();
        }
        return Ok(execution);
    }
    execution.conn.give_back(&answer);
    let refusal = retryable(host, operation, &pool, required_position, &answer);
    Err(refusal.unwrap_or(Refusal::busy("the server opened no transaction")))
}

/// How a statement within a transaction ended.
pub enum StepOutcome {
    /// With an answer.
    Answered(ServerAnswer),
    /// Without a whole answer; the connection must be closed.
    Lost(&'static str),
    /// It was not sent, and the transaction is over.
    NotSent(Refusal),
}

/// Runs a statement on a transaction's connection.
pub async fn run_step(
    host: &Rc<Host>,
    operation: &Operation,
    session: &Session,
    request: &Request,
    execution: &mut Execution,
) -> StepOutcome {
    if execution.usage.as_ref().is_some_and(|usage| !host.holds(usage)) {
        return StepOutcome::Lost("the leader changed");
    }
    if placement::is_forbidden(host, execution.conn.pool()) {
        return StepOutcome::NotSent(Refusal::busy("the server's failure domain is evacuated"));
    }
    execution.wrote |= access(session, &request.statement) == Some(Access::Write);
    target::put_statement(execution, session, request, None);
    let left = operation.deadline.saturating_duration_since(Instant::now());
    match target::exchange(host, operation, execution, left).await {
        Ok(answer) if execution.usage.as_ref().is_none_or(|usage| host.holds(usage)) => {
            let commits = execution.wrote && request.statement == Statement::Commit;
            if commits
                && let Err(reason) =
                    wait_replicated(host, operation, &answer, execution.usage.as_ref()).await
            {
                return StepOutcome::Lost(reason);
            }
            StepOutcome::Answered(answer)
        }
        Ok(_) => StepOutcome::Lost("the leader changed"),
        Err(ExchangeError::NotSent(refusal)) => StepOutcome::NotSent(refusal),
        Err(ExchangeError::Lost(reason)) => StepOutcome::Lost(reason),
    }
}

/// Rolls a transaction back and keeps its connection, in a task of its own. At a server to
/// which nothing may be sent the connection is closed, which rolls back too.
pub fn roll_back(host: &Host, execution: Execution) {
    let Execution { mut conn, usage, .. } = execution;
    if placement::is_forbidden(host, conn.pool()) {
        return;
    }
    monoio::spawn(async move {
        conn.put_bare(wire::put_rollback);
        // Without an answer the connection is closed, which rolls back too.
        if let Ok(answer) = conn.exchange(ROLLBACK_TIMEOUT).await {
            conn.give_back(&answer);
        }
        drop(usage);
    });
}
