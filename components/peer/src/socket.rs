//! A WebSocket with typed messages.

use std::time::Duration;

use anyhow::{Context, bail};
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_tungstenite::{WebSocketStream, tungstenite};

use crate::{activity::ActivityStream, message::Message};

/// How long a peer may take to say who it is.
pub const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// The most messages written before they are flushed together.
const BATCH: usize = 64;

pub type Socket = WebSocketStream<ActivityStream>;
pub type Reading = SplitStream<Socket>;
pub type Writing = SplitSink<Socket, tungstenite::Message>;

/// Bytes read at once: the codec clears its whole read buffer before each read,
/// so that a large one costs more than the reads that it saves.
const READ_BUFFER: usize = 4 * 1024;

/// How both ends of a link speak.
pub fn config() -> tungstenite::protocol::WebSocketConfig {
    tungstenite::protocol::WebSocketConfig::default().read_buffer_size(READ_BUFFER)
}

/// The next message; an error when the link has ended.
pub async fn next(reading: &mut Reading) -> anyhow::Result<Message> {
    loop {
        match reading.next().await.context("the link was closed")?.context("reading a link")? {
            tungstenite::Message::Binary(bytes) => return Message::decode(&bytes),
            tungstenite::Message::Close(_) => bail!("the peer closed the link"),
            _ => {}
        }
    }
}

/// Sends one message.
pub async fn send(writing: &mut Writing, message: &Message) -> anyhow::Result<()> {
    let frame = tungstenite::Message::Binary(message.encode());
    writing.send(frame).await.context("writing to a link")
}

/// Writes all that comes, several messages a flush, until the senders are gone.
pub async fn pump(
    writing: &mut Writing,
    rx: &mut UnboundedReceiver<Message>,
) -> anyhow::Result<()> {
    while let Some(message) = rx.recv().await {
        let mut next = Some(message);
        for _ in 0..BATCH {
            let Some(message) = next else { break };
            let frame = tungstenite::Message::Binary(message.encode());
            writing.feed(frame).await.context("writing to a link")?;
            next = rx.try_recv().ok();
        }
        if let Some(message) = next {
            let frame = tungstenite::Message::Binary(message.encode());
            writing.feed(frame).await.context("writing to a link")?;
        }
        writing.flush().await.context("writing to a link")?;
    }
    Ok(())
}
