//! A planned stop of a host interrupts no request.

use std::{sync::Arc, time::Duration};

use lab::{
    raw::RawCaller,
    system::{self, Plan, System},
};
use tokio::sync::Mutex;
use tokio_postgres::Client;

/// Longer than it takes a host that joined to get its part of the account's rate.
const PART_DELAY: Duration = Duration::from_secs(5);

/// Returns a plan with rate limits out of reach, since callers here insert without a pause.
fn plan(groups: usize) -> Plan {
    Plan { groups, accounts: vec![("baobab".into(), 1e6, 1e6)], ..Plan::default() }
}

async fn start() -> (System, Client) {
    let system = System::start(plan(1)).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
    (system, client)
}

/// Results of a caller's inserts.
#[derive(Default)]
struct Results {
    done: Vec<i32>,
    /// SQLSTATE and detail of the error that ended the inserts, if the server sent one.
    error: Option<(String, String)>,
    ended: bool,
}

/// Inserts one number after another, in a separate task, until one fails.
fn insert(client: Client, first: i32) -> Arc<Mutex<Results>> {
    let results = Arc::new(Mutex::new(Results::default()));
    let shared = results.clone();
    tokio::spawn(async move {
        for id in first.. {
            let sql = format!("INSERT INTO visit VALUES ({id})");
            match client.simple_query(&sql).await {
                Ok(_) => shared.lock().await.done.push(id),
                Err(error) => {
                    let mut results = shared.lock().await;
                    results.error = error.as_db_error().map(|e| {
                        (e.code().code().to_owned(), e.detail().unwrap_or_default().to_owned())
                    });
                    results.ended = true;
                    return;
                }
            }
        }
    });
    results
}

