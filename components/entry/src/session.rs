//! A caller that has proved its key: its messages, one after another.

use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use bergamottrack_coordination::{Reason, Refusal};
use bergamottrack_peer::{Exchange, Intent, Open, ToHome, message::TransactionState};
use bergamottrack_pg::{
    Frame, PgReader, PgWriter,
    answer::{self, Severity},
    budget::{BudgetExhausted, Charge},
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
    callers::Seat,
    context::{Cancel, Entry},
    extended::Batch,
    login::Caller,
    relay::{Answered, Relay},
    settings::{self, Fault, Owner, Settings},
    sql::{self, Command},
    statements::{Statement, Statements},
    steps::Steps,
};

/// How long one message of a caller may be on its way.
const MESSAGE_WITHIN: Duration = Duration::from_secs(30);

/// How long a request may have been on its way when a host says goodbye.
const CROSSING: Duration = Duration::from_millis(100);

/// What a caller's messages are read from.
pub type Reader = PgReader<ReadHalf<Stream>>;

/// What a caller's answers are written to.
pub type Writer = PgWriter<WriteHalf<Stream>>;

/// What the statements of a request do, taken together.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Work {
    /// No statement runs: they are only prepared and described.
    #[default]
    Describe,
    /// All of them surely read.
    Read,
    /// One may change data.
    Write,
}

impl Work {
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
    pub steps: Steps,
    /// What its statements do.
    pub work: Work,
    /// Whether it begins a transaction.
    pub begins: bool,
    /// Whether it ends a transaction.
    pub ends: bool,
    /// Whether the caller has not ended its batch yet.
    pub unfinished: bool,
}

/// A caller that has proved its key.
pub struct Session {
    pub(crate) entry: Rc<Entry>,
    pub(crate) caller: Caller,
    pub(crate) settings: Settings,
    reader: Reader,
    writer: Writer,
    seat: Seat,
    /// Whether the caller may know that the host is being stopped.
    told: bool,
    /// The transaction that is open, if one is.
    pub(crate) exchange: Option<Exchange>,
    /// `Failed` without an exchange stands for a transaction that is already
    /// rolled back and whose end the caller has not asked for yet.
    pub(crate) standing: TransactionState,
    cancel: Rc<Cancel>,
    pub(crate) statements: Statements,
    /// What each portal runs; those of an open transaction stay.
    pub(crate) portals: HashMap<Box<str>, Rc<Statement>>,
    pub(crate) batch: Batch,
    /// What the batch holds.
    pub(crate) held: Charge,
    /// Whether messages are skipped up to the next `Sync`, after an error.
    pub(crate) skipping: bool,
}

impl Session {
    /// A session that has said nothing yet.
    pub fn new(
        entry: Rc<Entry>,
        caller: Caller,
        (reader, writer): (Reader, Writer),
        cancel: Rc<Cancel>,
        seat: Seat,
    ) -> Self {
        Self {
            held: entry.callers.input.charge(),
            entry,
            caller,
            settings: Settings::default(),
            reader,
            writer,
            seat,
            told: false,
            exchange: None,
            standing: TransactionState::Idle,
            cancel,
            statements: Statements::default(),
            portals: HashMap::new(),
            batch: Batch::default(),
            skipping: false,
        }
    }

    /// Serves the caller until it leaves.
    pub async fn run(&mut self, pid: i32) -> anyhow::Result<()> {
        let notices = match self.start_up() {
            Ok(notices) => notices,
            Err(fault) => return self.fatal(&fault).await,
        };
        self.greet(pid, &notices).await?;
        loop {
            self.seat.set_busy(self.exchange.is_some());
            let frame = match self.next().await {
                Ok(Some(frame)) => frame,
                Ok(None) => return Ok(()),
                // Said goodbye to.
                Err(error) if error.is::<Refusal>() => return Err(error),
                Err(error) if error.is::<BudgetExhausted>() => {
                    self.exchange = None;
                    let refusal = answer::refusal(Severity::Fatal, &caller::too_much());
                    self.send(&refusal).await?;
                    return Err(error);
                }
                Err(error) => return self.fatal(&Fault::new("08P01", format!("{error:#}"))).await,
            };
            self.seat.set_busy(true);
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
            return self.reader.next_timeout(MESSAGE_WITHIN).await;
        }
        if let Some(frame) = self.reader.ready()? {
            return Ok(Some(frame));
        }
        monoio::select! {
            frame = self.reader.next_timeout(MESSAGE_WITHIN) => return frame,
            _ = self.seat.leaving() => {}
        }
        // A caller without pauses would be served for ever, so this is done once.
        let wait = if self.told { Duration::ZERO } else { CROSSING };
        self.told = true;
        let frame = monoio::time::timeout(wait, self.reader.next_timeout(MESSAGE_WITHIN)).await;
        if let Ok(frame) = frame {
            return frame;
        }
        let refusal = caller::stopping();
        self.send(&answer::refusal(Severity::Fatal, &refusal)).await?;
        Err(refusal.into())
    }

    /// The stream, when the session is over.
    pub fn into_stream(self) -> (Reader, Writer) {
        (self.reader, self.writer)
    }

