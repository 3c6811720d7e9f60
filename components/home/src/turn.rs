//! One batch of a caller's messages and its answer.

use std::time::Instant;

use bergamottrack_coordination::{Fate, Point, Reason, Refusal, Term, pace};
use bergamottrack_peer::{HomeSide, Intent, ToEntry, ToHome, message::TransactionState};
use bergamottrack_pg::Frame;
use bytes::{Bytes, BytesMut};
use tracing::debug;

use crate::{
    backend::{self, Conn},
    batch::Batch,
    group::{COME_BACK, GroupHome},
    route::Need,
    server::Server,
};

/// Rows are handed on once this many bytes are together.
const PART_LEN: usize = 16 * 1024;

/// Bytes handed on that the entry may not have passed on yet; then the server
/// is not read any further.
const WINDOW: u64 = 256 * 1024;

/// An exchange that ended without an answer.
pub struct Failure {
    /// What the caller is told.
    pub refusal: Refusal,
    /// Whether it changed nothing and the caller has seen nothing, so that it
    /// may be run again on another server.
    pub again: bool,
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, again: false }
    }
}

/// One batch of messages and its answer.
pub struct Turn<'a> {
    /// The group.
    pub home: &'a GroupHome,
    /// The server that runs it.
    pub server: &'a Server,
    /// The server's term when it was chosen.
    pub term: Term,
    /// What the exchange needs.
    pub intent: &'a Intent,
    /// What the answer must show.
    pub need: Need,
    /// When the exchange came.
    pub since: Instant,
    /// Whether a transaction that the caller ends itself was open before.
    pub within: bool,
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
    parted: bool,
    /// Whether it holds a row or the end of a statement.
    data: bool,
    /// Whether a statement has ended in it.
    complete: bool,
    /// Bytes handed on that the entry has not passed on yet.
    ahead: u64,
    /// Bytes that the caller has taken.
    taken: u64,
}

