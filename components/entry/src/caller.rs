//! A caller's connection: one task, straight down.

use std::{rc::Rc, time::Duration};

use anyhow::{Context, bail};
use bergamottrack_coordination::{Reason, Refusal, token::SessionToken};
use bergamottrack_peer::{Exchange, Intent, Open, ToHome, message::Standing};
use bergamottrack_pg::{
    Frame, PgReader, PgWriter,
    answer::{self, Severity},
    frame, stream,
};
use bytes::{Bytes, BytesMut};
use monoio::{
    io::IntoPollIo,
    net::{TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use pgwire::messages::{
    PgWireFrontendMessage,
    cancel::CancelRequest,
    response::TransactionStatus,
    startup::{Authentication, BackendKeyData, SecretKey},
};
use tokio::{
    io::{ReadHalf, WriteHalf},
    sync::Notify,
};
use tracing::debug;

use crate::{
    context::{Cancel, Entry},
    login::{self, Caller, Opened},
    relay,
    sql::{self, Kind},
};

/// How long a caller may take to prove its key.
const LOGIN_WITHIN: Duration = Duration::from_secs(10);

/// The most bytes that one message of a caller may have.
const MAX_MESSAGE: usize = 16 << 20;

/// The setting that carries the session token.
pub const SESSION: &str = "bergamottrack.session";

/// Serves one caller until it leaves.
pub async fn serve(entry: Rc<Entry>, stream: TcpStream) {
    if let Err(error) = run(&entry, stream).await {
        debug!("entry: a caller's connection ended: {error:#}.");
    }
}

async fn run(entry: &Rc<Entry>, stream: TcpStream) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream::split(stream.into_poll_io()?, MAX_MESSAGE);
    let login = login(entry, &mut reader, &mut writer);
    let caller = match monoio::time::timeout(LOGIN_WITHIN, login).await {
        Ok(Ok(Some(caller))) => caller,
        Ok(Ok(None)) => return Ok(()),
        Ok(Err(error)) => {
            writer.send(&login::refused(&error)).await?;
            return Err(error);
        }
        Err(_) => bail!("the caller did not prove its key in {LOGIN_WITHIN:?}"),
    };
    let (pid, secret) = (entry.last_pid.get() + 1, rand::random());
    entry.last_pid.set(pid);
    let wake = Rc::new(Notify::new());
    entry.cancels.borrow_mut().insert(pid, Cancel { secret, wake: wake.clone() });
    let mut session = Session {
        entry: entry.clone(),
        token: SessionToken::default(),
        caller,
        reader,
        writer,
        exchange: None,
        standing: Standing::Idle,
        cancel: wake,
    };
    let result = session.run(pid, secret).await;
    entry.cancels.borrow_mut().remove(&pid);
    result
}

type Reader = PgReader<ReadHalf<TcpStreamPoll>>;
type Writer = PgWriter<WriteHalf<TcpStreamPoll>>;

async fn login(
    entry: &Entry,
    reader: &mut Reader,
    writer: &mut Writer,
) -> anyhow::Result<Option<Caller>> {
    match login::open(reader, writer).await? {
        Opened::Cancel(request) => {
            cancel(entry, &request);
            Ok(None)
        }
        Opened::Startup(settings) => {
            let caller = login::identify(settings)?;
            login::prove(entry, &caller, reader, writer).await?;
            Ok(Some(caller))
        }
    }
}

fn cancel(entry: &Entry, request: &CancelRequest) {
    let cancels = entry.cancels.borrow();
    let known = cancels.get(&request.pid);
    if let Some(known) = known.filter(|c| Some(c.secret) == request.secret_key.as_i32()) {
        known.wake.notify_one();
    }
}

/// A caller that has proved its key.
struct Session {
    entry: Rc<Entry>,
    caller: Caller,
    token: SessionToken,
    reader: Reader,
    writer: Writer,
    /// The transaction that is open, if one is.
    exchange: Option<Exchange>,
    standing: Standing,
    cancel: Rc<Notify>,
}

impl Session {
    async fn run(&mut self, pid: i32, secret: i32) -> anyhow::Result<()> {
        if let Some(text) = self.caller.settings.get(SESSION).cloned() {
            self.present(&text)?;
        }
        self.greet(pid, secret).await?;
        loop {
            let Some(frame) = self.reader.next().await? else { return Ok(()) };
            match frame.tag {
                b'Q' => self.query(frame).await?,
                b'X' => return Ok(()),
                other => bail!("a message of kind {:?} is not served", other as char),
            }
        }
    }

    async fn greet(&mut self, pid: i32, secret: i32) -> anyhow::Result<()> {
        let mut out = BytesMut::new();
        frame::put(&mut out, &Authentication::Ok);
        let settings = [
            ("server_version", "16.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        for (name, value) in settings {
            out.extend_from_slice(&answer::parameter(name, value));
        }
        frame::put(&mut out, &BackendKeyData::new(pid, SecretKey::I32(secret)));
        out.extend_from_slice(&self.ready());
        self.writer.send(&out).await
    }

    fn present(&mut self, text: &str) -> anyhow::Result<()> {
        let token = SessionToken::open(text, &self.caller.account, &self.entry.secret)?;
        self.token.merge(&token);
        Ok(())
    }

    fn ready(&self) -> Bytes {
        answer::ready(match self.standing {
            Standing::Idle => TransactionStatus::Idle,
            Standing::Open => TransactionStatus::Transaction,
            Standing::Failed => TransactionStatus::Error,
        })
    }

    async fn query(&mut self, frame: Frame) -> anyhow::Result<()> {
        let PgWireFrontendMessage::Query(query) = frame.frontend()? else {
            bail!("a query was expected")
        };
        let kind = sql::kind(&query.query);
        match self.request(kind, frame.raw).await? {
            Ok(mut out) => {
                out.extend_from_slice(&self.ready());
                self.writer.send(&out).await
            }
            Err(refusal) => {
                // The exchange is over, and with it the transaction.
                self.exchange = None;
                self.standing = Standing::Idle;
                let error = answer::refusal(Severity::Error, &refusal);
                self.writer.send(&answer::join([&error, &self.ready()])).await
            }
        }
    }

    /// Runs a request; gives the end of its answer.
    async fn request(
        &mut self,
        kind: Kind,
        frames: Bytes,
    ) -> anyhow::Result<Result<BytesMut, Refusal>> {
        let budget = match self.entry.config() {
            Ok(doc) => doc.config.as_ref().map(|c| Duration::from_millis(c.policy.request_ms)),
            Err(refusal) => return Ok(Err(refusal)),
        };
        let budget = budget.unwrap_or_default();
        let deadline = self.entry.clock.now() + budget;
        let (account, key) = (&self.caller.account, &self.caller.key);
        let admitted = match &self.exchange {
            Some(_) => self.entry.check(account, key),
            None => self.entry.admit(account, key, deadline).await,
        };
        let doc = match admitted {
            Ok(doc) => doc,
            Err(refusal) => return Ok(Err(refusal)),
        };
        let config = doc.config.as_ref().context("a revision without a configuration")?;
        let intent = self.intent(kind);
        match &self.exchange {
            Some(exchange) => {
                if !exchange.send(ToHome::More { frames, budget }) {
                    let message = "the group's home was lost";
                    return Ok(Err(Refusal::not_run(Reason::Lost, None, message)));
                }
            }
            None => {
                let open = Open {
                    group: self.caller.group.clone(),
                    account: self.caller.account.clone(),
                    intent: intent.clone(),
                    request: None,
                    budget,
                    frames,
                };
                self.exchange = Some(self.entry.open(config, open));
            }
        }
        let exchange = self.exchange.as_mut().context("an exchange was opened")?;
        let answered =
            relay::answer(exchange, &mut self.writer, &intent, deadline, &self.cancel).await?;
        Ok(answered.map(|answered| self.settle(answered)))
    }

    fn intent(&self, kind: Kind) -> Intent {
        match kind {
            Kind::Read if self.exchange.is_none() => {
                Intent::Read { floor: self.token.floor(&self.caller.group), max_age: None }
            }
            _ => Intent::Write,
        }
    }

    fn settle(&mut self, answered: relay::Answered) -> BytesMut {
        self.standing = answered.standing;
        if answered.standing == Standing::Idle {
            self.exchange = None;
        }
        let mut out = BytesMut::from(&answered.frames[..]);
        if let Some(point) = answered.point {
            self.token.raise(&self.caller.group, point);
            let token = self.token.seal(&self.caller.account, &self.entry.secret);
            out.extend_from_slice(&answer::parameter(SESSION, &token));
        }
        out
    }
}
