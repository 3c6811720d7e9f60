//! Execution of one batch of a caller's messages on a backend server.

use std::time::Instant;

use bergamottrack_coordination::{Fate, Point, Reason, Refusal, Term, pace};
use bergamottrack_peer::{HomeSide, Intent, ToEntry, ToHome, message::TransactionState};
use bergamottrack_pg::Frame;
use bytes::{Bytes, BytesMut};
use tracing::debug;

use crate::{
    backend::{self, Conn},
    batch::Batch,
    group::{GroupHome, RETRY_DELAY},
    route::Requirement,
    server::Server,
};

/// Number of pending bytes of an answer at which they are sent to the entry.
const FLUSH_THRESHOLD: usize = 16 * 1024;

/// Maximum number of bytes sent to the entry that it has not passed on yet; at this number
/// reading from the server pauses.
const MAX_UNACKNOWLEDGED: u64 = 256 * 1024;

/// Failure of an exchange, which ended without a complete answer.
pub struct Failure {
    /// Refusal sent to the caller.
    pub refusal: Refusal,
    /// Whether the exchange may run again on another server: it only reads, its server was
    /// lost, and no part of the batch's answer was sent.
    pub retryable: bool,
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, retryable: false }
    }
}

/// Execution of one batch of messages.
pub struct Execution<'a> {
    /// Home of the database group.
    pub home: &'a GroupHome,
    /// Backend server that runs the batch.
    pub server: &'a Server,
    /// Term of the server when it was selected.
    pub term: Term,
    /// Intent of the exchange.
    pub intent: &'a Intent,
    /// Requirement that the answer must meet.
    pub requirement: Requirement,
    /// Time at which the exchange arrived.
    pub arrived: Instant,
    /// Whether a transaction is open before the batch runs.
    pub in_transaction: bool,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// Answer as read so far.
#[derive(Default)]
pub struct Answer {
    /// Messages not sent to the entry yet.
    pub pending: BytesMut,
    /// Point that the answer shows or has reached, as reported by the server.
    pub point: Option<Point>,
    /// Whether the answer contains an error.
    pub failed: bool,
    /// Whether the requirement was checked.
    checked: bool,
    /// Whether a part was sent to the entry.
    partly_sent: bool,
    /// Whether the answer contains a row or the end of a statement.
    has_data: bool,
    /// Whether the answer contains the end of a statement.
    statement_ended: bool,
    /// Bytes sent to the entry that it has not passed on yet.
    unacknowledged: u64,
    /// Bytes that the entry has passed on to the caller.
    acknowledged: u64,
}

