//! Isolation of transactions on shared connections when callers, hosts and links fail.

mod ledger;

use futures_util::StreamExt;
use lab::{
    link::Fault,
    system::{self, Plan, System},
};
use tokio_postgres::{Client, SimpleQueryMessage};

/// Starts a system with a table of the parts of transactions.
async fn start(links: bool) -> System {
    // Injected delays must not count as silence of a server.
    let policy = "silence_ms = 3000".to_owned();
    let system = System::start(Plan { links, policy, ..Plan::default() }).await.unwrap();
    for host in 0..system.plan.hosts {
        let client = system.connect(host, "baobab", "g1").await.unwrap();
        let table = "CREATE TABLE IF NOT EXISTS part (owner TEXT, n INTEGER)";
        system::run_until_ok(&client, table).await.unwrap();
    }
    system
}

/// Begins a transaction of two parts and inserts the first.
async fn begin(client: &Client, owner: &str) {
    client.batch_execute("BEGIN").await.unwrap();
    client.batch_execute(&format!("INSERT INTO part VALUES ('{owner}', 1)")).await.unwrap();
}

/// Inserts the second part and commits.
async fn end(client: &Client, owner: &str) {
    client.batch_execute(&format!("INSERT INTO part VALUES ('{owner}', 2)")).await.unwrap();
    client.batch_execute("COMMIT").await.unwrap();
}

/// Returns the parts in the primary's table as `owner|n`, sorted.
async fn parts(system: &System) -> Vec<String> {
    let (primary, _) = ledger::primary(system).await;
    let client = system.connect_server(&primary).await.unwrap();
    system::rows(&client, "SELECT owner, n FROM part ORDER BY owner, n").await.unwrap()
}

/// Runs 12 transactions of other owners to their end, on the connections that are left.
async fn run_other_transactions(system: &System, hosts: &[usize]) {
    for (i, host) in hosts.iter().cycle().take(12).enumerate() {
        let client = system.connect(*host, "baobab", "g1").await.unwrap();
        let owner = format!("other-{i:02}");
        ledger::until("another transaction commits", async || {
            let transaction = async {
                let part = |n| format!("INSERT INTO part VALUES ('{owner}', {n})");
                client.batch_execute("BEGIN").await?;
                client.batch_execute(&part(1)).await?;
                client.batch_execute(&part(2)).await?;
                client.batch_execute("COMMIT").await
            };
            let done = transaction.await.is_ok();
            if !done {
                // Ends the transaction that a failed statement leaves open.
                let _ = client.batch_execute("ROLLBACK").await;
            }
            done
        })
        .await;
    }
}

/// Checks that the other owners have all their parts, each once, and `owner` has none.
async fn assert_no_parts_of(system: &System, owner: &str) {
    let parts = parts(system).await;
    let expected: Vec<_> =
        (0..12).flat_map(|i| (1..=2).map(move |n| format!("other-{i:02}|{n}"))).collect();
    assert_eq!(parts, expected, "{owner} left a part, or other transactions were mixed");
}

/// Guards against statements and locks that pass to the next caller when a caller disconnects
/// within its transaction.
#[tokio::test]
async fn transaction_of_disconnected_caller_is_rolled_back() {
    let system = start(false).await;
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    begin(&client, "dead").await;
    drop(client);
    run_other_transactions(&system, &[0, 1, 2]).await;
    assert_no_parts_of(&system, "dead").await;
}

/// Guards against parts of open transactions that remain when a host is killed. Each host is killed
/// in turn, with a caller's open transaction and, on the group's home, the connections to the
/// servers. The open transaction is rolled back.
#[tokio::test]
async fn open_transactions_of_killed_host_are_rolled_back() {
    for host in 0..3 {
        let mut system = start(false).await;
        let client = system.connect(host, "baobab", "g1").await.unwrap();
        begin(&client, "dead").await;
        system.hosts[host].kill();
        client.batch_execute("COMMIT").await.unwrap_err();
        let alive: Vec<usize> = (0..3).filter(|h| *h != host).collect();
        run_other_transactions(&system, &alive).await;
        assert_no_parts_of(&system, "dead").await;
    }
}

