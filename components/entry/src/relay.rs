//! One request of a caller: to the home and back.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{Fate, Point, Reason, Refusal};
use bergamottrack_peer::{Exchange, Intent, ToEntry, ToHome, message::Standing};
use bergamottrack_pg::PgWriter;
use bytes::Bytes;
use tokio::{io::AsyncWrite, sync::Notify};

/// When a caller may come back after a link or host was lost.
const COME_BACK: Duration = Duration::from_millis(200);

/// The last part of an answer.
pub struct Answered {
    /// Messages that end the answer, without `ReadyForQuery`.
    pub frames: Bytes,
    /// How the transaction stands.
    pub standing: Standing,
    /// What a confirmed write has reached.
    pub point: Option<Point>,
}

/// Passes an answer on to the caller up to its last part.
pub async fn answer<W: AsyncWrite + Unpin>(
    exchange: &mut Exchange,
    writer: &mut PgWriter<W>,
    intent: &Intent,
    deadline: Instant,
    cancel: &Notify,
) -> anyhow::Result<Result<Answered, Refusal>> {
    loop {
        let item = monoio::select! {
            item = exchange.recv() => item,
            _ = cancel.notified() => {
                exchange.send(ToHome::Cancel);
                continue;
            }
            _ = monoio::time::sleep_until(deadline.into()) => {
                return Ok(Err(lost(intent, Reason::Deadline, "the deadline passed")));
            }
        };
        match item {
            Some(ToEntry::Part(bytes)) => {
                writer.send(&bytes).await?;
                exchange.send(ToHome::Credit(bytes.len() as u64));
            }
            Some(ToEntry::Turn { frames, standing, point, .. }) => {
                return Ok(Ok(Answered { frames, standing, point }));
            }
            Some(ToEntry::Refused(refusal)) => return Ok(Err(refusal)),
            None => {
                return Ok(Err(lost(intent, Reason::Lost, "the group's home was lost")));
            }
        }
    }
}

fn lost(intent: &Intent, reason: Reason, message: &str) -> Refusal {
    let fate = match intent {
        Intent::Write => Fate::Unknown,
        Intent::Read { .. } => Fate::NotRun,
    };
    Refusal { reason, fate, retry: Some(COME_BACK), message: message.into() }
}
