//! Frames: single messages in their wire format.

use std::panic::{self, AssertUnwindSafe};

use anyhow::Context;
use bytes::{BufMut, Bytes, BytesMut};
use pgwire::{
    error::PgWireResult,
    messages::{DecodeContext, Message, PgWireBackendMessage, PgWireFrontendMessage},
};

/// Length in bytes of a message's header: tag and length field.
pub const HEADER_LEN: usize = 5;

/// Message in its wire format.
#[derive(Clone, Debug)]
pub struct Frame {
    /// Tag, which identifies the kind of message.
    pub tag: u8,
    /// Whole message: tag, length and body.
    pub raw: Bytes,
}

impl Frame {
    /// Returns the length in bytes of the message at the start of a buffer; `None` if its header is
    /// incomplete.
    pub fn announced(buf: &[u8]) -> Option<usize> {
        let [_, length @ ..] = *buf.first_chunk::<HEADER_LEN>()?;
        Some(u32::from_be_bytes(length) as usize + 1)
    }

    /// Splits the first message off `buf`; `None` while it is incomplete.
    ///
    /// A length below 4, or of `max` or more, is an error, so no peer can make this process buffer
    /// more.
    pub fn split_from(buf: &mut BytesMut, max: usize) -> anyhow::Result<Option<Self>> {
        let Some(header) = buf.first_chunk::<HEADER_LEN>() else {
            return Ok(None);
        };
        let [tag, length @ ..] = *header;
        let length = u32::from_be_bytes(length) as usize;
        anyhow::ensure!(length >= 4, "a message of kind {:?} has no length", tag as char);
        anyhow::ensure!(
            length < max,
            "a message of {length} bytes is over the limit of {max} bytes"
        );
        if buf.len() < length + 1 {
            return Ok(None);
        }
        Ok(Some(Self { tag, raw: buf.split_to(length + 1).freeze() }))
    }

    /// Returns the body, without tag and length.
    pub fn body(&self) -> &[u8] {
        &self.raw[HEADER_LEN..]
    }

    /// Decodes the message as one of a caller.
    pub fn frontend(&self) -> anyhow::Result<PgWireFrontendMessage> {
        self.decode(PgWireFrontendMessage::decode)
    }

    /// Decodes the message as one of a server.
    pub fn backend(&self) -> anyhow::Result<PgWireBackendMessage> {
        self.decode(PgWireBackendMessage::decode)
    }

    fn decode<T>(
        &self,
        decode: fn(&mut BytesMut, &DecodeContext) -> PgWireResult<Option<T>>,
    ) -> anyhow::Result<T> {
        let mut context = DecodeContext::default();
        context.awaiting_frontend_ssl = false;
        context.awaiting_frontend_startup = false;
        catch_panic(|| decode(&mut BytesMut::from(&self.raw[..]), &context))
            .with_context(|| format!("reading a message of kind {:?}", self.tag as char))?
            .context("a message ended early")
    }
}

/// Runs the codec and turns a panic into an error. The codec panics on a body that is shorter than
/// the counts in it.
///
/// Otherwise an invalid message of one caller would end the process and all sessions. The codec
/// shares only the bytes with the rest of the process, and they are dropped.
pub(crate) fn catch_panic<T>(decode: impl FnOnce() -> PgWireResult<T>) -> anyhow::Result<T> {
    let result = panic::catch_unwind(AssertUnwindSafe(decode));
    let result = result.map_err(|_| anyhow::anyhow!("the message is damaged"))?;
    Ok(result?)
}

/// Splits bytes into messages; an incomplete last message is an error.
pub fn frames(bytes: Bytes) -> anyhow::Result<Vec<Frame>> {
    let mut buf = BytesMut::from(bytes);
    let mut out = Vec::new();
    while let Some(frame) = Frame::split_from(&mut buf, usize::MAX)? {
        out.push(frame);
    }
    anyhow::ensure!(buf.is_empty(), "half a message was handed on");
    Ok(out)
}

/// Appends a message that this program generates to `buf`.
pub fn put(buf: &mut BytesMut, message: &impl Message) {
    if let Err(error) = message.encode(buf) {
        // The codec rejects only messages over its size limits.
        debug_assert!(false, "encoding a message: {error}");
        buf.put_slice(b"");
    }
}

/// Encodes a message.
pub fn bytes(message: &impl Message) -> Bytes {
    let mut buf = BytesMut::new();
    put(&mut buf, message);
    buf.freeze()
}
