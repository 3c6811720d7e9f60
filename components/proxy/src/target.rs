//! Selection of backend servers for an operation, and exchanges on the chosen connection.

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
    conn::{self, Conn, QueueParams},
    group::{LeaderUse, Requirement},
    host::Host,
    operation::{Operation, Refusal},
    placement,
    pool::Pool,
    replica_set,
    timing::Stage,
};

/// Maximum time that a statement waits for a free connection while all are in use.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(400);

/// A backend server that may run an operation.
pub struct Target {
    /// Connection pool of the server.
    pub pool: Rc<Pool>,
    /// Log position that the server must have reached; `None` at the leader.
    pub required_position: Option<Point>,
    /// Permission to use the server as leader; `None` at a replica.
    pub usage: Option<LeaderUse>,
}

/// Description of a target for the log.
pub struct TargetInfo {
    server: ServerId,
    required_position: Option<Point>,
    leads: bool,
}

impl TargetInfo {
    /// Describes a target.
    pub fn new(target: &Target) -> Self {
        let server = target.pool.listed.borrow().id.clone();
        Self { server, required_position: target.required_position, leads: target.usage.is_some() }
    }

    /// Logs why the target did not serve the operation.
    pub fn log(&self, operation: &Operation, why: &str) {
        let after = self.required_position.as_ref().map(tracing::field::display);
        info!(
            id = %operation.id, server = %self.server, leads = self.leads, after, why,
            "statement: not served by target"
        );
    }
}

/// Connection on which an operation runs, with the operation's state there.
pub struct Execution {
    /// The connection.
    pub conn: Conn,
    /// Permission to use the server as leader; `None` at a replica.
    pub usage: Option<LeaderUse>,
    /// Log position that the server must have reached; `None` at the leader.
    pub required_position: Option<Point>,
    /// Whether the transaction has sent a write.
    pub wrote: bool,
}

/// Selects the servers that may run the operation now, in order of preference. The list is empty
/// if there is none.
pub fn select(host: &Host, operation: &Operation) -> Vec<Target> {
    let now = host.now();
    let requirement = match operation.access {
        Access::Write => Requirement::Leader,
        Access::Read => {
            operation.group.requirement(operation.consistency, operation.last_write, now)
        }
    };
    let leader =
        host.begin(&operation.group).filter(|usage| leader_allowed(host, operation, usage));
    let required_position = match requirement {
        Requirement::Log(point) => Some(point),
        Requirement::Leader => None,
    };
    let Some(required_position) = required_position else {
        let target = leader.and_then(|usage| {
            Some(Target {
                pool: host.server(&usage.server)?,
                required_position: None,
                usage: Some(usage),
            })
        });
        return target.into_iter().collect();
    };
    let leader_id = leader.as_ref().map(|usage| usage.server.clone());
    let mut servers = host.servers(&operation.group.id);
    servers.retain(|pool| {
        let allowed = placement::of(host, pool) == evacuation::Placement::Allowed;
        allowed && placement::is_home(host, pool, &operation.homes)
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
                connected: host.is_connected(pool, &operation.account),
                leads: leader_id.as_ref() == Some(&listed.id),
                cold: pool.is_cold(now),
                slots: listed.slots,
                wait: pool.wait(operation.priority, operation.queue_timeout, now),
            }
        })
        .collect();
    let mut order = choice::order(&candidates, Some(required_position), now);
    // Replicas marked as lacking the position are skipped while another server may have reached it.
    let lacks =
        |i: &usize| !candidates[*i].leads && candidates[*i].health.lacks(required_position, now);
    if !order.iter().all(lacks) {
        order.retain(|i| !lacks(i));
    }
    drop(candidates);
    drop(health);
    let mut leader = leader;
    let mut targets: Vec<Target> = Vec::new();
    for i in order {
        let pool = servers[i].clone();
        let listed = pool.listed.borrow().clone();
        // A server that is leaving gets no new reads while the group has another permitted server.
        if listed.leaving && servers.len() > 1 || placement::is_drained(host, &pool) {
            continue;
        }
        let usage = leader.take_if(|usage| usage.server == listed.id);
        let required_position = if usage.is_some() { None } else { Some(required_position) };
        targets.push(Target { pool, required_position, usage });
    }
    // A leader that is leaving, or whose failure domain is being evacuated, is tried last.
    let fallback = leader.and_then(|usage| Some((host.server(&usage.server)?, usage)));
    targets.extend(fallback.map(|(pool, usage)| Target {
        pool,
        required_position: None,
        usage: Some(usage),
    }));
    targets
}

