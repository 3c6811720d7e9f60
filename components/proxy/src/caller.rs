//! A caller's connection: one task, from its start to its end.

use std::{io, rc::Rc, time::Duration};

use anyhow::Context;
use bergamottrack_adapter::wire::{self, FromCaller, Lines, WireError};
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
    host::{Host, Phase},
    operation::Refusal,
    session::CallerSession,
};

/// How long a caller may take to begin its session.
const START_WITHIN: Duration = Duration::from_secs(10);

/// How long a caller may take to read an answer. One that reads nothing for so
/// long is gone; its answer holds memory.
const WRITE_WITHIN: Duration = Duration::from_secs(10);

/// When and how often a silent caller is tried out, and how often in vain: a
/// session whose caller vanished would hold its memory for ever.
const KEEP_ALIVE: (Duration, Duration, u32) = (Duration::from_secs(20), Duration::from_secs(5), 3);

const READ_CHUNK: usize = 2 * 1024;

/// What came of waiting for a caller's next line.
enum Next {
    Line(Bytes),
    Ended,
    TooLong,
    /// It rested within a transaction for longer than it may.
    Rested,
    /// The host is stopping and the session is between transactions.
    Stopped,
}

struct Caller {
    io: TcpStreamPoll,
    buf: BytesMut,
    lines: Lines,
    out: BytesMut,
    phase: watch::Receiver<Phase>,
}

/// Serves one caller until it leaves.
pub async fn serve(host: Rc<Host>, stream: TcpStream) {
    host.sessions.set(host.sessions.get() + 1);
    if let Err(error) = run(&host, stream).await {
        debug!("caller: a connection ended: {error:#}");
    }
    host.sessions.set(host.sessions.get() - 1);
}

fn prepare(stream: TcpStream) -> io::Result<TcpStreamPoll> {
    stream.set_nodelay(true)?;
    let (time, interval, tries) = KEEP_ALIVE;
    stream.set_tcp_keepalive(Some(time), Some(interval), Some(tries))?;
    stream.into_poll_io()
}

async fn run(host: &Rc<Host>, stream: TcpStream) -> anyhow::Result<()> {
    let mut caller = Caller {
        io: prepare(stream).context("setting up")?,
        buf: BytesMut::new(),
        lines: Lines::default(),
        out: BytesMut::new(),
        phase: host.phase.subscribe(),
    };
    let Some((database, key)) = caller.start().await? else { return Ok(()) };
    let mut session = CallerSession::new(host.clone(), database, key);
    if let Err(refusal) = session.check_access() {
        return caller.close_with(&refusal).await;
    }
    wire::put_ready(State::Idle, &mut caller.out);
    caller.flush().await?;
    loop {
        let limit = session.idle_timeout();
        match caller.next(session.state() == State::Idle, limit).await? {
            Next::Line(line) => match wire::decode_caller(&line) {
                Ok(FromCaller::Query(request)) => session.answer(&request, &mut caller.out).await,
                Ok(FromCaller::Unreadable) => session.answer_malformed(&mut caller.out),
                Ok(FromCaller::Bye) => return Ok(()),
                Ok(FromCaller::Start { .. }) | Err(_) => {
                    let refusal = Refusal::new(Failure::Malformed, "an unknown message");
                    return caller.close_with(&refusal).await;
                }
            },
            Next::TooLong => {
                let refusal = Refusal::new(Failure::TooLarge, "the message is too large");
                return caller.close_with(&refusal).await;
            }
            Next::Rested => session.expire_transaction(),
            Next::Ended | Next::Stopped => return Ok(()),
        }
        caller.flush().await?;
    }
}

impl Caller {
    /// The database and the key; `None` when the caller left before it said them.
    async fn start(&mut self) -> anyhow::Result<Option<(Box<str>, Box<str>)>> {
        let line = match self.next(true, Some(START_WITHIN)).await? {
            Next::Line(line) => line,
            Next::TooLong => {
                let refusal = Refusal::new(Failure::TooLarge, "the message is too large");
                self.close_with(&refusal).await?;
                return Ok(None);
            }
            Next::Ended | Next::Rested | Next::Stopped => return Ok(None),
        };
        if let Ok(FromCaller::Start { database, key }) = wire::decode_caller(&line) {
            return Ok(Some((database, key)));
        }
        self.close_with(&Refusal::new(Failure::Malformed, "no session was begun")).await?;
        Ok(None)
    }

    /// The next line. Between transactions a stop of the host ends the wait,
    /// within one the limit does.
    async fn next(&mut self, idle: bool, limit: Option<Duration>) -> anyhow::Result<Next> {
        loop {
            match self.lines.take(&mut self.buf) {
                Ok(Some(line)) => return Ok(Next::Line(line)),
                Ok(None) => {}
                Err(WireError::TooLong | WireError::Unknown) => return Ok(Next::TooLong),
            }
            let between = idle && self.buf.is_empty();
            let (io, buf, phase) = (&mut self.io, &mut self.buf, &mut self.phase);
            buf.reserve(READ_CHUNK);
            let read = async {
                match limit {
                    Some(limit) => monoio::time::timeout(limit, io.read_buf(buf)).await.ok(),
                    None => Some(io.read_buf(buf).await),
                }
            };
            let read = if between {
                monoio::select! {
                    read = read => Some(read),
                    _ = phase.wait_for(|phase| *phase == Phase::Closing) => None,
                }
            } else {
                Some(read.await)
            };
            // What has come already is still answered.
            let read = match read {
                Some(read) => read,
                None => match self.io.read_buf(&mut self.buf).now_or_never() {
                    Some(read) => Some(read),
                    None => return Ok(Next::Stopped),
                },
            };
            match read {
                None => return Ok(Next::Rested),
                Some(Ok(0)) => return Ok(Next::Ended),
                Some(Ok(_)) => {}
                Some(Err(error)) => return Err(error).context("reading from a caller"),
            }
        }
    }

    async fn flush(&mut self) -> anyhow::Result<()> {
        let write = self.io.write_all(&self.out);
        monoio::time::timeout(WRITE_WITHIN, write).await.context("a caller reads nothing")??;
        self.out.clear();
        Ok(())
    }

    /// Tells why, and ends the connection.
    async fn close_with(&mut self, refusal: &Refusal) -> anyhow::Result<()> {
        wire::put_failure(refusal.failure, &refusal.text(), &mut self.out);
        self.flush().await?;
        self.io.shutdown().await.context("ending a connection")
    }
}
