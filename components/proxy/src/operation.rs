//! Execution of operations. An operation is a single statement or a transaction. Selects targets,
//! retries at other servers where that is safe, and turns failures into answers for the caller.

use std::{rc::Rc, time::Duration};

use bergamottrack_adapter::wire;
use bergamottrack_coordination::{AccountId, Fate, Point, attempts::Attempts, homes};
use bergamottrack_model::{
    Access, Account, Consistency, Failure, Request, ServerAnswer, Session, State, Statement,
    statement::Shape,
};
use monoio::time::Instant;
use tracing::info;

use crate::{
    confirm,
    group::{Group, LeaderUse},
    host::Host,
    placement,
    pool::Pool,
    target::{self, ExchangeError, Execution, Target, TargetInfo},
    timing::{Stage, Timing},
    tokens,
};

/// Maximum time that an operation waits for the group to get a leader. A failover in which all
/// hosts take part ends within this time; a caller refused sooner would only retry while the group
/// still has no leader.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// Time without a leader after which new operations are refused at once: a failover that lasts
/// this long is waiting for a silent host.
const FAILOVER_STALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// Timeout of opening a transaction at one server, and of a read at each target but the last.
/// Longer than the slowest usual answer, so that slow reads do not run twice.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a rollback, after which the connection is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before an operation that failed at all targets is retried, unless the group gets a new
/// leader first.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Maximum number of attempts per operation.
const MAX_ATTEMPTS: usize = 4;

/// Retry delay suggested to callers where no better estimate exists.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Requirements of a single statement or a transaction.
#[derive(Clone)]
pub struct Operation {
    /// Caller's request id of the current statement.
    pub id: Box<str>,
    /// Client account that the operation runs for.
    pub account: AccountId,
    /// Contract of the account; `None` if the operation has no rate limit.
    pub contract: Option<Rc<Account>>,
    /// Database group that holds the database.
    pub group: Rc<Group>,
    /// Required consistency of reads.
    pub consistency: Consistency,
    /// Whether the operation may write.
    pub access: Access,
    /// Home regions of the database and the account, to which execution is restricted.
    pub homes: homes::Homes,
    /// Log position of the session's last write in the group.
    pub last_write: Option<Point>,
    /// Deadline for the answer to the current statement.
    pub deadline: Instant,
    /// Queue priority under overload; 0 is the highest.
    pub priority: u32,
    /// Maximum time in a server's queue.
    pub queue_timeout: Duration,
    /// Time that the current statement has spent in each stage.
    pub timing: Rc<Timing>,
}

/// Reason why a statement gets no answer from a backend server.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Kind of failure reported to the caller.
    pub failure: Failure,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Explanation for the caller and the log.
    pub reason: &'static str,
    /// Whether the server is overloaded, so that a retry before `retry_after` is useless.
    pub overloaded: bool,
}

impl Refusal {
    /// Refusal of a statement that has not run and may be retried after the default delay.
    pub fn busy(reason: &'static str) -> Self {
        Self {
            failure: Failure::Busy,
            retry_after: Some(DEFAULT_RETRY_AFTER),
            reason,
            overloaded: false,
        }
    }

    /// Refusal of a statement that has not run because the server's queue is full; `wait` is the
    /// delay before a retry.
    pub fn overloaded(wait: Duration) -> Self {
        let reason = "too many statements wait for the server";
        Self { retry_after: Some(wait), overloaded: true, ..Self::busy(reason) }
    }

    /// Refusal without a retry delay, for failures where an immediate retry is either useless or
    /// harmless.
    pub fn new(failure: Failure, reason: &'static str) -> Self {
        Self { failure, retry_after: None, reason, overloaded: false }
    }

    /// Formats the message for the caller.
    pub fn text(&self) -> String {
        let fate = match self.failure.fate() {
            Fate::NotRun => Fate::NotRun,
            _ => Fate::Unknown,
        };
        wire::refusal_text(fate, self.retry_after, self.reason)
    }
}

