//! Relay of the answer to one request from the group's home to the caller.

use std::time::{Duration, Instant};

use anyhow::Context;
use bergamottrack_coordination::{Fate, Point, Reason, Refusal, pace};
use bergamottrack_peer::{Exchange, Intent, ToEntry, ToHome, message::TransactionState};
use bytes::Bytes;

use crate::{
    context::CancelHandle,
    replies::ExpectedReplies,
    session::{Reader, Writer},
    statements::Statements,
};

/// Retry delay for callers after the link to the home or its host was lost.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time by which the entry's timeout exceeds the home's. The home has more information about
/// the request, so its refusal is preferred.
const HOME_GRACE: Duration = Duration::from_millis(200);

/// Maximum number of bytes read ahead from a caller while its request runs.
const READ_AHEAD: usize = 16 << 10;

/// Last part of an answer.
pub struct Completion {
    /// Final messages of the answer, without `ReadyForQuery`.
    pub frames: Bytes,
    /// Transaction status after the request.
    pub transaction_state: TransactionState,
    /// Position of a confirmed write.
    pub point: Option<Point>,
    /// Whether a replica served the request.
    pub replica: bool,
}

/// Relay of one answer to the caller.
pub struct Relay<'a> {
    /// Exchange from which the answer is received.
    pub exchange: &'a mut Exchange,
    /// Reader of the caller's next messages, which are read ahead.
    pub reader: &'a mut Reader,
    /// Writer to which the answer is sent.
    pub writer: &'a mut Writer,
    /// Handle through which the caller cancels the request.
    pub cancel: &'a CancelHandle,
    /// Intent of the request; it decides whether a lost request may have run.
    pub intent: &'a Intent,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Expected replies to the request's messages.
    pub replies: ExpectedReplies,
    /// Prepared statements of the caller.
    pub statements: &'a mut Statements,
    /// Whether the answer is searched for a failed message.
    pub track_failure: bool,
    /// Number of bytes of the answer passed on so far.
    pub delivered: u64,
}

impl Relay<'_> {
    /// Passes the answer on, except for its last part, which is returned. Fails if the caller
    /// disconnects or stops reading.
    pub async fn run(mut self) -> anyhow::Result<(Result<Completion, Refusal>, ExpectedReplies)> {
        self.cancel.begin();
        let result = self.answer().await;
        self.cancel.end();
        Ok((result?, self.replies))
    }

    async fn answer(&mut self) -> anyhow::Result<Result<Completion, Refusal>> {
        loop {
            let deadline = self.extended_deadline() + HOME_GRACE;
            let item = monoio::select! {
                item = self.exchange.recv() => item,
                _ = self.cancel.cancel_requested() => {
                    self.exchange.send(ToHome::Cancel);
                    continue;
                }
                result = self.reader.read_ahead(READ_AHEAD) => {
                    result.context("caller disconnected while its request was running")?;
                    continue;
                }
                _ = monoio::time::sleep_until(deadline.into()) => {
                    return Ok(Err(self.failure(Reason::Deadline, "the deadline passed")));
                }
            };
            match item {
                Some(ToEntry::Part(bytes)) => self.send_part(bytes).await?,
                Some(ToEntry::AnswerEnd { frames, state: transaction_state, point, replica }) => {
                    let frames =
                        self.replies.filter(frames, self.statements, self.track_failure)?;
                    return Ok(Ok(Completion { frames, transaction_state, point, replica }));
                }
                Some(ToEntry::Refused(refusal)) => return Ok(Err(refusal)),
                None => return Ok(Err(self.failure(Reason::Lost, "the group's home was lost"))),
            }
        }
    }

    /// Returns the deadline, extended by the transfer time of the bytes sent so far.
    fn extended_deadline(&self) -> Instant {
        self.deadline + pace::transfer_time(self.delivered)
    }

    async fn send_part(&mut self, bytes: Bytes) -> anyhow::Result<()> {
        let length = bytes.len() as u64;
        let bytes = self.replies.filter(bytes, self.statements, self.track_failure)?;
        let deadline = self.extended_deadline() + HOME_GRACE;
        let sent = monoio::time::timeout_at(deadline.into(), self.writer.send(&bytes)).await;
        sent.context("caller did not read its answer in time")??;
        self.exchange.send(ToHome::Credit(length));
        self.delivered += length;
        Ok(())
    }

    fn failure(&self, reason: Reason, message: &str) -> Refusal {
        let fate = match self.intent {
            Intent::Write => Fate::Unknown,
            Intent::Read { .. } => Fate::NotRun,
        };
        Refusal { reason, fate, retry: Some(RETRY_DELAY), message: message.into() }
    }
}
