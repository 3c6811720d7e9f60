//! Messages over a byte stream, with bounded memory.

use std::time::Duration;

use anyhow::Context;
use bytes::BytesMut;
use pgwire::messages::{DecodeContext, PgWireFrontendMessage, SslNegotiationMetaMessage};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadHalf, WriteHalf};

use crate::{
    budget::Charge,
    frame::{self, Frame},
};

/// The most bytes that a start-up message may have.
pub const MAX_STARTUP: usize = 10_000;

const READ_CHUNK: usize = 8 * 1024;

/// A connection, encrypted or not.
pub type Stream = Box<dyn ReadWrite>;

/// What can be read from and written to.
pub trait ReadWrite: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> ReadWrite for T {}

/// Reads messages.
#[derive(Debug)]
pub struct PgReader<R> {
    io: R,
    buf: BytesMut,
    /// The most bytes that one message may have.
    max: usize,
    /// What is held, when the memory is shared.
    charge: Option<Charge>,
}

/// Writes messages.
#[derive(Debug)]
pub struct PgWriter<W> {
    io: W,
}

/// Makes a reader and a writer of one stream.
pub fn split<S: AsyncRead + AsyncWrite>(
    stream: S,
    max: usize,
) -> (PgReader<ReadHalf<S>>, PgWriter<WriteHalf<S>>) {
    let (read, write) = tokio::io::split(stream);
    (PgReader::new(read, max), PgWriter::new(write))
}

impl<R: AsyncRead + Unpin> PgReader<R> {
    /// A reader that accepts messages up to `max` bytes.
    pub fn new(io: R, max: usize) -> Self {
        Self { io, buf: BytesMut::new(), max, charge: None }
    }

    /// The next message; `None` when the stream has ended between two messages.
    ///
    /// May be dropped and called again: no byte is lost.
    pub async fn next(&mut self) -> anyhow::Result<Option<Frame>> {
        loop {
            if let Some(frame) = Frame::split_from(&mut self.buf, self.max)? {
                return Ok(Some(frame));
            }
            if !self.fill().await? {
                anyhow::ensure!(self.buf.is_empty(), "the stream ended within a message");
                return Ok(None);
            }
        }
    }

    /// Whether nothing has arrived that was not taken.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// What is read from.
    pub fn into_inner(self) -> R {
        self.io
    }

    /// Accepts messages up to `max` bytes from now on.
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    /// Holds what arrives at the cost of a shared budget from now on.
    pub fn set_charge(&mut self, charge: Charge) {
        self.charge = Some(charge);
    }

    /// The next message, which must be whole soon after its first byte.
    ///
    /// Guards against a sender that holds memory with a message it never ends.
    pub async fn next_timeout(&mut self, limit: Duration) -> anyhow::Result<Option<Frame>> {
        // Until now the message before was still in use.
        self.update_charge(self.buf.len())?;
        if self.buf.is_empty() && !self.fill().await? {
            return Ok(None);
        }
        let next = monoio::time::timeout(limit, self.next()).await;
        next.with_context(|| format!("a message did not come to its end in {limit:?}"))?
    }

    /// Reads to the end of the stream and keeps nothing.
    pub async fn discard(&mut self) {
        // An error ends the stream as well.
        while self.fill().await.unwrap_or(false) {
            self.buf.clear();
        }
    }

    /// The next message, if it has already arrived.
    pub fn ready(&mut self) -> anyhow::Result<Option<Frame>> {
        Frame::split_from(&mut self.buf, self.max)
    }

    /// Reads on while fewer than `limit` bytes are waiting, and no further.
    ///
    /// Ends with an error only, when the stream has. May be dropped and called again.
    pub async fn read_ahead(&mut self, limit: usize) -> anyhow::Result<()> {
        while self.buf.len() < limit {
            anyhow::ensure!(self.fill().await?, "the stream ended");
        }
        std::future::pending().await
    }

    /// The next message of the start-up phase, which has no kind.
    ///
    /// `tls_done` tells that encryption is no longer open to negotiation.
    pub async fn startup(&mut self, tls_done: bool) -> anyhow::Result<PgWireFrontendMessage> {
        let mut context = DecodeContext::default();
        context.awaiting_frontend_ssl = !tls_done;
        loop {
            let buf = &mut self.buf;
            let message = frame::catch_panic(|| PgWireFrontendMessage::decode(buf, &context))
                .context("reading the start-up message")?;
            match message {
                Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                    context.awaiting_frontend_ssl = false;
                    continue;
                }
                Some(message) => return Ok(message),
                None => {}
            }
            anyhow::ensure!(self.buf.len() < MAX_STARTUP, "the start-up message is too long");
            anyhow::ensure!(self.fill().await?, "the stream ended within the start-up");
        }
    }

    fn update_charge(&mut self, bytes: usize) -> anyhow::Result<()> {
        Ok(self.charge.as_mut().map_or(Ok(()), |charge| charge.set(bytes))?)
    }

    async fn fill(&mut self) -> anyhow::Result<bool> {
        self.update_charge(self.buf.len() + READ_CHUNK)?;
        self.buf.reserve(READ_CHUNK);
        let n = self.io.read_buf(&mut self.buf).await.context("reading from the stream")?;
        Ok(n > 0)
    }
}

impl<W: AsyncWrite + Unpin> PgWriter<W> {
    /// A writer onto the stream.
    pub fn new(io: W) -> Self {
        Self { io }
    }

    /// What is written to.
    pub fn into_inner(self) -> W {
        self.io
    }

    /// Writes whole messages.
    pub async fn send(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        self.io.write_all(bytes).await.context("writing to the stream")?;
        self.io.flush().await.context("writing to the stream")
    }

    /// Closes the writing side.
    pub async fn close(&mut self) {
        // The other side may be gone already.
        let _ = self.io.shutdown().await;
    }
}
