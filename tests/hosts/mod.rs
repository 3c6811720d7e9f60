//! A small system of real host processes, and callers that use the platform's line protocol.

#![allow(dead_code)]

use std::{
    cell::RefCell,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use lab::{
    lateness::{Lateness, OnFailure},
    soak::{SoakArgs, world::World},
};
use monoio::{
    io::IntoPollIo,
    net::{TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};

/// Timeout for any awaited condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on a new runtime of this thread. If it fails, prints how late the thread ran.
pub fn block_on<T>(test: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build().unwrap().block_on(
        async {
            let _report = OnFailure(Lateness::start(""));
            test.await
        },
    )
}

/// Arguments of a soak with seed 1; `secs` is the duration of its faults in seconds.
pub fn soak_args(hosts: usize, callers: usize, secs: u64) -> SoakArgs {
    let (dry, links, grow, refusals, sync, calm, herd, crowds) = Default::default();
    let (seed, seeds) = (1, 1);
    SoakArgs {
        seed,
        seeds,
        secs,
        hosts,
        callers,
        dry,
        links,
        grow,
        refusals,
        sync,
        calm,
        herd,
        crowds,
    }
}

/// Sleeps for `ms` milliseconds.
pub async fn sleep_ms(ms: u64) {
    monoio::time::sleep(Duration::from_millis(ms)).await;
}

/// Starts a system of `hosts` hosts without load and waits until all of them serve.
pub async fn start_system(hosts: usize) -> Rc<RefCell<World>> {
    await_serving(World::start(hosts).unwrap()).await
}

/// Waits until every host of the system answers a read. From then on `World::maintain` runs in the
/// background.
pub async fn await_serving(world: World) -> Rc<RefCell<World>> {
    let hosts = world.hosts.len();
    let world = Rc::new(RefCell::new(world));
    monoio::spawn(World::maintain(world.clone()));
    let start = Instant::now();
    for host in 0..hosts {
        let address = world.borrow().callers[host];
        loop {
            if let Ok(mut conn) = Connection::start(address, "db0", "key-b").await
                && conn.query("READ k1").await.is_ok_and(|response| response[0].starts_with("DONE"))
            {
                break;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "host {host} does not serve");
            sleep_ms(50).await;
        }
    }
    world
}

/// A caller's connection, which sends and reads single lines of the protocol.
pub struct Connection {
    pub io: BufReader<TcpStreamPoll>,
    last_id: u64,
}

impl Connection {
    /// Connects to a host and sends nothing.
    pub async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let io = BufReader::new(TcpStream::connect(address).await?.into_poll_io()?);
        Ok(Self { io, last_id: rand::random::<u32>().into() })
    }

    /// Connects to a host and starts a session. Any answer other than `READY I` is returned as an
    /// error with that answer as its text.
    pub async fn start(address: SocketAddr, database: &str, key: &str) -> std::io::Result<Self> {
        let mut conn = Self::connect(address).await?;
        conn.send(&format!("START {database} {key}\r\n")).await?;
        match conn.next().await? {
            line if line.starts_with("READY I") => Ok(conn),
            line => Err(std::io::Error::other(line)),
        }
    }

    /// Sends text as it is.
    pub async fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.io.write_all(text.as_bytes()).await
    }

    /// Reads the next line, without its line end.
    pub async fn next(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        let read = monoio::time::timeout(WAIT_TIMEOUT, self.io.read_line(&mut line)).await?;
        if read? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// Reads the lines of one answer; the last one is `READY` with the session state.
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

    /// Sends a statement with a new request id and reads its answer.
    pub async fn query(&mut self, text: &str) -> std::io::Result<Vec<String>> {
        self.last_id += 1;
        let id = self.last_id;
        self.send(&format!("QUERY {id:x} {text}\r\n")).await?;
        self.answer().await
    }

    /// Sends a statement and returns its outcome and the session state, such as `DONE I`. The
    /// outcome is `DONE` or the code of the error.
    pub async fn query_outcome(&mut self, text: &str) -> String {
        let response = self.query(text).await.unwrap();
        let outcome = &response[response.len() - 2];
        let code = match outcome.split_once(' ') {
            Some(("ERROR", rest)) => rest.split(' ').next().unwrap(),
            _ => "DONE",
        };
        format!("{code} {}", response.last().unwrap().split(' ').nth(1).unwrap())
    }
}
