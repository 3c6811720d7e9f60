//! Monitor of one backend server: a task with a connection of its own.

use std::{rc::Rc, time::Duration};

use anyhow::Context;
use bergamottrack_pg::Frame;
use pgwire::messages::PgWireBackendMessage;
use tracing::info;

use crate::{
    backend::{self, Conn},
    group::GroupHome,
    protocol,
    server::{Server, StatusReading},
};

/// Maximum interval between two probes of a server.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay before reconnecting to a server.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Monitors a server until its group's home is closed and its last exchange has ended.
pub async fn run(group: Rc<GroupHome>, server: Rc<Server>) {
    let mut connected = false;
    while !group.is_finished() {
        let result = poll(&group, &server, &mut connected).await;
        server.reading.set(None);
        server.pool.clear();
        if let Err(error) = result {
            if backend::is_process_gone(&error) {
                server.record_refusal(group.clock.now());
            }
            if std::mem::take(&mut connected) {
                let id = &server.contract.id;
                info!("watch: group {}: connection to {id} lost: {error:#}.", group.id);
            }
        }
        group.changed.notify_waiters();
        monoio::time::sleep(RETRY_DELAY).await;
    }
}

/// Connects to the server and probes it until an error occurs; sets `connected` at the first
/// answer.
async fn poll(group: &GroupHome, server: &Server, connected: &mut bool) -> anyhow::Result<()> {
    let mut conn = Conn::connect(&server.contract, &group.id, CONNECT_TIMEOUT).await?;
    conn.query_text(protocol::LISTEN_STATUS).await?;
    while !group.is_finished() {
        let requested_at = group.clock.now();
        conn.send_query(protocol::SHOW_STATUS).await?;
        let answer = read_answer(group, server, &mut conn, requested_at);
        monoio::time::timeout(group.silence_timeout(), answer)
            .await
            .context("no answer to a probe")??;
        if !std::mem::replace(connected, true) {
            info!("watch: group {}: {} is reachable.", group.id, server.contract.id);
        }
        wait_for_next_probe(group, server, &mut conn).await?;
    }
    Ok(())
}

/// Reads the answer to a probe and records the status in it.
async fn read_answer(
    group: &GroupHome,
    server: &Server,
    conn: &mut Conn,
    requested_at: std::time::Instant,
) -> anyhow::Result<()> {
    loop {
        let frame = conn.next().await?;
        match frame.tag {
            b'D' => {
                let text = backend::first_column(&frame).context("status row without a text")?;
                record_status(group, server, &text, requested_at)?;
            }
            b'Z' => return Ok(()),
            b'E' => anyhow::bail!("{}", backend::error_text(&frame)),
            _ => handle_notification(group, server, &frame)?,
        }
    }
}

/// Waits for the next probe; records statuses that the server reports in the meantime.
async fn wait_for_next_probe(
    group: &GroupHome,
    server: &Server,
    conn: &mut Conn,
) -> anyhow::Result<()> {
    let interval = monoio::time::sleep(PROBE_INTERVAL);
    let mut interval = std::pin::pin!(interval);
    loop {
        monoio::select! {
            _ = &mut interval => return Ok(()),
            _ = server.probe.notified() => return Ok(()),
            frame = conn.next() => handle_notification(group, server, &frame?)?,
        }
    }
}

/// Records a status from a notification. It may have been sent some time ago, so it gets the
/// time of the last request.
fn handle_notification(group: &GroupHome, server: &Server, frame: &Frame) -> anyhow::Result<()> {
    if frame.tag != b'A' {
        return Ok(());
    }
    let PgWireBackendMessage::NotificationResponse(notification) = frame.backend()? else {
        return Ok(());
    };
    let requested_at = server.reading.get().map(|reading| reading.requested_at);
    match requested_at {
        Some(requested_at) if notification.channel == protocol::STATUS_CHANNEL => {
            record_status(group, server, &notification.payload, requested_at)
        }
        _ => Ok(()),
    }
}

/// Records a status that the server reported; `requested_at` is the time of the last request
/// before the report.
pub(crate) fn record_status(
    group: &GroupHome,
    server: &Server,
    text: &str,
    requested_at: std::time::Instant,
) -> anyhow::Result<()> {
    let status = protocol::parse_status(text)?;
    let previous = server.reading.replace(Some(StatusReading { status, requested_at }));
    server.last_status.set(Some(status));
    server.last_seen.set(Some(group.clock.now()));
    server.refused_since.set(None);
    group.record_position();
    if previous.map(|reading| reading.status) != Some(status)
        || previous.map(|reading| reading.requested_at) != Some(requested_at)
    {
        group.changed.notify_waiters();
    }
    Ok(())
}
