//! A connection to a backend server.

use std::{collections::BTreeMap, io, rc::Rc, time::Duration};

use anyhow::Context;
use bergamottrack_adapter::wire::{self, AnswerReader};
use bergamottrack_coordination::{
    AccountId, ServerId,
    budget::{Budget, Charge},
};
use bergamottrack_model::{
    Failure, ListedServer, ServerAnswer, State, session::ConnectionState, statement::Shape,
};
use bytes::BytesMut;
use futures_util::FutureExt;
use monoio::{
    io::IntoPollIo,
    net::{TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tracing::debug;

/// Timeout of a connection attempt. An attempt takes 2 ms between machines of one region, so a
/// server that has not answered within the timeout is silent or cut off.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for a server to accept a session. Accepting it takes a slot for 12 ms, after a wait for
/// the slot if all are in use.
const SESSION_START_TIMEOUT: Duration = Duration::from_millis(1000);

/// Idle time before TCP keepalive probes, interval between the probes, and number of unanswered
/// probes after which the connection is closed. A server drops a silent connection after 3 s; this
/// host does so at about the same time.
const KEEP_ALIVE: (Duration, Duration, u32) = (Duration::from_secs(2), Duration::from_secs(1), 2);

/// Buffer space reserved before each read, in bytes.
const READ_CHUNK: usize = 4 * 1024;

/// Maximum capacity in bytes of an empty buffer that a connection keeps for its next answer.
const MAX_KEPT_BUFFER: usize = 16 << 10;

/// Part of the shared memory that one answer may hold. An answer whose rows never end would hold all.
const ANSWER_DIVISOR: usize = 4;

/// Interval at which a connection that has no memory for the rest of an answer tries to get some. The
/// server waits meanwhile.
const MEMORY_INTERVAL: Duration = Duration::from_millis(5);

/// Size of the system's receive buffer in bytes. What it holds counts as memory of the process.
const RECEIVE_BUFFER: usize = 32 << 10;

/// Reason why no connection was opened.
#[derive(Debug)]
pub enum OpenError {
    /// The connection was refused: by the server's machine, where no process listens, or by the
    /// network. The server has received nothing.
    Refused,
    /// The server answered and rejected the session.
    Rejected(Failure),
    /// No answer arrived in time, or the connection broke.
    Silent(anyhow::Error),
}

/// A connection to a backend server, for one account.
#[derive(Debug)]
pub struct Backend {
    io: TcpStreamPoll,
    buf: BytesMut,
    answers: AnswerReader,
    /// Bytes to write with the next exchange.
    pub out: BytesMut,
    /// Number of session steps whose answers precede the answer to the statement.
    pending_steps: usize,
    /// The account whose statements run on the connection.
    pub account: AccountId,
    /// The server's name.
    pub server: ServerId,
    /// Session values and named statements that the connection holds.
    pub carried: ConnectionState,
    /// Memory of `buf`.
    memory: Charge,
    /// Memory of `carried` while the connection is idle.
    carried_memory: Charge,
    /// Maximum size of an answer in bytes.
    max_answer: usize,
}

impl Backend {
    /// Connects and starts a session of the account. Answers and the values of sessions are charged to
    /// `memory`.
    pub async fn open(
        listed: &ListedServer,
        account: &AccountId,
        memory: &Rc<Budget>,
    ) -> Result<Self, OpenError> {
        let io = match monoio::time::timeout(CONNECT_TIMEOUT, connect(listed)).await {
            Ok(Ok(io)) => io,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(OpenError::Refused);
            }
            Ok(Err(error)) => {
                let error = anyhow::Error::new(error);
                return Err(OpenError::Silent(
                    error.context(format!("connecting to {}", listed.id)),
                ));
            }
            Err(_) => {
                let error = anyhow::anyhow!("connecting to {}: timed out", listed.id);
                return Err(OpenError::Silent(error));
            }
        };
        let mut backend = Self {
            io,
            buf: BytesMut::new(),
            answers: AnswerReader::default(),
            out: BytesMut::new(),
            pending_steps: 0,
            account: account.clone(),
            server: listed.id.clone(),
            carried: ConnectionState::default(),
            memory: memory.charge(),
            carried_memory: memory.charge(),
            max_answer: memory.limit() / ANSWER_DIVISOR,
        };
        wire::put_start(&listed.group, account, &listed.id, &mut backend.out);
        let started = monoio::time::timeout(SESSION_START_TIMEOUT, backend.exchange()).await;
        match started {
            Ok(Ok(_)) => Ok(backend),
            Ok(Err(error)) => match backend.answers.refusal() {
                Some(failure) => Err(OpenError::Rejected(failure)),
                None => Err(OpenError::Silent(error)),
            },
            Err(_) => {
                Err(OpenError::Silent(anyhow::anyhow!("{}: session start timeout", backend.server)))
            }
        }
    }

    /// Writes a line for the next exchange, after the steps that give the connection the session's
    /// values and the named statement.
    pub fn put(
        &mut self,
        values: &BTreeMap<Box<str>, Box<str>>,
        shape: Option<&Shape>,
        write: impl FnOnce(&mut BytesMut),
    ) {
        let steps = self.carried.reconcile(values, shape);
        for step in &steps {
            wire::put_step(step, &mut self.out);
        }
        self.pending_steps += steps.len();
        write(&mut self.out);
    }

    /// Sends the bytes in `out` and reads the answer to the last statement in them.
    ///
    /// Until the answer has arrived, a close of the connection resets it, also if this process is killed: the
    /// statement is given up then.
    ///
    /// Fails if a session step before the statement failed: the statement may have run with other
    /// values than its session's, and the connection must be closed.
    pub async fn exchange(&mut self) -> anyhow::Result<ServerAnswer> {
        bergamottrack_socket::reset_on_close(&self.io)
            .with_context(|| format!("preparing a statement to {}", self.server))?;
        self.io
            .write_all(&self.out)
            .await
            .with_context(|| format!("writing to {}", self.server))?;
        self.out.clear();
        loop {
            let answer = self.next().await?;
            if self.pending_steps == 0 {
                if let Err(error) = bergamottrack_socket::send_on_close(&self.io) {
                    debug!(server = %self.server, %error, "backend: an idle close will reset");
                }
                return Ok(answer);
            }
            self.pending_steps -= 1;
            if let Some(failure) = answer.failure() {
                anyhow::bail!("{} rejected a session value or statement: {failure:?}", self.server);
            }
        }
    }

    async fn next(&mut self) -> anyhow::Result<ServerAnswer> {
        loop {
            let answer = self.answers.take(&mut self.buf);
            if let Some(answer) = answer.with_context(|| format!("reading from {}", self.server))? {
                if self.buf.is_empty() && self.buf.capacity() > MAX_KEPT_BUFFER {
                    self.buf = BytesMut::new();
                }
                // A charge that shrinks does not fail.
                let _ = self.memory.set(self.buf.capacity());
                return Ok(answer);
            }
            anyhow::ensure!(
                self.buf.len() <= self.max_answer,
                "an answer of {} is longer than {} bytes",
                self.server,
                self.max_answer
            );
            self.buf.reserve(READ_CHUNK);
            while self.memory.set(self.buf.capacity()).is_err() {
                monoio::time::sleep(MEMORY_INTERVAL).await;
            }
            let read = self.io.read_buf(&mut self.buf).await;
            let read = read.with_context(|| format!("reading from {}", self.server))?;
            anyhow::ensure!(read > 0, "{} closed the connection", self.server);
        }
    }

    /// Charges the values that the connection keeps while it is idle; returns whether there is memory for
    /// them.
    pub fn keep_values(&mut self) -> bool {
        self.carried_memory.set(self.carried.size()).is_ok()
    }

    /// Returns whether nothing has arrived since the last answer, not even the end of the stream.
    ///
    /// Guards against a connection that the server closed while it was idle: a write sent on it
    /// would be reported as uncertain although it cannot run.
    pub fn is_quiet(&mut self) -> bool {
        self.buf.is_empty() && self.io.read_buf(&mut self.buf).now_or_never().is_none()
    }

    /// Returns whether a transaction may begin on the connection after `answer`, the last one.
    pub fn is_clean(&self, answer: &ServerAnswer) -> bool {
        answer.state == State::Idle && self.buf.is_empty() && self.pending_steps == 0
    }
}

async fn connect(listed: &ListedServer) -> io::Result<TcpStreamPoll> {
    let stream = TcpStream::connect(listed.address).await?;
    stream.set_nodelay(true)?;
    let (time, interval, tries) = KEEP_ALIVE;
    stream.set_tcp_keepalive(Some(time), Some(interval), Some(tries))?;
    bergamottrack_socket::set_receive_buffer(&stream, RECEIVE_BUFFER)?;
    stream.into_poll_io()
}
