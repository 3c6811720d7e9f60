//! Message streams over byte streams, with bounded memory.

use std::time::Duration;

use anyhow::Context;
use bergamottrack_coordination::budget::{BudgetExhausted, Charge};
use bytes::BytesMut;
use pgwire::messages::{DecodeContext, PgWireFrontendMessage, SslNegotiationMetaMessage};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadHalf, WriteHalf};

use crate::frame::{self, Frame};

/// Maximum length of a start-up message in bytes.
pub const MAX_STARTUP: usize = 10_000;

/// Minimum buffer space reserved for each read, in bytes.
const READ_CHUNK: usize = 8 * 1024;

/// Maximum capacity in bytes of an empty buffer that is kept for the next message.
const MAX_KEPT_BUFFER: usize = 16 << 10;

/// Connection, encrypted or plain.
pub type Stream = Box<dyn ReadWrite>;

/// Byte stream that can be read and written.
pub trait ReadWrite: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> ReadWrite for T {}

/// Reader of messages.
#[derive(Debug)]
pub struct PgReader<R> {
    io: R,
    buf: BytesMut,
    /// Upper bound of a message's length in bytes, as in [`Frame::split_from`].
    max: usize,
    /// Charge for the buffer, if its memory counts against a shared budget.
    charge: Option<Charge>,
}

/// Writer of messages.
#[derive(Debug)]
pub struct PgWriter<W> {
    io: W,
}

/// Splits a stream into a message reader and a message writer.
pub fn split<S: AsyncRead + AsyncWrite>(
    stream: S,
    max: usize,
) -> (PgReader<ReadHalf<S>>, PgWriter<WriteHalf<S>>) {
    let (read, write) = tokio::io::split(stream);
    (PgReader::new(read, max), PgWriter::new(write))
}

impl<R: AsyncRead + Unpin> PgReader<R> {
    /// Creates a reader of messages bounded by `max` bytes.
    pub fn new(io: R, max: usize) -> Self {
        Self { io, buf: BytesMut::new(), max, charge: None }
    }

    /// Reads the next message; `None` if the stream ended between two messages.
    ///
    /// Cancel safe: if the future is dropped, no byte is lost.
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

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the underlying stream.
    pub fn into_inner(self) -> R {
        self.io
    }

    /// Sets the bound in bytes of further messages.
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    /// Charges the buffer to a shared budget from now on.
    pub fn set_charge(&mut self, charge: Charge) {
        self.charge = Some(charge);
    }

    /// Reads the next message, which must be complete within `limit` after its first bytes. The
    /// wait for these has no timeout.
    ///
    /// Guards against a sender that occupies memory with a message that it never completes.
    pub async fn next_timeout(&mut self, limit: Duration) -> anyhow::Result<Option<Frame>> {
        // Until this call the previous message was in use.
        if self.buf.is_empty() && self.buf.capacity() > MAX_KEPT_BUFFER {
            self.buf = BytesMut::new();
        }
        self.update_charge(self.buf.capacity())?;
        if self.buf.is_empty() && !self.fill().await? {
            return Ok(None);
        }
        let next = monoio::time::timeout(limit, self.next()).await;
        next.with_context(|| format!("a message did not come to its end in {limit:?}"))?
    }

    /// Reads to the end of the stream and discards all bytes.
    pub async fn discard(&mut self) {
        // An error also ends the stream.
        while self.fill().await.unwrap_or(false) {
            self.buf.clear();
        }
    }

    /// Returns the next message if it is already buffered.
    pub fn ready(&mut self) -> anyhow::Result<Option<Frame>> {
        Frame::split_from(&mut self.buf, self.max)
    }

    /// Reads into the buffer while it holds fewer than `limit` bytes and there is memory for more, then
    /// waits forever.
    ///
    /// Returns only with an error, when reading fails or the stream has ended. Cancel safe.
    pub async fn read_ahead(&mut self, limit: usize) -> anyhow::Result<()> {
        while self.buf.len() < limit {
            match self.fill().await {
                Ok(more) => anyhow::ensure!(more, "the stream ended"),
                Err(error) if error.is::<BudgetExhausted>() => break,
                Err(error) => return Err(error),
            }
        }
        std::future::pending().await
    }

    /// Reads the next message of the start-up phase, which has no tag.
    ///
    /// With `tls_done`, encryption can no longer be negotiated.
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

    /// Sets the charge to `bytes`, if there is one.
    fn update_charge(&mut self, bytes: usize) -> anyhow::Result<()> {
        Ok(self.charge.as_mut().map_or(Ok(()), |charge| charge.set(bytes))?)
    }

    /// Makes room for the next read: as much as the buffer holds, but no more than the message needs.
    fn grow(&mut self) {
        let needed = Frame::announced(&self.buf).unwrap_or(0).min(2 * self.buf.len());
        let capacity = needed.max(self.buf.len() + READ_CHUNK);
        if self.buf.capacity() - self.buf.len() < READ_CHUNK.min(capacity - self.buf.len()) {
            let mut larger = BytesMut::with_capacity(capacity);
            larger.extend_from_slice(&self.buf);
            self.buf = larger;
        }
    }

    /// Reads once into the buffer; `false` at the end of the stream.
    async fn fill(&mut self) -> anyhow::Result<bool> {
        self.grow();
        self.update_charge(self.buf.capacity())?;
        let n = self.io.read_buf(&mut self.buf).await.context("reading from the stream")?;
        Ok(n > 0)
    }
}

impl<W: AsyncWrite + Unpin> PgWriter<W> {
    /// Creates a writer to the stream.
    pub fn new(io: W) -> Self {
        Self { io }
    }

    /// Returns the underlying stream.
    pub fn into_inner(self) -> W {
        self.io
    }

    /// Writes complete messages and flushes the stream.
    pub async fn send(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        self.io.write_all(bytes).await.context("writing to the stream")?;
        self.io.flush().await.context("writing to the stream")
    }

    /// Closes the writing side.
    pub async fn close(&mut self) {
        // The peer may already have closed the connection.
        let _ = self.io.shutdown().await;
    }
}
