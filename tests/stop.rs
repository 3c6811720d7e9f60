//! A planned stop of a host cuts no request.

use std::{sync::Arc, time::Duration};

use lab::{
    raw::RawCaller,
    system::{self, Plan, System},
};
use tokio::sync::Mutex;
use tokio_postgres::Client;

/// Longer than it takes a host that joined to get its part of the rate.
const PART_AFTER: Duration = Duration::from_secs(5);

/// Callers here insert without a pause: no limit may get in their way.
fn plan(groups: usize) -> Plan {
    Plan { groups, accounts: vec![("baobab".into(), 1e6, 1e6)], ..Plan::default() }
}

async fn start() -> (System, Client) {
    let system = System::start(plan(1)).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
    (system, client)
}

/// What a caller was told of its inserts.
#[derive(Default)]
struct Told {
    done: Vec<i32>,
    /// The SQLSTATE and detail of the error that ended it, if one was told.
    end: Option<(String, String)>,
    over: bool,
}

/// Inserts one number after another until an error comes.
fn insert(client: Client, first: i32) -> Arc<Mutex<Told>> {
    let told = Arc::new(Mutex::new(Told::default()));
    let shared = told.clone();
    tokio::spawn(async move {
        for id in first.. {
            let sql = format!("INSERT INTO visit VALUES ({id})");
            match client.simple_query(&sql).await {
                Ok(_) => shared.lock().await.done.push(id),
                Err(error) => {
                    let mut told = shared.lock().await;
                    told.end = error.as_db_error().map(|e| {
                        (e.code().code().to_owned(), e.detail().unwrap_or_default().to_owned())
                    });
                    told.over = true;
                    return;
                }
            }
        }
    });
    told
}

