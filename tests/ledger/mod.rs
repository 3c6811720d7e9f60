//! Writers that note what they were told, and the check from outside.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bergamottrack_coordination::leadership::Status;
use lab::system::{self, PATIENCE, System};
use tokio::task::JoinHandle;
use tokio_postgres::Config;

const PAUSE: Duration = Duration::from_millis(20);

/// What a caller was told of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reported {
    /// It is done.
    Done,
    /// It did not run.
    NotRun,
    /// Nobody knows.
    Unknown,
}

/// What an error tells its caller.
pub fn reported(error: &tokio_postgres::Error) -> Reported {
    let Some(error) = error.as_db_error() else { return Reported::Unknown };
    match (error.detail(), error.code().code()) {
        (Some("done"), _) => Reported::Done,
        (Some("not run"), _) => Reported::NotRun,
        (Some("unknown"), _) => Reported::Unknown,
        // An error of the server itself: the statement failed there.
        _ => Reported::NotRun,
    }
}

/// Writers through several hosts, and what they were told.
pub struct Ledger {
    reported: Arc<Mutex<BTreeMap<String, Reported>>>,
    stop: Arc<AtomicBool>,
    writers: Vec<JoinHandle<()>>,
}

impl Ledger {
    /// Starts two writers through each host.
    pub async fn start(system: &System) -> Self {
        let client = system.connect(0, "baobab", "g1").await.unwrap();
        system::until_runs(&client, "CREATE TABLE IF NOT EXISTS booking (id TEXT)").await.unwrap();
        let mut ledger =
            Self { reported: Arc::default(), stop: Arc::default(), writers: Vec::new() };
        for writer in 0..2 * system.plan.hosts {
            let config = system.caller(writer % system.plan.hosts, "baobab", "g1");
            let work = write(writer, config, ledger.reported.clone(), ledger.stop.clone());
            ledger.writers.push(tokio::spawn(work));
        }
        ledger
    }

    /// How many were told so.
    pub fn count(&self, reported: Reported) -> usize {
        self.reported.lock().unwrap().values().filter(|t| **t == reported).count()
    }

    /// Waits until so many more writes are done.
    pub async fn until_done(&self, more: usize) {
        let wanted = self.count(Reported::Done) + more;
        until("writes are done", async || self.count(Reported::Done) >= wanted).await;
    }

    /// Ends the writers and compares what they were told with the primary's table.
    pub async fn check(mut self, system: &System) {
        self.stop.store(true, Ordering::Relaxed);
        for writer in self.writers.drain(..) {
            writer.await.unwrap();
        }
        let (primary, _) = primary(system).await;
        let client = system.connect_server(&primary).await.unwrap();
        let mut times: BTreeMap<String, usize> = BTreeMap::new();
        for id in system::rows(&client, "SELECT id FROM booking").await.unwrap() {
            *times.entry(id).or_default() += 1;
        }
        for (id, reported) in self.reported.lock().unwrap().iter() {
            let times = times.get(id).copied().unwrap_or_default();
            let fits = match reported {
                Reported::Done => times == 1,
                Reported::NotRun => times == 0,
                Reported::Unknown => times <= 1,
            };
            assert!(fits, "{id} was told {reported:?} and is there {times} times");
        }
        assert!(self.count(Reported::Done) > 0, "nothing was written");
    }
}

async fn write(
    writer: usize,
    config: Config,
    told_by: Arc<Mutex<BTreeMap<String, Reported>>>,
    stop: Arc<AtomicBool>,
) {
    let mut client = None;
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        if client.as_ref().is_none_or(|c: &tokio_postgres::Client| c.is_closed()) {
            client = system::connect(&config).await.ok();
        }
        let Some(client) = &client else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let id = format!("w{writer}-{number}");
        let answer = client.simple_query(&format!("INSERT INTO booking VALUES ('{id}')")).await;
        let was = answer.map_or_else(|error| reported(&error), |_| Reported::Done);
        told_by.lock().unwrap().insert(id, was);
        tokio::time::sleep(PAUSE).await;
    }
}

/// Waits until a condition holds.
pub async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < deadline, "waited in vain until {what}");
        tokio::time::sleep(PAUSE).await;
    }
}

/// What a server says of itself, if it answers.
pub async fn status(system: &System, server: &str) -> Option<Status> {
    let ask = async {
        let client = system.connect_server(server).await.ok()?;
        let rows = system::rows(&client, "SHOW group_status").await.ok()?;
        rows.first()?.parse().ok()
    };
    tokio::time::timeout(Duration::from_secs(1), ask).await.ok().flatten()
}

/// The server that leads the greatest term, and what it says.
pub async fn primary(system: &System) -> (String, Status) {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let mut leading: Vec<(String, Status)> = Vec::new();
        for name in system.servers.keys() {
            leading.extend(
                status(system, name).await.filter(Status::leads).map(|s| (name.clone(), s)),
            );
        }
        if let Some(found) = leading.into_iter().max_by_key(|(_, status)| status.term) {
            return found;
        }
        assert!(Instant::now() < deadline, "no server leads");
        tokio::time::sleep(PAUSE).await;
    }
}

/// Waits until a server follows the primary of a term after `term`.
pub async fn until_follows(system: &System, server: &str, term: u64) {
    until(&format!("{server} follows"), async || {
        status(system, server).await.is_some_and(|s| !s.leads() && s.term.0 > term)
    })
    .await;
}
