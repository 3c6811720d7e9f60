//! Requests that run at most once, and the outcome table of a database group.
//!
//! A request with an id writes its row in its own transaction, so the row exists if and only if
//! the request ran, even if the answer is lost. Several attempts may be in progress at the same
//! time, at several homes; only one of them can write the row (see
//! `bergamottrack_coordination::outcome`).

use std::time::{Instant, UNIX_EPOCH};

use anyhow::{bail, ensure};
use bergamottrack_coordination::{
    AccountId, Fate, Point, Reason, Refusal, RequestId,
    fair::Ticket,
    outcome::{self, Attempt, Claim, Outcome, Plan},
};
use bergamottrack_peer::{HomeSide, Intent, ToEntry, ToHome, message::TransactionState};
use bergamottrack_pg::answer::{self, Severity};
use bytes::Bytes;
use tracing::{debug, info};

use crate::{
    backend::{Conn, Reply},
    execution::{self, Answer, Execution, Failure},
    group::{GroupHome, RETRY_DELAY},
    protocol,
    serve::{self, Target},
};

/// Name of the outcome table.
const TABLE: &str = "bergamottrack_outcomes";

/// Maximum number of tries to resolve an outcome while other attempts change the row.
const MAX_TRIES: usize = 3;

/// Key of a request with an id.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RequestKey {
    /// Client account of the request.
    pub account: AccountId,
    /// Id that the caller gave the request.
    pub request: RequestId,
}

/// Attempt in progress at this home; unregistered on drop.
pub struct AttemptGuard<'a> {
    home: &'a GroupHome,
    key: RequestKey,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        self.home.running_requests.borrow_mut().remove(&self.key);
    }
}

impl<'a> AttemptGuard<'a> {
    /// Registers an attempt; refused while another attempt with the same key runs at this home.
    pub fn begin(home: &'a GroupHome, key: RequestKey) -> Result<Self, Refusal> {
        if !home.running_requests.borrow_mut().insert(key.clone()) {
            return Err(busy(&key));
        }
        Ok(Self { home, key })
    }

    /// Reads the row and returns how to write it; refused if the request ran before.
    ///
    /// To be called before anything else is sent: an attempt that is delayed after this call
    /// finds the row changed and cannot run any more.
    pub async fn plan(&self, exec: &Execution<'_>, conn: &mut Conn) -> Result<Claim, Refusal> {
        match bounded(exec, read_row(conn, &self.key)).await.map_err(not_started)? {
            Plan::Write(claim) => {
                debug!("home: group {}: request {} is planned.", self.home.id, self.key.request);
                Ok(claim)
            }
            Plan::Done => Err(self.already_done(exec, conn).await),
        }
    }

    /// Returns the refusal of a request that ran before: as done once the row is confirmed.
    async fn already_done(&self, exec: &Execution<'_>, conn: &mut Conn) -> Refusal {
        match bounded(exec, primary_held(conn)).await {
            Ok(point) if self.home.confirm(exec.server, point, exec.deadline).await => {
                done("the request ran before, under the same id")
            }
            _ => execution::unconfirmed(),
        }
    }

    /// Checks that the entry still waits for the answer. To be called after [`Self::plan`].
    ///
    /// Guards against a request that was delayed on its way to the home. Its caller may have got
    /// an unknown fate, queried the outcome and got "not run". The request would then
    /// be planned from the row that was written for this answer, and would run. An entry that no
    /// longer waits does not forward the empty part sent here, so no credit arrives for the part.
    pub async fn check_entry_waits(
        &self,
        exec: &Execution<'_>,
        side: &mut HomeSide,
    ) -> Result<(), Refusal> {
        side.send(ToEntry::Part(Bytes::new()));
        let answer = bounded(exec, async {
            loop {
                match side.recv().await {
                    Some(ToHome::Credit(_)) => return Ok(()),
                    Some(ToHome::Close) | None => bail!("the caller is gone"),
                    Some(ToHome::Cancel | ToHome::More { .. }) => {}
                }
            }
        });
        answer.await.map_err(not_started)
    }

    /// Begins a transaction for the first batch of a request, and writes the row.
    pub async fn begin_transaction(
        &self,
        exec: &Execution<'_>,
        conn: &mut Conn,
        claim: &Claim,
    ) -> Result<(), Refusal> {
        let begin = async {
            let reply = conn.run("BEGIN").await?;
            ensure!(reply.in_transaction, "no transaction could be begun");
            Ok(())
        };
        bounded(exec, begin).await.map_err(not_started)?;
        self.write_row(exec, conn, claim).await
    }

