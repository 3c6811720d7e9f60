//! A connection to a backend server.

use std::time::Duration;

use anyhow::{Context, bail};
use bergamottrack_contract::BackendServer;
use bergamottrack_coordination::GroupId;
use bergamottrack_pg::{Frame, PgReader, PgWriter, frame, stream};
use bytes::{Buf, Bytes};
use monoio::{
    io::IntoPollIo,
    net::{TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use pgwire::messages::{
    PgWireBackendMessage, cancel::CancelRequest, simplequery::Query, startup::Authentication,
    startup::BackendKeyData, startup::Startup,
};
use tokio::io::{ReadHalf, WriteHalf};

use crate::border;

/// The most bytes that one message of a server may have.
const MAX_MESSAGE: usize = 64 << 20;

/// A connection to a backend server; it belongs to one transaction at a time.
pub struct Conn {
    reader: PgReader<ReadHalf<TcpStreamPoll>>,
    writer: PgWriter<WriteHalf<TcpStreamPoll>>,
    server: BackendServer,
    key: Option<BackendKeyData>,
}

impl Conn {
    /// Connects and waits until the server takes statements.
    pub async fn connect(
        server: &BackendServer,
        group: &GroupId,
        within: Duration,
    ) -> anyhow::Result<Self> {
        monoio::time::timeout(within, Self::open(server, group))
            .await
            .with_context(|| format!("connecting to {}: no answer in {within:?}", server.id))?
            .with_context(|| format!("connecting to {}", server.id))
    }

    async fn open(server: &BackendServer, group: &GroupId) -> anyhow::Result<Self> {
        let stream = TcpStream::connect(server.address).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream::split(stream.into_poll_io()?, MAX_MESSAGE);
        let mut conn = Self { reader, writer, server: server.clone(), key: None };
        let mut startup = Startup::default();
        startup.protocol_number_major = 3;
        startup.protocol_number_minor = 0;
        startup.parameters.insert("user".into(), border::USER.into());
        startup.parameters.insert("database".into(), group.to_string());
        conn.send(&frame::bytes(&startup)).await?;
        conn.await_ready().await?;
        Ok(conn)
    }

    async fn await_ready(&mut self) -> anyhow::Result<()> {
        loop {
            match self.next().await?.backend()? {
                PgWireBackendMessage::ReadyForQuery(_) => return Ok(()),
                PgWireBackendMessage::BackendKeyData(key) => self.key = Some(key),
                PgWireBackendMessage::Authentication(Authentication::Ok) => {}
                PgWireBackendMessage::Authentication(_) => {
                    bail!("the server asks for a password")
                }
                PgWireBackendMessage::ErrorResponse(error) => {
                    bail!("the server refused: {}", text_of(&error.fields))
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
            .and_then(|frame| frame.context("the connection was closed"))
            .with_context(|| format!("reading from {}", self.server.id))
    }

    /// The next message, if it has already arrived.
    pub fn ready(&mut self) -> anyhow::Result<Option<Frame>> {
        self.reader.ready()
    }

    /// Sends a statement without waiting for its answer.
    pub async fn ask(&mut self, sql: &str) -> anyhow::Result<()> {
        self.send(&query(sql)).await
    }

    /// Runs a statement and gives the first column of its first row.
    pub async fn text(&mut self, sql: &str) -> anyhow::Result<Option<Box<str>>> {
        self.ask(sql).await?;
        let mut first = None;
        loop {
            let frame = self.next().await?;
            match frame.tag {
                b'D' if first.is_none() => first = first_column(&frame),
                b'E' => {
                    let error = error_text(&frame);
                    self.skip_to_ready().await?;
                    bail!("{} answered: {error}", self.server.id);
                }
                b'Z' => return Ok(first),
                _ => {}
            }
        }
    }

    async fn skip_to_ready(&mut self) -> anyhow::Result<()> {
        while self.next().await?.tag != b'Z' {}
        Ok(())
    }

    /// Asks the server, over a connection of its own, to cancel what runs here.
    pub async fn cancel(&self, within: Duration) -> anyhow::Result<()> {
        let Some(key) = &self.key else { return Ok(()) };
        let request = frame::bytes(&CancelRequest::new(key.pid, key.secret_key.clone()));
        let send = async {
            let stream = TcpStream::connect(self.server.address).await?;
            let (_reader, mut writer) = stream::split(stream.into_poll_io()?, MAX_MESSAGE);
            writer.send(&request).await
        };
        monoio::time::timeout(within, send)
            .await
            .with_context(|| format!("cancelling at {}: no answer", self.server.id))?
            .with_context(|| format!("cancelling at {}", self.server.id))
    }
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
        Ok(PgWireBackendMessage::ErrorResponse(error)) => text_of(&error.fields),
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

fn text_of(fields: &[(u8, String)]) -> String {
    let message = fields.iter().find(|(kind, _)| *kind == b'M');
    message.map_or_else(|| "an error without a message".into(), |(_, text)| text.clone())
}
