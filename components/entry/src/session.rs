//! Session of an authenticated caller: reads its messages and serves them in order.

use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use bergamottrack_coordination::{
    Reason, Refusal,
    budget::{BudgetExhausted, Charge},
    turns::{MESSAGE_COST, Usage},
};
use bergamottrack_peer::{Exchange, Intent, Open, ToHome, message::TransactionState};
use bergamottrack_pg::{
    Frame, PgReader, PgWriter,
    answer::{self, Severity},
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

/// Maximum time between the first and the last byte of a caller's message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Work of a byte that is parsed, in bytes whose work is that of being received.
const PARSE_COST: usize = 8;

/// Copies of a query that are held while it runs: as received, decoded, and as sent to the server.
const QUERY_COPIES: usize = 3;

/// Time in which what a host sends of its own must be written, besides that of the bytes at
/// [`MIN_RATE`]. What is not read occupies memory.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum rate at which callers read, in bytes per second.
const MIN_RATE: f64 = 16.0 * 1024.0;

/// Time for which a draining host still accepts requests that were already in transit.
const DRAIN_GRACE: Duration = Duration::from_millis(100);

/// Reader of a caller's messages.
pub type Reader = PgReader<ReadHalf<Stream>>;

/// Writer of the answers to a caller.
pub type Writer = PgWriter<WriteHalf<Stream>>;

/// Access mode of a statement, or the strongest one among the statements of a request.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Access {
    /// No statement is executed; statements are only prepared and described.
    #[default]
    Describe,
    /// All statements are known to be read-only.
    Read,
    /// At least one statement may change data.
    Write,
}

impl Access {
    /// Returns the access mode of a statement.
    pub fn of(command: &Command) -> Self {
        match command {
            Command::Read | Command::Show(_) => Self::Read,
            _ => Self::Write,
        }
    }
}

/// Messages sent together to the group's home, and the properties that determine the processing of
/// the answer.
#[derive(Debug, Default)]
pub struct Request {
    /// Complete messages, the last of which is `Query` or `Sync`; a request that the caller ended
    /// with `Flush` ends with `Sync` too.
    pub frames: Bytes,
    /// Expected replies, in the order of the messages.
    pub replies: ExpectedReplies,
    /// Strongest access mode of the request's statements.
    pub access: Access,
    /// Whether the request begins a transaction.
    pub begins: bool,
    /// Whether the request ends a transaction.
    pub ends: bool,
    /// Whether the caller ended the request with `Flush`, so that its batch continues: the answer
    /// has no `ReadyForQuery`, and after an error messages are skipped until the next `Sync`.
    pub flushed: bool,
}

/// Session of an authenticated caller.
pub struct Session {
    pub(crate) entry: Rc<Entry>,
    pub(crate) caller: Caller,
    pub(crate) settings: Settings,
    reader: Reader,
    writer: Writer,
    permit: Permit,
    /// Whether the caller has already been granted [`DRAIN_GRACE`].
    grace_used: bool,
    /// Exchange with the group's home while a transaction is open.
    pub(crate) exchange: Option<Exchange>,
    /// Transaction status. `Failed` without an exchange means that the transaction is already
    /// rolled back but the caller has not sent its `COMMIT` or `ROLLBACK` yet.
    pub(crate) transaction_state: TransactionState,
    cancel: Rc<CancelHandle>,
    pub(crate) statements: Statements,
    /// Statements by portal name; portals are kept until their transaction ends.
    pub(crate) portals: HashMap<Box<str>, Rc<Statement>>,
    pub(crate) batch: Batch,
    /// Memory charged for the current batch.
    pub(crate) charge: Charge,
    /// Whether messages are skipped until the next `Sync`, after an error.
    pub(crate) skipping: bool,
    usage: Usage,
}

impl Session {
    /// Creates the session of a caller that has just been authenticated.
    pub fn new(
        entry: Rc<Entry>,
        caller: Caller,
        (reader, writer): (Reader, Writer),
        cancel: Rc<CancelHandle>,
        permit: Permit,
    ) -> Self {
        Self {
            charge: entry.callers.input.charge(),
            usage: Usage::new(entry.clock.now()),
            entry,
            caller,
            settings: Settings::default(),
            reader,
            writer,
            permit,
            grace_used: false,
            exchange: None,
            transaction_state: TransactionState::Idle,
            cancel,
            statements: Statements::default(),
            portals: HashMap::new(),
            batch: Batch::default(),
            skipping: false,
        }
    }

