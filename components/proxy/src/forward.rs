//! Forwarded statements: other hosts' statements that run on connections held by this host.
//!
//! A statement that relies on the group's leader needs a lease of this host as well. The host that
//! forwards it may release the leader, or its lease may expire, while the statement is on the way or
//! in the queue here; a failover then waits for neither.
//!
//! A statement may also arrive long after the host that forwards it gave it up, answered its caller or
//! ran it elsewhere: a network that was cut delivers what it held back, and this host may have been
//! suspended. A statement is therefore sent to the server only while its timeout, counted from when it
//! was sent to this host, is not over and its link is open: the sender closes the link with a reset when
//! it gives up all that it sent on it. If the link closes while the server has the statement, the connection
//! to the server is reset as well: a network that holds the statement up loses it then.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::HostId;
use bergamottrack_model::{ServerAnswer, State};
use bergamottrack_peer::{
    Answer, ForwardResult, ForwardedStatement, NotSent, TransactionId,
    accept::{LinkMonitor, Replier},
};
use tracing::info;

use crate::{
    conn,
    group::LeaderUse,
    host::{Host, Phase, STATEMENT_COPIES},
    monitor, placement,
    pool::{Leased, Permit, Pool},
};

/// Idle timeout of other hosts' transactions if the configuration sets none. The caller's host ends
/// an idle transaction sooner; this timeout applies when that host has disappeared.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time added to the configured idle timeout, so that the caller's host ends an idle transaction
/// first.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Time for a server to complete a statement whose link has closed. Most statements are shorter, and are
/// not broken off.
const LOST_LINK_GRACE: Duration = Duration::from_millis(250);

/// Copies of an answer that are held until it is written: as received, and as a message.
const ANSWER_COPIES: usize = 2;

/// A transaction of another host between two of its statements.
struct IdleTransaction {
    leased: Leased,
    since: Instant,
    /// Monitor of the link over which the transaction's statements are forwarded.
    link: LinkMonitor,
    /// Use of the server as leader; `None` if the transaction does not rely on the leader.
    usage: Option<LeaderUse>,
}

/// Connection for a forwarded statement.
struct Acquired {
    leased: Leased,
    /// Permit for the statement; `None` for statements without an account.
    permit: Option<Permit>,
    /// Use of the server as leader; `None` if the statement does not rely on the leader.
    usage: Option<LeaderUse>,
}

/// Transactions of other hosts on connections held by this host.
#[derive(Default)]
pub struct RemoteTransactions {
    idle: RefCell<HashMap<(HostId, TransactionId), IdleTransaction>>,
    /// Transactions cancelled while one of their statements was running, with the time of the
    /// cancellation.
    cancelled: RefCell<HashMap<(HostId, TransactionId), Instant>>,
}

impl RemoteTransactions {
    /// Returns the number of idle transactions.
    pub fn count(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Closes the connections of idle transactions that have exceeded the idle timeout, whose link
    /// is closed, or to whose server `is_forbidden` forbids all statements.
    ///
    /// Guards against a host that dies within a transaction: the transaction's locks would be held
    /// for as long as this host runs.
    pub fn sweep(
        &self,
        idle_timeout: Option<Duration>,
        now: Instant,
        is_forbidden: impl Fn(&Pool) -> bool,
    ) {
        let timeout = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout + IDLE_MARGIN);
        self.idle.borrow_mut().retain(|(host, id), transaction| {
            let why = if !transaction.link.is_open()
                || now.duration_since(transaction.since) >= timeout
            {
                "its host disconnected or did not end it in time"
            } else if is_forbidden(transaction.leased.pool()) {
                "its server's failure domain is evacuated"
            } else {
                return true;
            };
            info!(%host, work = id, why, "relay: idle transaction closed");
            false
        });
        let mut cancelled = self.cancelled.borrow_mut();
        cancelled.retain(|_, since| now.duration_since(*since) < timeout);
    }

    /// Cancels a transaction by closing its connection, after the answer if one of its statements
    /// is running.
    pub fn cancel(&self, host: &HostId, id: TransactionId, now: Instant) {
        let key = (host.clone(), id);
        if self.idle.borrow_mut().remove(&key).is_none() {
            self.cancelled.borrow_mut().insert(key, now);
        }
    }

    /// Stores a transaction until its next statement; closes its connection if it was cancelled
    /// during the last one.
    fn store(&self, key: (HostId, TransactionId), transaction: IdleTransaction) {
        if self.cancelled.borrow_mut().remove(&key).is_none() {
            self.idle.borrow_mut().insert(key, transaction);
        }
    }
}

/// A forwarded statement and the link on which it arrived.
struct Arrival {
    statement: ForwardedStatement,
    link: LinkMonitor,
    /// Age of the statement at its arrival, at most.
    age: Duration,
    /// Time at which the timeout of the statement is over.
    deadline: monoio::time::Instant,
}

