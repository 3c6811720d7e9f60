//! One request of a caller: to the home and back.

use std::time::{Duration, Instant};

use anyhow::Context;
use bergamottrack_coordination::{Fate, Point, Reason, Refusal, pace};
use bergamottrack_peer::{Exchange, Intent, ToEntry, ToHome, message::Standing};
use bytes::Bytes;

use crate::{
    context::CancelHandle,
    replies::ExpectedReplies,
    session::{Reader, Writer},
    statements::Statements,
};

/// When a caller may come back after a link or host was lost.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How much later than the home the entry gives up: the home knows more.
const HOME_GRACE: Duration = Duration::from_millis(200);

/// The most bytes read ahead of a caller while its request runs.
const READ_AHEAD: usize = 64 << 10;

/// The last part of an answer.
pub struct Completion {
    /// Messages that end the answer, without `ReadyForQuery`.
    pub frames: Bytes,
    /// How the transaction stands.
    pub standing: Standing,
    /// What a confirmed write has reached.
    pub point: Option<Point>,
    /// Whether a replica answered.
    pub replica: bool,
}

/// Passes an answer on to the caller.
pub struct Relay<'a> {
    /// Where the answer comes from.
    pub exchange: &'a mut Exchange,
    /// Where the caller's next messages come from.
    pub reader: &'a mut Reader,
    /// Where the answer goes.
    pub writer: &'a mut Writer,
    /// The caller's wish to have it cancelled.
    pub cancel: &'a CancelHandle,
    /// What the exchange was opened for.
    pub intent: &'a Intent,
    /// When the request is given up.
    pub deadline: Instant,
    /// What becomes of each message of the answer.
    pub replies: ExpectedReplies,
    /// The caller's prepared statements.
    pub statements: &'a mut Statements,
    /// Whether it must be known if a message failed.
    pub track_failure: bool,
    /// Bytes of the answer that the caller has taken.
    pub delivered: u64,
}

impl Relay<'_> {
    /// Passes an answer on up to its last part; an error when the caller is gone.
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
                    result.context("the caller left while its request ran")?;
                    continue;
                }
                _ = monoio::time::sleep_until(deadline.into()) => {
                    return Ok(Err(self.failure(Reason::Deadline, "the deadline passed")));
                }
            };
            match item {
                Some(ToEntry::Part(bytes)) => self.send_part(bytes).await?,
                Some(ToEntry::Turn { frames, standing, point, replica }) => {
                    let frames =
                        self.replies.filter(frames, self.statements, self.track_failure)?;
                    return Ok(Ok(Completion { frames, standing, point, replica }));
                }
                Some(ToEntry::Refused(refusal)) => return Ok(Err(refusal)),
                None => return Ok(Err(self.failure(Reason::Lost, "the group's home was lost"))),
            }
        }
    }

    /// When the request is given up; a large answer has the longer for being taken.
    fn extended_deadline(&self) -> Instant {
        self.deadline + pace::transfer_time(self.delivered)
    }

    async fn send_part(&mut self, bytes: Bytes) -> anyhow::Result<()> {
        let length = bytes.len() as u64;
        let bytes = self.replies.filter(bytes, self.statements, self.track_failure)?;
        let deadline = self.extended_deadline() + HOME_GRACE;
        let sent = monoio::time::timeout_at(deadline.into(), self.writer.send(&bytes)).await;
        sent.context("the caller does not take its answer")??;
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