    /// Serves the caller until it disconnects, a fatal error occurs, or the host drains.
    pub async fn run(&mut self, pid: i32) -> anyhow::Result<()> {
        let notices = match self.apply_startup() {
            Ok(notices) => notices,
            Err(fault) => return self.fatal(&fault).await,
        };
        self.send_startup(pid, &notices).await?;
        loop {
            self.permit.set_busy(self.exchange.is_some());
            if self.batch.is_empty() {
                // A charge that shrinks does not fail.
                let _ = self.charge_work(0);
            }
            let frame = match self.next().await {
                Ok(Some(frame)) => frame,
                Ok(None) => return Ok(()),
                // The host is draining, and the caller has been notified.
                Err(error) if error.is::<Refusal>() => return Err(error),
                Err(error) if error.is::<BudgetExhausted>() => {
                    self.exchange = None;
                    let refusal = answer::refusal(Severity::Fatal, &caller::memory_refusal());
                    self.send(&refusal).await?;
                    return Err(error);
                }
                Err(error) => return self.fatal(&Fault::new("08P01", format!("{error:#}"))).await,
            };
            self.permit.set_busy(true);
            let cost = MESSAGE_COST + frame.raw.len() * PARSE_COST;
            self.entry.turns.wait(Some(&self.caller.account), &mut self.usage, cost).await;
            match frame.tag {
                b'Q' => self.query(&frame).await?,
                b'P' | b'B' | b'D' | b'E' | b'C' => self.collect(&frame),
                b'H' => self.flush().await?,
                b'S' => self.sync().await?,
                b'X' => return Ok(()),
                // Remaining messages of a COPY that was refused.
                b'd' | b'c' | b'f' => {}
                other => {
                    let message = format!("a message of kind {:?} is not served", other as char);
                    return self.fatal(&Fault::new("08P01", message)).await;
                }
            }
        }
    }

    /// Sends a fatal error and ends the connection.
    async fn fatal(&mut self, fault: &Fault) -> anyhow::Result<()> {
        // The transaction is rolled back first: sending waits for the caller to read.
        self.exchange = None;
        self.send(&fault.answer(Severity::Fatal)).await?;
        bail!("{}", fault.message)
    }

    /// Returns the next message, or `None` at the end of the stream.
    ///
    /// Outside a transaction, a draining host sends a refusal instead and returns it as the
    /// error. A request that arrives within [`DRAIN_GRACE`] is still served.
    async fn next(&mut self) -> anyhow::Result<Option<Frame>> {
        if self.exchange.is_some() {
            return self.reader.next_timeout(MESSAGE_TIMEOUT).await;
        }
        if let Some(frame) = self.reader.ready()? {
            return Ok(Some(frame));
        }
        monoio::select! {
            frame = self.reader.next_timeout(MESSAGE_TIMEOUT) => return frame,
            _ = self.permit.drain_started() => {}
        }
        // Granted once, because otherwise a caller that sends requests without a pause would never
        // be refused.
        let wait = if self.grace_used { Duration::ZERO } else { DRAIN_GRACE };
        self.grace_used = true;
        let frame = monoio::time::timeout(wait, self.reader.next_timeout(MESSAGE_TIMEOUT)).await;
        if let Ok(frame) = frame {
            return frame;
        }
        let refusal = caller::drain_refusal();
        self.send(&answer::refusal(Severity::Fatal, &refusal)).await?;
        Err(refusal.into())
    }

    /// Returns the stream once the session has ended.
    pub fn into_stream(self) -> (Reader, Writer) {
        (self.reader, self.writer)
    }

