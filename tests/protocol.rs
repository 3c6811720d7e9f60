//! Messages that no driver of the tests sends, one by one.

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

/// A driver asks for the description of a statement with a Flush and waits for
/// it before it goes on: without an answer both sides would wait for ever.
#[tokio::test]
async fn a_flush_is_answered_before_the_end_of_the_batch() {
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

/// A caller has a statement run, asks for its answer by a Flush and may still
/// fail the batch, which would undo the statement. That cannot be carried
/// outside of a transaction, and nothing of it may have run.
#[tokio::test]
async fn a_flush_after_a_statement_outside_a_transaction_is_refused_and_not_run() {
    let (_system, mut caller) = start().await;
    run(&mut caller, "INSERT INTO visit VALUES (1)").await;
    caller.send(&Flush::new()).await.unwrap();
    let error = caller.next().await.unwrap();
    assert!(String::from_utf8_lossy(error.body()).contains("0A000"), "{error:?}");
    caller.send(&Execute::new(None, 0)).await.unwrap();
    caller.send(&Sync::new()).await.unwrap();
    assert_eq!(caller.tags(1).await.unwrap(), "Z");
    run(&mut caller, "SELECT id FROM visit").await;
    caller.send(&Sync::new()).await.unwrap();
    assert_eq!(caller.tags(4).await.unwrap(), "12CZ");
}

/// The same within a transaction is served, and after an error there is no
/// answer but the error up to the Sync.
#[tokio::test]
async fn a_flush_within_a_transaction_is_served() {
    let (_system, mut caller) = start().await;
    run(&mut caller, "BEGIN").await;
    caller.send(&Sync::new()).await.unwrap();
    assert_eq!(caller.tags(4).await.unwrap(), "12CZ");
    run(&mut caller, "INSERT INTO visit VALUES (7)").await;
    caller.send(&Flush::new()).await.unwrap();
    assert_eq!(caller.tags(3).await.unwrap(), "12C");
    run(&mut caller, "SELECT id FROM visit").await;
    caller.send(&Flush::new()).await.unwrap();
    assert_eq!(caller.tags(4).await.unwrap(), "12DC");
    caller.send(&bind("never prepared")).await.unwrap();
    caller.send(&Flush::new()).await.unwrap();
    assert_eq!(caller.tags(1).await.unwrap(), "E");
    run(&mut caller, "SELECT id FROM visit").await;
    caller.send(&Sync::new()).await.unwrap();
    assert_eq!(caller.tags(1).await.unwrap(), "Z");
    run(&mut caller, "ROLLBACK").await;
    caller.send(&Sync::new()).await.unwrap();
    assert_eq!(caller.tags(4).await.unwrap(), "12CZ");
}

/// A driver sends a whole transaction without waiting. Its BEGIN is refused, for
/// the account is over its rate, and a moment later there is a token again: the
/// statements behind it must not run outside of the transaction.
#[tokio::test]
async fn what_is_sent_behind_a_refused_begin_does_not_run() {
    let accounts = vec![("baobab".into(), 1000.0, 1000.0), ("hartwell".into(), 0.001, 3.0)];
    let system = System::start(Plan { hosts: 1, accounts, ..Plan::default() }).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
    let mut caller = RawCaller::login(&system, 0, "hartwell").await.unwrap();
    let query = |sql: &str| frame::bytes(&Query::new(sql.into()));
    // Until the burst is used up.
    let alone = loop {
        caller.writer.send(&query("BEGIN")).await.unwrap();
        let answer = caller.until_ready().await.unwrap();
        if answer.iter().any(|frame| frame.tag == b'E') {
            break answer;
        }
        caller.writer.send(&query("COMMIT")).await.unwrap();
        caller.until_ready().await.unwrap();
    };
    // Nothing was sent behind it, so there is nothing to guard.
    assert_eq!(alone.last().unwrap().body(), b"I");
    let ahead = ["BEGIN", "INSERT INTO visit VALUES (1)", "COMMIT"].map(query);
    caller.writer.send(&ahead.concat()).await.unwrap();
    let mut states = Vec::new();
    for _ in 0..3 {
        let answer = caller.until_ready().await.unwrap();
        states.extend_from_slice(answer.last().unwrap().body());
    }
    assert_eq!(states, b"EEI");
}

async fn run(caller: &mut RawCaller, sql: &str) {
    caller.send(&parse("", sql)).await.unwrap();
    caller.send(&bind("")).await.unwrap();
    caller.send(&Execute::new(None, 0)).await.unwrap();
}