    /// Takes the settings of the start-up message; gives notices for the caller.
    fn start_up(&mut self) -> Result<BytesMut, Fault> {
        let given = std::mem::take(&mut self.caller.settings);
        let mut notices = BytesMut::new();
        for (name, value) in &given {
            match &*name.to_ascii_lowercase() {
                "user" | "database" => {}
                "replication" => return Err(Fault::unsupported("replication")),
                "options" => {
                    for (name, value) in settings::options(value)? {
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

    async fn greet(&mut self, pid: i32, notices: &[u8]) -> anyhow::Result<()> {
        let mut out = BytesMut::new();
        frame::put(&mut out, &Authentication::Ok);
        for (name, value) in self.settings.told() {
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
            TransactionState::Idle => TransactionStatus::Idle,
            TransactionState::Open => TransactionStatus::Transaction,
            TransactionState::Failed => TransactionStatus::Error,
        })
    }

    /// Whether a transaction has failed and is already rolled back.
    pub(crate) fn is_aborted(&self) -> bool {
        self.standing == TransactionState::Failed && self.exchange.is_none()
    }

    /// Ends what a refused request leaves open.
    ///
    /// The transaction is over, and its server's connection given up. The caller
    /// may already have sent its next statements: were the session idle, they
    /// would run outside of the transaction they were meant for. So it counts as
    /// failed until the caller asks for its end, as with any server.
    pub(crate) fn abort(&mut self, ends: bool) {
        let was_open = self.standing != TransactionState::Idle;
        self.exchange = None;
        self.portals.clear();
        self.standing =
            if was_open && !ends { TransactionState::Failed } else { TransactionState::Idle };
    }

    async fn query(&mut self, frame: &Frame) -> anyhow::Result<()> {
        let query = match frame.frontend() {
            Ok(PgWireFrontendMessage::Query(query)) => query,
            Ok(_) => bail!("a query was expected"),
            Err(error) => return self.fatal(&Fault::new("08P01", format!("{error:#}"))).await,
        };
        self.batch = Batch::default();
        let commands = sql::commands(&query.query);
        let ends = commands.iter().any(|c| matches!(c, Command::End(_)));
        let result = match self.check_query(&commands) {
            Ok(true) => self.run_locally(&commands),
            Ok(false) => {
                let request = Request {
                    frames: frame.raw.clone(),
                    work: commands.iter().map(Work::of).max().unwrap_or_default(),
                    begins: commands.contains(&Command::Begin),
                    ends,
                    ..Request::default()
                };
                return self.finish(request).await;
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
    pub(crate) async fn finish(&mut self, request: Request) -> anyhow::Result<()> {
        let unfinished = request.unfinished;
        let (begins, ends) = (request.begins, request.ends);
        let began = self.entry.clock.now();
        let result = self.request(request).await?;
        self.measure(began, &result);
        match result {
            Ok(mut out) => {
                if !unfinished {
                    out.extend_from_slice(&self.ready());
                }
                self.send(&out).await
            }
            Err(refusal) => {
                self.abort(ends);
                // Statements that a caller has sent behind its BEGIN are for the
                // transaction that was refused: run alone they would be half of it.
                if begins && !ends && !self.reader.is_empty() {
                    self.standing = TransactionState::Failed;
                }
                self.skipping = unfinished;
                let mut out = BytesMut::from(&answer::refusal(Severity::Error, &refusal)[..]);
                if !unfinished {
                    out.extend_from_slice(&self.ready());
                }
                self.send(&out).await
            }
        }
    }

    fn measure(&self, began: Instant, result: &Result<BytesMut, Refusal>) {
        let Caller { account, group, .. } = &self.caller;
        let total = self.entry.clock.now().saturating_duration_since(began);
        match result {
            Ok(_) => self.entry.metrics.answered(account, group, total),
            Err(refusal) => self.entry.metrics.refused(account, refusal.reason),
        }
    }

    /// Runs a request; gives the end of its answer.
    async fn request(&mut self, request: Request) -> anyhow::Result<Result<BytesMut, Refusal>> {
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
        let intent = self.intent(request.work);
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
                    request: if request.work == Work::Write { id.take() } else { None },
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
            steps: request.steps,
            statements: &mut self.statements,
            watch: request.unfinished,
            taken: 0,
        };
        let (answered, steps) = relay.run().await?;
        if let Ok(answered) = &answered
            && request.work == Work::Read
        {
            self.entry.metrics.read(&self.caller.group, answered.replica);
        }
        self.skipping = request.unfinished && steps.failed();
        Ok(answered.map(|answered| self.settle(answered)))
    }

    fn budget(&self) -> Result<Duration, Refusal> {
        let doc = self.entry.config()?;
        let policy = doc.config.as_ref().map(|c| Duration::from_millis(c.policy.request_ms));
        Ok(self.settings.deadline.or(policy).unwrap_or_default())
    }

    fn intent(&self, work: Work) -> Intent {
        let floor = self.settings.token.floor(&self.caller.group);
        match work {
            _ if self.exchange.is_some() => Intent::Write,
            Work::Describe => Intent::Read { required_position: floor, max_age: None },
            Work::Read => Intent::Read { required_position: floor, max_age: self.settings.max_age },
            Work::Write => Intent::Write,
        }
    }

    fn settle(&mut self, answered: Answered) -> BytesMut {
        self.standing = answered.standing;
        if answered.standing == TransactionState::Idle {
            self.exchange = None;
            self.portals.clear();
        }
        let mut out = BytesMut::from(&answered.frames[..]);
        if let Some(point) = answered.point {
            self.settings.token.raise(&self.caller.group, point);
            let token = self.settings.token.seal(&self.caller.account, &self.entry.secret);
            out.extend_from_slice(&answer::parameter(settings::SESSION, &token));
        }
        out
    }
}