    /// Applies the parameters of the start-up message as settings, and returns the notices for the
    /// caller.
    fn apply_startup(&mut self) -> Result<BytesMut, Fault> {
        let parameters = std::mem::take(&mut self.caller.parameters);
        let mut notices = BytesMut::new();
        for (name, value) in &parameters {
            match &*name.to_ascii_lowercase() {
                "user" | "database" => {}
                "replication" => return Err(Fault::unsupported("replication")),
                "options" => {
                    for (name, value) in settings::parse_options(value)? {
                        self.set(&name, Some(&value))?;
                    }
                }
                // Drivers request the time zone of their own machine. The refusal is only a
                // notice, since the effective time zone is reported like any other setting.
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
        let limit = WRITE_TIMEOUT + Duration::from_secs_f64(bytes.len() as f64 / MIN_RATE);
        let sent = monoio::time::timeout(limit, self.writer.send(bytes)).await;
        sent.context("the caller did not read in time")?
    }

    pub(crate) fn ready(&self) -> Bytes {
        answer::ready(match self.transaction_state {
            TransactionState::Idle => TransactionStatus::Idle,
            TransactionState::Open => TransactionStatus::Transaction,
            TransactionState::Failed => TransactionStatus::Error,
        })
    }

    /// Returns whether the transaction counts as failed and has no exchange: it is already rolled
    /// back, or its `BEGIN` was refused.
    pub(crate) fn is_aborted(&self) -> bool {
        self.transaction_state == TransactionState::Failed && self.exchange.is_none()
    }

    /// Drops the exchange of a refused request, so that its transaction is rolled back and its
    /// server connection released. `ends` is set if the request would have ended the transaction.
    ///
    /// The caller may already have sent its next statements. In an idle session they would run
    /// outside the transaction they belong to, so the transaction counts as failed until the
    /// caller ends it, as in PostgreSQL itself.
    pub(crate) fn abort(&mut self, ends: bool) {
        let was_open = self.transaction_state != TransactionState::Idle;
        self.exchange = None;
        self.portals.clear();
        self.transaction_state =
            if was_open && !ends { TransactionState::Failed } else { TransactionState::Idle };
    }

    async fn query(&mut self, frame: &Frame) -> anyhow::Result<()> {
        if self.charge_work(frame.raw.len() * QUERY_COPIES).is_err() {
            self.batch = Batch::default();
            self.abort(false);
            let refusal = answer::refusal(Severity::Error, &caller::memory_refusal());
            return self.send(&answer::join([&refusal, &self.ready()])).await;
        }
        let query = match frame.frontend() {
            Ok(PgWireFrontendMessage::Query(query)) => query,
            Ok(_) => bail!("received another message in place of a query"),
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

    /// Runs a request and sends the end of its answer to the caller.
    pub(crate) async fn run_request(&mut self, request: Request) -> anyhow::Result<()> {
        let flushed = request.flushed;
        let (begins, ends) = (request.begins, request.ends);
        let started_at = self.entry.clock.now();
        let result = self.relay_request(request).await?;
        self.record_metrics(started_at, &result);
        match result {
            Ok(mut answer_end) => {
                if !flushed {
                    answer_end.extend_from_slice(&self.ready());
                }
                self.send(&answer_end).await
            }
            Err(refusal) => {
                self.abort(ends);
                // Statements sent after a refused BEGIN belong to its transaction. If they ran
                // outside of it, only a part of the transaction would be applied.
                if begins && !ends && !self.reader.is_empty() {
                    self.transaction_state = TransactionState::Failed;
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

    fn record_metrics(&self, started_at: Instant, result: &Result<BytesMut, Refusal>) {
        let Caller { account, group, .. } = &self.caller;
        let total = self.entry.clock.now().saturating_duration_since(started_at);
        match result {
            Ok(_) => self.entry.metrics.answered(account, group, total),
            Err(refusal) => self.entry.metrics.refused(account, refusal.reason),
        }
    }

    /// Sends a request to the group's home, forwards the answer to the caller and returns the last
    /// part of the answer.
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
        let config = doc.config.as_ref().context("revision has no configuration")?;
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
                    // Reserved for the next write: a read in between, such as one that a driver
                    // sends itself, must not consume the id.
                    request: if request.access == Access::Write { id.take() } else { None },
                    budget,
                    frames,
                };
                self.exchange = Some(self.entry.open(config, open));
            }
        }
        let relay = Relay {
            exchange: self.exchange.as_mut().context("no exchange is open")?,
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

    /// Returns the intent of a request. While an exchange is open it is always `Write`, so that a
    /// request whose answer is lost counts as possibly run.
    fn intent(&self, access: Access) -> Intent {
        let required_position = self.settings.token.floor(&self.caller.group);
        match access {
            _ if self.exchange.is_some() => Intent::Write,
            Access::Describe => Intent::Read { required_position, max_age: None },
            Access::Read => Intent::Read { required_position, max_age: self.settings.max_age },
            Access::Write => Intent::Write,
        }
    }

    fn complete(&mut self, completion: Completion) -> BytesMut {
        self.transaction_state = completion.transaction_state;
        if completion.transaction_state == TransactionState::Idle {
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
