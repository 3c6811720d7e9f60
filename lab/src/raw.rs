//! Caller that sends single protocol messages, including sequences that no driver sends.

use anyhow::{Context, bail};
use bergamottrack_pg::{
    Frame, PgReader, PgWriter, frame,
    stream::{self, Stream},
};
use pgwire::messages::{
    Message, PgWireBackendMessage,
    startup::{Authentication, SASLInitialResponse, SASLResponse, Startup},
};
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};
use tokio::{
    io::{ReadHalf, WriteHalf},
    net::TcpStream,
};

use crate::system::{self, System};

/// Caller that sends single protocol messages.
pub struct RawCaller {
    /// Reader of the messages from the host.
    pub reader: PgReader<ReadHalf<Stream>>,
    /// Writer of the messages to the host.
    pub writer: PgWriter<WriteHalf<Stream>>,
    /// Process id and secret key for a cancel request; set after the login.
    pub key: Option<(i32, i32)>,
}

/// Maximum size of a message from the host, in bytes.
const MAX_MESSAGE: usize = 64 << 20;

impl RawCaller {
    /// Connects to a host without sending a message.
    pub async fn open(system: &System, host: usize) -> anyhow::Result<Self> {
        let stream = TcpStream::connect(system.addresses[host].callers).await?;
        Ok(Self::from_stream(Box::new(stream)))
    }

    /// Creates a caller on an existing connection.
    pub fn from_stream(stream: Stream) -> Self {
        let (reader, writer) = stream::split(stream, MAX_MESSAGE);
        Self { reader, writer, key: None }
    }

    /// Connects to a host and authenticates with the account's key.
    pub async fn login(system: &System, host: usize, account: &str) -> anyhow::Result<Self> {
        Self::open(system, host).await?.start(account).await
    }

    /// Sends the startup message for group `g1`, authenticates with the account's key and waits until
    /// the session is ready.
    pub async fn start(mut self, account: &str) -> anyhow::Result<Self> {
        let mut startup = Startup::default();
        (startup.protocol_number_major, startup.protocol_number_minor) = (3, 0);
        startup.parameters.insert("user".into(), format!("{account}.k1"));
        startup.parameters.insert("database".into(), "g1".into());
        self.send(&startup).await?;
        self.authenticate(&system::key_of(account)).await?;
        for frame in self.until_ready().await? {
            if let PgWireBackendMessage::BackendKeyData(key) = frame.backend()? {
                self.key = key.secret_key.as_i32().map(|secret| (key.pid, secret));
            }
        }
        Ok(self)
    }

    /// Authenticates with SCRAM-SHA-256.
    async fn authenticate(&mut self, key: &str) -> anyhow::Result<()> {
        let mut scram = ScramSha256::new(key.as_bytes(), ChannelBinding::unsupported());
        loop {
            match self.next().await?.backend()? {
                PgWireBackendMessage::Authentication(Authentication::Ok) => return Ok(()),
                PgWireBackendMessage::Authentication(Authentication::SASL(_)) => {
                    let data = Some(scram.message().to_vec().into());
                    let first = SASLInitialResponse::new("SCRAM-SHA-256".into(), data);
                    self.send(&first).await?;
                }
                PgWireBackendMessage::Authentication(Authentication::SASLContinue(data)) => {
                    scram.update(&data)?;
                    let answer = SASLResponse::new(scram.message().to_vec().into());
                    self.send(&answer).await?;
                }
                PgWireBackendMessage::Authentication(Authentication::SASLFinal(data)) => {
                    scram.finish(&data)?;
                }
                other => bail!("authentication failed: {other:?}"),
            }
        }
    }

    /// Sends one message.
    pub async fn send(&mut self, message: &impl Message) -> anyhow::Result<()> {
        self.writer.send(&frame::bytes(message)).await
    }

    /// Returns the next message of the host.
    pub async fn next(&mut self) -> anyhow::Result<Frame> {
        let next = tokio::time::timeout(system::WAIT_TIMEOUT, self.reader.next()).await;
        next.context("no message from the host")??.context("connection closed by the host")
    }

    /// Returns all messages up to and including the next `ReadyForQuery`.
    pub async fn until_ready(&mut self) -> anyhow::Result<Vec<Frame>> {
        let mut frames = Vec::new();
        loop {
            frames.push(self.next().await?);
            if frames.last().is_some_and(|frame| frame.tag == b'Z') {
                return Ok(frames);
            }
        }
    }

    /// Returns the type bytes of the next `count` messages.
    pub async fn tags(&mut self, count: usize) -> anyhow::Result<String> {
        let mut tags = String::new();
        while tags.len() < count {
            tags.push(char::from(self.next().await?.tag));
        }
        Ok(tags)
    }

    /// Returns whether the host closes the connection within [`system::WAIT_TIMEOUT`]; messages before
    /// that are skipped.
    pub async fn is_closed(&mut self) -> bool {
        let closed = async { while let Ok(Some(_)) = self.reader.next().await {} };
        tokio::time::timeout(system::WAIT_TIMEOUT, closed).await.is_ok()
    }
}