impl Arrival {
    fn new(statement: ForwardedStatement, link: LinkMonitor) -> Self {
        let age = statement.sent.map_or(Duration::ZERO, |sent| link.age(sent));
        let left = statement.timeout().saturating_sub(age);
        Self { statement, link, age, deadline: monoio::time::Instant::now() + left }
    }

    /// Returns whether the sender may have given the statement up. Includes time in which this host was
    /// suspended, which `deadline` does not.
    fn is_given_up(&self) -> bool {
        let is_over = |sent| self.link.age(sent) >= self.statement.timeout();
        !self.link.is_open()
            || self.statement.sent.is_some_and(is_over)
            || monoio::time::Instant::now() >= self.deadline
    }

    /// Returns how long the statement may still be queued.
    fn queue_timeout(&self) -> Duration {
        let elapsed = self.statement.sent.map_or(Duration::ZERO, |sent| self.link.age(sent));
        self.statement.queue_timeout().saturating_sub(elapsed)
    }
}

/// Runs a forwarded statement and replies with the result.
pub async fn serve(host: Rc<Host>, from: HostId, statement: ForwardedStatement, replier: Replier) {
    let mut memory = host.memory.charge();
    let values = statement.values.iter().map(|(name, value)| name.len() + value.len());
    let size = statement.line.len() + values.sum::<usize>();
    if memory.set(size * STATEMENT_COPIES).is_err() {
        return replier.reply(Answer::ForwardResult(ForwardResult::NotSent(NotSent::Full)));
    }
    let arrival = Arrival::new(statement, replier.link_monitor());
    let relayed = match acquire(&host, &from, &arrival).await {
        Ok(acquired) => run(&host, from.clone(), arrival, acquired).await,
        Err(NotSent::Unreachable) => {
            info!(
                server = %arrival.statement.server, %from,
                age_ms = arrival.age.as_millis() as u64, open = arrival.link.is_open(),
                "relay: statement not run, its sender has given it up"
            );
            ForwardResult::NotSent(NotSent::Unreachable)
        }
        Err(reason) => {
            let Arrival { statement, .. } = arrival;
            record_failure(&host, &statement, reason);
            ForwardResult::NotSent(reason)
        }
    };
    // The answer is held until it is written to the link.
    if let ForwardResult::Answered(answer) = &relayed
        && memory.set(answer.raw.len() * ANSWER_COPIES).is_err()
    {
        info!(%from, bytes = answer.raw.len(), "relay: an answer exceeds the memory limit");
    }
    replier.reply_charged(Answer::ForwardResult(relayed), memory);
}

/// Records a failed connection to a leader with the group's failure detector.
///
/// Guards against a leader that closes every connection and is not detected: other hosts leave its
/// detection to its holder, which is this host and may send it no statements of its own.
fn record_failure(host: &Host, statement: &ForwardedStatement, reason: NotSent) {
    let Some(pool) = host.server(&statement.server) else { return };
    let group = host.group(&pool.listed.borrow().group);
    if group.leader().as_ref() != Some(&statement.server) {
        return;
    }
    match reason {
        NotSent::Refused => group.suspicion.borrow_mut().refused(host.now()),
        NotSent::Silent => group.suspicion.borrow_mut().silent(host.now()),
        _ => {}
    }
}

/// Returns whether a statement may be sent under this use of the leader.
fn may_send(host: &Host, usage: Option<&LeaderUse>) -> bool {
    usage.is_none_or(|usage| host.holds(usage))
}

/// Returns whether the server may no longer get the statement, which is not one of an open transaction,
/// as it is leaving. Does not apply to the hosts' own queries, which have no account.
fn is_drained(host: &Host, pool: &Pool, statement: &ForwardedStatement) -> bool {
    statement.account.is_some() && placement::is_drained(host, pool)
}

/// Begins to use the statement's server as leader; `None` if the statement does not rely on the
/// leader.
fn begin_use(
    host: &Host,
    pool: &Pool,
    statement: &ForwardedStatement,
) -> Result<Option<LeaderUse>, NotSent> {
    if !statement.leads {
        return Ok(None);
    }
    let group = host.group(&pool.listed.borrow().group);
    let usage = host.begin(&group).filter(|usage| usage.server == statement.server);
    usage.map(Some).ok_or(NotSent::NotLeader)
}

