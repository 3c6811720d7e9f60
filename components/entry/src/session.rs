//! A caller that has proved its key: its messages, one after another.

use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use bergamottrack_coordination::{Reason, Refusal};
use bergamottrack_peer::{Exchange, Intent, Open, ToHome, message::Standing};
use bergamottrack_pg::{
    Frame, PgReader, PgWriter,
    answer::{self, Severity},
    budget::{Charge, Full},
    frame,
    stream::Stream,
};
use bytes::{Bytes, BytesMut};
use pgwire::messages::{
    PgWireFrontendMessage,
    response::TransactionStatus,
    startup::{Authentication, BackendKeyData, SecretKey},
};
use tokio::io::{ReadHalf, WriteHalf};

use crate::{
    caller,
    callers::Permit,
    context::{CancelHandle, Entry},
    extended::Batch,
    login::Caller,
    relay::{Completion, Relay},
    replies::ExpectedReplies,
    settings::{self, Fault, Owner, Settings},
    sql::{self, Command},
    statements::{Statement, Statements},
};

/// How long one message of a caller may be on its way.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a request may have been on its way when a host says goodbye.
const DRAIN_GRACE: Duration = Duration::from_millis(100);

/// What a caller's messages are read from.
pub type Reader = PgReader<ReadHalf<Stream>>;

/// What a caller's answers are written to.
pub type Writer = PgWriter<WriteHalf<Stream>>;

/// What the statements of a request do, taken together.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Access {
    /// No statement runs: they are only prepared and described.
    #[default]
    Describe,
    /// All of them surely read.
    Read,
    /// One may change data.
    Write,
}

impl Access {
    /// What a statement does.
    pub fn of(command: &Command) -> Self {
        match command {
            Command::Read | Command::Show(_) => Self::Read,
            _ => Self::Write,
        }
    }
}

/// What goes to the home at once, and what becomes of its answer.
#[derive(Debug, Default)]
pub struct Request {
    /// Whole messages, the last of them `Query` or `Sync`.
    pub frames: Bytes,
    /// What becomes of the answers.
    pub replies: ExpectedReplies,
    /// What its statements do.
    pub access: Access,
    /// Whether it begins a transaction.
    pub begins: bool,
    /// Whether it ends a transaction.
    pub ends: bool,
    /// Whether the caller has not ended its batch yet.
    pub flushed: bool,
}

/// A caller that has proved its key.
pub struct Session {
    pub(crate) entry: Rc<Entry>,
    pub(crate) caller: Caller,
    pub(crate) settings: Settings,
    reader: Reader,
    writer: Writer,
    permit: Permit,
    /// Whether the caller may know that the host is being stopped.
    drain_notified: bool,
    /// The transaction that is open, if one is.
    pub(crate) exchange: Option<Exchange>,
    /// `Failed` without an exchange stands for a transaction that is already
    /// rolled back and whose end the caller has not asked for yet.
    pub(crate) standing: Standing,
    cancel: Rc<CancelHandle>,
    pub(crate) statements: Statements,
    /// What each portal runs; those of an open transaction stay.
    pub(crate) portals: HashMap<Box<str>, Rc<Statement>>,
    pub(crate) batch: Batch,
    /// What the batch holds.
    pub(crate) charge: Charge,
    /// Whether messages are skipped up to the next `Sync`, after an error.
    pub(crate) skipping: bool,
}

impl Session {
    /// A session that has said nothing yet.
    pub fn new(
        entry: Rc<Entry>,
        caller: Caller,
        (reader, writer): (Reader, Writer),
        cancel: Rc<CancelHandle>,
        permit: Permit,
    ) -> Self {
        Self {
            charge: entry.callers.input.charge(),
            entry,
            caller,
            settings: Settings::default(),
            reader,
            writer,
            permit,
            drain_notified: false,
            exchange: None,
            standing: Standing::Idle,
            cancel,
            statements: Statements::default(),
            portals: HashMap::new(),
            batch: Batch::default(),
            skipping: false,
        }
    }