impl Execution<'_> {
    /// Sends the batch and reads its answer to the end.
    pub async fn run(
        &self,
        conn: &mut Conn,
        side: &mut HomeSide,
        batch: &Batch,
    ) -> Result<(TransactionState, Answer), Failure> {
        let mut answer = Answer::default();
        let result = self.read_answer(conn, side, batch, &mut answer).await;
        match result {
            Ok(standing) => Ok((standing, answer)),
            Err(refusal) => Err(self.failure(refusal, batch, &answer)),
        }
    }

    async fn read_answer(
        &self,
        conn: &mut Conn,
        side: &mut HomeSide,
        batch: &Batch,
        answer: &mut Answer,
    ) -> Result<TransactionState, Refusal> {
        conn.send(&batch.raw).await.map_err(|error| self.connection_lost(error))?;
        loop {
            let frame = monoio::select! {
                frame = conn.next(), if answer.unacknowledged < MAX_UNACKNOWLEDGED => {
                    frame.map_err(|error| self.connection_lost(error))?
                }
                item = side.recv() => {
                    self.handle_message(item, conn, answer).await?;
                    continue;
                }
                _ = self.home.wait_unusable(self.server, self.intent, self.term) => {
                    let message = format!("{} was lost or replaced", self.server.contract.id);
                    return Err(refusal(Reason::Lost, &message));
                }
                _ = monoio::time::sleep_until((self.deadline + pace::transfer_time(answer.acknowledged)).into()) => {
                    return Err(refusal(Reason::Deadline, "the deadline passed"));
                }
            };
            if let Some(standing) = add_frame(frame, conn, answer) {
                self.check(conn, answer).await?;
                return Ok(standing);
            }
            if answer.pending.len() >= FLUSH_THRESHOLD {
                self.check(conn, answer).await?;
                self.send_part(side, answer);
            }
        }
    }

    /// Sends the pending messages to the entry, unless they contain the end of a statement of
    /// a write: the caller would take the write for done before it is confirmed.
    fn send_part(&self, side: &HomeSide, answer: &mut Answer) {
        let held_back = answer.statement_ended && matches!(self.intent, Intent::Write);
        if held_back {
            return;
        }
        let part = answer.pending.split().freeze();
        answer.unacknowledged += part.len() as u64;
        answer.partly_sent = true;
        side.send(ToEntry::Part(part));
    }

    /// Checks the requirement once, before any part of the answer is sent.
    async fn check(&self, conn: &Conn, answer: &mut Answer) -> Result<(), Refusal> {
        if std::mem::replace(&mut answer.checked, true) {
            return Ok(());
        }
        self.check_requirement(conn, answer)?;
        self.check_current().await
    }

    /// Refuses a read whose answer shows less than required.
    ///
    /// The server was selected by its last reported status. If it has discarded records since,
    /// or another server runs at its address, its answer would be stale. The point that the
    /// server reports before the rows of the answer is decisive.
    fn check_requirement(&self, conn: &Conn, answer: &Answer) -> Result<(), Refusal> {
        let shown = conn.point.is_some_and(|point| self.requirement.is_met(point));
        // The answer to a batch that only prepares or describes contains no data.
        if self.requirement.is_unconstrained() || !answer.has_data || shown {
            return Ok(());
        }
        self.server.reading.set(None);
        self.server.probe.notify_one();
        let message = format!("{} shows less than was asked for", self.server.contract.id);
        Err(refusal(Reason::Lost, &message))
    }

    /// Refuses a read that must be current if its primary is not proven to have led after the
    /// exchange arrived.
    async fn check_current(&self) -> Result<(), Refusal> {
        if !self.requirement.current {
            return Ok(());
        }
        match self.home.is_current(self.server, self.arrived, self.deadline).await {
            true => Ok(()),
            false => Err(refusal(Reason::TooOld, "no server can show that its data is current")),
        }
    }

    /// Handles a message that the entry sends while the answer is read.
    async fn handle_message(
        &self,
        item: Option<ToHome>,
        conn: &Conn,
        answer: &mut Answer,
    ) -> Result<(), Refusal> {
        match item {
            Some(ToHome::Cancel) => {
                let timeout = self.home.silence_timeout();
                if let Err(error) = conn.cancel(timeout).await {
                    debug!("home: cancellation of a running statement failed: {error:#}.");
                }
                Ok(())
            }
            Some(ToHome::Credit(bytes)) => {
                answer.unacknowledged = answer.unacknowledged.saturating_sub(bytes);
                answer.acknowledged += bytes;
                Ok(())
            }
            Some(ToHome::More { .. }) => Ok(()),
            Some(ToHome::Close) | None => Err(refusal(Reason::Draining, "the caller is gone")),
        }
    }

    /// Sends the end of the answer to the entry; if a write has ended, after its confirmation.
    pub async fn finish(
        &self,
        side: &HomeSide,
        standing: TransactionState,
        answer: Answer,
    ) -> Result<(), Failure> {
        let point = self.await_confirmation(standing, answer.point).await?;
        let replica = !matches!(self.intent, Intent::Write)
            && self.server.reading.get().is_some_and(|reading| !reading.status.leads());
        let frames: Bytes = answer.pending.freeze();
        side.send(ToEntry::AnswerEnd { frames, state: standing, point, replica });
        Ok(())
    }

    /// Waits for the confirmation of a write whose transaction has ended; returns its point.
    ///
    /// Only a confirmed write may be acknowledged. A commit held by the primary alone is lost
    /// with the primary, and a primary that was replaced without notice still commits; no
    /// other server holds such a record in the record's own term.
    async fn await_confirmation(
        &self,
        standing: TransactionState,
        point: Option<Point>,
    ) -> Result<Option<Point>, Refusal> {
        let (Intent::Write, TransactionState::Idle, Some(point)) = (self.intent, standing, point)
        else {
            return Ok(None);
        };
        if self.home.confirm(self.server, point, self.deadline).await {
            return Ok(Some(point));
        }
        Err(unconfirmed())
    }

    fn connection_lost(&self, error: anyhow::Error) -> Refusal {
        refusal(Reason::Lost, &format!("{error:#}"))
    }

    /// Returns the failure of a batch whose answer was not read to the end, with its fate.
    fn failure(&self, refusal: Refusal, batch: &Batch, answer: &Answer) -> Failure {
        let read_only = matches!(self.intent, Intent::Read { .. });
        // The connection is closed, so the server rolls back an open transaction: a batch that
        // cannot have ended its transaction has changed nothing.
        let undone = if self.in_transaction { !batch.may_end() } else { batch.only_begins() };
        let fate = if read_only || undone { Fate::NotRun } else { Fate::Unknown };
        let lost = refusal.reason == Reason::Lost;
        Failure {
            retryable: read_only && lost && !answer.partly_sent,
            refusal: Refusal { fate, ..refusal },
        }
    }
}

/// Returns the refusal of a write that was committed but not confirmed, and may be lost.
pub fn unconfirmed() -> Refusal {
    refusal(Reason::Lost, "no other server has confirmed the write yet")
}

fn refusal(reason: Reason, message: &str) -> Refusal {
    Refusal::unknown(reason, Some(RETRY_DELAY), message)
}

/// Adds a message of the server to the answer; returns the transaction's standing at the last
/// message.
fn add_frame(frame: Frame, conn: &mut Conn, answer: &mut Answer) -> Option<TransactionState> {
    match frame.tag {
        b'Z' => return Some(standing(&frame)),
        b'S' => {
            if let Some(point) = backend::reported_point(&frame) {
                answer.point = Some(point);
                conn.point = Some(point);
                return None;
            }
        }
        b'C' => (answer.statement_ended, answer.has_data) = (true, true),
        b'D' => answer.has_data = true,
        b'E' => answer.failed = true,
        _ => {}
    }
    answer.pending.extend_from_slice(&frame.raw);
    None
}

/// Returns the transaction's standing that a `ReadyForQuery` message states.
fn standing(frame: &Frame) -> TransactionState {
    match frame.body().first() {
        Some(b'T') => TransactionState::Open,
        Some(b'E') => TransactionState::Failed,
        _ => TransactionState::Idle,
    }
}
