//! Asynchronous replication: each replica requests the log of every other server, and only
//! the primary sends it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use anyhow::{Context, ensure};
use bergamottrack_coordination::{Point, Term};
use monoio::{
    io::IntoPollIo,
    net::{TcpListener, TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::engine::{Engine, Record};

/// Delay before a replica connects to a server again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval of heartbeats while there are no records to send.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of each message of a connection.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of connecting to another server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Message between two servers of a group.
#[derive(Debug, Deserialize, Serialize)]
enum Message {
    /// Request of a replica for the log: the term it has promised and the last point of each
    /// term in its log.
    Follow { promised: Term, terms: Vec<Point> },
    /// Answer of the primary: its term and the length of the prefix that both logs share.
    Accept { term: Term, common: usize },
    /// Records of the primary of a term; empty as a heartbeat.
    Records { term: Term, records: Vec<Record> },
}

async fn send(stream: &mut TcpStreamPoll, message: &Message) -> anyhow::Result<()> {
    let mut bytes = vec![0; 4];
    ciborium::into_writer(message, &mut bytes)?;
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    stream.write_all(&bytes).await.context("writing to a server")
}

async fn receive(stream: &mut TcpStreamPoll) -> anyhow::Result<Message> {
    let length = stream.read_u32().await.context("reading from a server")?;
    ensure!(length < 256 << 20, "a message of {length} bytes is too long");
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await.context("reading from a server")?;
    ciborium::from_reader(&bytes[..]).context("reading from a server")
}

/// Sends the log to each replica that connects.
pub async fn serve(engine: Rc<Engine>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let engine = engine.clone();
        monoio::spawn(async move {
            if let Err(error) = send_log(&engine, stream).await {
                tracing::debug!("replication: connection of a replica closed: {error:#}.");
            }
        });
    }
}

async fn send_log(engine: &Engine, stream: TcpStream) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = stream.into_poll_io()?;
    let first = monoio::time::timeout(MESSAGE_TIMEOUT, receive(&mut stream)).await??;
    let Message::Follow { promised, terms } = first else {
        anyhow::bail!("expected a Follow message")
    };
    let term = engine.status().term;
    ensure!(engine.leads() && promised <= term, "this server is not the primary");
    let mut sent = engine.common_length(&terms);
    send(&mut stream, &Message::Accept { term, common: sent }).await?;
    loop {
        ensure!(engine.leads() && engine.status().term == term, "this server's term has ended");
        let changed = engine.changed.notified();
        let records = engine.records_after(sent);
        if !records.is_empty() {
            sent += records.len();
            send(&mut stream, &Message::Records { term, records }).await?;
            continue;
        }
        if monoio::time::timeout(HEARTBEAT_INTERVAL, changed).await.is_err() {
            send(&mut stream, &Message::Records { term, records }).await?;
        }
    }
}

/// Receives the log of another server whenever that one is the primary; runs forever.
pub async fn follow(engine: Rc<Engine>, peer: SocketAddr) {
    loop {
        if !engine.leads()
            && let Err(error) = receive_log(&engine, peer).await
        {
            tracing::trace!("replication: receiving the log from {peer} failed: {error:#}.");
        }
        monoio::time::sleep(RETRY_DELAY).await;
    }
}

async fn receive_log(engine: &Engine, peer: SocketAddr) -> anyhow::Result<()> {
    let stream = monoio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await??;
    stream.set_nodelay(true)?;
    let mut stream = stream.into_poll_io()?;
    let follow = Message::Follow { promised: engine.status().promised, terms: engine.terms() };
    send(&mut stream, &follow).await?;
    let first = monoio::time::timeout(MESSAGE_TIMEOUT, receive(&mut stream)).await??;
    let Message::Accept { term, common } = first else {
        anyhow::bail!("expected an Accept message")
    };
    engine.follow_term(term)?;
    engine.truncate(common)?;
    ensure!(
        engine.held().position.0 as usize == common,
        "the log changed after its terms were sent"
    );
    loop {
        let message = monoio::time::timeout(MESSAGE_TIMEOUT, receive(&mut stream)).await??;
        let Message::Records { term, records } = message else {
            anyhow::bail!("expected a Records message")
        };
        engine.receive(term, records, std::time::Instant::now())?;
    }
}

/// Applies received records once the lag has passed since their arrival; runs forever.
pub async fn apply(engine: Rc<Engine>) {
    loop {
        match engine.apply_due(std::time::Instant::now()) {
            Ok(true) => {}
            Ok(false) => {
                let changed = engine.changed.notified();
                let _ = monoio::time::timeout(Duration::from_millis(2), changed).await;
            }
            Err(error) => {
                tracing::error!("replication: failed to apply a record, exiting: {error:#}.");
                std::process::exit(1);
            }
        }
    }
}
