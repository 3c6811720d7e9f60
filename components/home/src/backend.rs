//! A connection to a backend server.

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

/// The most bytes that one message of a server may have.
const MAX_MESSAGE_LEN: usize = 64 << 20;

/// The other end closed the connection.
#[derive(Clone, Copy, Debug)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was closed")
    }
}

impl std::error::Error for Closed {}

/// Whether an error is what a machine answers for a process that has ended.
///
/// A server that is there but takes no more connections says so in words, and
/// one that hangs says nothing: neither counts.
pub fn is_process_gone(error: &anyhow::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionRefused, ConnectionReset};
    let kinds = [BrokenPipe, ConnectionAborted, ConnectionRefused, ConnectionReset];
    error.chain().any(|cause| {
        cause.is::<Closed>()
            || cause.downcast_ref::<io::Error>().is_some_and(|e| kinds.contains(&e.kind()))
    })
}

/// A connection to a backend server; it belongs to one transaction at a time.
pub struct Conn {
    reader: PgReader<ReadHalf<TcpStreamPoll>>,
    writer: PgWriter<WriteHalf<TcpStreamPoll>>,
    server: BackendServer,
    cancel_key: Option<BackendKeyData>,
    /// Whether a cancel was sent for it.
    cancelled: Cell<bool>,
    /// What the server last said that its answers here show or have reached; it
    /// says so only when that changes.
    pub point: Option<Point>,
}

impl Conn {
    /// Connects and waits until the server takes statements.
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

    /// Sends whole messages.
    pub async fn send(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        self.writer.send(bytes).await.with_context(|| format!("sending to {}", self.server.id))
    }

    /// The next message; an error when the connection has ended.
    pub async fn next(&mut self) -> anyhow::Result<Frame> {
        let frame = self.reader.next().await;
        frame
            .and_then(|frame| frame.ok_or_else(|| Closed.into()))
            .with_context(|| format!("reading from {}", self.server.id))
    }

    /// Whether nothing has come and the connection has not ended.
    pub fn is_quiet(&mut self) -> bool {
        self.reader.next().now_or_never().is_none()
    }

    /// Sends a statement without waiting for its answer.
    pub async fn send_query(&mut self, sql: &str) -> anyhow::Result<()> {
        self.send(&query(sql)).await
    }

    /// Runs a statement and gives the first column of its first row.
    pub async fn query_text(&mut self, sql: &str) -> anyhow::Result<Option<Box<str>>> {
        let reply = self.run(sql).await?;
        match reply.error {
            Some(error) => bail!("{} answered: {}", self.server.id, error.text),
            None => Ok(reply.first),
        }
    }

    /// Runs a statement that gives one text, within a time.
    pub async fn query_text_timeout(
        &mut self,
        sql: &str,
        timeout: Duration,
    ) -> anyhow::Result<Box<str>> {
        let text = monoio::time::timeout(timeout, self.query_text(sql)).await;
        text.with_context(|| format!("{sql} at {}: no answer in {timeout:?}", self.server.id))??
            .with_context(|| format!("{sql} at {}: an empty answer", self.server.id))
    }

    /// Runs a statement and reads its whole answer.
    pub async fn run(&mut self, sql: &str) -> anyhow::Result<Reply> {
        self.send_query(sql).await?;
        let mut reply = Reply::default();
        while !reply.add_frame(&self.next().await?) {}
        Ok(reply)
    }

    /// Whether a cancel was sent for it, which may still be on its way.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.get()
    }

    /// Asks the server, over a connection of its own, to cancel what runs here.
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

/// An error that a server answered.
#[derive(Clone, Debug)]
pub struct ServerError {
    /// Its SQLSTATE.
    pub code: Box<str>,
    /// Its message, for people.
    pub text: Box<str>,
}

/// The whole answer to a statement of this program's own.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The first column of the first row.
    pub first: Option<Box<str>>,
    /// What was done, such as `INSERT 0 1`.
    pub tag: Box<str>,
    /// The first error.
    pub error: Option<ServerError>,
    /// What the server says that it has reached.
    pub point: Option<Point>,
    /// Whether a transaction is open afterwards, failed or not.
    pub in_transaction: bool,
}

impl Reply {
    /// Takes one message of the answer; true when it is the last.
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

/// What a server says, beside an answer, that the answer shows or has reached.
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

/// A simple query as bytes.
pub fn query(sql: &str) -> Bytes {
    frame::bytes(&Query::new(sql.to_owned()))
}

/// The first column of a row, when it is text and not null.
pub fn first_column(frame: &Frame) -> Option<Box<str>> {
    let mut body = frame.body();
    if body.remaining() < 6 || body.get_i16() < 1 {
        return None;
    }
    let length = usize::try_from(body.get_i32()).ok()?;
    let bytes = body.get(..length)?;
    std::str::from_utf8(bytes).ok().map(Into::into)
}

/// The message of an error, for people.
pub fn error_text(frame: &Frame) -> String {
    match frame.backend() {
        Ok(PgWireBackendMessage::ErrorResponse(error)) => error_message(&error.fields),
        _ => "an error that could not be read".into(),
    }
}

/// The SQLSTATE of an error.
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
