//! Requests that run at most once: the outcome table of a database group.
//!
//! A request with an id writes its row in its own transaction, so that the row
//! is there if and only if the request ran, whatever becomes of the answer.
//! Several attempts may be on their way at once, through several homes: the
//! servers let one alone write the row (see `bergamottrack_coordination::outcome`).

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
    border,
    group::{COME_BACK, GroupHome},
    serve::{self, Place},
    turn::{self, Answer, Failure, Turn},
};

const TABLE: &str = "bergamottrack_outcomes";

/// How often a question starts anew because another attempt moved the row.
const TRIES: usize = 3;

/// A request with an id.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Key {
    /// The client account.
    pub account: AccountId,
    /// The caller's id of the request.
    pub request: RequestId,
}

/// An attempt that is under way at this home, until dropped.
pub struct Running<'a> {
    home: &'a GroupHome,
    key: Key,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.home.running.borrow_mut().remove(&self.key);
    }
}

impl<'a> Running<'a> {
    /// Begins an attempt; a refusal while another one of the same id runs here.
    pub fn begin(home: &'a GroupHome, key: Key) -> Result<Self, Refusal> {
        if !home.running.borrow_mut().insert(key.clone()) {
            return Err(busy(&key));
        }
        Ok(Self { home, key })
    }

    /// Reads how the row is to be written; a refusal when the request ran before.
    ///
    /// Read before anything else is sent: an attempt that is delayed from here
    /// on finds the row changed and cannot run any more.
    pub async fn plan(&self, turn: &Turn<'_>, conn: &mut Conn) -> Result<Claim, Refusal> {
        match within(turn, read(conn, &self.key)).await.map_err(not_begun)? {
            Plan::Write(claim) => {
                debug!("home: group {}: request {} is planned.", self.home.id, self.key.request);
                Ok(claim)
            }
            Plan::Done => Err(self.done_before(turn, conn).await),
        }
    }

    async fn done_before(&self, turn: &Turn<'_>, conn: &mut Conn) -> Refusal {
        match within(turn, held(conn)).await {
            Ok(point) if self.home.confirm(turn.server, point, turn.deadline).await => {
                done("the request ran before, under the same id")
            }
            _ => turn::unconfirmed(),
        }
    }

    /// Makes sure that the entry still waits for the request, now that it is planned.
    ///
    /// Guards against a request that was held up on its way here. Its caller has
    /// been told that its end is unknown, has asked, and has heard "not run"; the
    /// request would plan from the row that this very answer wrote, and run. An
    /// entry that has given up does not pass anything on any more.
    pub async fn is_wanted(&self, turn: &Turn<'_>, side: &mut HomeSide) -> Result<(), Refusal> {
        side.send(ToEntry::Part(Bytes::new()));
        let answer = within(turn, async {
            loop {
                match side.recv().await {
                    Some(ToHome::Credit(_)) => return Ok(()),
                    Some(ToHome::Close) | None => bail!("the caller is gone"),
                    Some(ToHome::Cancel | ToHome::More { .. }) => {}
                }
            }
        });
        answer.await.map_err(not_begun)
    }

    /// Begins the transaction of a statement that stands outside of any.
    pub async fn open(
        &self,
        turn: &Turn<'_>,
        conn: &mut Conn,
        claim: &Claim,
    ) -> Result<(), Refusal> {
        let begin = async {
            let reply = conn.run("BEGIN").await?;
            ensure!(reply.open, "no transaction could be begun");
            Ok(())
        };
        within(turn, begin).await.map_err(not_begun)?;
        self.claim(turn, conn, claim).await
    }

    /// Writes the row in the open transaction.
    ///
    /// After a failure this attempt cannot run, but another one of the same id
    /// may be what it failed on: so the id's outcome is unknown.
    pub async fn claim(
        &self,
        turn: &Turn<'_>,
        conn: &mut Conn,
        claim: &Claim,
    ) -> Result<(), Refusal> {
        match within(turn, write(self.home, conn, &self.key, claim, "done")).await {
            Ok(reply) if has_written(&reply) => Ok(()),
            Ok(_) => Err(busy(&self.key)),
            Err(error) => {
                Err(Refusal::unknown(Reason::Lost, Some(COME_BACK), format!("{error:#}")))
            }
        }
    }

    /// Ends the transaction of a statement that stands outside of any.
    pub async fn close(
        &self,
        turn: &Turn<'_>,
        conn: &mut Conn,
        standing: TransactionState,
        answer: &mut Answer,
    ) -> Result<TransactionState, Failure> {
        let sql = match standing {
            // The statement has ended the transaction itself.
            TransactionState::Idle => return Ok(TransactionState::Idle),
            TransactionState::Failed => "ROLLBACK",
            TransactionState::Open => "COMMIT",
        };
        let reply = within(turn, conn.run(sql)).await.map_err(|error| {
            let fate =
                if standing == TransactionState::Open { Fate::Unknown } else { Fate::NotRun };
            let message = format!("{error:#}").into();
            Refusal { reason: Reason::Lost, fate, retry: Some(COME_BACK), message }
        })?;
        answer.point = reply.point;
        if let Some(error) = &reply.error {
            let bytes = answer::error(Severity::Error, &error.code, &error.text, None, None);
            answer.pending.extend_from_slice(&bytes);
        }
        if standing == TransactionState::Open && reply.error.is_none() && reply.point.is_none() {
            return Err(turn::unconfirmed().into());
        }
        Ok(TransactionState::Idle)
    }
}

