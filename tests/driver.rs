//! An ordinary driver with its default settings: prepared statements, pipelines, transactions and
//! portals.

use lab::system::{self, Plan, System};
use tokio_postgres::{Client, error::SqlState};

async fn start() -> (System, Client) {
    let system = System::start(Plan::default()).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS visit (id INTEGER, place TEXT)")
        .await
        .unwrap();
    (system, client)
}

/// Returns the SQLSTATE of an error, or `none`.
fn code(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("none", SqlState::code)
}

/// Guards against prepared statements and typed parameters that fail because each execution may use
/// another connection to another server.
#[tokio::test]
async fn typed_queries_and_prepared_statements_work_with_default_settings() {
    let (_system, client) = start().await;
    let insert = client.prepare("INSERT INTO visit (id, place) VALUES ($1, $2)").await.unwrap();
    for (id, place) in [(1, "chapel"), (2, "school"), (3, "farm")] {
        assert_eq!(client.execute(&insert, &[&id, &place]).await.unwrap(), 1);
    }
    // Each execution may use another connection to another server.
    let find = client.prepare("SELECT id, place FROM visit WHERE id = $1").await.unwrap();
    for (id, place) in [(3, "farm"), (1, "chapel")] {
        let row = client.query_one(&find, &[&id]).await.unwrap();
        assert_eq!((row.get::<_, i32>(0), row.get::<_, &str>(1)), (id, place));
    }
    let none = client.query_opt("SELECT id FROM visit WHERE place = $1", &[&"tower"]).await;
    assert!(none.unwrap().is_none());
    let count = client.query_one("SELECT count(*) FROM visit", &[]).await.unwrap();
    assert_eq!(count.get::<_, i64>(0), 3);
    drop((insert, find));
    let missing = client.query("SELECT nothing FROM visit", &[]).await.unwrap_err();
    assert_eq!(code(&missing), "42601");
    assert_eq!(client.execute("", &[]).await.unwrap(), 0);
    client.query_one("SELECT 1", &[]).await.unwrap();
}

/// Guards against transactions that commit or roll back other than the driver requests: by commit,
/// by dropping the transaction, or by a rollback after a failed statement.
#[tokio::test]
async fn driver_transactions_commit_and_roll_back() {
    let (_system, mut client) = start().await;
    let transaction = client.transaction().await.unwrap();
    transaction.execute("INSERT INTO visit VALUES ($1, $2)", &[&1, &"chapel"]).await.unwrap();
    transaction.commit().await.unwrap();

    let transaction = client.transaction().await.unwrap();
    transaction.execute("INSERT INTO visit VALUES ($1, $2)", &[&2, &"school"]).await.unwrap();
    drop(transaction);

    let transaction = client.transaction().await.unwrap();
    transaction.execute("INSERT INTO visit VALUES ($1, $2)", &[&3, &"farm"]).await.unwrap();
    let error = transaction.execute("INSERT INTO nowhere VALUES (1)", &[]).await.unwrap_err();
    assert_eq!(code(&error), "42601");
    let error = transaction.query("SELECT 1", &[]).await.unwrap_err();
    assert_eq!(code(&error), "25P02");
    transaction.rollback().await.unwrap();

    let rows = system::rows(&client, "SELECT place FROM visit").await.unwrap();
    assert_eq!(rows, ["chapel"]);
}

/// Guards against mixed-up answers: a driver sends further statements before it has the answers to
/// the first ones. Each gets its own answer, in order, also when one of them fails.
#[tokio::test]
async fn pipelined_statements_get_their_own_answers_in_order() {
    let (_system, client) = start().await;
    let insert = client.prepare("INSERT INTO visit (id, place) VALUES ($1, $2)").await.unwrap();
    let rows = [(1, "a"), (2, "b"), (3, "c"), (4, "d")];
    let inserts = rows.iter().map(|(id, place)| async {
        let params: [&(dyn tokio_postgres::types::ToSql + Sync); 2] = [id, place];
        client.execute(&insert, &params).await
    });
    let results = futures_util::future::join_all(inserts).await;
    assert!(results.iter().all(|r| matches!(r, Ok(1))), "{results:?}");
    let find = client.prepare("SELECT place FROM visit WHERE id = $1").await.unwrap();
    let (first, failed, last) = tokio::join!(
        async { client.query_one(&find, &[&1]).await },
        async { client.simple_query("SELECT nothing FROM visit").await },
        async { client.query_one(&find, &[&4]).await },
    );
    assert_eq!(first.unwrap().get::<_, &str>(0), "a");
    failed.unwrap_err();
    assert_eq!(last.unwrap().get::<_, &str>(0), "d");
}

/// Guards against lost or repeated rows when a driver fetches a portal in parts and runs other
/// statements in between.
#[tokio::test]
async fn portal_fetched_in_parts_returns_every_row_once() {
    let (_system, mut client) = start().await;
    let values: Vec<String> = (0..10).map(|i| format!("({i}, 'p{i}')")).collect();
    let insert = format!("INSERT INTO visit VALUES {}", values.join(", "));
    client.batch_execute(&insert).await.unwrap();
    let transaction = client.transaction().await.unwrap();
    let sql = "SELECT id FROM visit ORDER BY id";
    let portal = transaction.bind(sql, &[]).await.unwrap();
    let mut seen = Vec::new();
    loop {
        let rows = transaction.query_portal(&portal, 4).await.unwrap();
        seen.extend(rows.iter().map(|row| row.get::<_, i32>(0)));
        // Other statements between two fetches do not change the portal.
        transaction.query_one("SELECT count(*) FROM visit", &[]).await.unwrap();
        if rows.len() < 4 {
            break;
        }
    }
    assert_eq!(seen, (0..10).collect::<Vec<i32>>());
    transaction.commit().await.unwrap();
}
