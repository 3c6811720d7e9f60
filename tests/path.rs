//! The whole path, as separate processes.

use std::time::{Duration, Instant};

use lab::system::{PATIENCE, Plan, System};

async fn until_runs(client: &tokio_postgres::Client, sql: &str) {
    let deadline = Instant::now() + PATIENCE;
    loop {
        match client.simple_query(sql).await {
            Ok(_) => return,
            Err(error) if Instant::now() > deadline => panic!("{sql}: {error:?}"),
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// A booking goes in through one host and is read back through another, by way
/// of the group's home and a backend server.
#[tokio::test]
async fn a_write_and_its_read_are_served_end_to_end() {
    let system = System::start(Plan::default()).await.unwrap();
    let writer = system.await_connect(0, "baobab", "g1").await.unwrap();
    until_runs(&writer, "CREATE TABLE IF NOT EXISTS booking (id TEXT, day TEXT)").await;
    writer.simple_query("INSERT INTO booking VALUES ('b1', 'monday')").await.unwrap();
    for host in 0..3 {
        let reader = system.await_connect(host, "baobab", "g1").await.unwrap();
        let rows = reader.simple_query("SELECT day FROM booking WHERE id = 'b1'").await.unwrap();
        let days: Vec<_> = rows
            .iter()
            .filter_map(|m| match m {
                tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
                _ => None,
            })
            .collect();
        assert_eq!(days, ["monday"], "through host {host}");
    }
}
