//! One exchange at the home: one task, straight down.

use std::{rc::Rc, time::Instant};

use bergamottrack_coordination::{Fate, Point, Reason, Refusal};
use bergamottrack_peer::{HomeSide, Intent, Open, ToEntry, ToHome, message::Standing};
use bergamottrack_pg::Frame;
use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireBackendMessage;
use tracing::debug;

use crate::{
    backend::Conn,
    border,
    group::{COME_BACK, GroupHome},
    pool::Taken,
    server::Server,
};

/// Rows are handed on once this many bytes are together.
const PART_LEN: usize = 16 * 1024;

/// Serves an exchange to its end.
pub async fn serve(home: Rc<GroupHome>, open: Open, mut side: HomeSide) {
    if let Err(refusal) = run(&home, &open, &mut side).await {
        debug!("home: group {}: {refusal}.", home.id);
        side.send(ToEntry::Refused(refusal));
    }
}

async fn run(home: &GroupHome, open: &Open, side: &mut HomeSide) -> Result<(), Refusal> {
    let deadline = home.clock.now() + open.budget;
    let server = home.route(&open.intent, deadline).await?;
    let _slot = monoio::time::timeout_at(deadline.into(), server.slots.acquire())
        .await
        .map_err(|_| overloaded(home))?;
    let mut taken = connect(home, &server, deadline).await?;
    let mut frames = open.frames.clone();
    let mut deadline = deadline;
    loop {
        let turn = Turn { home, server: &server, intent: &open.intent, deadline };
        match turn.run(&mut taken.conn, side, &frames).await? {
            Standing::Idle => {
                taken.give_back();
                return Ok(());
            }
            Standing::Open | Standing::Failed => {}
        }
        match next_batch(home, side).await? {
            Some((more, until)) => (frames, deadline) = (more, until),
            None => return Ok(()),
        }
    }
}

fn overloaded(home: &GroupHome) -> Refusal {
    let message = format!("group {} is busy", home.id);
    Refusal::not_run(Reason::Overload, Some(COME_BACK), message)
}

async fn connect<'a>(
    home: &GroupHome,
    server: &'a Server,
    deadline: Instant,
) -> Result<Taken<'a>, Refusal> {
    let within = deadline.saturating_duration_since(home.clock.now());
    server.pool.take(&server.contract, &home.id, within).await.map_err(|error| {
        Refusal::not_run(Reason::Unavailable, Some(COME_BACK), format!("{error:#}"))
    })
}

/// Waits for the next messages of an open transaction; `None` when the caller is gone.
async fn next_batch(
    home: &GroupHome,
    side: &mut HomeSide,
) -> Result<Option<(Bytes, Instant)>, Refusal> {
    let idle = home.clock.now() + home.idle();
    loop {
        let next = monoio::time::timeout_at(idle.into(), side.recv()).await;
        let item = next.map_err(|_| {
            let message = "the transaction stood idle too long and was rolled back";
            Refusal::not_run(Reason::Deadline, None, message)
        })?;
        match item {
            Some(ToHome::More { frames, budget }) => {
                return Ok(Some((frames, home.clock.now() + budget)));
            }
            Some(ToHome::Credit(_) | ToHome::Cancel) => {}
            Some(ToHome::Close) | None => return Ok(None),
        }
    }
}

/// One batch of messages and its answer.
struct Turn<'a> {
    home: &'a GroupHome,
    server: &'a Server,
    intent: &'a Intent,
    deadline: Instant,
}

/// What has been read of an answer.
#[derive(Default)]
struct Answer {
    /// Messages not handed on yet.
    pending: BytesMut,
    /// What the server says that the answer shows or has reached.
    point: Option<Point>,
}

impl Turn<'_> {
    async fn run(
        &self,
        conn: &mut Conn,
        side: &mut HomeSide,
        frames: &Bytes,
    ) -> Result<Standing, Refusal> {
        conn.send(frames).await.map_err(|error| self.lost(error))?;
        let mut answer = Answer::default();
        let standing = loop {
            let frame = monoio::select! {
                frame = conn.next() => frame.map_err(|error| self.lost(error))?,
                item = side.recv() => {
                    self.meanwhile(item, conn).await?;
                    continue;
                }
                _ = monoio::time::sleep_until(self.deadline.into()) => {
                    return Err(self.unknown(Reason::Deadline, "the deadline passed"));
                }
            };
            if let Some(standing) = self.take(frame, &mut answer)? {
                break standing;
            }
            if answer.pending.len() >= PART_LEN {
                side.send(ToEntry::Part(answer.pending.split().freeze()));
            }
        };
        let point = self.settle(standing, answer.point).await?;
        let replica = !matches!(self.intent, Intent::Write)
            && self.server.seen.get().is_some_and(|seen| !seen.status.leads());
        let frames = answer.pending.freeze();
        side.send(ToEntry::Turn { frames, standing, point, replica });
        Ok(standing)
    }

    /// Takes one message of the answer; the standing when it is the last one.
    fn take(&self, frame: Frame, answer: &mut Answer) -> Result<Option<Standing>, Refusal> {
        match frame.tag {
            b'Z' => return Ok(Some(standing(&frame))),
            b'S' => {
                if let Some(point) = point(&frame) {
                    answer.point = Some(point);
                    return Ok(None);
                }
            }
            _ => {}
        }
        answer.pending.extend_from_slice(&frame.raw);
        Ok(None)
    }

    async fn meanwhile(&self, item: Option<ToHome>, conn: &Conn) -> Result<(), Refusal> {
        match item {
            Some(ToHome::Cancel) => {
                let within = self.home.silence();
                if let Err(error) = conn.cancel(within).await {
                    debug!("home: a cancel failed: {error:#}.");
                }
                Ok(())
            }
            Some(ToHome::Credit(_) | ToHome::More { .. }) => Ok(()),
            Some(ToHome::Close) | None => Err(self.unknown(Reason::Lost, "the caller is gone")),
        }
    }

    /// Waits until a write that ended is confirmed: only then may the caller hear of it.
    async fn settle(
        &self,
        standing: Standing,
        point: Option<Point>,
    ) -> Result<Option<Point>, Refusal> {
        let (Intent::Write, Standing::Idle, Some(point)) = (self.intent, standing, point) else {
            return Ok(None);
        };
        if self.home.confirm(self.server, point, self.deadline).await {
            return Ok(Some(point));
        }
        Err(self.unknown(Reason::Lost, "no other server has confirmed the write yet"))
    }

    fn lost(&self, error: anyhow::Error) -> Refusal {
        self.unknown(Reason::Lost, &format!("{error:#}"))
    }

    /// Once a byte has left for the server only a read is known not to have changed anything.
    fn unknown(&self, reason: Reason, message: &str) -> Refusal {
        let fate = match self.intent {
            Intent::Write => Fate::Unknown,
            Intent::Read { .. } => Fate::NotRun,
        };
        Refusal { reason, fate, retry: Some(COME_BACK), message: message.into() }
    }
}

fn standing(frame: &Frame) -> Standing {
    match frame.body().first() {
        Some(b'T') => Standing::Open,
        Some(b'E') => Standing::Failed,
        _ => Standing::Idle,
    }
}

fn point(frame: &Frame) -> Option<Point> {
    match frame.backend().ok()? {
        PgWireBackendMessage::ParameterStatus(setting) if setting.name == border::POINT_SETTING => {
            border::parse_point(&setting.value).ok()
        }
        _ => None,
    }
}