/// Waits until a condition holds.
async fn until(mut holds: impl AsyncFnMut() -> bool) {
    let deadline = std::time::Instant::now() + system::WAIT_TIMEOUT;
    while !holds().await {
        assert!(std::time::Instant::now() < deadline, "timed out waiting for a condition");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn until_stopped(system: &mut System, host: usize) -> Option<i32> {
    until(async || !system.hosts[host].is_running()).await;
    system.hosts[host].wait().unwrap()
}

async fn stored_numbers(client: &Client) -> Vec<i32> {
    system::run_until_ok(client, "SELECT id FROM visit").await.unwrap();
    let rows = system::rows(client, "SELECT id FROM visit ORDER BY id").await.unwrap();
    rows.iter().map(|row| row.parse().unwrap()).collect()
}

/// A host is stopped while callers insert without a pause and one has an open transaction. Guards
/// against inserts whose result is never or wrongly reported, and against a transaction that
/// cannot commit.
#[tokio::test]
async fn callers_of_a_stopped_host_get_the_results_of_all_statements() {
    let (mut system, first) = start().await;
    // No write yet: the stand-in permits writes in one transaction at a time.
    first.batch_execute("BEGIN").await.unwrap();
    let mut callers = Vec::new();
    for i in 1..=4 {
        let client = system.connect(0, "baobab", "g1").await.unwrap();
        callers.push(insert(client, i * 100_000));
    }
    for caller in &callers {
        until(async || caller.lock().await.done.len() > 3).await;
    }
    system.hosts[0].signal(libc::SIGTERM).unwrap();
    for caller in &callers {
        until(async || caller.lock().await.ended).await;
        let caller = caller.lock().await;
        if let Some((code, detail)) = &caller.error {
            assert_eq!((&**code, &**detail), ("57P01", "not run"));
        }
    }
    first.batch_execute("INSERT INTO visit VALUES (2)").await.unwrap();
    first.batch_execute("COMMIT").await.unwrap();
    assert_eq!(until_stopped(&mut system, 0).await, Some(0));

    let mut wanted = vec![2];
    for caller in &callers {
        wanted.extend(&caller.lock().await.done);
    }
    wanted.sort_unstable();
    let reader = system.connect(1, "baobab", "g1").await.unwrap();
    assert_eq!(stored_numbers(&reader).await, wanted);
}

/// Guards against an idle caller that gets no notice, or more than one, that its host stops, and
/// against a connection that stays open.
#[tokio::test]
async fn an_idle_caller_of_a_stopped_host_gets_one_notice() {
    let (mut system, _first) = start().await;
    let mut idle = RawCaller::login(&system, 0, "baobab").await.unwrap();
    system.hosts[0].signal(libc::SIGTERM).unwrap();
    let notice = idle.next().await.unwrap();
    assert!(String::from_utf8_lossy(notice.body()).contains("57P01"), "{notice:?}");
    assert!(idle.next().await.is_err(), "a message followed the notice");
    assert_eq!(until_stopped(&mut system, 0).await, Some(0));
}

/// The hosts that callers are not connected to are restarted one after another, among them the
/// homes of the groups. Guards against a host that stays home until its process ends, which
/// interrupts the statements running there.
#[tokio::test]
async fn a_planned_stop_does_not_interrupt_callers_of_other_hosts() {
    let mut system = System::start(plan(3)).await.unwrap();
    let mut callers = Vec::new();
    for group in ["g1", "g2", "g3"] {
        let client = system.connect(0, "baobab", group).await.unwrap();
        let table = "CREATE TABLE IF NOT EXISTS visit (id INTEGER)";
        system::run_until_ok(&client, table).await.unwrap();
        callers.push(insert(client, 1));
    }
    // In the first seconds after a start of all hosts one of them may have the whole rate.
    tokio::time::sleep(PART_DELAY).await;
    let mut homes = 0;
    for host in [1, 2, 1, 2] {
        for caller in &callers {
            let before = caller.lock().await.done.len();
            until(async || {
                let caller = caller.lock().await;
                assert!(!caller.ended, "the inserts ended with {:?}", caller.error);
                caller.done.len() > before + 3
            })
            .await;
        }
        homes += usize::from(system.hosts[host].log().contains("ranks first for"));
        system.hosts[host].signal(libc::SIGTERM).unwrap();
        assert_eq!(until_stopped(&mut system, host).await, Some(0));
        for caller in &callers {
            let caller = caller.lock().await;
            assert!(!caller.ended, "the inserts ended with {:?}", caller.error);
        }
        system.hosts[host].start().unwrap();
        let client = system.connect(host, "baobab", "g1").await.unwrap();
        system::run_until_ok(&client, "SELECT 1").await.unwrap();
    }
    assert!(homes > 0, "no home of a group was stopped");
}

/// Guards against a stop that cannot be shortened while a transaction is open: a second signal
/// must end the process at once.
#[tokio::test]
async fn a_second_signal_ends_the_host_at_once() {
    let (mut system, client) = start().await;
    client.batch_execute("BEGIN; INSERT INTO visit VALUES (1)").await.unwrap();
    system.hosts[0].signal(libc::SIGTERM).unwrap();
    until(async || system.hosts[0].log().contains("serve: stopping")).await;
    assert!(system.hosts[0].is_running());
    system.hosts[0].signal(libc::SIGINT).unwrap();
    assert_eq!(until_stopped(&mut system, 0).await, Some(130));
}

/// An account is always short of tokens, so its host borrows them from others while its own part
/// of the rate grows because a host has left. Guards against a host that updates this part while
/// it holds the account's bucket, which ended the process with all its callers.
#[tokio::test]
async fn a_host_keeps_running_when_its_part_grows_while_it_borrows() {
    let plan = Plan { accounts: vec![("baobab".into(), 60.0, 6.0)], ..Plan::default() };
    let mut system = System::start(plan).await.unwrap();
    let mut tasks = Vec::new();
    for host in [0, 0, 2, 2] {
        let client = system.connect(host, "baobab", "g1").await.unwrap();
        tasks.push(tokio::spawn(async move {
            // Statements are mostly refused; the task ends with the connection.
            while !client.is_closed() {
                let _ = client.simple_query("SELECT 1").await;
            }
        }));
    }
    for _ in 0..3 {
        system.hosts[1].signal(libc::SIGTERM).unwrap();
        assert_eq!(until_stopped(&mut system, 1).await, Some(0));
        tokio::time::sleep(PART_DELAY).await;
        system.hosts[1].start().unwrap();
        system.await_members().await.unwrap();
    }
    for task in &tasks {
        assert!(!task.is_finished(), "a caller's connection was lost");
    }
}
