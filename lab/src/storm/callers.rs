//! Callers that write and read during a storm and record the outcomes reported to them.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio_postgres::{Client, error::DbError};

use crate::system::{self, System};

/// Statements that create the tables of the callers.
pub const TABLES: [&str; 2] = [
    "CREATE TABLE IF NOT EXISTS booking (id TEXT, writer INTEGER)",
    "CREATE TABLE IF NOT EXISTS pair (writer INTEGER, side TEXT, amount INTEGER)",
];

/// Maximum time to wait for an answer. It is longer than any deadline of a request, so that no
/// answer can arrive later.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

/// Outcome of a write, as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteStatus {
    /// The write was executed.
    Done,
    /// The write was not executed.
    NotRun,
    /// The write may have been executed.
    Unknown,
}

/// A write, and the outcome reported to its caller.
#[derive(Clone, Debug)]
pub struct WriteResult {
    /// Id of the booking.
    pub id: String,
    /// Whether it was sent with a request id of the same text.
    pub with_request_id: bool,
    /// Outcome reported to the caller.
    pub status: WriteStatus,
    /// Text of the error, empty for a success.
    pub answer: String,
}

/// A caller that writes bookings, one after another, through varying hosts.
pub struct Writer {
    number: usize,
    configs: Vec<tokio_postgres::Config>,
    writes: Arc<Mutex<Vec<WriteResult>>>,
    broken: Arc<Mutex<Vec<String>>>,
    rng: StdRng,
    token: Option<String>,
    /// Last booking that was reported to this session as done.
    last_booking: Option<String>,
}

impl Writer {
    /// Returns a writer. Odd numbers use the second client account.
    pub fn new(
        system: &System,
        number: usize,
        writes: Arc<Mutex<Vec<WriteResult>>>,
        broken: Arc<Mutex<Vec<String>>>,
    ) -> Self {
        let account = if number.is_multiple_of(2) { "baobab" } else { "hartwell" };
        let hosts = 0..system.hosts.len();
        Self {
            number,
            configs: hosts.map(|host| system.caller(host, account, "g1")).collect(),
            writes,
            broken,
            rng: StdRng::seed_from_u64(number as u64),
            token: None,
            last_booking: None,
        }
    }

