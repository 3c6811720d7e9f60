//! Asynchronous replication: replicas ask every other server for its log, and
//! the one that leads answers.

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

const RETRY_DELAY: Duration = Duration::from_millis(20);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What servers say to each other.
#[derive(Debug, Deserialize, Serialize)]
enum Message {
    /// A replica wants the log; it has promised a term and holds these.
    Follow { promised: Term, terms: Vec<Point> },
    /// The primary of a term: the logs are the same up to a length.
    Accept { term: Term, common: usize },
    /// Records of the primary of a term; none as a heartbeat.
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

/// Gives the log to replicas that ask.
pub async fn serve(engine: Rc<Engine>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let engine = engine.clone();
        monoio::spawn(async move {
            if let Err(error) = send_log(&engine, stream).await {
                tracing::debug!("replication: a replica left: {error:#}.");
            }
        });
    }
}

async fn send_log(engine: &Engine, stream: TcpStream) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = stream.into_poll_io()?;
    let first = monoio::time::timeout(MESSAGE_TIMEOUT, receive(&mut stream)).await??;
    let Message::Follow { promised, terms } = first else { anyhow::bail!("not a replica") };
    let term = engine.status().term;
    ensure!(engine.leads() && promised <= term, "this server does not lead");
    let mut sent = engine.common_length(&terms);
    send(&mut stream, &Message::Accept { term, common: sent }).await?;
    loop {
        ensure!(engine.leads() && engine.status().term == term, "the term is over");
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

/// Takes the log of one other server whenever that one leads.
pub async fn follow(engine: Rc<Engine>, peer: SocketAddr) {
    loop {
        if !engine.leads()
            && let Err(error) = receive_log(&engine, peer).await
        {
            tracing::trace!("replication: {peer}: {error:#}.");
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
    let Message::Accept { term, common } = first else { anyhow::bail!("not a primary") };
    engine.follow_term(term)?;
    engine.truncate(common)?;
    ensure!(engine.held().position.0 as usize == common, "the log moved meanwhile");
    loop {
        let message = monoio::time::timeout(MESSAGE_TIMEOUT, receive(&mut stream)).await??;
        let Message::Records { term, records } = message else { anyhow::bail!("not records") };
        engine.receive(term, records, std::time::Instant::now())?;
    }
}

/// Applies what has been held for the lag.
pub async fn apply(engine: Rc<Engine>) {
    loop {
        match engine.apply_due(std::time::Instant::now()) {
            Ok(true) => {}
            Ok(false) => {
                let changed = engine.changed.notified();
                let _ = monoio::time::timeout(Duration::from_millis(2), changed).await;
            }
            Err(error) => {
                tracing::error!("replication: a record cannot be applied: {error:#}.");
                std::process::exit(1);
            }
        }
    }
}