/// Returns the shortest time for which a target refuses the operation for congestion. `None` if
/// one of the targets may accept it or there are no targets.
pub fn congestion_wait(host: &Host, operation: &Operation, targets: &[Target]) -> Option<Duration> {
    let now = host.now();
    let wait = |target: &Target| {
        target.pool.congestion.borrow().remaining(operation.priority, operation.queue_timeout, now)
    };
    let waits: Option<Vec<_>> = targets.iter().map(wait).collect();
    waits?.into_iter().min()
}

/// Returns whether evacuations and home regions permit the leader to run the operation.
fn leader_allowed(host: &Host, operation: &Operation, usage: &LeaderUse) -> bool {
    let pool = host.server(&usage.server);
    pool.is_some_and(|pool| {
        !placement::is_forbidden(host, &pool)
            && !placement::is_drained(host, &pool)
            && placement::is_home(host, &pool, &operation.homes)
    })
}

/// Acquires a connection to the target: through the host that holds the server's connections, if
/// statements may be forwarded to it, otherwise from this host's pool. `opens` is whether it is for a
/// transaction.
pub async fn connect(
    host: &Host,
    operation: &Operation,
    session: &Session,
    target: Target,
    opens: bool,
) -> Result<Execution, Refusal> {
    let Target { pool, required_position, usage } = target;
    let until = operation.deadline.min(Instant::now() + CONNECTION_TIMEOUT);
    let queue = QueueParams {
        priority: operation.priority,
        queue_timeout: operation.queue_timeout,
        deadline: until,
        opens,
    };
    let now = host.now();
    let conn = match placement::holder_link(host, &pool, &operation.account, &operation.homes).await
    {
        Some(link) => Conn::remote(pool, link, operation.account.clone(), queue, usage.is_some()),
        None => {
            Conn::own(&pool, &operation.account, session, queue, now).await.map_err(|reason| {
                record_not_sent(host, operation, &pool, usage.is_some(), reason, now)
            })?
        }
    };
    operation.timing.add(Stage::Connection, host.now().saturating_duration_since(now));
    if usage.as_ref().is_some_and(|usage| !host.holds(usage)) {
        return Err(Refusal::busy("the leader changed"));
    }
    Ok(Execution { conn, usage, required_position, wrote: false })
}

/// Records the failure of a server that did not receive a statement and returns the refusal for
/// the caller. `started` is the time at which the attempt began.
fn record_not_sent(
    host: &Host,
    operation: &Operation,
    pool: &Pool,
    leads: bool,
    reason: NotSent,
    started: StdInstant,
) -> Refusal {
    let mut health = pool.health.borrow_mut();
    match reason {
        NotSent::QueueFull(wait_ms) => {
            let wait = Duration::from_millis(wait_ms.into());
            let mut congestion = pool.congestion.borrow_mut();
            congestion.refused(operation.priority, operation.queue_timeout, wait, host.now());
            return Refusal::overloaded(wait);
        }
        NotSent::Refused => {
            health.fail(started);
            health.fail(started);
            if leads {
                operation.group.suspicion.borrow_mut().refused(host.now());
            }
        }
        NotSent::Silent => {
            health.fail(started);
            // `Silent` includes servers that accept connections and close them.
            if leads {
                operation.group.suspicion.borrow_mut().silent(started);
            }
        }
        NotSent::Misdirected => {
            health.fail(started);
            health.fail(started);
        }
        _ => {}
    }
    Refusal::busy(match reason {
        NotSent::Full => "all connections to the server are in use",
        NotSent::Refused => "the server refuses connections",
        NotSent::Silent => "the server does not answer",
        NotSent::Misdirected => "another server has the address",
        NotSent::Rejected | NotSent::QueueFull(_) => "the server takes no connection",
        NotSent::UnknownServer => "the holder of its connections does not know the server",
        NotSent::Closed => "the transaction's connection was closed",
        NotSent::Draining => "the holder of the server's connections is being stopped",
        NotSent::Unreachable => "the holder of the server's connections is out of reach",
        NotSent::Evacuated => "the server's failure domain is evacuated",
        NotSent::NotLeader => "the host with the connection may not use the leader",
    })
}

