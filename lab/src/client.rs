//! Connections of callers and operators, for tests and tools.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::Context;
use tokio_postgres::{Client, NoTls};

use crate::system::OPERATOR_KEY;

/// Timeout for conditions to come true; far longer than any of them takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Connects without retries, and runs the connection in a task of its own.
pub async fn connect(config: &tokio_postgres::Config) -> anyhow::Result<Client> {
    let (client, connection) = config.connect(NoTls).await.context("connecting")?;
    tokio::spawn(connection);
    Ok(client)
}

/// Repeats a statement until it succeeds, for [`WAIT_TIMEOUT`] at most.
pub async fn run_until_ok(client: &Client, sql: &str) -> anyhow::Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        match client.simple_query(sql).await {
            Ok(_) => return Ok(()),
            Err(error) if Instant::now() > deadline => return Err(error).context(sql.to_owned()),
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Runs a statement and returns its rows as text: columns joined by `|`, null as `NULL`.
pub async fn rows(client: &Client, sql: &str) -> Result<Vec<String>, tokio_postgres::Error> {
    let messages = client.simple_query(sql).await?;
    let row = |message: &tokio_postgres::SimpleQueryMessage| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => {
            let columns = (0..row.len()).map(|i| row.get(i).unwrap_or("NULL"));
            Some(columns.collect::<Vec<_>>().join("|"))
        }
        _ => None,
    };
    Ok(messages.iter().filter_map(row).collect())
}

/// Sends a POST request with the operator key; returns the status and the body.
pub async fn post(address: SocketAddr, path: &str, body: &str) -> anyhow::Result<(u16, String)> {
    request(address, "POST", path, body).await
}

/// Sends an HTTP request with the operator key; returns the status and the body.
pub async fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> anyhow::Result<(u16, String)> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address).await?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: lab\r\nAuthorization: Bearer {OPERATOR_KEY}\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    let (head, body) =
        answer.split_once("\r\n\r\n").context("HTTP response has no end of headers")?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    Ok((status.context("HTTP response has no valid status")?, body.to_owned()))
}
