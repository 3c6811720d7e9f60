//! Extended query protocol: batches of messages and prepared statements of a caller.
//!
//! Messages to the group's home only use the unnamed statement, which is prepared again
//! wherever it is needed. Server connections are shared, so they must not keep the prepared
//! statements of one caller for the next.

use std::rc::Rc;

use anyhow::Context;
use bergamottrack_coordination::budget::BudgetExhausted;
use bergamottrack_pg::{Frame, answer::Severity, frame};
use bytes::{Bytes, BytesMut};
use pgwire::messages::{
    Message, PgWireFrontendMessage,
    data::ParameterDescription,
    extendedquery::{
        Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete, Sync,
    },
};

use crate::{
    local,
    replies::{Effect, ExpectedReplies, ExpectedReply},
    session::{Access, Request, Session},
    settings::Fault,
    sql::Command,
    statements::Statement,
};

/// Copies of the messages of a batch that are held: as received, decoded, and as prepared for a server.
const BATCH_COPIES: usize = 4;

/// Copies of a prepared statement that are held: its text and its message.
const STATEMENT_COPIES: usize = 2;

/// Maximum size of a batch of messages, in bytes.
const MAX_BATCH: usize = 16 << 20;

/// Maximum number of portals in a transaction.
const MAX_PORTALS: usize = 1_000;

/// Target type of `Describe` and `Close` messages that name a prepared statement.
const STATEMENT: u8 = b'S';

/// Messages received since the last `Sync` or `Flush`.
#[derive(Debug, Default)]
pub struct Batch {
    /// Messages to send to the group's home.
    frames: BytesMut,
    replies: ExpectedReplies,
    /// Names of the statements that the batch prepares, or closes if the value is `None`.
    named: Vec<(Box<str>, Option<Rc<Statement>>)>,
    /// Statement that the server's unnamed statement holds after the batch's messages so far.
    current: Option<Rc<Statement>>,
    access: Access,
    /// Whether the batch begins a transaction on a server.
    begins: bool,
    /// Whether the batch ends a transaction on a server.
    ends: bool,
    /// Error because of which no message of the batch is sent.
    fault: Option<Fault>,
    /// Size of all its messages, in bytes.
    size: usize,
}

impl Batch {
    /// Returns whether the batch has no messages.
    pub fn is_empty(&self) -> bool {
        self.size == 0
    }

    fn send(&mut self, message: &impl Message, reply: ExpectedReply) {
        frame::put(&mut self.frames, message);
        self.replies.push(reply);
    }

    fn send_parse(&mut self, statement: &Rc<Statement>, reply: ExpectedReply) {
        self.frames.extend_from_slice(&statement.parse);
        self.replies.push(reply);
        self.current = Some(statement.clone());
    }

    /// Prepares the statement as the server's unnamed statement unless it already is.
    fn prepare(&mut self, statement: &Rc<Statement>) {
        let is_current = self.current.as_ref().is_some_and(|c| Rc::ptr_eq(c, statement));
        if !is_current {
            self.send_parse(statement, ExpectedReply::SKIP);
        }
    }

    fn reply(&mut self, message: &impl Message) {
        self.replies.push(ExpectedReply::local(frame::bytes(message)));
    }
}

impl Session {
    /// Adds a message to the batch. Statements run on a server only once the batch ends.
    pub(crate) fn collect(&mut self, frame: &Frame) {
        if self.skipping || self.batch.fault.is_some() {
            return;
        }
        self.batch.size += frame.raw.len();
        let taken = if self.batch.size > MAX_BATCH {
            Err(Fault::new("54000", format!("a batch has at most {MAX_BATCH} bytes")))
        } else if let Err(full) = self.charge_work(self.batch.size * BATCH_COPIES) {
            Err(Fault::new("53300", full.to_string()))
        } else {
            self.take(frame)
        };
        if let Err(fault) = taken {
            // No message of the batch is sent, so "not run" holds for all of its statements.
            self.batch = Batch { fault: Some(fault), ends: self.batch.ends, ..Batch::default() };
        }
    }

    /// Charges the memory of the work in progress, and of the prepared statements.
    pub(crate) fn charge_work(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        self.charge.set(bytes + self.statements.bytes() * STATEMENT_COPIES)
    }

