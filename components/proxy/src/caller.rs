//! Connections of callers, each served by a task of its own.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use anyhow::Context;
use bergamottrack_adapter::wire::{self, CallerMessage, LineReader, WireError};
use bergamottrack_coordination::{
    budget::{BudgetExhausted, Charge},
    clients::{Client, Place, Shortage, Wait},
    turns::{self, Usage},
};
use bergamottrack_model::{Failure, State};
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use monoio::{
    io::IntoPollIo,
    net::{TcpStream, tcp::stream_poll::TcpStreamPoll},
    time::Instant,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::watch,
};
use tracing::debug;

use crate::{
    closing::{self, Limit},
    host::{Host, Phase, STATEMENT_COPIES},
    limits::RECEIVE_BUFFER,
    operation::Refusal,
    session::CallerSession,
};

/// Maximum capacity in bytes of an empty buffer that a connection keeps for its next message.
const MAX_KEPT_BUFFER: usize = 4 << 10;

/// Time from a caller's connection to its start message, besides [`transfer_time`].
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Time from the first byte of a message to its last, besides [`transfer_time`].
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which an answer must be written, besides [`transfer_time`]. The rest of an answer that is not
/// read occupies memory.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum rate of messages and answers in bytes per second, less than that of any link in use.
const MIN_RATE: f64 = 16.0 * 1024.0;

/// TCP keep-alive: idle time before the first probe, interval between probes and number of failed
/// probes. Without keep-alive a session whose caller disappeared would occupy memory forever.
const KEEP_ALIVE: (Duration, Duration, u32) = (Duration::from_secs(20), Duration::from_secs(5), 3);

/// Minimum free space of the read buffer, in bytes.
const READ_CHUNK: usize = 2 * 1024;

/// Bytes of a message that are read without a turn.
const UNPAID_BYTES: usize = 16 << 10;

/// Length of an incomplete message in bytes from which the system's receive buffer is enlarged, if there
/// is memory for it: each window of bytes takes a round trip.
const LARGE_MESSAGE: usize = 32 << 10;

/// Size of that buffer in bytes, and the memory that it may occupy.
const LARGE_RECEIVE_BUFFER: usize = 64 << 10;
const LARGE_WINDOW: usize = 2 * LARGE_RECEIVE_BUFFER;

/// Result of waiting for a caller's next line.
enum Event {
    Line(Bytes),
    Closed,
    /// A limit is met by the caller's message or connection.
    Limit(Limit),
    /// Nothing arrived from the caller within the timeout.
    IdleTimeout,
    /// The host is shutting down and the session is between transactions.
    Shutdown,
}

struct Connection {
    host: Rc<Host>,
    io: TcpStreamPoll,
    address: Option<SocketAddr>,
    /// Database of the session; empty before it begins.
    database: Box<str>,
    usage: Usage,
    /// Bytes read and written since the last turn.
    unpaid: usize,
    buf: BytesMut,
    /// Memory of `buf`, `out` and the enlarged receive buffer.
    memory: Charge,
    /// Memory of the statement in progress, until its answer is written.
    statement: Charge,
    lines: LineReader,
    out: BytesMut,
    /// Whether the system's receive buffer is enlarged.
    is_enlarged: bool,
    phase: watch::Receiver<Phase>,
    place: Place,
}

/// Returns the time in which `len` bytes are transferred at the minimum rate.
fn transfer_time(len: usize) -> Duration {
    Duration::from_secs_f64(len as f64 / MIN_RATE)
}

/// Returns the refusal of a message for a connection that a limit closes; `None` if the caller waits for
/// no answer.
fn limit_refusal(limit: Limit, wait: Wait) -> Option<Refusal> {
    Some(match limit {
        Limit::NoPlace => Refusal::busy("this host has as many callers as it may have"),
        Limit::MessageLength => Refusal::new(Failure::TooLarge, "the message is too large"),
        Limit::Memory | Limit::Place if wait == Wait::Idle => return None,
        Limit::Place => Refusal::busy("the place is needed for another caller"),
        Limit::Memory => Refusal::busy("the sessions of this host hold too much"),
        Limit::MessageTime => Refusal::busy("the message did not come to its end in time"),
        Limit::AnswerTime => return None,
    })
}

