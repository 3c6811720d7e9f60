//! One message as it stands on the wire.

use std::panic::{self, AssertUnwindSafe};

use anyhow::Context;
use bytes::{BufMut, Bytes, BytesMut};
use pgwire::{
    error::PgWireResult,
    messages::{DecodeContext, Message, PgWireBackendMessage, PgWireFrontendMessage},
};

/// Bytes of a message before its body: the tag and the length.
pub const HEADER_LEN: usize = 5;

/// A message as it stands on the wire.
#[derive(Clone, Debug)]
pub struct Frame {
    /// The kind of message.
    pub tag: u8,
    /// All of it: tag, length and body.
    pub raw: Bytes,
}

impl Frame {
    /// Splits the first message off `buf`; `None` when it is not whole yet.
    ///
    /// A length below 4 or above `max` is an error, so no peer makes us hold more.
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

    /// The body without tag and length.
    pub fn body(&self) -> &[u8] {
        &self.raw[HEADER_LEN..]
    }

    /// Reads the message as one from a caller.
    pub fn frontend(&self) -> anyhow::Result<PgWireFrontendMessage> {
        self.decode(PgWireFrontendMessage::decode)
    }

    /// Reads the message as one from a server.
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

/// Runs the codec, which panics on a body that is shorter than its own counts say.
///
/// One caller's garbage would otherwise end the process and all callers with it.
/// Nothing is shared with the codec but the bytes, which are dropped.
pub(crate) fn catch_panic<T>(decode: impl FnOnce() -> PgWireResult<T>) -> anyhow::Result<T> {
    let result = panic::catch_unwind(AssertUnwindSafe(decode));
    let result = result.map_err(|_| anyhow::anyhow!("the message is damaged"))?;
    Ok(result?)
}

/// Splits bytes that hold whole messages only.
pub fn frames(bytes: Bytes) -> anyhow::Result<Vec<Frame>> {
    let mut buf = BytesMut::from(bytes);
    let mut out = Vec::new();
    while let Some(frame) = Frame::split_from(&mut buf, usize::MAX)? {
        out.push(frame);
    }
    anyhow::ensure!(buf.is_empty(), "half a message was handed on");
    Ok(out)
}

/// Appends a message that this program makes.
pub fn put(buf: &mut BytesMut, message: &impl Message) {
    if let Err(error) = message.encode(buf) {
        // The codec refuses only messages over its size limits.
        debug_assert!(false, "encoding a message: {error}");
        buf.put_slice(b"");
    }
}

/// One message as bytes.
pub fn bytes(message: &impl Message) -> Bytes {
    let mut buf = BytesMut::new();
    put(&mut buf, message);
    buf.freeze()
}