    /// Writes the row in the open transaction.
    ///
    /// After a failure this attempt must not run the request. The failure may be due to another
    /// attempt with the same id, so the fate of the request is unknown.
    pub async fn write_row(
        &self,
        exec: &Execution<'_>,
        conn: &mut Conn,
        claim: &Claim,
    ) -> Result<(), Refusal> {
        match bounded(exec, write_row(self.home, conn, &self.key, claim, "done")).await {
            Ok(reply) if is_written(&reply) => Ok(()),
            Ok(_) => Err(busy(&self.key)),
            Err(error) => {
                Err(Refusal::unknown(Reason::Lost, Some(RETRY_DELAY), format!("{error:#}")))
            }
        }
    }

    /// Ends the transaction begun by [`Self::begin_transaction`], and adds its point or error to the
    /// answer.
    pub async fn end_transaction(
        &self,
        exec: &Execution<'_>,
        conn: &mut Conn,
        state: TransactionState,
        answer: &mut Answer,
    ) -> Result<TransactionState, Failure> {
        let sql = match state {
            // The statement itself has ended the transaction.
            TransactionState::Idle => return Ok(TransactionState::Idle),
            TransactionState::Failed => "ROLLBACK",
            TransactionState::Open => "COMMIT",
        };
        let reply = bounded(exec, conn.run(sql)).await.map_err(|error| {
            let fate = if state == TransactionState::Open { Fate::Unknown } else { Fate::NotRun };
            let message = format!("{error:#}").into();
            Refusal { reason: Reason::Lost, fate, retry: Some(RETRY_DELAY), message }
        })?;
        answer.point = reply.point;
        if let Some(error) = &reply.error {
            let bytes = answer::error(Severity::Error, &error.code, &error.text, None, None);
            answer.pending.extend_from_slice(&bytes);
        }
        if state == TransactionState::Open && reply.error.is_none() && reply.point.is_none() {
            return Err(execution::unconfirmed().into());
        }
        Ok(TransactionState::Idle)
    }
}

/// Returns the refusal of a request while another attempt with its id is in progress.
fn busy(key: &RequestKey) -> Refusal {
    let message = format!("another attempt of request {} is on its way", key.request);
    Refusal::unknown(Reason::Busy, Some(RETRY_DELAY), message)
}

/// Returns the refusal of a request that ran before.
fn done(message: &str) -> Refusal {
    Refusal { reason: Reason::Done, fate: Fate::Done, retry: None, message: message.into() }
}

/// Returns the refusal of a request that failed before anything was run.
fn not_started(error: anyhow::Error) -> Refusal {
    Refusal::not_run(Reason::Unavailable, Some(RETRY_DELAY), format!("{error:#}"))
}

/// Completes `work`, or fails if the deadline passes or the server becomes unusable first.
async fn bounded<T>(
    exec: &Execution<'_>,
    work: impl Future<Output = anyhow::Result<T>>,
) -> anyhow::Result<T> {
    monoio::select! {
        result = work => result,
        _ = exec.home.wait_unusable(exec.server, exec.intent, exec.term) => {
            bail!("{} was replaced", exec.server.contract.id)
        }
        _ = monoio::time::sleep_until(exec.deadline.into()) => bail!("the deadline passed"),
    }
}

/// Reads the row and returns the plan for it; creates the table if it does not exist.
async fn read_row(conn: &mut Conn, key: &RequestKey) -> anyhow::Result<Plan> {
    let RequestKey { account, request } = key;
    let sql = format!(
        "SELECT state || ' ' || attempt FROM {TABLE} \
         WHERE account = '{account}' AND id = '{request}'"
    );
    let mut reply = conn.run(&sql).await?;
    if reply.error.is_some() {
        let columns = "account TEXT NOT NULL, id TEXT NOT NULL, state TEXT NOT NULL, \
                       attempt TEXT NOT NULL, at BIGINT NOT NULL, PRIMARY KEY (account, id)";
        // Another home may create the table at the same time, so the second read decides.
        conn.run(&format!("CREATE TABLE IF NOT EXISTS {TABLE} ({columns})")).await?;
        reply = conn.run(&sql).await?;
    }
    if let Some(error) = reply.error {
        bail!("reading the outcome of request {request}: {}", error.text);
    }
    let row = reply.first.map(|text| text.parse()).transpose()?;
    Ok(outcome::plan(row))
}