    fn take(&mut self, frame: &Frame) -> Result<(), Fault> {
        let message = frame.frontend().map_err(|e| Fault::new("08P01", format!("{e:#}")))?;
        match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(parse),
            PgWireFrontendMessage::Bind(bind) => self.bind(bind),
            PgWireFrontendMessage::Describe(describe) => self.describe(describe),
            PgWireFrontendMessage::Execute(execute) => self.execute(&execute),
            PgWireFrontendMessage::Close(close) => self.close(close),
            _ => Err(Fault::new("08P01", "a message that is not served here")),
        }
    }

    fn prepared(&self, name: &str) -> Option<Rc<Statement>> {
        match self.batch.named.iter().rfind(|(n, _)| **n == *name) {
            Some((_, statement)) => statement.clone(),
            None => self.statements.get(name),
        }
    }

    fn parse(&mut self, parse: Parse) -> Result<(), Fault> {
        let name: Box<str> = parse.name.as_deref().unwrap_or_default().into();
        if !name.is_empty() && self.prepared(&name).is_some() {
            let message = format!("the prepared statement {name:?} exists already");
            return Err(Fault::new("42P05", message));
        }
        self.statements.check_capacity(self.batch.named.len())?;
        let statement = Statement::new(parse);
        match &statement.command {
            Command::Unsupported(what) => return Err(Fault::unsupported(what)),
            Command::End(_) => {}
            _ if self.is_aborted() => return Err(local::aborted_fault()),
            _ => {}
        }
        let keep = Effect::Insert(name.clone(), statement.clone());
        if statement.is_local() {
            let complete = frame::bytes(&ParseComplete::new());
            self.batch.replies.push(ExpectedReply::local(complete).with_effect(keep));
        } else {
            self.batch.send_parse(&statement, ExpectedReply::PASS.with_effect(keep));
        }
        self.batch.named.push((name, Some(statement)));
        Ok(())
    }

    fn bind(&mut self, mut bind: Bind) -> Result<(), Fault> {
        let name = bind.statement_name.take().unwrap_or_default();
        let statement = self.prepared(&name).ok_or_else(|| no_statement(&name))?;
        let portal: Box<str> = bind.portal_name.as_deref().unwrap_or_default().into();
        if self.portals.len() >= MAX_PORTALS && !self.portals.contains_key(&portal) {
            return Err(Fault::new("54000", format!("a caller has at most {MAX_PORTALS} portals")));
        }
        self.portals.insert(portal, statement.clone());
        if statement.is_local() {
            self.batch.reply(&BindComplete::new());
        } else {
            self.batch.prepare(&statement);
            self.batch.send(&bind, ExpectedReply::PASS);
        }
        Ok(())
    }

    fn describe(&mut self, mut describe: Describe) -> Result<(), Fault> {
        let name = describe.name.clone().unwrap_or_default();
        if describe.target_type != STATEMENT {
            match self.portals.get(&*name).filter(|s| s.is_local()) {
                Some(statement) => {
                    let columns = local::columns(&statement.command);
                    self.batch.replies.push(ExpectedReply::local(columns));
                }
                None => self.batch.send(&describe, ExpectedReply::PASS),
            }
            return Ok(());
        }
        let statement = self.prepared(&name).ok_or_else(|| no_statement(&name))?;
        if statement.is_local() {
            self.batch.reply(&ParameterDescription::new(Vec::new()));
            self.batch.replies.push(ExpectedReply::local(local::columns(&statement.command)));
        } else {
            self.batch.prepare(&statement);
            describe.name = None;
            self.batch.send(&describe, ExpectedReply::PASS);
        }
        Ok(())
    }

    fn execute(&mut self, execute: &Execute) -> Result<(), Fault> {
        let name = execute.name.as_deref().unwrap_or_default();
        let statement = self.portals.get(name).cloned();
        let Some(statement) = statement else {
            // The server does not have this portal either, and returns the error.
            self.batch.access = Access::Write;
            self.batch.send(execute, ExpectedReply::PASS);
            return Ok(());
        };
        match &statement.command {
            Command::End(_) if self.exchange.is_some() || !self.batch.frames.is_empty() => {
                self.end_transaction(&statement);
            }
            command if statement.is_local() => {
                let answer = self.execute_locally(command)?;
                self.batch.replies.push(ExpectedReply::local(answer));
            }
            command => {
                self.check_position(command)?;
                self.batch.access = self.batch.access.max(Access::of(command));
                self.batch.send(execute, ExpectedReply::PASS);
            }
        }
        Ok(())
    }

    /// Adds a `COMMIT` or `ROLLBACK` to the batch. Its `Parse` and `Bind` are answered locally,
    /// so the server receives them here.
    fn end_transaction(&mut self, statement: &Rc<Statement>) {
        self.batch.prepare(statement);
        self.batch.send(&Bind::new(None, None, vec![], vec![], vec![]), ExpectedReply::SKIP);
        self.batch.send(&Execute::new(None, 0), ExpectedReply::PASS);
        self.batch.access = Access::Write;
        self.batch.ends = true;
    }

    fn check_position(&mut self, command: &Command) -> Result<(), Fault> {
        match command {
            Command::Begin if self.batch.ends => {
                local::check_order(&[Command::End("COMMIT"), Command::Begin])
            }
            Command::Begin => {
                self.batch.begins = true;
                Ok(())
            }
            Command::SetLocal if self.exchange.is_none() && !self.batch.begins => {
                Err(Fault::new("25P01", "SET LOCAL is for within a transaction"))
            }
            _ => Ok(()),
        }
    }

    fn close(&mut self, close: Close) -> Result<(), Fault> {
        let name: Box<str> = close.name.as_deref().unwrap_or_default().into();
        if close.target_type == STATEMENT {
            self.batch.named.push((name.clone(), None));
            let complete = frame::bytes(&CloseComplete::new());
            self.batch
                .replies
                .push(ExpectedReply::local(complete).with_effect(Effect::Remove(name)));
            return Ok(());
        }
        match self.portals.remove(&name) {
            Some(statement) if !statement.is_local() => {
                self.batch.send(&close, ExpectedReply::PASS)
            }
            _ => self.batch.reply(&CloseComplete::new()),
        }
        Ok(())
    }

    /// Handles `Sync`: runs the batch and ends it.
    pub(crate) async fn sync(&mut self) -> anyhow::Result<()> {
        if std::mem::take(&mut self.skipping) {
            self.batch = Batch::default();
            return self.send(&self.ready()).await;
        }
        let batch = std::mem::take(&mut self.batch);
        if let Some(fault) = batch.fault {
            self.abort(batch.ends);
            self.send(&fault.answer(Severity::Error)).await?;
            return self.send(&self.ready()).await;
        }
        self.run_batch(batch, false).await
    }

    /// Handles `Flush`: runs the messages of the batch so far.
    ///
    /// The server always receives a `Sync`. This makes no difference within a transaction or
    /// while statements are only prepared. Otherwise it would commit changes that the caller may
    /// still need to roll back, so the `Flush` is refused.
    pub(crate) async fn flush(&mut self) -> anyhow::Result<()> {
        if self.skipping {
            return Ok(());
        }
        let mut batch = std::mem::take(&mut self.batch);
        let runs = batch.access > Access::Describe || !self.portals.is_empty();
        if runs && self.exchange.is_none() && batch.fault.is_none() {
            batch.fault = Some(Fault::unsupported("Flush after a statement outside a transaction"));
        }
        if let Some(fault) = batch.fault {
            self.abort(batch.ends);
            self.skipping = true;
            return self.send(&fault.answer(Severity::Error)).await;
        }
        self.run_batch(batch, true).await
    }

    async fn run_batch(&mut self, mut batch: Batch, flushed: bool) -> anyhow::Result<()> {
        if batch.frames.is_empty() {
            let answers = batch.replies.local_replies(&mut self.statements);
            self.send(&answers).await?;
            if flushed {
                return Ok(());
            }
            if self.exchange.is_none() {
                self.portals.clear();
            }
            return self.send(&self.ready()).await;
        }
        if self.is_aborted() {
            // The statements would run outside the transaction they belong to.
            self.skipping = flushed;
            self.send(&local::aborted_fault().answer(Severity::Error)).await?;
            return if flushed { Ok(()) } else { self.send(&self.ready()).await };
        }
        frame::put(&mut batch.frames, &Sync::new());
        let request = Request {
            frames: Bytes::from(batch.frames),
            replies: batch.replies,
            access: batch.access,
            begins: batch.begins,
            ends: batch.ends,
            flushed,
        };
        self.run_request(request).await.context("running a batch")
    }
}

fn no_statement(name: &str) -> Fault {
    Fault::new("26000", format!("the prepared statement {name:?} does not exist"))
}