/// Guards against statements that run outside of their transaction. The links between the hosts
/// break within a transaction: its caller gets an error, and its next statement must not run alone.
#[tokio::test]
async fn transaction_over_broken_link_is_rolled_back() {
    let system = start(true).await;
    let mut clients = Vec::new();
    for host in 0..3 {
        let client = system.connect(host, "baobab", "g1").await.unwrap();
        if host == 0 {
            begin(&client, "broken").await;
        }
        clients.push(client);
    }
    system.reset("h*>h*").await.unwrap();
    system.reset("h*>g1s1").await.unwrap();
    let second_part = clients[0].batch_execute("INSERT INTO part VALUES ('broken', 2)").await;
    second_part.unwrap_err();
    let _ = clients[0].batch_execute("COMMIT").await;
    run_other_transactions(&system, &[0, 1, 2]).await;
    assert_no_parts_of(&system, "broken").await;
}

/// Guards against a late answer that reaches another caller: it arrives after its own caller's
/// request has timed out. The next caller gets the answer to its own request.
#[tokio::test]
async fn late_answer_is_not_delivered_to_another_caller() {
    let system = start(true).await;
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    client.batch_execute("SET bergamottrack.deadline = '300ms'").await.unwrap();
    let delay = Fault { delay_ms: 250, ..Fault::default() };
    for round in 0..5 {
        system.fault("h*>g1s*", delay.clone()).await.unwrap();
        let late_sql = format!("SELECT 'late-{round}'");
        let _ = client.simple_query(&late_sql).await;
        system.mend("*").await.unwrap();
        for host in 0..3 {
            let other = system.connect(host, "baobab", "g1").await.unwrap();
            let expected = format!("own-{round}-{host}");
            let sql = format!("SELECT '{expected}'");
            ledger::until("a read is answered", async || match system::rows(&other, &sql).await {
                Ok(rows) => {
                    assert_eq!(rows, std::slice::from_ref(&expected));
                    true
                }
                Err(_) => false,
            })
            .await;
        }
    }
}

/// Guards against truncated answers that look complete: a link breaks in the middle of a large
/// answer, and the caller must get an error after the rows that it has received.
#[tokio::test]
async fn answer_truncated_by_broken_link_ends_in_an_error() {
    const ROWS: usize = 30_000;
    let system = start(true).await;
    let numbers = "WITH RECURSIVE c(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM c WHERE n <";
    let sql = format!("{numbers} {ROWS}) SELECT n, '{}' FROM c", "x".repeat(100));
    for links in ["h*>h*", "h*>g1s*"] {
        let mut truncated = 0;
        for host in 0..3 {
            let client = system.connect(host, "baobab", "g1").await.unwrap();
            system::run_until_ok(&client, "SELECT 1").await.unwrap();
            let slow = Fault { bytes_per_sec: 2_000_000, ..Fault::default() };
            system.fault(links, slow).await.unwrap();
            let mut rows = 0;
            let mut messages = Box::pin(client.simple_query_raw(&sql).await.unwrap());
            let failed = loop {
                match messages.next().await {
                    Some(Ok(SimpleQueryMessage::Row(_))) => rows += 1,
                    Some(Ok(_)) => {}
                    Some(Err(_)) => break true,
                    None => break false,
                }
                if rows == 100 {
                    system.reset(links).await.unwrap();
                }
            };
            assert!(failed || rows == ROWS, "an answer of {rows} rows ended without an error");
            truncated += usize::from(failed);
            system.mend("*").await.unwrap();
            // A host whose link to the home is down serves by itself: no answer would be truncated.
            system.await_members().await.unwrap();
        }
        assert!(truncated > 0, "no answer was truncated by breaking {links}");
    }
}

/// Guards against mixed statements when many transactions are open at the same time, through all
/// hosts and on few connections: each commits its own parts.
#[tokio::test]
async fn concurrent_transactions_commit_their_own_parts_only() {
    let system = start(false).await;
    let mut clients = Vec::new();
    for i in 0..6 {
        clients.push(system.connect(i % 3, "baobab", "g1").await.unwrap());
    }
    for round in 0..5 {
        // The stand-in lets one transaction write at a time, so the others are opened by reads.
        for client in &clients[1..] {
            client.batch_execute("BEGIN").await.unwrap();
            client.simple_query("SELECT count(*) FROM part").await.unwrap();
        }
        let owner = format!("owner-{round}");
        begin(&clients[0], &owner).await;
        for client in &clients[1..] {
            client.batch_execute("ROLLBACK").await.unwrap();
        }
        end(&clients[0], &owner).await;
    }
    let expected: Vec<_> =
        (0..5).flat_map(|round| (1..=2).map(move |n| format!("owner-{round}|{n}"))).collect();
    assert_eq!(parts(&system).await, expected);
}