    /// Serves the caller until it leaves.
    pub async fn run(&mut self, pid: i32) -> anyhow::Result<()> {
        let notices = match self.apply_startup() {
            Ok(notices) => notices,
            Err(fault) => return self.fatal(&fault).await,
        };
        self.send_startup(pid, &notices).await?;
        loop {
            self.permit.set_busy(self.exchange.is_some());
            let frame = match self.next().await {
                Ok(Some(frame)) => frame,
                Ok(None) => return Ok(()),
                // Said goodbye to.
                Err(error) if error.is::<Refusal>() => return Err(error),
                Err(error) if error.is::<Full>() => {
                    self.exchange = None;
                    let refusal = answer::refusal(Severity::Fatal, &caller::memory_refusal());
                    self.send(&refusal).await?;
                    return Err(error);
                }
                Err(error) => return self.fatal(&Fault::new("08P01", format!("{error:#}"))).await,
            };
            self.permit.set_busy(true);
            match frame.tag {
                b'Q' => self.query(&frame).await?,
                b'P' | b'B' | b'D' | b'E' | b'C' => self.collect(&frame),
                b'H' => self.flush().await?,
                b'S' => self.sync().await?,
                b'X' => return Ok(()),
                // What is left of a COPY that was refused.
                b'd' | b'c' | b'f' => {}
                other => {
                    let message = format!("a message of kind {:?} is not served", other as char);
                    return self.fatal(&Fault::new("08P01", message)).await;
                }
            }
        }
    }

    /// Ends the connection with a reason.
    async fn fatal(&mut self, fault: &Fault) -> anyhow::Result<()> {
        // Rolled back first: the caller may read on for as long as it likes.
        self.exchange = None;
        self.send(&fault.answer(Severity::Fatal)).await?;
        bail!("{}", fault.message)
    }

    /// The next message. Between two requests a host that is being stopped says
    /// goodbye instead; a request that crosses that on its way is still served.
    async fn next(&mut self) -> anyhow::Result<Option<Frame>> {
        if self.exchange.is_some() {
            return self.reader.next_within(MESSAGE_TIMEOUT).await;
        }
        if let Some(frame) = self.reader.ready()? {
            return Ok(Some(frame));
        }
        monoio::select! {
            frame = self.reader.next_within(MESSAGE_TIMEOUT) => return frame,
            _ = self.permit.drain_started() => {}
        }
        // A caller without pauses would be served for ever, so this is done once.
        let wait = if self.drain_notified { Duration::ZERO } else { DRAIN_GRACE };
        self.drain_notified = true;
        let frame = monoio::time::timeout(wait, self.reader.next_within(MESSAGE_TIMEOUT)).await;
        if let Ok(frame) = frame {
            return frame;
        }
        let refusal = caller::drain_refusal();
        self.send(&answer::refusal(Severity::Fatal, &refusal)).await?;
        Err(refusal.into())
    }

    /// The stream, when the session is over.
    pub fn into_stream(self) -> (Reader, Writer) {
        (self.reader, self.writer)
    }

    /// Takes the settings of the start-up message; gives notices for the caller.
    fn apply_startup(&mut self) -> Result<BytesMut, Fault> {
        let given = std::mem::take(&mut self.caller.settings);
        let mut notices = BytesMut::new();
        for (name, value) in &given {
            match &*name.to_ascii_lowercase() {
                "user" | "database" => {}
                "replication" => return Err(Fault::unsupported("replication")),
                "options" => {
                    for (name, value) in settings::parse_options(value)? {
                        self.set(&name, Some(&value))?;
                    }
                }
                // Drivers ask for the time zone of their own machine. They are
                // told of the one in force, as of any other setting.
                "timezone" => {
                    if let Err(fault) = self.set("timezone", Some(value)) {
                        notices.extend_from_slice(&answer::notice(fault.code, &fault.message));
                    }
                }
                name => self.set(name, Some(value))?,
            }
        }
        Ok(notices)
    }