/// Result of trying a statement at one server.
enum Attempt {
    Answered(ServerAnswer),
    /// The statement changed no data; another server may be tried.
    Retryable(Refusal),
    /// The statement was sent and no valid answer was received.
    Lost(&'static str),
}

/// Waits until at least one server can run the operation and returns the targets in order of
/// preference.
///
/// Refuses the operation after [`LEADER_TIMEOUT`] or at its deadline, and at once if waiting for a
/// leader would not help.
async fn wait_for_targets(host: &Rc<Host>, operation: &Operation) -> Result<Vec<Target>, Refusal> {
    let until = operation.deadline.min(Instant::now() + LEADER_TIMEOUT);
    loop {
        if operation.access == Access::Write && confirm::is_stalled(host, &operation.group) {
            return Err(Refusal::busy("the leader's replicas receive nothing"));
        }
        let mut targets = target::select(host, operation);
        if let Some(wait) = target::congestion_wait(host, operation, &targets) {
            return Err(Refusal::overloaded(wait));
        }
        targets.retain(|target| {
            let congestion = target.pool.congestion.borrow();
            congestion.remaining(operation.priority, operation.queue_timeout, host.now()).is_none()
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
        let stalled = operation.group.leaderless_for(host.now()) > FAILOVER_STALL_TIMEOUT;
        if stalled || Instant::now() >= until {
            return Err(Refusal::busy("the group has no leader now"));
        }
        operation.group.wait_leader(until).await;
    }
}

/// Returns the access that a statement needs, or `None` if it does not run at a backend server.
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
    let mut execution = match target::connect(host, operation, session, target, false).await {
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
        pool.health.borrow_mut().clear_lag();
    }
    match retryable(host, operation, &pool, required_position, &answer) {
        Some(refusal) => Attempt::Retryable(refusal),
        // An answer of a leader that was replaced in the meantime is not valid.
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

/// Waits until a second server holds the commit that an answer acknowledges. The leader's answer
/// suffices if no replica is listed. Returns at once for a failure or an answer without a log
/// position.
///
/// Guards against an acknowledged write that is lost by a failover: the successor is the replica
/// with the newest log position, which may lack a commit that only the former leader holds.
async fn wait_replicated(
    host: &Rc<Host>,
    operation: &Operation,
    answer: &ServerAnswer,
    usage: Option<&LeaderUse>,
) -> Result<(), &'static str> {
    let (None, Some(commit)) = (answer.failure(), answer.point) else { return Ok(()) };
    let started = Instant::now();
    let confirmed = confirm::wait(host, &operation.group, commit).await;
    operation.timing.add(Stage::Confirmation, started.elapsed());
    confirmed?;
    let still_leads = usage.is_none_or(|usage| host.holds(usage));
    if still_leads { Ok(()) } else { Err("the leader changed") }
}

/// Returns a refusal if the server's answer is a failure that changed no data, so that another
/// server may be tried. Records how far behind a lagging replica is.
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
                let shown_age = answer.point.and_then(|shown| ages.age(shown, now));
                let lag = shown_age
                    .zip(ages.age(required_position, now))
                    .map(|(shown_age, required_age)| shown_age.saturating_sub(required_age));
                pool.health.borrow_mut().mark_lagging(required_position, lag, now);
            }
            "the replica is behind"
        }
        Failure::ReadOnly => "the server does not lead",
        Failure::Busy | Failure::TooMany => "the server is busy",
        Failure::Misdirected | Failure::UnknownName => "the server does not know the statement",
        _ => return None,
    }))
}

/// Runs a single statement and returns the answer and the number of attempts.
///
/// A read is tried at several servers, with at most `MAX_ATTEMPTS` attempts in all. After an
/// attempt that may have run, it is tried again only with a further token of the account's rate
/// limit. A write is tried again only if it was not sent or the server answered that it changed no
/// data.
pub async fn run_statement(
    host: &Rc<Host>,
    operation: &Operation,
    session: &Session,
    request: &Request,
) -> Result<(ServerAnswer, usize), Refusal> {
    let until = operation.deadline.min(Instant::now() + LEADER_TIMEOUT);
    let mut attempts = Attempts::new(MAX_ATTEMPTS);
    loop {
        let targets = wait_for_targets(host, operation).await?;
        let mut last_refusal = Refusal::busy("no server can be asked");
        let count = targets.len().min(attempts.left());
        for (i, target) in targets.into_iter().take(count).enumerate() {
            if attempts.needs_token() {
                if !take_token(host, operation).await {
                    return Err(last_refusal);
                }
                attempts.add_token();
            }
            attempts.begin();
            if attempts.made() > 1 {
                host.metrics.retries.inc();
            }
            let info = TargetInfo::new(&target);
            match attempt(host, operation, session, request, target, i + 1 == count).await {
                Attempt::Answered(answer) => return Ok((answer, attempts.made())),
                Attempt::Retryable(refusal) => {
                    info.log(operation, refusal.reason);
                    last_refusal = refusal;
                }
                Attempt::Lost(reason) if operation.access == Access::Write => {
                    return Err(Refusal::new(Failure::Uncertain, reason));
                }
                Attempt::Lost(reason) => {
                    info.log(operation, reason);
                    attempts.may_have_run();
                    last_refusal = Refusal::new(Failure::TimedOut, reason);
                }
            }
            if Instant::now() >= operation.deadline {
                return Err(last_refusal);
            }
        }
        if last_refusal.overloaded || attempts.left() == 0 || Instant::now() >= until {
            return Err(last_refusal);
        }
        operation.group.wait_leader(until.min(Instant::now() + RETRY_DELAY)).await;
    }
}

