//! Cancel requests that arrive in time or late, and callers that disconnect within a transaction.

use std::time::{Duration, Instant};

use lab::{
    raw::RawCaller,
    system::{self, Plan, System},
};
use pgwire::messages::{cancel::CancelRequest, simplequery::Query, startup::SecretKey};
use tokio_postgres::{Client, NoTls, error::SqlState};

async fn start() -> (System, Client) {
    let plan = Plan { groups: 1, hosts: 2, ..Plan::default() };
    let system = System::start(plan).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
    (system, client)
}

/// Sets a delay of the stand-in primary, in milliseconds.
async fn set_delay(system: &System, name: &str, ms: u64) {
    let server = system.connect_server("g1s1").await.unwrap();
    server.batch_execute(&format!("SET standin.{name} = {ms}")).await.unwrap();
}

/// Returns the SQLSTATE of an error, or `none`.
fn code(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("none", SqlState::code)
}

/// Runs a statement and sends cancel requests for it, every 20 ms, until it ends.
async fn run_cancelled(client: &Client, sql: &str) -> Result<(), tokio_postgres::Error> {
    let token = client.cancel_token();
    let cancel = async {
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            token.cancel_query(NoTls).await.unwrap();
        }
    };
    tokio::select! {
        result = client.batch_execute(sql) => result,
        () = cancel => unreachable!(),
    }
}

/// Guards against cancel requests without effect: the statement would run for 3 s and insert its
/// row.
#[tokio::test]
async fn cancel_request_ends_running_statement() {
    let (system, client) = start().await;
    set_delay(&system, "service_ms", 3_000).await;
    let start = Instant::now();
    let error = run_cancelled(&client, "INSERT INTO visit VALUES (1)").await.unwrap_err();
    assert_eq!(code(&error), "57014");
    assert!(start.elapsed() < Duration::from_secs(3), "the statement ran to its end");
    set_delay(&system, "service_ms", 0).await;
    client.batch_execute("INSERT INTO visit VALUES (2)").await.unwrap();
    assert_eq!(system::rows(&client, "SELECT id FROM visit").await.unwrap(), ["2"]);
}

/// Guards against lost cancel requests: the load balancer may send a caller's cancel request to
/// another host than the one that has its connection.
#[tokio::test]
async fn cancel_request_sent_to_another_host_ends_the_statement() {
    let (system, _client) = start().await;
    let mut caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
    let (pid, secret) = caller.key.unwrap();
    set_delay(&system, "service_ms", 3_000).await;
    caller.send(&Query::new("INSERT INTO visit VALUES (1)".into())).await.unwrap();
    let cancel = async {
        loop {
            let mut cancel = RawCaller::open(&system, 1).await.unwrap();
            cancel.send(&CancelRequest::new(pid, SecretKey::I32(secret))).await.unwrap();
            cancel.is_closed().await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let response = tokio::select! {
        response = caller.until_ready() => response.unwrap(),
        () = cancel => unreachable!(),
    };
    let error =
        response.iter().find(|frame| frame.tag == b'E').expect("the statement ran to its end");
    assert!(String::from_utf8_lossy(error.body()).contains("57014"));
}

/// Guards against the cancellation of another caller's transaction. A caller cancels a statement
/// that is about to end; the cancel request reaches the server late, when the connection already
/// runs a transaction of another caller.
#[tokio::test]
async fn late_cancel_request_ends_no_other_transaction() {
    let (system, client) = start().await;
    set_delay(&system, "service_ms", 200).await;
    set_delay(&system, "cancel_ms", 600).await;
    let other = system.connect(1, "hartwell", "g1").await.unwrap();
    // The cancel request may arrive in time or late, so either result is valid.
    let _ = run_cancelled(&client, "INSERT INTO visit VALUES (1)").await;
    let deadline = Instant::now() + Duration::from_millis(1_200);
    while Instant::now() < deadline {
        other.batch_execute("INSERT INTO visit VALUES (7)").await.unwrap();
    }
}

/// Guards against the cancellation of a caller's next statement: a cancel request that arrives when
/// the statement has just ended must not be kept.
#[tokio::test]
async fn cancel_request_without_running_statement_is_dropped() {
    let (system, _client) = start().await;
    let mut caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
    let (pid, secret) = caller.key.unwrap();
    set_delay(&system, "service_ms", 200).await;
    let mut cancel = RawCaller::open(&system, 0).await.unwrap();
    cancel.send(&CancelRequest::new(pid, SecretKey::I32(secret))).await.unwrap();
    // The host closes the connection once it has handled the cancel request.
    assert!(cancel.is_closed().await);
    caller.send(&Query::new("INSERT INTO visit VALUES (1)".into())).await.unwrap();
    let response = caller.until_ready().await.unwrap();
    assert!(response.iter().all(|frame| frame.tag != b'E'), "{response:?}");
}

/// Guards against slots and locks held by a caller that is gone. Its process is killed within a
/// transaction that has written: slot and locks must be free at once, not only after the idle
/// timeout of the transaction, and none of its writes may remain.
#[tokio::test]
async fn disconnect_within_transaction_blocks_no_other_caller() {
    let (system, client) = start().await;
    let disconnected = system.connect(1, "hartwell", "g1").await.unwrap();
    disconnected.batch_execute("BEGIN; INSERT INTO visit VALUES (1)").await.unwrap();
    // Waits for the open transaction, because a server runs one write at a time.
    let waiting = tokio::spawn(async move {
        client.batch_execute("INSERT INTO visit VALUES (2)").await.unwrap();
        client
    });
    drop(disconnected);
    let client = waiting.await.unwrap();
    assert_eq!(system::rows(&client, "SELECT id FROM visit").await.unwrap(), ["2"]);
}