impl Turn<'_> {
    /// Sends the batch and reads its answer up to the end.
    pub async fn run(
        &self,
        conn: &mut Conn,
        side: &mut HomeSide,
        batch: &Batch,
    ) -> Result<(TransactionState, Answer), Failure> {
        let mut answer = Answer::default();
        let result = self.read(conn, side, batch, &mut answer).await;
        match result {
            Ok(standing) => Ok((standing, answer)),
            Err(refusal) => Err(self.failure(refusal, batch, &answer)),
        }
    }

    async fn read(
        &self,
        conn: &mut Conn,
        side: &mut HomeSide,
        batch: &Batch,
        answer: &mut Answer,
    ) -> Result<TransactionState, Refusal> {
        conn.send(&batch.raw).await.map_err(|error| self.lost(error))?;
        loop {
            let frame = monoio::select! {
                frame = conn.next(), if answer.ahead < WINDOW => {
                    frame.map_err(|error| self.lost(error))?
                }
                item = side.recv() => {
                    self.meanwhile(item, conn, answer).await?;
                    continue;
                }
                _ = self.home.unfit(self.server, self.intent, self.term) => {
                    let message = format!("{} was lost or replaced", self.server.contract.id);
                    return Err(refusal(Reason::Lost, &message));
                }
                _ = monoio::time::sleep_until((self.deadline + pace::transfer_time(answer.taken)).into()) => {
                    return Err(refusal(Reason::Deadline, "the deadline passed"));
                }
            };
            if let Some(standing) = take(frame, conn, answer) {
                self.check(conn, answer).await?;
                return Ok(standing);
            }
            if answer.pending.len() >= PART_LEN {
                self.check(conn, answer).await?;
                self.hand_on(side, answer);
            }
        }
    }

    /// Hands on what is long enough, but never the end of a write's statement:
    /// a caller that saw it could take the write for done before it is confirmed.
    fn hand_on(&self, side: &HomeSide, answer: &mut Answer) {
        let held_back = answer.complete && matches!(self.intent, Intent::Write);
        if held_back {
            return;
        }
        let part = answer.pending.split().freeze();
        answer.ahead += part.len() as u64;
        answer.parted = true;
        side.send(ToEntry::Part(part));
    }

    /// Checks once, before any of the answer is handed on, that it shows enough.
    async fn check(&self, conn: &Conn, answer: &mut Answer) -> Result<(), Refusal> {
        if std::mem::replace(&mut answer.checked, true) {
            return Ok(());
        }
        self.check_point(conn, answer)?;
        self.check_current().await
    }

    /// Refuses a read whose server shows less than the session has been told.
    ///
    /// The watch chose the server from what it last said; a server that took
    /// records back since, or another one at its address, would answer from the
    /// past. The point that comes with the answer, before its rows, decides.
    fn check_point(&self, conn: &Conn, answer: &Answer) -> Result<(), Refusal> {
        let shown = conn.point.is_some_and(|point| self.need.is_met(point));
        // A batch that only prepares or describes shows no data.
        if self.need.is_open() || !answer.data || shown {
            return Ok(());
        }
        self.server.seen.set(None);
        self.server.probe.notify_one();
        let message = format!("{} shows less than was asked for", self.server.contract.id);
        Err(refusal(Reason::Lost, &message))
    }

    /// Refuses a read that had to be current when its primary cannot be shown
    /// to have led after the exchange came.
    async fn check_current(&self) -> Result<(), Refusal> {
        if !self.need.current {
            return Ok(());
        }
        match self.home.is_current(self.server, self.since, self.deadline).await {
            true => Ok(()),
            false => Err(refusal(Reason::TooOld, "no server can show that its data is current")),
        }
    }

    async fn meanwhile(
        &self,
        item: Option<ToHome>,
        conn: &Conn,
        answer: &mut Answer,
    ) -> Result<(), Refusal> {
        match item {
            Some(ToHome::Cancel) => {
                let within = self.home.silence();
                if let Err(error) = conn.cancel(within).await {
                    debug!("home: a cancel failed: {error:#}.");
                }
                Ok(())
            }
            Some(ToHome::Credit(bytes)) => {
                answer.ahead = answer.ahead.saturating_sub(bytes);
                answer.taken += bytes;
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
        standing: TransactionState,
        answer: Answer,
    ) -> Result<(), Failure> {
        let point = self.settle(standing, answer.point).await?;
        let replica = !matches!(self.intent, Intent::Write)
            && self.server.seen.get().is_some_and(|seen| !seen.status.leads());
        let frames: Bytes = answer.pending.freeze();
        side.send(ToEntry::AnswerEnd { frames, state: standing, point, replica });
        Ok(())
    }

    /// Only a confirmed write may be acknowledged: a commit that the primary
    /// alone holds is lost with it, and a primary that was replaced without
    /// knowing still commits. No other server holds such a record in its term.
    async fn settle(
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

    fn lost(&self, error: anyhow::Error) -> Refusal {
        refusal(Reason::Lost, &format!("{error:#}"))
    }

    /// Says what became of a batch whose answer did not come to its end.
    fn failure(&self, refusal: Refusal, batch: &Batch, answer: &Answer) -> Failure {
        let reads = matches!(self.intent, Intent::Read { .. });
        // The connection is closed now, so the server rolls back what is open:
        // a batch that cannot have ended its transaction has changed nothing.
        let undone = if self.within { !batch.may_end() } else { batch.only_begins() };
        let fate = if reads || undone { Fate::NotRun } else { Fate::Unknown };
        let gone = refusal.reason == Reason::Lost;
        Failure { again: reads && gone && !answer.parted, refusal: Refusal { fate, ..refusal } }
    }
}

/// The refusal of a write that committed but may yet be lost.
pub fn unconfirmed() -> Refusal {
    refusal(Reason::Lost, "no other server has confirmed the write yet")
}

fn refusal(reason: Reason, message: &str) -> Refusal {
    Refusal::unknown(reason, Some(COME_BACK), message)
}

/// Takes one message of the answer; the standing when it is the last one.
fn take(frame: Frame, conn: &mut Conn, answer: &mut Answer) -> Option<TransactionState> {
    match frame.tag {
        b'Z' => return Some(standing(&frame)),
        b'S' => {
            if let Some(point) = backend::point(&frame) {
                answer.point = Some(point);
                conn.point = Some(point);
                return None;
            }
        }
        b'C' => (answer.complete, answer.data) = (true, true),
        b'D' => answer.data = true,
        b'E' => answer.failed = true,
        _ => {}
    }
    answer.pending.extend_from_slice(&frame.raw);
    None
}

fn standing(frame: &Frame) -> TransactionState {
    match frame.body().first() {
        Some(b'T') => TransactionState::Open,
        Some(b'E') => TransactionState::Failed,
        _ => TransactionState::Idle,
    }
}
