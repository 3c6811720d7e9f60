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
pub const PATIENCE: Duration = Duration::from_secs(30);

pub fn on_runtime<T>(test: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap()
        .block_on(test)
}

pub fn args(hosts: usize, callers: usize, secs: u64) -> SoakArgs {
    let (dry, links, grow, calm, herd) = Default::default();
    SoakArgs { seed: 1, seeds: 1, secs, hosts, callers, dry, links, grow, calm, herd }
}

pub async fn pause(ms: u64) {
    monoio::time::sleep(Duration::from_millis(ms)).await;
}

/// A system that serves, with `hosts` hosts and without load.
pub async fn system(hosts: usize) -> Rc<RefCell<World>> {
    serving(World::start(hosts).unwrap()).await
}

/// The system, once all its hosts serve.
pub async fn serving(world: World) -> Rc<RefCell<World>> {
    let hosts = world.hosts.len();
    let world = Rc::new(RefCell::new(world));
    monoio::spawn(World::maintain(world.clone()));
    let began = Instant::now();
    for host in 0..hosts {
        let address = world.borrow().callers[host];
        loop {
            if let Ok(mut line) = Line::start(address, "db0", "key-b").await
                && line.ask("READ k1").await.is_ok_and(|told| told[0].starts_with("DONE"))
            {
                break;
            }
            assert!(began.elapsed() < PATIENCE, "host {host} does not serve");
            pause(50).await;
        }
    }
    world
}

/// A caller's connection, line by line.
pub struct Line {
    pub io: BufReader<TcpStreamPoll>,
    number: u64,
}

impl Line {
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
        let read = monoio::time::timeout(PATIENCE, self.io.read_line(&mut line)).await?;
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

    pub async fn ask(&mut self, text: &str) -> std::io::Result<Vec<String>> {
        self.number += 1;
        let id = self.number;
        self.send(&format!("QUERY {id:x} {text}\r\n")).await?;
        self.answer().await
    }

    /// How the answer ended and how the session stands, as `DONE I`.
    pub async fn short(&mut self, text: &str) -> String {
        let told = self.ask(text).await.unwrap();
        let outcome = &told[told.len() - 2];
        let word = match outcome.split_once(' ') {
            Some(("ERROR", rest)) => rest.split(' ').next().unwrap(),
            _ => "DONE",
        };
        format!("{word} {}", told.last().unwrap().split(' ').nth(1).unwrap())
    }
}
