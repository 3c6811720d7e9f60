//! Transactions that lose their server connection, or whose slots are held by waiting statements.

use lab::system::{self, Plan, System};
use tokio_postgres::{Client, error::SqlState};

async fn start() -> (System, Client) {
    let system = System::start(Plan { links: true, ..Plan::default() }).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
    (system, client)
}

fn code(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("none", SqlState::code)
}

/// Guards against a transaction that is stored in part: a driver sends its statements without
/// waiting for answers, the connection to the server is lost, and the session, idle again at once,
/// runs the remaining statements outside of a transaction.
#[tokio::test]
async fn statements_after_a_lost_connection_in_a_transaction_do_not_run() {
    let (system, client) = start().await;
    let insert = client.prepare("INSERT INTO visit VALUES ($1)").await.unwrap();
    client.simple_query("BEGIN").await.unwrap();
    client.execute(&insert, &[&1]).await.unwrap();
    system.reset("h*>*").await.unwrap();
    let (second, third, fourth, end) = tokio::join!(
        client.simple_query("INSERT INTO visit VALUES (2)"),
        client.execute(&insert, &[&3]),
        client.simple_query("INSERT INTO visit VALUES (4)"),
        client.simple_query("COMMIT"),
    );
    second.unwrap_err();
    assert_eq!(code(&third.unwrap_err()), "25P02");
    assert_eq!(code(&fourth.unwrap_err()), "25P02");
    end.unwrap();
    let reader = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&reader, "SELECT id FROM visit").await.unwrap();
    let rows = system::rows(&reader, "SELECT id FROM visit").await.unwrap();
    assert!(rows.is_empty(), "half of a transaction is stored: {rows:?}");
    system::run_until_ok(&client, "INSERT INTO visit VALUES (5)").await.unwrap();
}

/// Guards against a deadlock between slots and locks: eight callers that wait for the lock of an
/// open transaction hold all slots of the primary, so that the next statement of the transaction
/// gets none. All waited until their deadlines, and under load again after that.
#[tokio::test]
async fn a_transaction_continues_while_all_slots_wait_for_its_lock() {
    let system = System::start(Plan::default()).await.unwrap();
    let owner = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&owner, "CREATE TABLE IF NOT EXISTS hold (id TEXT)").await.unwrap();
    owner.batch_execute("BEGIN").await.unwrap();
    owner.batch_execute("INSERT INTO hold VALUES ('first')").await.unwrap();
    let mut blocked = Vec::new();
    for i in 0..8 {
        let client = system.connect(i % 3, "hartwell", "g1").await.unwrap();
        let sql = format!("INSERT INTO hold VALUES ('w{i}')");
        blocked.push(tokio::spawn(async move { client.batch_execute(&sql).await }));
    }
    // Longer than an open transaction keeps its slot, so that the other callers take all slots and
    // wait for the lock.
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    owner.batch_execute("INSERT INTO hold VALUES ('second')").await.unwrap();
    owner.batch_execute("COMMIT").await.unwrap();
    for task in blocked {
        task.await.unwrap().unwrap();
    }
    let count = system::rows(&owner, "SELECT count(*) FROM hold").await.unwrap();
    assert_eq!(count, ["10"]);
}