    pub(crate) fn set(&mut self, name: &str, value: Option<&str>) -> Result<(), Fault> {
        let owner = Owner { account: &self.caller.account, secret: &self.entry.secret };
        self.settings.set(name, value, owner)
    }

    async fn send_startup(&mut self, pid: i32, notices: &[u8]) -> anyhow::Result<()> {
        let mut out = BytesMut::new();
        frame::put(&mut out, &Authentication::Ok);
        for (name, value) in self.settings.reported() {
            out.extend_from_slice(&answer::parameter(name, value));
        }
        out.extend_from_slice(notices);
        frame::put(&mut out, &BackendKeyData::new(pid, SecretKey::I32(self.cancel.secret)));
        out.extend_from_slice(&self.ready());
        self.send(&out).await
    }

    pub(crate) async fn send(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        self.writer.send(bytes).await
    }

    pub(crate) fn ready(&self) -> Bytes {
        answer::ready(match self.standing {
            Standing::Idle => TransactionStatus::Idle,
            Standing::Open => TransactionStatus::Transaction,
            Standing::Failed => TransactionStatus::Error,
        })
    }

    /// Whether a transaction has failed and is already rolled back.
    pub(crate) fn is_aborted(&self) -> bool {
        self.standing == Standing::Failed && self.exchange.is_none()
    }

    /// Ends what a refused request leaves open.
    ///
    /// The transaction is over, and its server's connection given up. The caller
    /// may already have sent its next statements: were the session idle, they
    /// would run outside of the transaction they were meant for. So it counts as
    /// failed until the caller asks for its end, as with any server.
    pub(crate) fn abort(&mut self, ends: bool) {
        let was_open = self.standing != Standing::Idle;
        self.exchange = None;
        self.portals.clear();
        self.standing = if was_open && !ends { Standing::Failed } else { Standing::Idle };
    }

    async fn query(&mut self, frame: &Frame) -> anyhow::Result<()> {
        let query = match frame.frontend() {
            Ok(PgWireFrontendMessage::Query(query)) => query,
            Ok(_) => bail!("a query was expected"),
            Err(error) => return self.fatal(&Fault::new("08P01", format!("{error:#}"))).await,
        };
        self.batch = Batch::default();
        let commands = sql::parse(&query.query);
        let ends = commands.iter().any(|c| matches!(c, Command::End(_)));
        let result = match self.check_query(&commands) {
            Ok(true) => self.run_locally(&commands),
            Ok(false) => {
                let request = Request {
                    frames: frame.raw.clone(),
                    access: commands.iter().map(Access::of).max().unwrap_or_default(),
                    begins: commands.contains(&Command::Begin),
                    ends,
                    ..Request::default()
                };
                return self.run_request(request).await;
            }
            Err(fault) => Err(fault),
        };
        let bytes = result.unwrap_or_else(|fault| {
            self.abort(ends);
            fault.answer(Severity::Error)
        });
        self.send(&answer::join([&bytes, &self.ready()])).await
    }

    /// Runs a request and ends its answer.
    pub(crate) async fn run_request(&mut self, request: Request) -> anyhow::Result<()> {
        let flushed = request.flushed;
        let (begins, ends) = (request.begins, request.ends);
        let began = self.entry.clock.now();
        let result = self.relay_request(request).await?;
        self.record_metrics(began, &result);
        match result {
            Ok(mut out) => {
                if !flushed {
                    out.extend_from_slice(&self.ready());
                }
                self.send(&out).await
            }
            Err(refusal) => {
                self.abort(ends);
                // Statements that a caller has sent behind its BEGIN are for the
                // transaction that was refused: run alone they would be half of it.
                if begins && !ends && !self.reader.is_empty() {
                    self.standing = Standing::Failed;
                }
                self.skipping = flushed;
                let mut out = BytesMut::from(&answer::refusal(Severity::Error, &refusal)[..]);
                if !flushed {
                    out.extend_from_slice(&self.ready());
                }
                self.send(&out).await
            }
        }
    }