    /// Writes bookings until `stop` is set.
    pub async fn run(mut self, stop: Arc<AtomicBool>) {
        let mut count = 0;
        let mut client: Option<(usize, Client)> = None;
        while !stop.load(Ordering::Relaxed) {
            let host = match &client {
                Some((host, _)) if self.rng.random_bool(0.8) => *host,
                _ => self.rng.random_range(0..self.configs.len()),
            };
            if client.as_ref().is_none_or(|(at, c)| *at != host || c.is_closed()) {
                client = self.connect(host).await.map(|c| (host, c));
            }
            let Some((_, connected)) = &client else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            count += 1;
            if !self.write_booking(connected, count).await {
                client = None;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Connects to a host and restores the session by its token.
    async fn connect(&self, host: usize) -> Option<Client> {
        let connect = system::connect(&self.configs[host]);
        let client = tokio::time::timeout(Duration::from_secs(2), connect).await.ok()?.ok()?;
        if let Some(token) = &self.token {
            let set = format!("SET bergamottrack.session = '{token}'");
            let set = client.simple_query(&set);
            tokio::time::timeout(Duration::from_secs(2), set).await.ok()?.ok()?;
        }
        Some(client)
    }

    /// Checks the previous booking and writes another one. Returns whether the connection is to be
    /// used further.
    async fn write_booking(&mut self, client: &Client, count: usize) -> bool {
        if self.check_last_booking(client).await == Some(false) {
            return false;
        }
        let id = format!("w{}-{count}", self.number);
        let with_request_id = self.rng.random_bool(0.5);
        if with_request_id {
            let set = client.batch_execute(&format!("SET bergamottrack.request = '{id}'")).await;
            if set.is_err() {
                return false;
            }
        }
        let result = match self.rng.random_bool(0.5) {
            true => self.autocommit(client, &id).await,
            false => self.transaction(client, &id).await,
        };
        let status = result.as_ref().map_or_else(|answer| status(answer), |()| WriteStatus::Done);
        let answer = result.err().unwrap_or_default();
        self.writes.lock().expect("not poisoned").push(WriteResult {
            id: id.clone(),
            with_request_id,
            status,
            answer,
        });
        if status == WriteStatus::Done {
            self.last_booking = Some(id);
            self.refresh_token(client).await;
        }
        status == WriteStatus::Done
    }

    /// Writes the booking as a single statement.
    async fn autocommit(&self, client: &Client, id: &str) -> Result<(), String> {
        let sql = format!("INSERT INTO booking VALUES ('{id}', {})", self.number);
        with_timeout(client.batch_execute(&sql)).await
    }

    /// Writes the booking and moves an amount from one side to the other, in one transaction.
    async fn transaction(&self, client: &Client, id: &str) -> Result<(), String> {
        let n = self.number;
        let steps = [
            "BEGIN".to_owned(),
            format!("INSERT INTO booking VALUES ('{id}', {n})"),
            format!("INSERT INTO pair VALUES ({n}, '{id}-left', 1)"),
            format!("INSERT INTO pair VALUES ({n}, '{id}-right', -1)"),
        ];
        for sql in &steps {
            // An error before `COMMIT` is sent guarantees that nothing is kept.
            let result = with_timeout(client.batch_execute(sql)).await;
            result.map_err(|answer| format!("before commit: {answer}"))?;
        }
        with_timeout(client.batch_execute("COMMIT")).await
    }

    /// Returns whether a read shows the last booking; `None` if there is none or the read failed.
    async fn check_last_booking(&self, client: &Client) -> Option<bool> {
        let last_booking = self.last_booking.as_ref()?;
        let sql = format!("SELECT id FROM booking WHERE id = '{last_booking}'");
        let read = tokio::time::timeout(ANSWER_TIMEOUT, system::rows(client, &sql)).await;
        let rows = read.ok()?.ok()?;
        if rows.len() != 1 {
            let story =
                format!("{last_booking} was told done; the same session then reads {rows:?}");
            self.broken.lock().expect("not poisoned").push(story);
            return Some(false);
        }
        Some(true)
    }

    /// Reads the session token for use on other connections.
    async fn refresh_token(&mut self, client: &Client) {
        let show = system::rows(client, "SHOW bergamottrack.session");
        if let Ok(Ok(rows)) = tokio::time::timeout(ANSWER_TIMEOUT, show).await {
            self.token = rows.into_iter().next().filter(|token| !token.is_empty());
        } else {
            // Without its token the session guarantees nothing: start a new one.
            (self.token, self.last_booking) = (None, None);
        }
    }
}

/// Runs a statement within [`ANSWER_TIMEOUT`]. Returns the error's text on failure.
async fn with_timeout(
    run: impl Future<Output = Result<(), tokio_postgres::Error>>,
) -> Result<(), String> {
    match tokio::time::timeout(ANSWER_TIMEOUT, run).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(error.as_db_error().map_or_else(|| error.to_string(), describe)),
        Err(_) => Err("no answer".into()),
    }
}

/// Returns the code, detail and message of an error.
fn describe(error: &DbError) -> String {
    let detail = error.detail().unwrap_or("no detail");
    format!("{} [{detail}] {}", error.code().code(), error.message())
}

/// Derives the outcome of a write from the text of an error. It is unknown unless the text states
/// it.
fn status(answer: &str) -> WriteStatus {
    match answer {
        _ if answer.starts_with("before commit") => WriteStatus::NotRun,
        _ if answer.contains("[not run]") => WriteStatus::NotRun,
        _ if answer.contains("[done]") => WriteStatus::Done,
        _ => WriteStatus::Unknown,
    }
}