/// Acquires the connection for a forwarded statement: the connection of its open transaction, or a
/// connection from the pool. The statement may be sent until the next suspension of the task.
async fn acquire(host: &Host, from: &HostId, arrival: &Arrival) -> Result<Acquired, NotSent> {
    let Arrival { statement, deadline, .. } = arrival;
    let deadline = *deadline;
    let pool = host.server(&statement.server).ok_or(NotSent::UnknownServer)?;
    if placement::is_forbidden(host, &pool) {
        return Err(NotSent::Evacuated);
    }
    if let Some(id) = statement.transaction.filter(|_| !statement.opens) {
        let idle = host.remote_transactions.idle.borrow_mut().remove(&(from.clone(), id));
        // Dropped, and its transaction with it, if the statement is not sent.
        let IdleTransaction { leased, usage, .. } = idle.ok_or(NotSent::Closed)?;
        let permit = pool.enter_in_transaction(deadline).await.map_err(conn::queue_full)?;
        if arrival.is_given_up() {
            return Err(NotSent::Unreachable);
        }
        if !may_send(host, usage.as_ref()) {
            return Err(NotSent::NotLeader);
        }
        return Ok(Acquired { leased, permit: Some(permit), usage });
    }
    if arrival.is_given_up() {
        return Err(NotSent::Unreachable);
    }
    if *host.phase.borrow() >= Phase::Closing {
        return Err(NotSent::Draining);
    }
    if is_drained(host, &pool, statement) {
        return Err(NotSent::Rejected);
    }
    let usage = begin_use(host, &pool, statement)?;
    let (leased, permit) = match &statement.account {
        Some(account) => {
            let (priority, queue_timeout) = (statement.priority, arrival.queue_timeout());
            let opens = statement.opens;
            let transaction = conn::transaction_place(&pool, account, opens, queue_timeout).await?;
            let queue_timeout = arrival.queue_timeout();
            let permit = pool.enter(priority, queue_timeout, host.now()).await;
            let permit = permit.map_err(conn::queue_full)?;
            let mut leased = pool.lease(account, &statement.values, deadline).await;
            if let Ok(leased) = &mut leased {
                leased.transaction = transaction;
            }
            (leased, Some(permit))
        }
        None => (pool.lease_any(&monitor::any_account(host), deadline).await, None),
    };
    let leased = leased.map_err(conn::not_sent)?;
    // The server may have been evacuated or replaced while the statement was queued.
    if placement::is_forbidden(host, &pool) {
        return Err(NotSent::Evacuated);
    }
    if is_drained(host, &pool, statement) {
        return Err(NotSent::Rejected);
    }
    if arrival.is_given_up() {
        return Err(NotSent::Unreachable);
    }
    if !may_send(host, usage.as_ref()) {
        return Err(NotSent::NotLeader);
    }
    Ok(Acquired { leased, permit, usage })
}

async fn run(host: &Host, from: HostId, arrival: Arrival, acquired: Acquired) -> ForwardResult {
    let Arrival { statement, link, deadline, .. } = arrival;
    let Acquired { mut leased, permit, usage } = acquired;
    let backend = leased.backend();
    if statement.account.is_some() {
        let shape = statement.shape.as_ref();
        backend.put(&statement.values, shape, |out| out.extend_from_slice(&statement.line));
    } else {
        backend.out.extend_from_slice(&statement.line);
    }
    let sent_at = Instant::now();
    let pool = leased.pool().clone();
    pool.exchanges.borrow_mut().begin(host.now());
    let given_up = async {
        link.closed().await;
        monoio::time::sleep(LOST_LINK_GRACE).await;
    };
    let answer = monoio::select! {
        answer = monoio::time::timeout_at(deadline, leased.backend().exchange()) => Some(answer),
        _ = given_up => None,
    };
    pool.exchanges.borrow_mut().end(matches!(answer, Some(Ok(Ok(_)))), host.now());
    let Some(answer) = answer else {
        info!(server = %statement.server, %from, "relay: statement broken off, its link has closed");
        return ForwardResult::Lost;
    };
    match answer {
        Ok(Ok(answer)) => {
            if let Some(permit) = permit {
                permit.latency.set(Some(sent_at.elapsed()));
            }
            release(
                host,
                from,
                &statement,
                Acquired { leased, permit: None, usage },
                &answer,
                link,
            );
            ForwardResult::Answered(answer)
        }
        Ok(Err(error)) => {
            let error = format_args!("{error:#}");
            info!(server = %statement.server, %from, %error, "relay: connection to server lost");
            leased.pool().record_disconnect();
            ForwardResult::Lost
        }
        Err(_) => {
            record_timeout(leased.pool(), &statement);
            ForwardResult::TimedOut
        }
    }
}

/// Stores the connection if a transaction is open on it. Otherwise returns the connection to the
/// pool, or closes it if it is not clean.
fn release(
    host: &Host,
    from: HostId,
    statement: &ForwardedStatement,
    acquired: Acquired,
    answer: &ServerAnswer,
    link: LinkMonitor,
) {
    let Acquired { mut leased, usage, .. } = acquired;
    let open = statement.transaction.filter(|_| answer.state != State::Idle);
    match open {
        Some(id) => {
            let transaction = IdleTransaction { leased, since: host.now(), link, usage };
            host.remote_transactions.store((from, id), transaction);
        }
        None if leased.backend().is_clean(answer) => leased.give_back(),
        None => {}
    }
}

/// Logs a timeout and closes the idle connections to the server.
fn record_timeout(pool: &Pool, statement: &ForwardedStatement) {
    info!(server = %statement.server, ms = statement.timeout_ms, "relay: the server did not answer in time");
    pool.drop_idle();
}
