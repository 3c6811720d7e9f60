//! WebSocket that carries encoded messages.

use std::time::Duration;

use anyhow::{Context, bail};
use bergamottrack_coordination::budget::Charge;
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_tungstenite::{WebSocketStream, tungstenite};

use crate::{activity::ActivityStream, message::Message};

/// Timeout of the WebSocket handshake, and of the authentication that follows it.
pub const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of messages after which a flush is due even if more are queued.
const MAX_BATCH: usize = 64;

pub type Socket = WebSocketStream<ActivityStream>;
pub type Reader = SplitStream<Socket>;
pub type Writer = SplitSink<Socket, tungstenite::Message>;

/// Size of the read buffer in bytes. The codec clears the whole buffer before each read, so a
/// larger one costs more than the reads that it saves.
const READ_BUFFER_SIZE: usize = 4 * 1024;

/// Returns the WebSocket configuration of both ends of a link.
pub fn config() -> tungstenite::protocol::WebSocketConfig {
    tungstenite::protocol::WebSocketConfig::default().read_buffer_size(READ_BUFFER_SIZE)
}

/// Reads the next message; an error if the link has closed.
pub async fn receive(reader: &mut Reader) -> anyhow::Result<Message> {
    loop {
        match reader.next().await.context("the link was closed")?.context("reading a link")? {
            tungstenite::Message::Binary(bytes) => return Message::decode(&bytes),
            tungstenite::Message::Close(_) => bail!("the peer closed the link"),
            _ => {}
        }
    }
}

/// Sends one message.
pub async fn send(writer: &mut Writer, message: &Message) -> anyhow::Result<()> {
    let frame = tungstenite::Message::Binary(message.encode());
    writer.send(frame).await.context("writing to a link")
}

/// A message that waits to be written.
#[derive(Debug)]
pub struct Outgoing {
    message: Message,
    /// Memory of the message until it is written.
    _charge: Option<Charge>,
}

impl Outgoing {
    /// Returns a message whose memory is charged until it is written.
    pub fn charged(message: Message, charge: Charge) -> Self {
        Self { message, _charge: Some(charge) }
    }
}

impl From<Message> for Outgoing {
    fn from(message: Message) -> Self {
        Self { message, _charge: None }
    }
}

/// Writes queued messages, several per flush, until all senders are dropped.
pub async fn write_messages(
    writer: &mut Writer,
    rx: &mut UnboundedReceiver<Outgoing>,
) -> anyhow::Result<()> {
    while let Some(first) = rx.recv().await {
        let mut written = Vec::new();
        let mut next = Some(first);
        while let Some(outgoing) = next {
            let frame = tungstenite::Message::Binary(outgoing.message.encode());
            writer.feed(frame).await.context("writing to a link")?;
            written.push(outgoing);
            next = if written.len() <= MAX_BATCH { rx.try_recv().ok() } else { None };
        }
        writer.flush().await.context("writing to a link")?;
    }
    Ok(())
}