    fn record_metrics(&self, began: Instant, result: &Result<BytesMut, Refusal>) {
        let Caller { account, group, .. } = &self.caller;
        let total = self.entry.clock.now().saturating_duration_since(began);
        match result {
            Ok(_) => self.entry.metrics.answered(account, group, total),
            Err(refusal) => self.entry.metrics.refused(account, refusal.reason),
        }
    }

    /// Runs a request; gives the end of its answer.
    async fn relay_request(
        &mut self,
        request: Request,
    ) -> anyhow::Result<Result<BytesMut, Refusal>> {
        let budget = match self.budget() {
            Ok(budget) => budget,
            Err(refusal) => return Ok(Err(refusal)),
        };
        let deadline = self.entry.clock.now() + budget;
        let (account, key) = (&self.caller.account, &self.caller.key);
        let admitted = match &self.exchange {
            Some(_) => self.entry.check(account, key),
            None => self.entry.admit(account, key).await,
        };
        let doc = match admitted {
            Ok(doc) => doc,
            Err(refusal) => return Ok(Err(refusal)),
        };
        let config = doc.config.as_ref().context("a revision without a configuration")?;
        let intent = self.intent(request.access);
        let frames = request.frames;
        match &self.exchange {
            Some(exchange) => {
                if !exchange.send(ToHome::More { frames, budget }) {
                    let message = "the group's home was lost; the transaction is rolled back";
                    return Ok(Err(Refusal::not_run(Reason::Lost, None, message)));
                }
            }
            None => {
                let id = &mut self.settings.request;
                let open = Open {
                    group: self.caller.group.clone(),
                    account: self.caller.account.clone(),
                    intent: intent.clone(),
                    // Kept for the next write: a read in between, such as a
                    // driver's own, must not use it up.
                    request: if request.access == Access::Write { id.take() } else { None },
                    budget,
                    frames,
                };
                self.exchange = Some(self.entry.open(config, open));
            }
        }
        let relay = Relay {
            exchange: self.exchange.as_mut().context("an exchange was opened")?,
            reader: &mut self.reader,
            writer: &mut self.writer,
            cancel: &self.cancel,
            intent: &intent,
            deadline,
            replies: request.replies,
            statements: &mut self.statements,
            track_failure: request.flushed,
            delivered: 0,
        };
        let (completion, replies) = relay.run().await?;
        if let Ok(completion) = &completion
            && request.access == Access::Read
        {
            self.entry.metrics.read(&self.caller.group, completion.replica);
        }
        self.skipping = request.flushed && replies.failed();
        Ok(completion.map(|completion| self.complete(completion)))
    }

    fn budget(&self) -> Result<Duration, Refusal> {
        let doc = self.entry.config()?;
        let policy = doc.config.as_ref().map(|c| Duration::from_millis(c.policy.request_ms));
        Ok(self.settings.deadline.or(policy).unwrap_or_default())
    }

    fn intent(&self, access: Access) -> Intent {
        let floor = self.settings.token.floor(&self.caller.group);
        match access {
            _ if self.exchange.is_some() => Intent::Write,
            Access::Describe => Intent::Read { floor, max_age: None },
            Access::Read => Intent::Read { floor, max_age: self.settings.max_age },
            Access::Write => Intent::Write,
        }
    }

    fn complete(&mut self, completion: Completion) -> BytesMut {
        self.standing = completion.standing;
        if completion.standing == Standing::Idle {
            self.exchange = None;
            self.portals.clear();
        }
        let mut out = BytesMut::from(&completion.frames[..]);
        if let Some(point) = completion.point {
            self.settings.token.raise(&self.caller.group, point);
            let token = self.settings.token.seal(&self.caller.account, &self.entry.secret);
            out.extend_from_slice(&answer::parameter(settings::SESSION, &token));
        }
        out
    }
}
