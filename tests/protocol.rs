//! Protocol messages that the drivers used in the tests do not send, sent one by one.

use bergamottrack_pg::frame;
use lab::{
    raw::RawCaller,
    system::{self, Plan, System},
};
use pgwire::messages::{
    extendedquery::{Bind, Describe, Execute, Flush, Parse, Sync},
    simplequery::Query,
};

async fn start() -> (System, RawCaller) {
    let system = System::start(Plan::default()).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
    let caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
    (system, caller)
}

fn parse(name: &str, sql: &str) -> Parse {
    Parse::new(Some(name.into()), sql.into(), vec![])
}

fn bind(name: &str) -> Bind {
    Bind::new(None, Some(name.into()), vec![], vec![], vec![])
}

/// A driver requests the description of a statement with a Flush and waits for it before it
/// continues the batch. Guards against a Flush without an answer, after which both sides would
/// wait indefinitely.
#[tokio::test]
async fn a_flush_after_a_description_is_answered_before_the_sync() {
    let (_system, mut caller) = start().await;
    caller.send(&parse("s", "SELECT id FROM visit")).await.unwrap();
    caller.send(&Describe::new(b'S', Some("s".into()))).await.unwrap();
    caller.send(&Flush::new()).await.unwrap();
    assert_eq!(caller.tags(3).await.unwrap(), "1tT");
    caller.send(&bind("s")).await.unwrap();
    caller.send(&Execute::new(None, 0)).await.unwrap();
    caller.send(&Sync::new()).await.unwrap();
    assert_eq!(caller.tags(3).await.unwrap(), "2CZ");
}

/// A caller executes a statement, requests its answer by a Flush and may still fail the batch,
/// which would undo the statement. That is not supported outside of a transaction. Guards against
/// a statement that is refused but has run.
#[tokio::test]
async fn a_flush_after_a_statement_outside_a_transaction_is_refused_and_not_run() {
    let (_system, mut caller) = start().await;
    send_batch(&mut caller, "INSERT INTO visit VALUES (1)").await;
    caller.send(&Flush::new()).await.unwrap();
    let error = caller.next().await.unwrap();
    assert!(String::from_utf8_lossy(error.body()).contains("0A000"), "{error:?}");
    caller.send(&Execute::new(None, 0)).await.unwrap();
    caller.send(&Sync::new()).await.unwrap();
    assert_eq!(caller.tags(1).await.unwrap(), "Z");
    send_batch(&mut caller, "SELECT id FROM visit").await;
    caller.send(&Sync::new()).await.unwrap();
    assert_eq!(caller.tags(4).await.unwrap(), "12CZ");
}

/// Guards against a Flush after a statement that is refused within a transaction too, and against
/// messages other than the error between a failure and the Sync.
#[tokio::test]
async fn a_flush_after_a_statement_within_a_transaction_is_answered() {
    let (_system, mut caller) = start().await;
    send_batch(&mut caller, "BEGIN").await;
    caller.send(&Sync::new()).await.unwrap();
    assert_eq!(caller.tags(4).await.unwrap(), "12CZ");
    send_batch(&mut caller, "INSERT INTO visit VALUES (7)").await;
    caller.send(&Flush::new()).await.unwrap();
    assert_eq!(caller.tags(3).await.unwrap(), "12C");
    send_batch(&mut caller, "SELECT id FROM visit").await;
    caller.send(&Flush::new()).await.unwrap();
    assert_eq!(caller.tags(4).await.unwrap(), "12DC");
    caller.send(&bind("never prepared")).await.unwrap();
    caller.send(&Flush::new()).await.unwrap();
    assert_eq!(caller.tags(1).await.unwrap(), "E");
    send_batch(&mut caller, "SELECT id FROM visit").await;
    caller.send(&Sync::new()).await.unwrap();
    assert_eq!(caller.tags(1).await.unwrap(), "Z");
    send_batch(&mut caller, "ROLLBACK").await;
    caller.send(&Sync::new()).await.unwrap();
    assert_eq!(caller.tags(4).await.unwrap(), "12CZ");
}

/// A driver sends a whole transaction without waiting. Its BEGIN is refused because the account
/// is over its rate, and a moment later a token is available again. Guards against the following
/// statements running outside of a transaction.
#[tokio::test]
async fn statements_pipelined_behind_a_refused_begin_do_not_run() {
    let accounts = vec![("baobab".into(), 1000.0, 1000.0), ("hartwell".into(), 0.001, 3.0)];
    let system = System::start(Plan { hosts: 1, accounts, ..Plan::default() }).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
    let mut caller = RawCaller::login(&system, 0, "hartwell").await.unwrap();
    let query = |sql: &str| frame::bytes(&Query::new(sql.into()));
    // Repeats until the burst is used up and a BEGIN is refused.
    let refused = loop {
        caller.writer.send(&query("BEGIN")).await.unwrap();
        let answer = caller.until_ready().await.unwrap();
        if answer.iter().any(|frame| frame.tag == b'E') {
            break answer;
        }
        caller.writer.send(&query("COMMIT")).await.unwrap();
        caller.until_ready().await.unwrap();
    };
    // Nothing was sent behind the refused BEGIN, so the session does not enter the failed state.
    assert_eq!(refused.last().unwrap().body(), b"I");
    let pipelined = ["BEGIN", "INSERT INTO visit VALUES (1)", "COMMIT"].map(query);
    caller.writer.send(&pipelined.concat()).await.unwrap();
    let mut states = Vec::new();
    for _ in 0..3 {
        let answer = caller.until_ready().await.unwrap();
        states.extend_from_slice(answer.last().unwrap().body());
    }
    assert_eq!(states, b"EEI");
}

async fn send_batch(caller: &mut RawCaller, sql: &str) {
    caller.send(&parse("", sql)).await.unwrap();
    caller.send(&bind("")).await.unwrap();
    caller.send(&Execute::new(None, 0)).await.unwrap();
}
