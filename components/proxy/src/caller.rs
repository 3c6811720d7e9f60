//! Connections of callers, each served by a task of its own.

use std::{io, rc::Rc, time::Duration};

use anyhow::Context;
use bergamottrack_adapter::wire::{self, CallerMessage, LineReader, WireError};
use bergamottrack_coordination::{
    AccountId,
    budget::Charge,
    turns::{self, Usage},
};
use bergamottrack_model::{Failure, State};
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use monoio::{
    io::IntoPollIo,
    net::{TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::watch,
};
use tracing::debug;

use crate::{
    host::{Host, Phase, STATEMENT_COPIES},
    operation::Refusal,
    session::CallerSession,
};

/// Maximum capacity in bytes of an empty buffer that a connection keeps for its next message.
const MAX_KEPT_BUFFER: usize = 16 << 10;

/// Timeout of a caller's start message.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of writing an answer. A caller that has not read the answer by then is treated as
/// disconnected, as the unread answer occupies memory.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// TCP keep-alive: idle time before the first probe, interval between probes and number of failed
/// probes. Without keep-alive a session whose caller disappeared would occupy memory forever.
const KEEP_ALIVE: (Duration, Duration, u32) = (Duration::from_secs(20), Duration::from_secs(5), 3);

/// Minimum free space of the read buffer, in bytes.
const READ_CHUNK: usize = 2 * 1024;

/// Bytes of a message that are read without a turn.
const UNPAID_BYTES: usize = 16 << 10;

/// Result of waiting for a caller's next line.
enum Event {
    Line(Bytes),
    Closed,
    TooLong,
    /// The sessions of this host hold too much memory for the caller's message.
    NoMemory,
    /// Nothing arrived from the caller within the timeout.
    IdleTimeout,
    /// The host is shutting down and the session is between transactions.
    Shutdown,
}

struct Connection {
    host: Rc<Host>,
    io: TcpStreamPoll,
    /// Account of the session; `None` before it begins and for a caller without one.
    account: Option<AccountId>,
    usage: Usage,
    /// Bytes read and written since the last turn.
    unpaid: usize,
    buf: BytesMut,
    /// Memory of `buf`.
    memory: Charge,
    /// Memory of the statement in progress, until its answer is written.
    statement: Charge,
    lines: LineReader,
    out: BytesMut,
    phase: watch::Receiver<Phase>,
}

fn no_memory() -> Refusal {
    Refusal::busy("the sessions of this host hold too much")
}

/// Serves one caller until its connection ends.
pub async fn serve(host: Rc<Host>, stream: TcpStream) {
    host.sessions.set(host.sessions.get() + 1);
    if let Err(error) = run(&host, stream).await {
        debug!("caller: connection closed: {error:#}");
    }
    host.sessions.set(host.sessions.get() - 1);
}

fn configure(stream: TcpStream) -> io::Result<TcpStreamPoll> {
    stream.set_nodelay(true)?;
    let (time, interval, tries) = KEEP_ALIVE;
    stream.set_tcp_keepalive(Some(time), Some(interval), Some(tries))?;
    stream.into_poll_io()
}

async fn run(host: &Rc<Host>, stream: TcpStream) -> anyhow::Result<()> {
    let mut connection = Connection {
        host: host.clone(),
        account: None,
        usage: Usage::new(host.now()),
        unpaid: 0,
        io: configure(stream).context("configuring a caller's connection")?,
        buf: BytesMut::new(),
        memory: host.session_memory.charge(),
        statement: host.statement_memory.charge(),
        lines: LineReader::default(),
        out: BytesMut::new(),
        phase: host.phase.subscribe(),
    };
    let Some((database, key)) = connection.read_start().await? else { return Ok(()) };
    let mut session = CallerSession::new(host.clone(), database, key);
    match session.check_access() {
        Ok(account) => connection.account = account,
        Err(refusal) => return connection.close_with(&refusal).await,
    }
    wire::put_ready(State::Idle, &mut connection.out);
    connection.flush().await?;
    loop {
        let timeout = session.idle_timeout();
        match connection.next_event(session.state() == State::Idle, timeout).await? {
            Event::Line(line) => match wire::decode_caller(&line) {
                Ok(CallerMessage::Query(_))
                    if connection.statement.set(line.len() * STATEMENT_COPIES).is_err() =>
                {
                    let refusal = Refusal::busy("the statements in progress hold too much memory");
                    session.refuse(&refusal, &mut connection.out);
                }
                Ok(CallerMessage::Query(request)) => {
                    let mut phase = host.phase.subscribe();
                    let answered = monoio::select! {
                        () = session.answer(&request, &mut connection.out) => true,
                        _ = phase.wait_for(|phase| *phase == Phase::Stopped) => false,
                    };
                    if !answered {
                        session.abandon(&request, &mut connection.out);
                    }
                }
                Ok(CallerMessage::Malformed) => session.answer_malformed(&mut connection.out),
                Ok(CallerMessage::Bye) => return Ok(()),
                Ok(CallerMessage::Start { .. }) | Err(_) => {
                    let refusal = Refusal::new(Failure::Malformed, "an unknown message");
                    return connection.close_with(&refusal).await;
                }
            },
            Event::TooLong => {
                let refusal = Refusal::new(Failure::TooLarge, "the message is too large");
                return connection.close_with(&refusal).await;
            }
            Event::NoMemory => return connection.close_with(&no_memory()).await,
            Event::IdleTimeout => session.expire_transaction(),
            Event::Closed | Event::Shutdown => return Ok(()),
        }
        connection.flush().await?;
        // A charge that shrinks does not fail.
        let _ = connection.statement.set(0);
    }
}

impl Connection {
    /// Reads the start message and returns its database and key; `None` if the connection ended
    /// without a valid one.
    async fn read_start(&mut self) -> anyhow::Result<Option<(Box<str>, Box<str>)>> {
        let line = match self.next_event(true, Some(START_TIMEOUT)).await? {
            Event::Line(line) => line,
            Event::TooLong => {
                let refusal = Refusal::new(Failure::TooLarge, "the message is too large");
                self.close_with(&refusal).await?;
                return Ok(None);
            }
            Event::NoMemory => {
                self.close_with(&no_memory()).await?;
                return Ok(None);
            }
            Event::Closed | Event::IdleTimeout | Event::Shutdown => return Ok(None),
        };
        if let Ok(CallerMessage::Start { database, key }) = wire::decode_caller(&line) {
            return Ok(Some((database, key)));
        }
        self.close_with(&Refusal::new(Failure::Malformed, "no session was begun")).await?;
        Ok(None)
    }

    /// Waits for the next line until nothing has arrived for `timeout`, or without a limit if
    /// `timeout` is `None`. Between transactions (`idle`) a shutdown of the host ends the wait too,
    /// unless a part of a line has arrived.
    async fn next_event(&mut self, idle: bool, timeout: Option<Duration>) -> anyhow::Result<Event> {
        loop {
            match self.lines.take(&mut self.buf) {
                Ok(Some(line)) => {
                    // A charge that shrinks does not fail.
                    let _ = self.memory.set(self.buf.len());
                    self.wait_for_turn(turns::MESSAGE_COST).await;
                    return Ok(Event::Line(line));
                }
                // The memory of a long line is not kept for the next ones.
                Ok(None) if self.buf.is_empty() && self.buf.capacity() > MAX_KEPT_BUFFER => {
                    self.buf = BytesMut::new();
                }
                Ok(None) => {}
                Err(WireError::TooLong | WireError::Unknown) => return Ok(Event::TooLong),
            }
            if self.unpaid >= UNPAID_BYTES {
                self.wait_for_turn(0).await;
            }
            let interruptible = idle && self.buf.is_empty();
            let (io, buf, phase) = (&mut self.io, &mut self.buf, &mut self.phase);
            buf.reserve(READ_CHUNK);
            let read = async {
                match timeout {
                    Some(timeout) => monoio::time::timeout(timeout, io.read_buf(buf)).await.ok(),
                    None => Some(io.read_buf(buf).await),
                }
            };
            let read = if interruptible {
                monoio::select! {
                    read = read => Some(read),
                    _ = phase.wait_for(|phase| *phase >= Phase::Closing) => None,
                }
            } else {
                Some(read.await)
            };
            // A line that has already arrived is still answered.
            let read = match read {
                Some(read) => read,
                None => match self.io.read_buf(&mut self.buf).now_or_never() {
                    Some(read) => Some(read),
                    None => return Ok(Event::Shutdown),
                },
            };
            match read {
                None => return Ok(Event::IdleTimeout),
                Some(Ok(0)) => return Ok(Event::Closed),
                Some(Ok(_)) if self.memory.set(self.buf.len()).is_err() => {
                    return Ok(Event::NoMemory);
                }
                Some(Ok(len)) => self.unpaid += len,
                Some(Err(error)) => return Err(error).context("reading from a caller"),
            }
        }
    }

    /// Waits for a turn to process what was read, and `more` bytes of work.
    async fn wait_for_turn(&mut self, more: usize) {
        let cost = std::mem::take(&mut self.unpaid) + more;
        self.host.turns.wait(self.account.as_ref(), &mut self.usage, cost).await;
    }

    async fn flush(&mut self) -> anyhow::Result<()> {
        self.unpaid += self.out.len();
        let write = self.io.write_all(&self.out);
        monoio::time::timeout(WRITE_TIMEOUT, write)
            .await
            .context("writing to a caller timed out")??;
        self.out.clear();
        Ok(())
    }

    /// Sends a refusal and closes the connection.
    async fn close_with(&mut self, refusal: &Refusal) -> anyhow::Result<()> {
        wire::put_failure(refusal.failure, &refusal.text(), &mut self.out);
        self.flush().await?;
        self.io.shutdown().await.context("closing a caller's connection")
    }
}