/// Serves one caller until its connection ends.
pub async fn serve(host: Rc<Host>, stream: TcpStream) {
    let Ok(place) = host.clients.enter() else {
        closing::record(&host, Limit::NoPlace, "", stream.peer_addr().ok());
        return refuse(stream);
    };
    host.sessions.set(host.sessions.get() + 1);
    if let Err(error) = run(&host, stream, place).await {
        debug!("caller: connection closed: {error:#}");
    }
    host.sessions.set(host.sessions.get() - 1);
}

/// Sends a refusal to a caller for whom there is no place, as far as it can be written at once.
fn refuse(stream: TcpStream) {
    let Ok(mut io) = stream.into_poll_io() else { return };
    let mut out = BytesMut::new();
    if let Some(refusal) = limit_refusal(Limit::NoPlace, Wait::Start) {
        wire::put_failure(refusal.failure, &refusal.text(), &mut out);
    }
    // The connection is closed in any case.
    let _ = io.write(&out).now_or_never();
}

fn configure(stream: TcpStream) -> io::Result<TcpStreamPoll> {
    stream.set_nodelay(true)?;
    let (time, interval, tries) = KEEP_ALIVE;
    stream.set_tcp_keepalive(Some(time), Some(interval), Some(tries))?;
    stream.into_poll_io()
}

async fn run(host: &Rc<Host>, stream: TcpStream, place: Place) -> anyhow::Result<()> {
    let client = place.client.clone();
    let mut connection = Connection {
        host: host.clone(),
        address: stream.peer_addr().ok(),
        database: Box::default(),
        io: configure(stream).context("configuring a caller's connection")?,
        place,
        usage: Usage::new(host.now()),
        unpaid: 0,
        buf: BytesMut::new(),
        memory: host.memory.client_charge(client.clone()),
        statement: host.memory.client_charge(client.clone()),
        lines: LineReader::default(),
        out: BytesMut::new(),
        is_enlarged: false,
        phase: host.phase.subscribe(),
    };
    let Some((database, key)) = connection.read_start().await? else { return Ok(()) };
    connection.database = database.clone();
    let mut session = CallerSession::new(host.clone(), client.clone(), database, key);
    match session.check_access() {
        Ok(account) => connection.place.begin(account),
        Err(refusal) => return connection.close_with(&refusal),
    }
    wire::put_ready(State::Idle, &mut connection.out);
    connection.flush().await?;
    loop {
        let timeout = session.idle_timeout();
        let wait = if session.state() == State::Idle { Wait::Idle } else { Wait::Transaction };
        match connection.next_event(wait, timeout).await? {
            Event::Line(line) => match wire::decode_caller(&line) {
                Ok(CallerMessage::Query(_))
                    if connection.charge_statement(&line, &session).is_err() =>
                {
                    let refusal = Refusal::busy("the statements in progress hold too much memory");
                    session.refuse(&refusal, &mut connection.out);
                }
                Ok(CallerMessage::Query(request)) => {
                    drop(line);
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
                    return connection.close_with(&refusal);
                }
            },
            Event::Limit(limit) => return connection.close_by(limit, wait),
            Event::IdleTimeout => session.expire_transaction(),
            Event::Closed | Event::Shutdown => return Ok(()),
        }
        connection.flush().await?;
        // A charge that shrinks does not fail.
        let _ = connection.statement.set(0);
    }
}

impl Connection {
    fn client(&self) -> &Rc<Client> {
        &self.place.client
    }

    /// Reads the start message and returns its database and key; `None` if the connection ended
    /// without a valid one.
    async fn read_start(&mut self) -> anyhow::Result<Option<(Box<str>, Box<str>)>> {
        let line = match self.next_event(Wait::Start, Some(START_TIMEOUT)).await? {
            Event::Line(line) => line,
            Event::Limit(limit) => {
                self.close_by(limit, Wait::Start)?;
                return Ok(None);
            }
            Event::Closed | Event::IdleTimeout | Event::Shutdown => return Ok(None),
        };
        if let Ok(CallerMessage::Start { database, key }) = wire::decode_caller(&line) {
            return Ok(Some((database, key)));
        }
        self.close_with(&Refusal::new(Failure::Malformed, "no session was begun"))?;
        Ok(None)
    }

