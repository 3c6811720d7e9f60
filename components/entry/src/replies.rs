//! Selection of the messages in a server's answer that are passed on to the caller.
//!
//! A server replies in the order of the messages it receives. Some of these messages were added
//! by the entry, and some messages of the caller are answered by the entry and not sent.

use std::{collections::VecDeque, rc::Rc};

use bergamottrack_pg::frame;
use bytes::{Bytes, BytesMut};

use crate::statements::{Statement, Statements};

/// Source of the reply to a message, and whether it is passed on.
#[derive(Debug)]
pub enum ReplyAction {
    /// The server replies, and the reply is passed on to the caller.
    Pass,
    /// The server replies, but the reply is dropped: the entry added the message.
    Skip,
    /// The entry replies with these messages.
    Local(Bytes),
}

/// Change to the caller's prepared statements once a message is answered.
#[derive(Debug)]
pub enum Effect {
    /// Adds a statement.
    Insert(Box<str>, Rc<Statement>),
    /// Removes a statement.
    Remove(Box<str>),
}

/// Expected reply to one message.
#[derive(Debug)]
pub struct ExpectedReply {
    /// Source of the reply.
    pub action: ReplyAction,
    /// Effect of the reply on the caller's prepared statements.
    pub effect: Option<Effect>,
}

impl ExpectedReply {
    /// Reply of the server that is passed on to the caller.
    pub const PASS: Self = Self { action: ReplyAction::Pass, effect: None };

    /// Reply of the server to a message that the entry added; it is dropped.
    pub const SKIP: Self = Self { action: ReplyAction::Skip, effect: None };

    /// Creates a reply by the entry.
    pub fn local(bytes: Bytes) -> Self {
        Self { action: ReplyAction::Local(bytes), effect: None }
    }

    /// Returns the reply with an effect added.
    pub fn with_effect(self, effect: Effect) -> Self {
        Self { effect: Some(effect), ..self }
    }

    fn is_pass(&self) -> bool {
        matches!((&self.action, &self.effect), (ReplyAction::Pass, None))
    }
}

/// Expected replies to the messages of a batch, in order.
#[derive(Debug, Default)]
pub struct ExpectedReplies {
    queue: VecDeque<ExpectedReply>,
    /// Number of replies in the queue other than [`ExpectedReply::PASS`].
    non_pass: usize,
    /// Whether a message failed; the server then skips the rest of the batch.
    failed: bool,
}

impl ExpectedReplies {
    /// Adds the expected reply to the next message.
    pub fn push(&mut self, reply: ExpectedReply) {
        self.non_pass += usize::from(!reply.is_pass());
        self.queue.push_back(reply);
    }

    /// Returns whether a message of the batch failed.
    pub fn failed(&self) -> bool {
        self.failed
    }

    /// Returns the messages in a part of the server's answer that the caller receives.
    ///
    /// If `track_failure` is set, the part is always read to its end, so that
    /// [`ExpectedReplies::failed`] is valid afterwards.
    pub fn filter(
        &mut self,
        answer: Bytes,
        statements: &mut Statements,
        track_failure: bool,
    ) -> anyhow::Result<Bytes> {
        if self.failed || (self.non_pass == 0 && !track_failure) {
            return Ok(answer);
        }
        let mut out = BytesMut::with_capacity(answer.len());
        self.drain_local(&mut out, statements);
        for frame in frame::frames(answer)? {
            let ends = matches!(frame.tag, b'1' | b'2' | b'3' | b'C' | b'I' | b'T' | b'n' | b's');
            let skip = ends && self.advance(statements);
            if !skip {
                out.extend_from_slice(&frame.raw);
            }
            if ends {
                self.drain_local(&mut out, statements);
            }
            if frame.tag == b'E' {
                (self.failed, self.non_pass) = (true, 0);
                self.queue.clear();
            }
        }
        Ok(out.freeze())
    }

    /// Returns the answer to a batch of which no message was sent to a server.
    pub fn local_replies(&mut self, statements: &mut Statements) -> Bytes {
        let mut out = BytesMut::new();
        self.drain_local(&mut out, statements);
        out.freeze()
    }

    /// Removes the expected reply to a message that the server has answered. Returns whether the
    /// server's reply is dropped.
    fn advance(&mut self, statements: &mut Statements) -> bool {
        match self.take(statements) {
            Some(ReplyAction::Skip) => true,
            Some(ReplyAction::Pass | ReplyAction::Local(_)) | None => false,
        }
    }

    fn drain_local(&mut self, out: &mut BytesMut, statements: &mut Statements) {
        let is_local = |reply: &ExpectedReply| matches!(reply.action, ReplyAction::Local(_));
        while self.queue.front().is_some_and(is_local) {
            if let Some(ReplyAction::Local(bytes)) = self.take(statements) {
                out.extend_from_slice(&bytes);
            }
        }
    }

    fn take(&mut self, statements: &mut Statements) -> Option<ReplyAction> {
        let reply = self.queue.pop_front()?;
        self.non_pass -= usize::from(!reply.is_pass());
        match reply.effect {
            Some(Effect::Insert(name, statement)) => statements.insert(name, statement),
            Some(Effect::Remove(name)) => statements.remove(&name),
            None => {}
        }
        Some(reply.action)
    }
}
