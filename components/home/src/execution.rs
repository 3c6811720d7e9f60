//! One batch of a caller's messages and its answer.

use std::time::Instant;

use bergamottrack_coordination::{Fate, Point, Reason, Refusal, Term, pace};
use bergamottrack_peer::{HomeSide, Intent, ToEntry, ToHome, message::Standing};
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

/// Rows are handed on once this many bytes are together.
const FLUSH_THRESHOLD: usize = 16 * 1024;

/// Bytes handed on that the entry may not have passed on yet; then the server
/// is not read any further.
const MAX_UNACKNOWLEDGED: u64 = 256 * 1024;

/// An exchange that ended without an answer.
pub struct Failure {
    /// What the caller is told.
    pub refusal: Refusal,
    /// Whether it changed nothing and the caller has seen nothing, so that it
    /// may be run again on another server.
    pub retryable: bool,
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, retryable: false }
    }
}

/// One batch of messages and its answer.
pub struct Execution<'a> {
    /// The group.
    pub home: &'a GroupHome,
    /// The server that runs it.
    pub server: &'a Server,
    /// The server's term when it was chosen.
    pub term: Term,
    /// What the exchange needs.
    pub intent: &'a Intent,
    /// What the answer must show.
    pub requirement: Requirement,
    /// When the exchange came.
    pub arrived: Instant,
    /// Whether a transaction that the caller ends itself was open before.
    pub in_transaction: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// What has been read of an answer.
#[derive(Default)]
pub struct Answer {
    /// Messages not handed on yet.
    pub pending: BytesMut,
    /// What the server says that the answer shows or has reached.
    pub point: Option<Point>,
    /// Whether it holds an error.
    pub failed: bool,
    /// Whether it was checked that it shows enough.
    checked: bool,
    /// Whether part of it was handed on.
    partly_sent: bool,
    /// Whether it holds a row or the end of a statement.
    has_data: bool,
    /// Whether a statement has ended in it.
    statement_ended: bool,
    /// Bytes handed on that the entry has not passed on yet.
    unacknowledged: u64,
    /// Bytes that the caller has taken.
    acknowledged: u64,
}

impl Execution<'_> {
    /// Sends the batch and reads its answer up to the end.
    pub async fn run(
        &self,
        conn: &mut Conn,
        side: &mut HomeSide,
        batch: &Batch,
    ) -> Result<(Standing, Answer), Failure> {
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
    ) -> Result<Standing, Refusal> {
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

    /// Hands on what is long enough, but never the end of a write's statement:
    /// a caller that saw it could take the write for done before it is confirmed.
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

    /// Checks once, before any of the answer is handed on, that it shows enough.
    async fn check(&self, conn: &Conn, answer: &mut Answer) -> Result<(), Refusal> {
        if std::mem::replace(&mut answer.checked, true) {
            return Ok(());
        }
        self.check_requirement(conn, answer)?;
        self.check_current().await
    }

    /// Refuses a read whose server shows less than the session has been told.
    ///
    /// The watch chose the server from what it last said; a server that took
    /// records back since, or another one at its address, would answer from the
    /// past. The point that comes with the answer, before its rows, decides.
    fn check_requirement(&self, conn: &Conn, answer: &Answer) -> Result<(), Refusal> {
        let shown = conn.point.is_some_and(|point| self.requirement.is_met(point));
        // A batch that only prepares or describes shows no data.
        if self.requirement.is_unconstrained() || !answer.has_data || shown {
            return Ok(());
        }
        self.server.reading.set(None);
        self.server.probe.notify_one();
        let message = format!("{} shows less than was asked for", self.server.contract.id);
        Err(refusal(Reason::Lost, &message))
    }

    /// Refuses a read that had to be current when its primary cannot be shown
    /// to have led after the exchange came.
    async fn check_current(&self) -> Result<(), Refusal> {
        if !self.requirement.current {
            return Ok(());
        }
        match self.home.is_current(self.server, self.arrived, self.deadline).await {
            true => Ok(()),
            false => Err(refusal(Reason::TooOld, "no server can show that its data is current")),
        }
    }

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
                    debug!("home: a cancel failed: {error:#}.");
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

    /// Waits until a write that ended is confirmed, and tells the caller.
    pub async fn finish(
        &self,
        side: &HomeSide,
        standing: Standing,
        answer: Answer,
    ) -> Result<(), Failure> {
        let point = self.await_confirmation(standing, answer.point).await?;
        let replica = !matches!(self.intent, Intent::Write)
            && self.server.reading.get().is_some_and(|seen| !seen.status.leads());
        let frames: Bytes = answer.pending.freeze();
        side.send(ToEntry::Turn { frames, standing, point, replica });
        Ok(())
    }

    /// Only a confirmed write may be acknowledged: a commit that the primary
    /// alone holds is lost with it, and a primary that was replaced without
    /// knowing still commits. No other server holds such a record in its term.
    async fn await_confirmation(
        &self,
        standing: Standing,
        point: Option<Point>,
    ) -> Result<Option<Point>, Refusal> {
        let (Intent::Write, Standing::Idle, Some(point)) = (self.intent, standing, point) else {
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

    /// Says what became of a batch whose answer did not come to its end.
    fn failure(&self, refusal: Refusal, batch: &Batch, answer: &Answer) -> Failure {
        let read_only = matches!(self.intent, Intent::Read { .. });
        // The connection is closed now, so the server rolls back what is open:
        // a batch that cannot have ended its transaction has changed nothing.
        let undone = if self.in_transaction { !batch.may_end() } else { batch.only_begins() };
        let fate = if read_only || undone { Fate::NotRun } else { Fate::Unknown };
        let lost = refusal.reason == Reason::Lost;
        Failure {
            retryable: read_only && lost && !answer.partly_sent,
            refusal: Refusal { fate, ..refusal },
        }
    }
}

/// The refusal of a write that committed but may yet be lost.
pub fn unconfirmed() -> Refusal {
    refusal(Reason::Lost, "no other server has confirmed the write yet")
}

fn refusal(reason: Reason, message: &str) -> Refusal {
    Refusal::unknown(reason, Some(RETRY_DELAY), message)
}

/// Takes one message of the answer; the standing when it is the last one.
fn add_frame(frame: Frame, conn: &mut Conn, answer: &mut Answer) -> Option<Standing> {
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

fn standing(frame: &Frame) -> Standing {
    match frame.body().first() {
        Some(b'T') => Standing::Open,
        Some(b'E') => Standing::Failed,
        _ => Standing::Idle,
    }
}