    /// Waits for the next line, whose first byte must arrive within `timeout`, if it is set. The time to
    /// its last byte is limited as well, and does not begin anew with each byte. Between transactions a
    /// shutdown of the host ends the wait, unless a part of a line has arrived.
    async fn next_event(&mut self, wait: Wait, timeout: Option<Duration>) -> anyhow::Result<Event> {
        let started = Instant::now();
        let mut first_byte = (!self.buf.is_empty()).then_some(started);
        loop {
            match self.lines.take(&mut self.buf) {
                Ok(Some(line)) => {
                    self.client().work();
                    self.shrink();
                    self.wait_for_turn(turns::MESSAGE_COST).await;
                    return Ok(Event::Line(line));
                }
                Ok(None) => self.adapt_buffers(),
                Err(WireError::TooLong | WireError::Unknown) => {
                    return Ok(Event::Limit(Limit::MessageLength));
                }
            }
            if self.unpaid >= UNPAID_BYTES {
                self.client().work();
                self.wait_for_turn(0).await;
            }
            let is_partial = !self.buf.is_empty();
            let deadline = match (first_byte, timeout) {
                (None, timeout) => timeout.map(|timeout| started + timeout),
                (Some(_), Some(timeout)) => Some(started + timeout + transfer_time(self.buf.len())),
                (Some(first), None) => {
                    Some(first + MESSAGE_TIMEOUT + transfer_time(self.buf.len()))
                }
            };
            let state = if is_partial && wait != Wait::Start { Wait::Message } else { wait };
            self.client().wait(state, self.host.now());
            // A host that stops does not wait for the rest of a message for as long as for statements.
            let last_phase = match wait {
                Wait::Transaction => Phase::Stopped,
                _ if is_partial => Phase::Ending,
                _ => Phase::Closing,
            };
            let client = self.place.client.clone();
            let (io, buf, phase) = (&mut self.io, &mut self.buf, &mut self.phase);
            buf.reserve(READ_CHUNK);
            let read = async {
                match deadline {
                    Some(at) => monoio::time::timeout_at(at, io.read_buf(buf)).await.ok(),
                    None => Some(io.read_buf(buf).await),
                }
            };
            let read = monoio::select! {
                read = read => Some(read),
                _ = phase.wait_for(|phase| *phase >= last_phase) => None,
                shortage = client.closed() => {
                    return Ok(Event::Limit(match shortage {
                        Shortage::Places => Limit::Place,
                        Shortage::Memory => Limit::Memory,
                    }));
                }
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
                None if is_partial => return Ok(Event::Limit(Limit::MessageTime)),
                None => return Ok(Event::IdleTimeout),
                Some(Ok(0)) => return Ok(Event::Closed),
                Some(Ok(len)) => {
                    self.unpaid += len;
                    first_byte.get_or_insert_with(Instant::now);
                    if self.charge().is_err() {
                        return Ok(Event::Limit(Limit::Memory));
                    }
                }
                Some(Err(error)) => return Err(error).context("reading from a caller"),
            }
        }
    }

    /// Charges the memory of a statement while it waits and runs, with the values of its session.
    fn charge_statement(
        &mut self,
        line: &[u8],
        session: &CallerSession,
    ) -> Result<(), BudgetExhausted> {
        self.statement.set((line.len() + session.values_size()) * STATEMENT_COPIES)
    }

    /// Waits for a turn to process what was read, and `more` bytes of work.
    async fn wait_for_turn(&mut self, more: usize) {
        let cost = std::mem::take(&mut self.unpaid) + more;
        let account = self.place.account();
        self.host.turns.wait(account.as_ref(), &mut self.usage, cost).await;
    }

