//! Which messages of a server's answer the caller gets.
//!
//! A server answers in the order of the messages it was sent. Some of these
//! the entry added itself, and some messages of the caller it answers itself.

use std::{collections::VecDeque, rc::Rc};

use bergamottrack_pg::frame;
use bytes::{Bytes, BytesMut};

use crate::statements::{Statement, Statements};

/// Who answers one message.
#[derive(Debug)]
pub enum ReplyAction {
    /// The server; the caller gets it.
    Pass,
    /// The server; the caller did not ask for it.
    Skip,
    /// The entry.
    Local(Bytes),
}

/// What follows for the caller's prepared statements once a message is answered.
#[derive(Debug)]
pub enum Effect {
    /// The caller has a statement.
    Insert(Box<str>, Rc<Statement>),
    /// The caller has it no more.
    Remove(Box<str>),
}

/// What becomes of one message.
#[derive(Debug)]
pub struct ExpectedReply {
    /// Who answers it.
    pub action: ReplyAction,
    /// What follows from it.
    pub effect: Option<Effect>,
}

impl ExpectedReply {
    /// The server answers, and the caller gets it.
    pub const PASS: Self = Self { action: ReplyAction::Pass, effect: None };

    /// The server answers what the caller did not ask.
    pub const SKIP: Self = Self { action: ReplyAction::Skip, effect: None };

    /// The entry answers.
    pub fn local(bytes: Bytes) -> Self {
        Self { action: ReplyAction::Local(bytes), effect: None }
    }

    /// The same with an effect.
    pub fn with_effect(self, effect: Effect) -> Self {
        Self { effect: Some(effect), ..self }
    }

    fn is_pass(&self) -> bool {
        matches!((&self.action, &self.effect), (ReplyAction::Pass, None))
    }
}

/// The steps of one batch of messages.
#[derive(Debug, Default)]
pub struct ExpectedReplies {
    queue: VecDeque<ExpectedReply>,
    /// Steps in the queue other than [`ExpectedReply::PASS`].
    non_pass: usize,
    /// Whether a message failed: the server skips all that follow it.
    failed: bool,
}

impl ExpectedReplies {
    /// Adds what becomes of the next message.
    pub fn push(&mut self, reply: ExpectedReply) {
        self.non_pass += usize::from(!reply.is_pass());
        self.queue.push_back(reply);
    }

    /// Whether a message of the batch failed.
    pub fn failed(&self) -> bool {
        self.failed
    }

    /// What the caller gets of a part of the answer.
    ///
    /// With `track_failure` the part is read to its end, so that [`ExpectedReplies::failed`] is known.
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

    /// What the caller gets when no server was asked.
    pub fn local_replies(&mut self, statements: &mut Statements) -> Bytes {
        let mut out = BytesMut::new();
        self.drain_local(&mut out, statements);
        out.freeze()
    }

    /// Ends the reply of a message that the server has answered; whether to skip the answer.
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
