//! One connection to a backend server.

use std::{collections::BTreeMap, io, time::Duration};

use anyhow::Context;
use bergamottrack_adapter::wire::{self, Answers};
use bergamottrack_coordination::{AccountId, ServerId};
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

/// How long a connection may take to come up. Between machines of one region it
/// takes 2 ms; a server that has not answered by then is dark or cut off.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// How long a server may take to accept a session: 12 ms of a slot, and the wait
/// for a slot when all are taken.
const START_WITHIN: Duration = Duration::from_millis(1000);

/// When and how often an idle connection is tried out, and how often in vain. A
/// server drops a dark connection after 3 s; this host does so about as soon.
const KEEP_ALIVE: (Duration, Duration, u32) = (Duration::from_secs(2), Duration::from_secs(1), 2);

const READ_CHUNK: usize = 4 * 1024;

/// Why there is no connection.
#[derive(Debug)]
pub enum OpenError {
    /// The machine says that nothing listens there: the process is dead.
    Refused,
    /// The server is there and does not want the connection.
    Rejected(Failure),
    /// Nothing came back.
    Silent(anyhow::Error),
}

/// A connection to a backend server, for one account.
#[derive(Debug)]
pub struct Backend {
    io: TcpStreamPoll,
    buf: BytesMut,
    answers: Answers,
    /// What is to be written with the next exchange.
    pub out: BytesMut,
    /// Answers that come before the one that is waited for.
    ahead: usize,
    /// Whose statements run on it.
    pub account: AccountId,
    /// The server's name.
    pub server: ServerId,
    /// Values and named statements that it holds.
    pub carried: ConnectionState,
}

impl Backend {
    /// Connects and begins a session of the account.
    pub async fn open(listed: &ListedServer, account: &AccountId) -> Result<Self, OpenError> {
        let io = match monoio::time::timeout(CONNECT_WITHIN, connect(listed)).await {
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
                let error = anyhow::anyhow!("connecting to {}: no answer", listed.id);
                return Err(OpenError::Silent(error));
            }
        };
        let mut backend = Self {
            io,
            buf: BytesMut::new(),
            answers: Answers::default(),
            out: BytesMut::new(),
            ahead: 0,
            account: account.clone(),
            server: listed.id.clone(),
            carried: ConnectionState::default(),
        };
        wire::put_start(&listed.group, account, &listed.id, &mut backend.out);
        let started = monoio::time::timeout(START_WITHIN, backend.exchange()).await;
        match started {
            Ok(Ok(_)) => Ok(backend),
            Ok(Err(error)) => match backend.answers.refused() {
                Some(failure) => Err(OpenError::Rejected(failure)),
                None => Err(OpenError::Silent(error)),
            },
            Err(_) => {
                Err(OpenError::Silent(anyhow::anyhow!("{} began no session", backend.server)))
            }
        }
    }

    /// Puts a line, after the steps that bring the connection to a session's values and
    /// to the named statement.
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
        self.ahead += steps.len();
        write(&mut self.out);
    }

    /// Sends what is to be written and reads the answer to its last statement.
    ///
    /// An error when a step before it failed: the statement may have run then
    /// with other values than its session's, and the connection must be closed.
    pub async fn exchange(&mut self) -> anyhow::Result<ServerAnswer> {
        self.io
            .write_all(&self.out)
            .await
            .with_context(|| format!("writing to {}", self.server))?;
        self.out.clear();
        loop {
            let answer = self.next().await?;
            if self.ahead == 0 {
                return Ok(answer);
            }
            self.ahead -= 1;
            if let Some(failure) = answer.failure() {
                anyhow::bail!("{} did not take a value or a name: {failure:?}", self.server);
            }
        }
    }

    async fn next(&mut self) -> anyhow::Result<ServerAnswer> {
        loop {
            let answer = self.answers.take(&mut self.buf);
            if let Some(answer) = answer.with_context(|| format!("reading from {}", self.server))? {
                return Ok(answer);
            }
            self.buf.reserve(READ_CHUNK);
            let read = self.io.read_buf(&mut self.buf).await;
            let read = read.with_context(|| format!("reading from {}", self.server))?;
            anyhow::ensure!(read > 0, "{} closed the connection", self.server);
        }
    }

    /// Whether nothing has come since the last answer, not even the end.
    ///
    /// Guards against a connection that the server closed while it was idle: a
    /// write sent on it would have to be called uncertain though it cannot run.
    pub fn is_quiet(&mut self) -> bool {
        self.buf.is_empty() && self.io.read_buf(&mut self.buf).now_or_never().is_none()
    }

    /// Whether a transaction may begin on it after that answer.
    pub fn is_clean(&self, answer: &ServerAnswer) -> bool {
        answer.state == State::Idle && self.buf.is_empty() && self.ahead == 0
    }
}

async fn connect(listed: &ListedServer) -> io::Result<TcpStreamPoll> {
    let stream = TcpStream::connect(listed.address).await?;
    stream.set_nodelay(true)?;
    let (time, interval, tries) = KEEP_ALIVE;
    stream.set_tcp_keepalive(Some(time), Some(interval), Some(tries))?;
    stream.into_poll_io()
}