/// Writes the row with `state`, as planned by `claim`.
async fn write_row(
    home: &GroupHome,
    conn: &mut Conn,
    key: &RequestKey,
    claim: &Claim,
    state: &str,
) -> anyhow::Result<Reply> {
    let RequestKey { account, request } = key;
    let attempt = Attempt::new(rand::random());
    let at = home.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let sql = match claim {
        Claim::Insert => format!(
            "INSERT INTO {TABLE} (account, id, state, attempt, at) \
             VALUES ('{account}', '{request}', '{state}', '{attempt}', {at})"
        ),
        Claim::Replace(before) => format!(
            "UPDATE {TABLE} SET state = '{state}', attempt = '{attempt}', at = {at} \
             WHERE account = '{account}' AND id = '{request}' \
             AND state = 'void' AND attempt = '{before}'"
        ),
    };
    conn.run(&sql).await
}

/// Returns whether the row was written, which requires that it has not changed since the plan.
fn is_written(reply: &Reply) -> bool {
    reply.error.is_none() && matches!(&*reply.tag, "INSERT 0 1" | "UPDATE 1")
}

/// Returns the point of the last record in the log of the server. Fails if the server is not the
/// primary.
async fn primary_held(conn: &mut Conn) -> anyhow::Result<Point> {
    let text = conn.query_text(protocol::SHOW_STATUS).await?.unwrap_or_default();
    let status = protocol::parse_status(&text)?;
    ensure!(status.leads(), "the server does not lead");
    Ok(status.held)
}

/// Returns the outcome of a request. The answer is valid from any home and at any time.
pub async fn resolve(home: &GroupHome, key: &RequestKey, deadline: Instant) -> Outcome {
    for _ in 0..MAX_TRIES {
        if home.running_requests.borrow().contains(key) {
            break;
        }
        match try_resolve(home, key, deadline).await {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => {}
            Err(refusal) => {
                debug!("home: group {}: outcome of a request not resolved: {refusal}.", home.id);
                return Outcome::Unknown { again: refusal.retry.unwrap_or(RETRY_DELAY) };
            }
        }
    }
    Outcome::Unknown { again: RETRY_DELAY }
}

/// Tries to resolve the outcome of a request; returns `None` if another attempt has changed the
/// row in the meantime.
///
/// The row counts only once another server holds it in the primary's term. A partitioned
/// primary may show a row that is lost, or lack a row that its successor has.
async fn try_resolve(
    home: &GroupHome,
    key: &RequestKey,
    deadline: Instant,
) -> Result<Option<Outcome>, Refusal> {
    // Urgent, because a person may be waiting for the answer.
    let ticket = Ticket { account: key.account.clone(), weight: 1, deadline, urgent: true };
    let arrived = home.clock.now();
    let intent = &Intent::Write;
    let Target { server, term, requirement, slot, mut pooled } =
        serve::acquire_target(home, intent, &ticket).await?;
    let exec = Execution {
        home,
        server,
        term,
        intent,
        requirement,
        arrived,
        in_transaction: false,
        deadline,
    };
    let conn = &mut pooled.conn;
    let lookup = async {
        match read_row(conn, key).await? {
            Plan::Done => Ok(Some((Outcome::Done, primary_held(conn).await?))),
            Plan::Write(claim) => {
                let reply = write_row(home, conn, key, &claim, "void").await?;
                let point = reply.point.filter(|_| is_written(&reply));
                Ok(point.map(|point| (Outcome::NotRun, point)))
            }
        }
    };
    let found = bounded(&exec, lookup).await.map_err(not_started)?;
    pooled.release();
    drop(slot);
    match found {
        None => Ok(None),
        Some((outcome, point)) if home.confirm(server, point, deadline).await => Ok(Some(outcome)),
        Some(_) => Err(execution::unconfirmed()),
    }
}

/// Resolves a refusal of unknown fate by the outcome of the request. Retries until `deadline` and
/// then returns the refusal unchanged.
pub async fn resolve_refusal(
    home: &GroupHome,
    key: &RequestKey,
    refusal: Refusal,
    deadline: Instant,
) -> Refusal {
    loop {
        match resolve(home, key, deadline).await {
            Outcome::Done => {
                info!(
                    "home: group {}: outcome of request {} resolved: done.",
                    home.id, key.request
                );
                return done("the request ran; its answer was lost");
            }
            Outcome::NotRun => {
                info!(
                    "home: group {}: outcome of request {} resolved: not run.",
                    home.id, key.request
                );
                return Refusal { fate: Fate::NotRun, ..refusal };
            }
            Outcome::Unknown { again } => {
                let next = home.clock.now() + again;
                if next >= deadline {
                    return refusal;
                }
                monoio::time::sleep_until(next.into()).await;
            }
        }
    }
}
