//! Statements of different transactions never mix, whoever dies in the middle.

mod ledger;

use futures_util::StreamExt;
use lab::{
    link::Fault,
    system::{self, Plan, System},
};
use tokio_postgres::{Client, SimpleQueryMessage};

async fn start(links: bool) -> System {
    // Delays must not look like silence.
    let policy = "silence_ms = 3000".to_owned();
    let system = System::start(Plan { links, policy, ..Plan::default() }).await.unwrap();
    for host in 0..system.plan.hosts {
        let client = system.connect(host, "baobab", "g1").await.unwrap();
        let table = "CREATE TABLE IF NOT EXISTS part (owner TEXT, n INTEGER)";
        system::until_runs(&client, table).await.unwrap();
    }
    system
}

/// Begins a transaction of two parts and sends the first.
async fn begin(client: &Client, owner: &str) {
    client.batch_execute("BEGIN").await.unwrap();
    client.batch_execute(&format!("INSERT INTO part VALUES ('{owner}', 1)")).await.unwrap();
}

/// Sends the second part and commits.
async fn end(client: &Client, owner: &str) {
    client.batch_execute(&format!("INSERT INTO part VALUES ('{owner}', 2)")).await.unwrap();
    client.batch_execute("COMMIT").await.unwrap();
}

/// The parts of each owner in the primary's table.
async fn parts(system: &System) -> Vec<String> {
    let (primary, _) = ledger::primary(system).await;
    let client = system.connect_server(&primary).await.unwrap();
    system::rows(&client, "SELECT owner, n FROM part ORDER BY owner, n").await.unwrap()
}

/// Runs whole transactions of others, which get the connections that are left.
async fn run_others(system: &System, hosts: &[usize]) {
    for (i, host) in hosts.iter().cycle().take(12).enumerate() {
        let client = system.connect(*host, "baobab", "g1").await.unwrap();
        let owner = format!("other-{i:02}");
        ledger::until("another transaction runs", async || {
            let whole = async {
                let part = |n| format!("INSERT INTO part VALUES ('{owner}', {n})");
                client.batch_execute("BEGIN").await?;
                client.batch_execute(&part(1)).await?;
                client.batch_execute(&part(2)).await?;
                client.batch_execute("COMMIT").await
            };
            let done = whole.await.is_ok();
            if !done {
                // Ends what a failed statement leaves open.
                let _ = client.batch_execute("ROLLBACK").await;
            }
            done
        })
        .await;
    }
}

/// Others have all their parts, each once; of `owner` there is nothing.
async fn check_nothing_of(system: &System, owner: &str) {
    let parts = parts(system).await;
    let others: Vec<_> =
        (0..12).flat_map(|i| (1..=2).map(move |n| format!("other-{i:02}|{n}"))).collect();
    assert_eq!(parts, others, "{owner} left something, or others mixed");
}

/// A caller dies within its transaction. The next one gets neither its
/// statements nor its locks.
#[tokio::test]
async fn a_caller_that_dies_leaves_nothing() {
    let system = start(false).await;
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    begin(&client, "dead").await;
    drop(client);
    run_others(&system, &[0, 1, 2]).await;
    check_nothing_of(&system, "dead").await;
}

/// Hosts die one after another, with open transactions of callers and, on the
/// group's home, the connections to the servers. What was open is rolled back.
#[tokio::test]
async fn a_host_that_dies_leaves_nothing() {
    for host in 0..3 {
        let mut system = start(false).await;
        let client = system.connect(host, "baobab", "g1").await.unwrap();
        begin(&client, "dead").await;
        system.hosts[host].kill();
        client.batch_execute("COMMIT").await.unwrap_err();
        let alive: Vec<usize> = (0..3).filter(|h| *h != host).collect();
        run_others(&system, &alive).await;
        check_nothing_of(&system, "dead").await;
    }
}

/// The links between the hosts break within a transaction. Its caller is told
/// so, and what it sends next does not run outside of the transaction.
#[tokio::test]
async fn a_broken_link_leaves_nothing() {
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
    let second = clients[0].batch_execute("INSERT INTO part VALUES ('broken', 2)").await;
    second.unwrap_err();
    let _ = clients[0].batch_execute("COMMIT").await;
    run_others(&system, &[0, 1, 2]).await;
    check_nothing_of(&system, "broken").await;
}

/// An answer comes late, after its caller has been told that its deadline
/// passed. The next caller gets the answer to its own request.
#[tokio::test]
async fn a_late_answer_reaches_nobody_else() {
    let system = start(true).await;
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    client.batch_execute("SET bergamottrack.deadline = '300ms'").await.unwrap();
    let late = Fault { delay_ms: 250, ..Fault::default() };
    for round in 0..5 {
        system.fault("h*>g1s*", late.clone()).await.unwrap();
        let asked = format!("SELECT 'late-{round}'");
        let _ = client.simple_query(&asked).await;
        system.mend("*").await.unwrap();
        for host in 0..3 {
            let other = system.connect(host, "baobab", "g1").await.unwrap();
            let own = format!("own-{round}-{host}");
            let sql = format!("SELECT '{own}'");
            ledger::until("a read is answered", async || match system::rows(&other, &sql).await {
                Ok(rows) => {
                    assert_eq!(rows, std::slice::from_ref(&own));
                    true
                }
                Err(_) => false,
            })
            .await;
        }
    }
}

/// A link breaks in the middle of a large answer. The caller gets an error
/// after the rows that it has, never an end as if that were all.
#[tokio::test]
async fn an_answer_that_is_cut_short_ends_in_an_error() {
    const ROWS: usize = 30_000;
    let system = start(true).await;
    let numbers = "WITH RECURSIVE c(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM c WHERE n <";
    let sql = format!("{numbers} {ROWS}) SELECT n, '{}' FROM c", "x".repeat(100));
    for links in ["h*>h*", "h*>g1s*"] {
        let mut cut = 0;
        for host in 0..3 {
            let client = system.connect(host, "baobab", "g1").await.unwrap();
            system::until_runs(&client, "SELECT 1").await.unwrap();
            let slow = Fault { bytes_per_sec: 2_000_000, ..Fault::default() };
            system.fault(links, slow).await.unwrap();
            let mut rows = 0;
            let mut answer = Box::pin(client.simple_query_raw(&sql).await.unwrap());
            let failed = loop {
                match answer.next().await {
                    Some(Ok(SimpleQueryMessage::Row(_))) => rows += 1,
                    Some(Ok(_)) => {}
                    Some(Err(_)) => break true,
                    None => break false,
                }
                if rows == 100 {
                    system.reset(links).await.unwrap();
                }
            };
            assert!(failed || rows == ROWS, "{rows} rows looked like all");
            cut += usize::from(failed);
            system.mend("*").await.unwrap();
            // A host whose link to the home is down serves by itself: nothing would be cut.
            system.await_members().await.unwrap();
        }
        assert!(cut > 0, "no answer was cut by breaking {links}");
    }
}

/// Many transactions on few connections, open at the same time through all
/// hosts: each commits its own parts.
#[tokio::test]
async fn open_transactions_keep_apart() {
    let system = start(false).await;
    let mut clients = Vec::new();
    for i in 0..6 {
        clients.push(system.connect(i % 3, "baobab", "g1").await.unwrap());
    }
    for round in 0..5 {
        // The stand-in lets one transaction write at a time; reads keep the rest open.
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
    let whole: Vec<_> =
        (0..5).flat_map(|round| (1..=2).map(move |n| format!("owner-{round}|{n}"))).collect();
    assert_eq!(parts(&system).await, whole);
}
