//! Crowd of callers that do not behave. None of their statements runs at a server, so the checks of
//! statements are not concerned.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use anyhow::Context;
use monoio::{io::IntoPollIo, net::TcpStream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Number of callers.
const CALLERS: usize = 60;

/// Length of a large message, and of the pieces in which it is sent.
const LARGE: usize = 1_000_000;
const PIECE: usize = 50_000;

/// Pause of a caller before its next piece, and before it connects again.
const PAUSE: Duration = Duration::from_millis(50);

/// Starts a crowd against a host; it ends when `stop` is set.
pub fn start(address: SocketAddr, stop: &Rc<Cell<bool>>) {
    for number in 0..CALLERS {
        let stop = stop.clone();
        monoio::spawn(async move {
            while !stop.get() {
                // The host may refuse and close the connection, or be gone.
                let _ = caller(address, number, &stop).await;
                monoio::time::sleep(PAUSE).await;
            }
        });
    }
}

async fn caller(address: SocketAddr, number: usize, stop: &Cell<bool>) -> anyhow::Result<()> {
    let mut io = TcpStream::connect(address).await?.into_poll_io()?;
    let kind = number % 4;
    if kind > 0 {
        io.write_all(b"START db0 key-b\r\n").await?;
        anyhow::ensure!(io.read(&mut [0; 100]).await? > 0, "the host closed the connection");
    }
    let piece = vec![b'x'; PIECE];
    match kind {
        // A start message that does not end.
        0 => io.write_all(b"START d").await?,
        // A large message that does not end.
        1 => {
            io.write_all(b"QUERY q WRITE k ").await?;
            for _ in 0..LARGE / PIECE / 2 {
                io.write_all(&piece).await?;
                monoio::time::sleep(PAUSE).await;
            }
        }
        // Values of sessions of the greatest size.
        2 => {
            io.write_all(b"QUERY q SET v ").await?;
            for _ in 0..LARGE / PIECE {
                io.write_all(&piece).await?;
            }
            io.write_all(b"\r\n").await?;
        }
        // Statements that are sent ahead and whose answers are not read.
        _ => {
            let many = b"QUERY q FORGET no-such-name\r\n".repeat(1000);
            while !stop.get() {
                let write = monoio::time::timeout(PAUSE, io.write_all(&many)).await;
                write.context("the answers are not read")??;
            }
        }
    }
    while !stop.get() {
        monoio::time::sleep(PAUSE).await;
    }
    Ok(())
}