async fn until(mut look: impl AsyncFnMut() -> bool) {
    let deadline = std::time::Instant::now() + system::WAIT_TIMEOUT;
    while !look().await {
        assert!(std::time::Instant::now() < deadline, "waited in vain");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn until_stopped(system: &mut System, host: usize) -> Option<i32> {
    until(async || !system.hosts[host].is_running()).await;
    system.hosts[host].wait().unwrap()
}

async fn numbers(client: &Client) -> Vec<i32> {
    system::run_until_ok(client, "SELECT id FROM visit").await.unwrap();
    let rows = system::rows(client, "SELECT id FROM visit ORDER BY id").await.unwrap();
    rows.iter().map(|row| row.parse().unwrap()).collect()
}

/// A host is stopped while callers insert without a pause and one has a
/// transaction open. Each caller is told the end of what it has begun; the
/// transaction commits; what is told as not run is not there.
#[tokio::test]
async fn callers_of_a_host_that_is_stopped_get_all_their_answers() {
    let (mut system, first) = start().await;
    // No write yet: the stand-in lets one transaction write at a time.
    first.batch_execute("BEGIN").await.unwrap();
    let mut told = Vec::new();
    for i in 1..=4 {
        let client = system.connect(0, "baobab", "g1").await.unwrap();
        told.push(insert(client, i * 100_000));
    }
    for caller in &told {
        until(async || caller.lock().await.done.len() > 3).await;
    }
    system.hosts[0].signal(libc::SIGTERM).unwrap();
    for caller in &told {
        until(async || caller.lock().await.over).await;
        let caller = caller.lock().await;
        if let Some((code, detail)) = &caller.end {
            assert_eq!((&**code, &**detail), ("57P01", "not run"));
        }
    }
    first.batch_execute("INSERT INTO visit VALUES (2)").await.unwrap();
    first.batch_execute("COMMIT").await.unwrap();
    assert_eq!(until_stopped(&mut system, 0).await, Some(0));

    let mut wanted = vec![2];
    for caller in &told {
        wanted.extend(&caller.lock().await.done);
    }
    wanted.sort_unstable();
    let reader = system.connect(1, "baobab", "g1").await.unwrap();
    assert_eq!(numbers(&reader).await, wanted);
}

/// A caller without anything to do is told once that its host is being stopped,
/// and its connection is closed.
#[tokio::test]
async fn an_idle_caller_is_told_once_to_connect_again() {
    let (mut system, _first) = start().await;
    let mut idle = RawCaller::login(&system, 0, "baobab").await.unwrap();
    system.hosts[0].signal(libc::SIGTERM).unwrap();
    let goodbye = idle.next().await.unwrap();
    assert!(String::from_utf8_lossy(goodbye.body()).contains("57P01"), "{goodbye:?}");
    assert!(idle.next().await.is_err(), "more was said after the goodbye");
    assert_eq!(until_stopped(&mut system, 0).await, Some(0));
}

/// The hosts beside the callers' own are replaced one after another, among them
/// the homes of their groups. The callers notice nothing. With a host that goes
/// on as home until it ends, what runs there at that moment is cut.
#[tokio::test]
async fn callers_of_other_hosts_notice_no_planned_stop() {
    let mut system = System::start(plan(3)).await.unwrap();
    let mut told = Vec::new();
    for group in ["g1", "g2", "g3"] {
        let client = system.connect(0, "baobab", group).await.unwrap();
        let table = "CREATE TABLE IF NOT EXISTS visit (id INTEGER)";
        system::run_until_ok(&client, table).await.unwrap();
        told.push(insert(client, 1));
    }
    // In a fleet that is only seconds old one host may have all of the rate.
    tokio::time::sleep(PART_AFTER).await;
    let mut homes = 0;
    for host in [1, 2, 1, 2] {
        for caller in &told {
            let before = caller.lock().await.done.len();
            until(async || {
                let caller = caller.lock().await;
                assert!(!caller.over, "the caller was told {:?}", caller.end);
                caller.done.len() > before + 3
            })
            .await;
        }
        homes += usize::from(system.hosts[host].log().contains("ranks first for"));
        system.hosts[host].signal(libc::SIGTERM).unwrap();
        assert_eq!(until_stopped(&mut system, host).await, Some(0));
        for caller in &told {
            let caller = caller.lock().await;
            assert!(!caller.over, "the caller was told {:?}", caller.end);
        }
        system.hosts[host].start().unwrap();
        let there = system.connect(host, "baobab", "g1").await.unwrap();
        system::run_until_ok(&there, "SELECT 1").await.unwrap();
    }
    assert!(homes > 0, "no home of a group was stopped");
}

/// A person who does not want to wait for an open transaction sends a second signal.
#[tokio::test]
async fn a_second_signal_stops_at_once() {
    let (mut system, client) = start().await;
    client.batch_execute("BEGIN; INSERT INTO visit VALUES (1)").await.unwrap();
    system.hosts[0].signal(libc::SIGTERM).unwrap();
    until(async || system.hosts[0].log().contains("serve: stopping")).await;
    assert!(system.hosts[0].is_running());
    system.hosts[0].signal(libc::SIGINT).unwrap();
    assert_eq!(until_stopped(&mut system, 0).await, Some(130));
}

/// An account is short of tokens all the time: its host asks others for them
/// while its own part grows because a host has left. The host went down with
/// all its callers: it moved the part on while it held the account's bucket.
#[tokio::test]
async fn a_host_goes_on_when_its_part_grows_while_it_borrows() {
    let plan = Plan { accounts: vec![("baobab".into(), 60.0, 6.0)], ..Plan::default() };
    let mut system = System::start(plan).await.unwrap();
    let mut asking = Vec::new();
    for host in [0, 0, 2, 2] {
        let client = system.connect(host, "baobab", "g1").await.unwrap();
        asking.push(tokio::spawn(async move {
            // Refused most of the time; ends when the connection does.
            while !client.is_closed() {
                let _ = client.simple_query("SELECT 1").await;
            }
        }));
    }
    for _ in 0..3 {
        system.hosts[1].signal(libc::SIGTERM).unwrap();
        assert_eq!(until_stopped(&mut system, 1).await, Some(0));
        tokio::time::sleep(PART_AFTER).await;
        system.hosts[1].start().unwrap();
        system.await_members().await.unwrap();
    }
    for task in &asking {
        assert!(!task.is_finished(), "a caller's connection was lost");
    }
}
