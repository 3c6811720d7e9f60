//! Connection to a backend server.

use std::{cell::Cell, fmt, io, time::Duration};

use anyhow::{Context, bail};
use bergamottrack_contract::BackendServer;
use bergamottrack_coordination::{GroupId, Point};
use bergamottrack_pg::{Frame, PgReader, PgWriter, frame, stream};
use bytes::{Buf, Bytes};
use futures_util::FutureExt;
use monoio::{
    io::IntoPollIo,
    net::{TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use pgwire::messages::{
    PgWireBackendMessage, cancel::CancelRequest, simplequery::Query, startup::Authentication,
    startup::BackendKeyData, startup::Startup,
};
use tokio::io::{ReadHalf, WriteHalf};

use crate::protocol;

/// Maximum length of a message from a server, in bytes.
const MAX_MESSAGE_LEN: usize = 64 << 20;

/// Error: the server closed the connection.
#[derive(Clone, Copy, Debug)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was closed")
    }
}

impl std::error::Error for Closed {}

/// Returns whether an error indicates that the server process has ended: the connection was
/// refused, reset, aborted or closed. A network may do the same for a process that runs, which is
/// then replaced sooner than after a silence.
///
/// A running server that accepts no more connections sends an error message instead, and a server
/// that hangs sends nothing.
pub fn is_process_gone(error: &anyhow::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionRefused, ConnectionReset};
    let kinds = [BrokenPipe, ConnectionAborted, ConnectionRefused, ConnectionReset];
    error.chain().any(|cause| {
        cause.is::<Closed>()
            || cause.downcast_ref::<io::Error>().is_some_and(|e| kinds.contains(&e.kind()))
    })
}

/// Connection to a backend server, used by one transaction at a time.
pub struct Conn {
    reader: PgReader<ReadHalf<TcpStreamPoll>>,
    writer: PgWriter<WriteHalf<TcpStreamPoll>>,
    server: BackendServer,
    /// Key for cancel requests, if the server has sent one.
    cancel_key: Option<BackendKeyData>,
    /// Whether a cancel request was attempted for this connection.
    cancelled: Cell<bool>,
    /// Last point that the server reported on this connection; `None` before the first report. For
    /// a read it is the point that the rows reflect, for a write the point of the commit. The
    /// server reports the point only when it changes.
    pub point: Option<Point>,
}

impl Conn {
    /// Connects and waits until the server accepts statements, for at most `timeout` in all.
    pub async fn connect(
        server: &BackendServer,
        group: &GroupId,
        timeout: Duration,
    ) -> anyhow::Result<Self> {
        monoio::time::timeout(timeout, Self::open(server, group))
            .await
            .with_context(|| format!("connecting to {}: no answer in {timeout:?}", server.id))?
            .with_context(|| format!("connecting to {}", server.id))
    }

    async fn open(server: &BackendServer, group: &GroupId) -> anyhow::Result<Self> {
        let stream = TcpStream::connect(server.address).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream::split(stream.into_poll_io()?, MAX_MESSAGE_LEN);
        let mut conn = Self {
            reader,
            writer,
            server: server.clone(),
            cancel_key: None,
            cancelled: Cell::default(),
            point: None,
        };
        let mut startup = Startup::default();
        startup.protocol_number_major = 3;
        startup.protocol_number_minor = 0;
        startup.parameters.insert("user".into(), protocol::USER.into());
        startup.parameters.insert("database".into(), group.to_string());
        conn.send(&frame::bytes(&startup)).await?;
        conn.await_ready().await?;
        Ok(conn)
    }

    /// Reads the startup messages until the server is ready for statements.
    async fn await_ready(&mut self) -> anyhow::Result<()> {
        loop {
            match self.next().await?.backend()? {
                PgWireBackendMessage::ReadyForQuery(_) => return Ok(()),
                PgWireBackendMessage::BackendKeyData(key) => self.cancel_key = Some(key),
                PgWireBackendMessage::Authentication(Authentication::Ok) => {}
                PgWireBackendMessage::Authentication(_) => {
                    bail!("the server asks for a password")
                }
                PgWireBackendMessage::ErrorResponse(error) => {
                    bail!("the server refused: {}", error_message(&error.fields))
                }
                _ => {}
            }
        }
    }

    /// Sends complete messages.
    pub async fn send(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        self.writer.send(bytes).await.with_context(|| format!("sending to {}", self.server.id))
    }

    /// Reads the next message; fails if the connection was closed.
    pub async fn next(&mut self) -> anyhow::Result<Frame> {
        let frame = self.reader.next().await;
        frame
            .and_then(|frame| frame.ok_or_else(|| Closed.into()))
            .with_context(|| format!("reading from {}", self.server.id))
    }

    /// Returns whether the connection is open and has no unread message. Otherwise the connection
    /// must be closed, because the check has discarded the unread message.
    pub fn is_idle(&mut self) -> bool {
        self.reader.next().now_or_never().is_none()
    }

    /// Sends a statement without waiting for its answer.
    pub async fn send_query(&mut self, sql: &str) -> anyhow::Result<()> {
        self.send(&query(sql)).await
    }

    /// Runs a statement and returns the first column of its first row; `None` if there is no row or
    /// the value is null. Fails if the server answers with an error.
    pub async fn query_text(&mut self, sql: &str) -> anyhow::Result<Option<Box<str>>> {
        let reply = self.run(sql).await?;
        match reply.error {
            Some(error) => bail!("{} answered: {}", self.server.id, error.text),
            None => Ok(reply.first),
        }
    }

