//! A small system of real hosts, and callers that speak to them line by line.

#![allow(dead_code)]

use std::{
    cell::RefCell,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use lab::soak::{SoakArgs, world::World};
use monoio::{
    io::IntoPollIo,
    net::{TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};

/// The longest that any condition is waited for.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

pub fn block_on<T>(test: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap()
        .block_on(test)
}

pub fn soak_args(hosts: usize, callers: usize, secs: u64) -> SoakArgs {
    let (dry, links, grow, calm, herd) = Default::default();
    SoakArgs { seed: 1, seeds: 1, secs, hosts, callers, dry, links, grow, calm, herd }
}

pub async fn sleep_ms(ms: u64) {
    monoio::time::sleep(Duration::from_millis(ms)).await;
}

/// A system that serves, with `hosts` hosts and without load.
pub async fn start_system(hosts: usize) -> Rc<RefCell<World>> {
    await_serving(World::start(hosts).unwrap()).await
}

/// The system, once all its hosts serve.
pub async fn await_serving(world: World) -> Rc<RefCell<World>> {
    let hosts = world.hosts.len();
    let world = Rc::new(RefCell::new(world));
    monoio::spawn(World::keep(world.clone()));
    let began = Instant::now();
    for host in 0..hosts {
        let address = world.borrow().callers[host];
        loop {
            if let Ok(mut line) = Connection::start(address, "db0", "key-b").await
                && line.query("READ k1").await.is_ok_and(|told| told[0].starts_with("DONE"))
            {
                break;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "host {host} does not serve");
            sleep_ms(50).await;
        }
    }
    world
}

/// A caller's connection, line by line.
pub struct Connection {
    pub io: BufReader<TcpStreamPoll>,
    number: u64,
}

impl Connection {
    pub async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let io = BufReader::new(TcpStream::connect(address).await?.into_poll_io()?);
        Ok(Self { io, number: rand::random::<u32>().into() })
    }

    pub async fn start(address: SocketAddr, database: &str, key: &str) -> std::io::Result<Self> {
        let mut line = Self::connect(address).await?;
        line.send(&format!("START {database} {key}\r\n")).await?;
        match line.next().await? {
            told if told.starts_with("READY I") => Ok(line),
            told => Err(std::io::Error::other(told)),
        }
    }

    pub async fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.io.write_all(text.as_bytes()).await
    }

    pub async fn next(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        let read = monoio::time::timeout(WAIT_TIMEOUT, self.io.read_line(&mut line)).await?;
        if read? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// The lines of one answer, the state last.
    pub async fn answer(&mut self) -> std::io::Result<Vec<String>> {
        let mut lines = Vec::new();
        loop {
            let line = self.next().await?;
            let last = line.starts_with("READY");
            lines.push(line);
            if last {
                return Ok(lines);
            }
        }
    }

    pub async fn query(&mut self, text: &str) -> std::io::Result<Vec<String>> {
        self.number += 1;
        let id = self.number;
        self.send(&format!("QUERY {id:x} {text}\r\n")).await?;
        self.answer().await
    }

    /// How the answer ended and how the session stands, as `DONE I`.
    pub async fn query_outcome(&mut self, text: &str) -> String {
        let told = self.query(text).await.unwrap();
        let outcome = &told[told.len() - 2];
        let word = match outcome.split_once(' ') {
            Some(("ERROR", rest)) => rest.split(' ').next().unwrap(),
            _ => "DONE",
        };
        format!("{word} {}", told.last().unwrap().split(' ').nth(1).unwrap())
    }
}