/// Takes a token for another run of the operation; returns whether there was one.
async fn take_token(host: &Host, operation: &Operation) -> bool {
    let Some(account) = &operation.contract else { return true };
    let ruling = tokens::acquire(host, &operation.id, account, operation.priority).await;
    let admitted = ruling.is_some_and(|ruling| ruling.admitted);
    if !admitted {
        info!(id = %operation.id, account = %account.id, "statement: no token for another run");
    }
    admitted
}

/// Opens a transaction at one of the operation's targets, with at most `MAX_ATTEMPTS` attempts.
pub async fn open_transaction(
    host: &Rc<Host>,
    operation: &Operation,
    session: &Session,
) -> Result<Execution, Refusal> {
    let until = operation.deadline.min(Instant::now() + LEADER_TIMEOUT);
    let mut attempts = 0;
    loop {
        let targets = wait_for_targets(host, operation).await?;
        let mut last_refusal = Refusal::busy("no server can be asked");
        for target in targets.into_iter().take(MAX_ATTEMPTS - attempts) {
            attempts += 1;
            if attempts > 1 {
                host.metrics.retries.inc();
            }
            let info = TargetInfo::new(&target);
            match begin(host, operation, session, target).await {
                Ok(execution) => return Ok(execution),
                Err(refusal) => {
                    info.log(operation, refusal.reason);
                    last_refusal = refusal;
                }
            }
            if Instant::now() >= operation.deadline {
                return Err(last_refusal);
            }
        }
        if last_refusal.overloaded || attempts >= MAX_ATTEMPTS || Instant::now() >= until {
            return Err(last_refusal);
        }
        operation.group.wait_leader(until.min(Instant::now() + RETRY_DELAY)).await;
    }
}

async fn begin(
    host: &Rc<Host>,
    operation: &Operation,
    session: &Session,
    target: Target,
) -> Result<Execution, Refusal> {
    let mut execution = target::connect(host, operation, session, target, true).await?;
    let pool = execution.conn.pool().clone();
    let required_position = execution.required_position;
    execution.conn.begin_transaction();
    execution
        .conn
        .put(session, None, |out| wire::put_begin(operation.access, required_position, out));
    let left = operation.deadline.saturating_duration_since(Instant::now());
    let answer = target::exchange(host, operation, &mut execution, left.min(ATTEMPT_TIMEOUT)).await;
    let answer = answer.map_err(|error| match error {
        ExchangeError::NotSent(refusal) => refusal,
        // Only the opening statement was sent, so the transaction can be opened at another server.
        ExchangeError::Lost(reason) => Refusal::busy(reason),
    })?;
    if answer.state == State::Open && answer.failure().is_none() {
        if required_position.is_some() {
            pool.health.borrow_mut().clear_lag();
        }
        return Ok(execution);
    }
    execution.conn.give_back(&answer);
    let refusal = retryable(host, operation, &pool, required_position, &answer);
    Err(refusal.unwrap_or(Refusal::busy("the server opened no transaction")))
}

/// Result of a statement within a transaction.
pub enum StepOutcome {
    /// The server answered.
    Answered(ServerAnswer),
    /// The statement may have been sent and has no valid answer; the connection must be closed.
    Lost(&'static str),
    /// The statement was not sent, and the transaction has ended.
    NotSent(Refusal),
}

/// Runs a statement on the transaction's connection. A commit of writes also waits for its
/// replication.
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

/// Rolls a transaction back in a separate task and returns its connection to the pool.
///
/// If the server's failure domain is evacuated, the connection is closed, which rolls back too.
pub fn roll_back(host: &Host, execution: Execution) {
    let Execution { mut conn, usage, .. } = execution;
    if placement::is_forbidden(host, conn.pool()) {
        return;
    }
    monoio::spawn(async move {
        conn.put_without_session(wire::put_rollback);
        // Dropping the connection without an answer closes it, which rolls back too.
        if let Ok(answer) = conn.exchange(ROLLBACK_TIMEOUT, || true).await {
            conn.give_back(&answer);
        }
        drop(usage);
    });
}
