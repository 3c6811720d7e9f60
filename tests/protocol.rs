//! Messages that no driver of the tests sends, one by one.

use lab::{
    raw::RawCaller,
    system::{self, Plan, System},
};
use pgwire::messages::extendedquery::{Bind, Describe, Execute, Flush, Parse, Sync};

async fn start() -> (System, RawCaller) {
    let system = System::start(Plan::default()).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::until_runs(&client, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
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

async fn run(caller: &mut RawCaller, sql: &str) {
    caller.send(&parse("", sql)).await.unwrap();
    caller.send(&bind("")).await.unwrap();
    caller.send(&Execute::new(None, 0)).await.unwrap();
}
