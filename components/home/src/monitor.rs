//! The watch on one backend server: one task, one connection.

use std::{rc::Rc, time::Duration};

use anyhow::Context;
use bergamottrack_pg::Frame;
use pgwire::messages::PgWireBackendMessage;
use tracing::info;

use crate::{
    backend::{self, Conn},
    group::GroupHome,
    protocol,
    server::{Seen, Server},
};

/// How often a server is asked when nothing else asks it.
const PROBE_EVERY: Duration = Duration::from_millis(50);

const CONNECT_WITHIN: Duration = Duration::from_millis(400);
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Watches a server until its group's home is over.
pub async fn watch(group: Rc<GroupHome>, server: Rc<Server>) {
    let mut up = false;
    while !group.is_over() {
        let result = follow(&group, &server, &mut up).await;
        server.seen.set(None);
        server.pool.clear();
        if let Err(error) = result {
            if backend::is_refusal(&error) {
                server.note_refused(group.clock.now());
            }
            if std::mem::take(&mut up) {
                let id = &server.contract.id;
                info!("watch: group {}: {id} is lost: {error:#}.", group.id);
            }
        }
        group.changed.notify_waiters();
        monoio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn follow(group: &GroupHome, server: &Server, up: &mut bool) -> anyhow::Result<()> {
    let mut conn = Conn::connect(&server.contract, &group.id, CONNECT_WITHIN).await?;
    conn.text(protocol::LISTEN_STATUS).await?;
    while !group.is_over() {
        let asked = group.clock.now();
        conn.ask(protocol::SHOW_STATUS).await?;
        let answer = read_answer(group, server, &mut conn, asked);
        monoio::time::timeout(group.silence(), answer).await.context("no answer to a probe")??;
        if !std::mem::replace(up, true) {
            info!("watch: group {}: {} is reached.", group.id, server.contract.id);
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
        Some(asked) if told.channel == protocol::STATUS_CHANNEL => {
            note(group, server, &told.payload, asked)
        }
        _ => Ok(()),
    }
}

pub(crate) fn note(
    group: &GroupHome,
    server: &Server,
    text: &str,
    asked: std::time::Instant,
) -> anyhow::Result<()> {
    let status = protocol::parse_status(text)?;
    let before = server.seen.replace(Some(Seen { status, asked }));
    server.last.set(Some(status));
    server.heard.set(Some(group.clock.now()));
    server.refused.set(None);
    group.note_ages();
    if before.map(|seen| seen.status) != Some(status) || before.map(|s| s.asked) != Some(asked) {
        group.changed.notify_waiters();
    }
    Ok(())
}
