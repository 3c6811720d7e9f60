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
pub enum Answer {
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
    Keep(Box<str>, Rc<Statement>),
    /// The caller has it no more.
    Forget(Box<str>),
}

/// What becomes of one message.
#[derive(Debug)]
pub struct Step {
    /// Who answers it.
    pub answer: Answer,
    /// What follows from it.
    pub effect: Option<Effect>,
}

impl Step {
    /// The server answers, and the caller gets it.
    pub const PASS: Self = Self { answer: Answer::Pass, effect: None };

    /// The server answers what the caller did not ask.
    pub const SKIP: Self = Self { answer: Answer::Skip, effect: None };

    /// The entry answers.
    pub fn local(bytes: Bytes) -> Self {
        Self { answer: Answer::Local(bytes), effect: None }
    }

    /// The same with an effect.
    pub fn then(self, effect: Effect) -> Self {
        Self { effect: Some(effect), ..self }
    }

    fn is_plain(&self) -> bool {
        matches!((&self.answer, &self.effect), (Answer::Pass, None))
    }
}

/// The steps of one batch of messages.
#[derive(Debug, Default)]
pub struct Steps {
    queue: VecDeque<Step>,
    /// Steps in the queue other than [`Step::PASS`].
    special: usize,
    /// Whether a message failed: the server skips all that follow it.
    failed: bool,
}

impl Steps {
    /// Adds what becomes of the next message.
    pub fn push(&mut self, step: Step) {
        self.special += usize::from(!step.is_plain());
        self.queue.push_back(step);
    }

    /// Whether a message of the batch failed.
    pub fn failed(&self) -> bool {
        self.failed
    }

    /// What the caller gets of a part of the answer.
    ///
    /// With `watch` the part is read to its end, so that [`Steps::failed`] is known.
    pub fn pass(
        &mut self,
        answer: Bytes,
        statements: &mut Statements,
        watch: bool,
    ) -> anyhow::Result<Bytes> {
        if self.failed || (self.special == 0 && !watch) {
            return Ok(answer);
        }
        let mut out = BytesMut::with_capacity(answer.len());
        self.run_local(&mut out, statements);
        for frame in frame::frames(answer)? {
            let ends = matches!(frame.tag, b'1' | b'2' | b'3' | b'C' | b'I' | b'T' | b'n' | b's');
            let skip = ends && self.advance(statements);
            if !skip {
                out.extend_from_slice(&frame.raw);
            }
            if ends {
                self.run_local(&mut out, statements);
            }
            if frame.tag == b'E' {
                (self.failed, self.special) = (true, 0);
                self.queue.clear();
            }
        }
        Ok(out.freeze())
    }

    /// What the caller gets when no server was asked.
    pub fn local(&mut self, statements: &mut Statements) -> Bytes {
        let mut out = BytesMut::new();
        self.run_local(&mut out, statements);
        out.freeze()
    }

    /// Ends the step of a message that the server has answered; whether to skip the answer.
    fn advance(&mut self, statements: &mut Statements) -> bool {
        match self.take(statements) {
            Some(Answer::Skip) => true,
            Some(Answer::Pass | Answer::Local(_)) | None => false,
        }
    }

    fn run_local(&mut self, out: &mut BytesMut, statements: &mut Statements) {
        let is_local = |step: &Step| matches!(step.answer, Answer::Local(_));
        while self.queue.front().is_some_and(is_local) {
            if let Some(Answer::Local(bytes)) = self.take(statements) {
                out.extend_from_slice(&bytes);
            }
        }
    }

    fn take(&mut self, statements: &mut Statements) -> Option<Answer> {
        let step = self.queue.pop_front()?;
        self.special -= usize::from(!step.is_plain());
        match step.effect {
            Some(Effect::Keep(name, statement)) => statements.insert(name, statement),
            Some(Effect::Forget(name)) => statements.remove(&name),
            None => {}
        }
        Some(step.answer)
    }
}