    /// Runs a statement that returns one text. Fails if there is none, or no complete answer within
    /// `timeout`.
    pub async fn query_text_timeout(
        &mut self,
        sql: &str,
        timeout: Duration,
    ) -> anyhow::Result<Box<str>> {
        let text = monoio::time::timeout(timeout, self.query_text(sql)).await;
        text.with_context(|| format!("{sql} at {}: no answer in {timeout:?}", self.server.id))??
            .with_context(|| format!("{sql} at {}: an empty answer", self.server.id))
    }

    /// Runs a statement and reads its complete answer.
    pub async fn run(&mut self, sql: &str) -> anyhow::Result<Reply> {
        self.send_query(sql).await?;
        let mut reply = Reply::default();
        while !reply.add_frame(&self.next().await?) {}
        Ok(reply)
    }

    /// Returns whether a cancel request was attempted for this connection. The request may have
    /// failed, or may still be in transit.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.get()
    }

    /// Requests cancellation of the running statement, on a separate connection. Does nothing if
    /// the server has sent no key for cancel requests.
    pub async fn cancel(&self, timeout: Duration) -> anyhow::Result<()> {
        let Some(key) = &self.cancel_key else { return Ok(()) };
        self.cancelled.set(true);
        let request = frame::bytes(&CancelRequest::new(key.pid, key.secret_key.clone()));
        let send = async {
            let stream = TcpStream::connect(self.server.address).await?;
            let (_reader, mut writer) = stream::split(stream.into_poll_io()?, MAX_MESSAGE_LEN);
            writer.send(&request).await
        };
        monoio::time::timeout(timeout, send)
            .await
            .with_context(|| format!("cancelling at {}: no answer", self.server.id))?
            .with_context(|| format!("cancelling at {}", self.server.id))
    }
}

/// Error answered by a server.
#[derive(Clone, Debug)]
pub struct ServerError {
    /// SQLSTATE code.
    pub code: Box<str>,
    /// Human-readable message.
    pub text: Box<str>,
}

/// Complete answer to a statement issued by this program.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// First column of the first row; `None` without a row or for a null value.
    pub first: Option<Box<str>>,
    /// Command tag, such as `INSERT 0 1`.
    pub tag: Box<str>,
    /// First error, if the statement failed.
    pub error: Option<ServerError>,
    /// Last point reported within the answer; `None` if the point has not changed.
    pub point: Option<Point>,
    /// Whether a transaction is open after the answer, failed or not.
    pub in_transaction: bool,
}

impl Reply {
    /// Adds one message to the answer; returns true at the last message.
    fn add_frame(&mut self, frame: &Frame) -> bool {
        match frame.tag {
            b'D' if self.first.is_none() => self.first = first_column(frame),
            b'C' => self.tag = complete_tag(frame),
            b'E' if self.error.is_none() => self.error = Some(server_error(frame)),
            b'S' => self.point = reported_point(frame).or(self.point),
            b'Z' => self.in_transaction = frame.body().first() != Some(&b'I'),
            _ => {}
        }
        frame.tag == b'Z'
    }
}

/// Returns the point that a server reports in a `ParameterStatus` message; `None` for other
/// messages.
pub fn reported_point(frame: &Frame) -> Option<Point> {
    match frame.backend().ok()? {
        PgWireBackendMessage::ParameterStatus(setting)
            if setting.name == protocol::POINT_SETTING =>
        {
            protocol::parse_point(&setting.value).ok()
        }
        _ => None,
    }
}

/// Returns the command tag of a `CommandComplete` message.
fn complete_tag(frame: &Frame) -> Box<str> {
    match frame.backend() {
        Ok(PgWireBackendMessage::CommandComplete(complete)) => complete.tag.into(),
        _ => Box::default(),
    }
}

fn server_error(frame: &Frame) -> ServerError {
    let code = error_code(frame).unwrap_or_default().into();
    ServerError { code, text: error_text(frame).into() }
}

/// Encodes a simple query.
pub fn query(sql: &str) -> Bytes {
    frame::bytes(&Query::new(sql.to_owned()))
}

/// Returns the first column of a row; `None` if it is missing, null or not valid UTF-8.
pub fn first_column(frame: &Frame) -> Option<Box<str>> {
    let mut body = frame.body();
    if body.remaining() < 6 || body.get_i16() < 1 {
        return None;
    }
    let length = usize::try_from(body.get_i32()).ok()?;
    let bytes = body.get(..length)?;
    std::str::from_utf8(bytes).ok().map(Into::into)
}

/// Returns the human-readable message of an error.
pub fn error_text(frame: &Frame) -> String {
    match frame.backend() {
        Ok(PgWireBackendMessage::ErrorResponse(error)) => error_message(&error.fields),
        _ => "an error that could not be read".into(),
    }
}

/// Returns the SQLSTATE code of an error; `None` for other messages and errors without a code.
pub fn error_code(frame: &Frame) -> Option<String> {
    match frame.backend() {
        Ok(PgWireBackendMessage::ErrorResponse(error)) => {
            error.fields.into_iter().find(|(kind, _)| *kind == b'C').map(|(_, code)| code)
        }
        _ => None,
    }
}

fn error_message(fields: &[(u8, String)]) -> String {
    let message = fields.iter().find(|(kind, _)| *kind == b'M');
    message.map_or_else(|| "an error without a message".into(), |(_, text)| text.clone())
}