/// Reason why an exchange has no answer.
pub enum ExchangeError {
    /// The statement was not sent to the server.
    NotSent(Refusal),
    /// The statement was sent and no valid answer was received.
    Lost(&'static str),
}

/// Sends the pending statement and reads the answer, for `timeout` at most. At a leader the
/// exchange also ends with the leader's epoch.
pub async fn exchange(
    host: &Host,
    operation: &Operation,
    execution: &mut Execution,
    timeout: Duration,
) -> Result<ServerAnswer, ExchangeError> {
    let sent_at = host.now();
    let pool = execution.conn.pool().clone();
    pool.health.borrow_mut().begin(sent_at);
    let revoked = async {
        match &execution.usage {
            Some(usage) => usage.epoch_ended().await,
            None => std::future::pending().await,
        }
    };
    // The answer of a former leader may not be passed on, so the exchange ends when this host stops
    // using the leader, not only at the timeout.
    operation.timing.set_holder(execution.conn.holder());
    let lease = execution.usage.as_ref().and_then(|_| host.lease_info(&operation.group.id));
    operation.timing.set_lease(lease);
    let may_send = || execution.usage.as_ref().is_none_or(|usage| host.holds(usage));
    let answer = monoio::select! {
        answer = execution.conn.exchange(timeout, may_send) => answer,
        _ = revoked => {
            operation.timing.add(Stage::Server, host.now().saturating_duration_since(sent_at));
            pool.health.borrow_mut().end(None, host.now());
            return Err(ExchangeError::Lost("the leader changed"));
        }
    };
    let now = host.now();
    operation.timing.add(Stage::Server, now.saturating_duration_since(sent_at));
    match answer {
        Ok(answer) => {
            pool.congestion.borrow_mut().served(operation.priority, now);
            let took = now.saturating_duration_since(sent_at);
            pool.health.borrow_mut().end(Some(took), now);
            record_answer(host, operation, execution, &pool, &answer, sent_at);
            Ok(answer)
        }
        Err(conn::ExchangeError::NotSent(reason)) => {
            pool.health.borrow_mut().end(None, now);
            let leads = execution.usage.is_some();
            Err(ExchangeError::NotSent(record_not_sent(
                host, operation, &pool, leads, reason, sent_at,
            )))
        }
        Err(error) => {
            let mut health = pool.health.borrow_mut();
            health.end(None, now);
            health.fail(now);
            Err(ExchangeError::Lost(match error {
                conn::ExchangeError::Late => "the server did not answer in time",
                _ => "the connection was lost",
            }))
        }
    }
}

/// Records the log position in an answer and, if the current leader gave it, that the leader has
/// answered.
fn record_answer(
    host: &Host,
    operation: &Operation,
    execution: &Execution,
    pool: &Pool,
    answer: &ServerAnswer,
    sent_at: StdInstant,
) {
    if let Some(point) = answer.point
        && operation.group.leader().is_some_and(|id| id != pool.listed.borrow().id)
        && replica_set::counts(host, &operation.group, &pool.listed.borrow().id)
    {
        // A replica that returns a log position has received the log up to there.
        operation.group.receipts.state.borrow_mut().note(point);
    }
    if let Some(usage) = &execution.usage
        && host.holds(usage)
    {
        operation.group.suspicion.borrow_mut().answered();
        if let Some(point) = answer.point {
            operation.group.note_position(sent_at, point);
            operation.group.seen.set(Some((sent_at, point)));
        }
    }
}

/// Queues a statement on the connection, preceded by the steps that apply the session's values
/// and the named statement.
pub fn put_statement(
    execution: &mut Execution,
    session: &Session,
    request: &Request,
    required_position: Option<Point>,
) {
    let (shape, args) = match &request.statement {
        Statement::Execute { name, args } => (session.prepared.get(name), &**args),
        _ => (None, ""),
    };
    execution.conn.put(session, shape, |out| match shape {
        Some(shape) => {
            let name = session::shared_name(shape);
            wire::put_execute(&request.id, required_position, &name, args, out);
        }
        None => wire::put_query(&request.id, required_position, &request.text, out),
    });
}
