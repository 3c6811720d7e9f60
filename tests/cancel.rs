//! Cancels, in time and late; callers that leave in the middle.

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
    system::until_runs(&client, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
    (system, client)
}

/// Sets a knob of the stand-in that leads.
async fn set(system: &System, name: &str, millis: u64) {
    let server = system.connect_server("g1s1").await.unwrap();
    server.batch_execute(&format!("SET standin.{name} = {millis}")).await.unwrap();
}

fn code(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("none", SqlState::code)
}

/// Cancels what the client runs, again and again until it has ended.
async fn cancelled(client: &Client, sql: &str) -> Result<(), tokio_postgres::Error> {
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

#[tokio::test]
async fn a_running_statement_is_cancelled() {
    let (system, client) = start().await;
    set(&system, "service_ms", 3_000).await;
    let began = Instant::now();
    let error = cancelled(&client, "INSERT INTO visit VALUES (1)").await.unwrap_err();
    assert_eq!(code(&error), "57014");
    assert!(began.elapsed() < Duration::from_secs(3), "the statement ran to its end");
    set(&system, "service_ms", 0).await;
    client.batch_execute("INSERT INTO visit VALUES (2)").await.unwrap();
    assert_eq!(system::rows(&client, "SELECT id FROM visit").await.unwrap(), ["2"]);
}

/// The balancer sends a caller's cancel to another host than its connection.
#[tokio::test]
async fn a_cancel_reaches_its_host_through_another_one() {
    let (system, _client) = start().await;
    let mut caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
    let (pid, secret) = caller.key.unwrap();
    set(&system, "service_ms", 3_000).await;
    caller.send(&Query::new("INSERT INTO visit VALUES (1)".into())).await.unwrap();
    let cancel = async {
        loop {
            let mut cancel = RawCaller::open(&system, 1).await.unwrap();
            cancel.send(&CancelRequest::new(pid, SecretKey::I32(secret))).await.unwrap();
            cancel.is_closed().await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let answer = tokio::select! {
        answer = caller.until_ready() => answer.unwrap(),
        () = cancel => unreachable!(),
    };
    let error = answer.iter().find(|frame| frame.tag == b'E').expect("it ran to its end");
    assert!(String::from_utf8_lossy(error.body()).contains("57014"));
}

/// A caller cancels a statement that is about to end. The cancel reaches the
/// server late, when the connection already runs another caller's transaction,
/// which is ended though nobody wanted that.
#[tokio::test]
async fn a_late_cancel_hits_no_other_transaction() {
    let (system, client) = start().await;
    set(&system, "service_ms", 200).await;
    set(&system, "cancel_ms", 600).await;
    let other = system.connect(1, "hartwell", "g1").await.unwrap();
    // In time or late, the cancelled one may end either way.
    let _ = cancelled(&client, "INSERT INTO visit VALUES (1)").await;
    let until = Instant::now() + Duration::from_millis(1_200);
    while Instant::now() < until {
        other.batch_execute("INSERT INTO visit VALUES (7)").await.unwrap();
    }
}

/// A cancel comes when its caller's statement has just ended. It must not be
/// kept for the next one.
#[tokio::test]
async fn a_cancel_with_nothing_to_cancel_is_dropped() {
    let (system, _client) = start().await;
    let mut caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
    let (pid, secret) = caller.key.unwrap();
    set(&system, "service_ms", 200).await;
    let mut cancel = RawCaller::open(&system, 0).await.unwrap();
    cancel.send(&CancelRequest::new(pid, SecretKey::I32(secret))).await.unwrap();
    // It has been seen to when the host closes the connection.
    assert!(cancel.is_closed().await);
    caller.send(&Query::new("INSERT INTO visit VALUES (1)".into())).await.unwrap();
    let answer = caller.until_ready().await.unwrap();
    assert!(answer.iter().all(|frame| frame.tag != b'E'), "{answer:?}");
}

/// A caller's process is killed in the middle of a transaction that has written.
/// Its place and its locks must be free at once, not when the transaction has
/// stood idle too long, and nothing of it may stay.
#[tokio::test]
async fn a_caller_that_leaves_within_a_transaction_holds_up_nobody() {
    let (system, client) = start().await;
    let leaver = system.connect(1, "hartwell", "g1").await.unwrap();
    leaver.batch_execute("BEGIN; INSERT INTO visit VALUES (1)").await.unwrap();
    // Waits for the other's transaction, for a server runs one write at a time.
    let waiting = tokio::spawn(async move {
        client.batch_execute("INSERT INTO visit VALUES (2)").await.unwrap();
        client
    });
    drop(leaver);
    let client = waiting.await.unwrap();
    assert_eq!(system::rows(&client, "SELECT id FROM visit").await.unwrap(), ["2"]);
}