    /// Charges the memory that the connection holds now.
    fn charge(&mut self) -> anyhow::Result<()> {
        let window = if self.is_enlarged { LARGE_WINDOW } else { 0 };
        Ok(self.memory.set(self.buf.capacity() + self.out.capacity() + window)?)
    }

    /// Enlarges the system's receive buffer for a large message, and gives back the memory of earlier ones.
    fn adapt_buffers(&mut self) {
        if self.buf.is_empty() && self.buf.capacity() > MAX_KEPT_BUFFER {
            self.buf = BytesMut::new();
            self.shrink();
        }
        if self.buf.len() < LARGE_MESSAGE || self.is_enlarged {
            return;
        }
        self.is_enlarged = true;
        if self.charge().is_err() {
            self.is_enlarged = false;
        } else {
            self.set_receive_buffer(LARGE_RECEIVE_BUFFER);
        }
    }

    /// Gives back the memory that is no longer used.
    fn shrink(&mut self) {
        if self.is_enlarged && self.buf.len() < LARGE_MESSAGE {
            self.is_enlarged = false;
            self.set_receive_buffer(RECEIVE_BUFFER);
        }
        // A charge that shrinks does not fail, and one that does not is repeated after the next read.
        let _ = self.charge();
    }

    fn set_receive_buffer(&self, size: usize) {
        if let Err(error) = bergamottrack_socket::set_receive_buffer(&self.io, size) {
            debug!(%error, "caller: the receive buffer keeps its size");
        }
    }

    /// Writes what is to be sent. Ends with an error if the caller reads it too slowly, or if its memory is
    /// needed for others.
    async fn flush(&mut self) -> anyhow::Result<()> {
        if self.out.is_empty() {
            return Ok(());
        }
        self.unpaid += self.out.len();
        let mut written = match self.io.write(&self.out).now_or_never() {
            Some(len) => len.context("writing to a caller")?,
            None => 0,
        };
        if written < self.out.len() {
            if self.charge().is_err() {
                self.record(Limit::Memory);
                anyhow::bail!("no memory for an answer that the caller does not read");
            }
            self.client().wait(Wait::Reading, self.host.now());
            let started = Instant::now();
            let client = self.place.client.clone();
            let mut phase = self.phase.clone();
            while written < self.out.len() {
                let deadline = started + WRITE_TIMEOUT + transfer_time(written);
                let write = self.io.write(&self.out[written..]);
                let result = monoio::select! {
                    result = monoio::time::timeout_at(deadline, write) => result,
                    _ = client.closed() => {
                        self.record(Limit::Memory);
                        anyhow::bail!("the memory of an unread answer is needed for others");
                    }
                    _ = phase.wait_for(|phase| *phase == Phase::Stopped) => {
                        anyhow::bail!("the host has stopped")
                    }
                };
                match result {
                    Ok(len) => written += len.context("writing to a caller")?,
                    Err(_) => {
                        self.record(Limit::AnswerTime);
                        anyhow::bail!("the caller did not read an answer in time");
                    }
                }
            }
            self.client().work();
        }
        self.out.clear();
        if self.out.capacity() > MAX_KEPT_BUFFER {
            self.out = BytesMut::new();
            self.shrink();
        }
        Ok(())
    }

    fn record(&self, limit: Limit) {
        closing::record(&self.host, limit, &self.database, self.address);
    }

    /// Closes the connection by a limit.
    fn close_by(&mut self, limit: Limit, wait: Wait) -> anyhow::Result<()> {
        self.record(limit);
        let wait = if self.buf.is_empty() { wait } else { Wait::Message };
        limit_refusal(limit, wait).map_or(Ok(()), |refusal| self.close_with(&refusal))
    }

    /// Sends a refusal, as far as it can be written at once, and closes the connection.
    fn close_with(&mut self, refusal: &Refusal) -> anyhow::Result<()> {
        wire::put_failure(refusal.failure, &refusal.text(), &mut self.out);
        if let Some(written) = self.io.write(&self.out).now_or_never() {
            written.context("writing to a caller")?;
        }
        match self.io.shutdown().now_or_never() {
            Some(closed) => closed.context("closing a caller's connection"),
            None => Ok(()),
        }
    }
}