fn busy(key: &Key) -> Refusal {
    let message = format!("another attempt of request {} is on its way", key.request);
    Refusal::unknown(Reason::Busy, Some(COME_BACK), message)
}

fn done(message: &str) -> Refusal {
    Refusal { reason: Reason::Done, fate: Fate::Done, retry: None, message: message.into() }
}

fn not_begun(error: anyhow::Error) -> Refusal {
    Refusal::not_run(Reason::Unavailable, Some(COME_BACK), format!("{error:#}"))
}

/// Does the work unless the deadline passes or the server is replaced before.
async fn within<T>(
    turn: &Turn<'_>,
    work: impl Future<Output = anyhow::Result<T>>,
) -> anyhow::Result<T> {
    monoio::select! {
        result = work => result,
        _ = turn.home.unfit(turn.server, turn.intent, turn.term) => {
            bail!("{} was replaced", turn.server.contract.id)
        }
        _ = monoio::time::sleep_until(turn.deadline.into()) => bail!("the deadline passed"),
    }
}

/// Reads the row; makes the table when there is none.
async fn read(conn: &mut Conn, key: &Key) -> anyhow::Result<Plan> {
    let Key { account, request } = key;
    let sql = format!(
        "SELECT state || ' ' || attempt FROM {TABLE} \
         WHERE account = '{account}' AND id = '{request}'"
    );
    let mut reply = conn.run(&sql).await?;
    if reply.error.is_some() {
        let columns = "account TEXT NOT NULL, id TEXT NOT NULL, state TEXT NOT NULL, \
                       attempt TEXT NOT NULL, at BIGINT NOT NULL, PRIMARY KEY (account, id)";
        // Another home may make it at the same time: the second look decides.
        conn.run(&format!("CREATE TABLE IF NOT EXISTS {TABLE} ({columns})")).await?;
        reply = conn.run(&sql).await?;
    }
    if let Some(error) = reply.error {
        bail!("reading the outcome of request {request}: {}", error.text);
    }
    let row = reply.first.map(|text| text.parse()).transpose()?;
    Ok(outcome::plan(row))
}

async fn write(
    home: &GroupHome,
    conn: &mut Conn,
    key: &Key,
    claim: &Claim,
    state: &str,
) -> anyhow::Result<Reply> {
    let Key { account, request } = key;
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

/// Whether the row was still as planned from, and is written now.
fn has_written(reply: &Reply) -> bool {
    reply.error.is_none() && matches!(&*reply.tag, "INSERT 0 1" | "UPDATE 1")
}

/// The last record that the server holds as primary.
async fn held(conn: &mut Conn) -> anyhow::Result<Point> {
    let text = conn.text(border::SHOW_STATUS).await?.unwrap_or_default();
    let status = border::parse_status(&text)?;
    ensure!(status.leads(), "the server does not lead");
    Ok(status.held)
}

/// What became of a request. Asked of any home at any time, it is true.
pub async fn ask(home: &GroupHome, key: &Key, deadline: Instant) -> Outcome {
    for _ in 0..TRIES {
        if home.running.borrow().contains(key) {
            break;
        }
        match ask_once(home, key, deadline).await {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => {}
            Err(refusal) => {
                debug!("home: group {}: an outcome is not known: {refusal}.", home.id);
                return Outcome::Unknown { again: refusal.retry.unwrap_or(COME_BACK) };
            }
        }
    }
    Outcome::Unknown { again: COME_BACK }
}

/// `None` when another attempt moved the row meanwhile.
///
/// Whatever the row says, it counts only once another server holds it in the
/// primary's term: a primary that is cut off could show a row that is lost, or
/// lack one that its successor has.
async fn ask_once(
    home: &GroupHome,
    key: &Key,
    deadline: Instant,
) -> Result<Option<Outcome>, Refusal> {
    // Somebody waits on the telephone for the answer.
    let ticket = Ticket { account: key.account.clone(), weight: 1, deadline, urgent: true };
    let since = home.clock.now();
    let intent = &Intent::Write;
    let Place { server, term, need, slot, mut taken } = serve::place(home, intent, &ticket).await?;
    let turn = Turn { home, server, term, intent, need, since, within: false, deadline };
    let conn = &mut taken.conn;
    let look = async {
        match read(conn, key).await? {
            Plan::Done => Ok(Some((Outcome::Done, held(conn).await?))),
            Plan::Write(claim) => {
                let reply = write(home, conn, key, &claim, "void").await?;
                let point = reply.point.filter(|_| has_written(&reply));
                Ok(point.map(|point| (Outcome::NotRun, point)))
            }
        }
    };
    let found = within(&turn, look).await.map_err(not_begun)?;
    taken.give_back();
    drop(slot);
    match found {
        None => Ok(None),
        Some((outcome, point)) if home.confirm(server, point, deadline).await => Ok(Some(outcome)),
        Some(_) => Err(turn::unconfirmed()),
    }
}

/// Finds out what became of a request whose end is unknown, while there is time.
pub async fn settle(home: &GroupHome, key: &Key, refusal: Refusal, deadline: Instant) -> Refusal {
    loop {
        match ask(home, key, deadline).await {
            Outcome::Done => {
                info!("home: group {}: request {} is found done.", home.id, key.request);
                return done("the request ran; its answer was lost");
            }
            Outcome::NotRun => {
                info!("home: group {}: request {} is found not run.", home.id, key.request);
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
