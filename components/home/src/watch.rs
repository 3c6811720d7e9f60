//! The watch on one backend server: one task, one connection.

use std::{rc::Rc, time::Duration};

use anyhow::Context;
use bergamottrack_pg::Frame;
use pgwire::messages::PgWireBackendMessage;
use tracing::info;

use crate::{
    backend::{self, Conn},
    border,
    group::GroupHome,
    server::{Seen, Server},
};

/// How often a server is asked when nothing else asks it.
const PROBE_EVERY: Duration = Duration::from_millis(50);

const CONNECT_WITHIN: Duration = Duration::from_millis(400);
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Watches a server until its group's home is dropped.
pub async fn watch(group: Rc<GroupHome>, server: Rc<Server>) {
    let mut up = false;
    while !group.closed.get() {
        let result = follow(&group, &server, &mut up).await;
        server.seen.set(None);
        server.pool.clear();
        group.changed.notify_waiters();
        if let Err(error) = result
            && std::mem::take(&mut up)
        {
            info!("watch: {} is lost: {error:#}.", server.contract.id);
        }
        monoio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn follow(group: &GroupHome, server: &Server, up: &mut bool) -> anyhow::Result<()> {
    let mut conn = Conn::connect(&server.contract, &group.id, CONNECT_WITHIN).await?;
    conn.text(border::LISTEN_STATUS).await?;
    while !group.closed.get() {
        let asked = group.clock.now();
        conn.ask(border::SHOW_STATUS).await?;
        let answer = read_answer(group, server, &mut conn, asked);
        monoio::time::timeout(group.silence(), answer).await.context("no answer to a probe")??;
        if !std::mem::replace(up, true) {
            info!("watch: {} is reached.", server.contract.id);
        }
        idle(group, server, &mut conn).await?;
    }
    Ok(())
}

async fn read_answer(
    group: &GroupHome,
    server: &Server,
    conn: &mut Conn,
    asked: std::time::Instant,
) -> anyhow::Result<()> {
    loop {
        let frame = conn.next().await?;
        match frame.tag {
            b'D' => {
                let text = backend::first_column(&frame).context("a status without a text")?;
                note(group, server, &text, asked)?;
            }
            b'Z' => return Ok(()),
            b'E' => anyhow::bail!("{}", backend::error_text(&frame)),
            _ => told(group, server, &frame)?,
        }
    }
}

/// Waits for the next probe; what the server tells meanwhile is noted.
async fn idle(group: &GroupHome, server: &Server, conn: &mut Conn) -> anyhow::Result<()> {
    let pause = monoio::time::sleep(PROBE_EVERY);
    let mut pause = std::pin::pin!(pause);
    loop {
        monoio::select! {
            _ = &mut pause => return Ok(()),
            _ = server.probe.notified() => return Ok(()),
            frame = conn.next() => told(group, server, &frame?)?,
        }
    }
}

/// Notes what the server tells unasked. It may have been sent some time ago,
/// so it keeps the time of the last question.
fn told(group: &GroupHome, server: &Server, frame: &Frame) -> anyhow::Result<()> {
    if frame.tag != b'A' {
        return Ok(());
    }
    let PgWireBackendMessage::NotificationResponse(told) = frame.backend()? else {
        return Ok(());
    };
    let asked = server.seen.get().map(|seen| seen.asked);
    match asked {
        Some(asked) if told.channel == border::STATUS_CHANNEL => {
            note(group, server, &told.payload, asked)
        }
        _ => Ok(()),
    }
}

fn note(
    group: &GroupHome,
    server: &Server,
    text: &str,
    asked: std::time::Instant,
) -> anyhow::Result<()> {
    let status = border::parse_status(text)?;
    let before = server.seen.replace(Some(Seen { status, asked }));
    server.heard.set(Some(group.clock.now()));
    if before.map(|seen| seen.status) != Some(status) || before.map(|s| s.asked) != Some(asked) {
        group.changed.notify_waiters();
    }
    Ok(())
}
