//! Failover: no acknowledged write is lost or duplicated, and no write reported as "not run" was
//! executed.

mod ledger;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lab::system::{self, Plan, System};
use ledger::{Ledger, Reported};
use tokio_postgres::Client;

/// Returns a plan whose connections can be cut.
fn plan_with_links() -> Plan {
    Plan { links: true, ..Plan::default() }
}

/// Guards against lost or duplicated bookings when a primary's process ends under load. Its machine
/// refuses connections, another server is promoted, and the old one restarts with its old log and
/// rejoins as a replica.
#[tokio::test]
async fn killed_primary_is_replaced_and_rejoins_as_replica() {
    let mut system = System::start(Plan::default()).await.unwrap();
    let ledger = Ledger::start(&system).await;
    ledger.until_done(20).await;
    system.servers.get_mut("g1s1").unwrap().kill();
    ledger.until_done(50).await;
    system.servers.get_mut("g1s1").unwrap().start().unwrap();
    ledger::until_follows(&system, "g1s1", 1).await;
    ledger.until_done(20).await;
    ledger.check(&system).await;
}

/// Guards against bookings acknowledged by a replaced primary. It freezes with bookings in
/// progress, another server is promoted, and the old one resumes without notice: what it commits
/// then must be reported to no caller as done.
#[tokio::test]
async fn frozen_primary_acknowledges_no_write_after_its_replacement() {
    let system = System::start(Plan::default()).await.unwrap();
    let ledger = Ledger::start(&system).await;
    ledger.until_done(20).await;
    system.servers["g1s1"].signal(libc::SIGSTOP).unwrap();
    ledger.until_done(50).await;
    system.servers["g1s1"].signal(libc::SIGCONT).unwrap();
    ledger::until_follows(&system, "g1s1", 1).await;
    ledger.until_done(20).await;
    ledger.check(&system).await;
}

/// Guards against callers that wait forever. A primary is cut off from its replicas but not from
/// the hosts: it commits and answers, but no commit can be confirmed. Failure detection by silence
/// alone would never replace it.
#[tokio::test]
async fn primary_cut_off_from_its_replicas_is_replaced() {
    let system = System::start(plan_with_links()).await.unwrap();
    let ledger = Ledger::start(&system).await;
    ledger.until_done(20).await;
    system.cut("g1s2>g1s1").await.unwrap();
    system.cut("g1s3>g1s1").await.unwrap();
    ledger.until_done(50).await;
    system.mend("*>g1s1").await.unwrap();
    ledger::until_follows(&system, "g1s1", 1).await;
    ledger.check(&system).await;
}

/// Guards against blocked writers when only one host reaches the primary, which still replicates.
/// Whichever host is the group's home, writes continue: through the home that reaches the primary,
/// or after a promotion.
#[tokio::test]
async fn writes_continue_when_one_host_alone_reaches_the_primary() {
    let system = System::start(plan_with_links()).await.unwrap();
    let ledger = Ledger::start(&system).await;
    ledger.until_done(20).await;
    for connected in 1..=3 {
        let (primary, _) = ledger::primary(&system).await;
        for host in (1..=3).filter(|host| *host != connected) {
            system.cut(&format!("h{host}>{primary}")).await.unwrap();
        }
        ledger.until_done(50).await;
        system.mend("*").await.unwrap();
    }
    let (_, status) = ledger::primary(&system).await;
    assert!(status.term.0 > 1, "no home was cut off from the primary");
    ledger.check(&system).await;
}

/// Guards against two primaries. The hosts are cut off from each other and the primary is killed:
/// each host acts as the group's home, and all promote at once. The servers' promises decide which
/// attempt wins, and all hosts find the same primary.
#[tokio::test]
async fn simultaneous_promotions_by_several_homes_yield_one_primary() {
    let mut system = System::start(plan_with_links()).await.unwrap();
    let ledger = Ledger::start(&system).await;
    ledger.until_done(20).await;
    system.cut("h*>h*").await.unwrap();
    ledger.until_done(20).await;
    system.servers.get_mut("g1s1").unwrap().kill();
    ledger.until_done(60).await;
    system.mend("h*>h*").await.unwrap();
    ledger.until_done(20).await;
    ledger.check(&system).await;
}

/// Guards against lost bookings when the primary and a replica fail together. The third server may
/// lack acknowledged bookings, so it must not be promoted: writers are refused at once with "not
/// run". When the replica is back, a majority of the servers can promote one of them.
#[tokio::test]
async fn no_server_is_promoted_without_a_majority() {
    let mut system = System::start(Plan::default()).await.unwrap();
    let ledger = Ledger::start(&system).await;
    ledger.until_done(20).await;
    system.servers.get_mut("g1s1").unwrap().kill();
    system.servers.get_mut("g1s2").unwrap().kill();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    let refused = async || {
        let start = Instant::now();
        let error = client.simple_query("INSERT INTO booking VALUES ('x')").await.unwrap_err();
        let code = error.as_db_error().map(|e| e.code().code().to_owned());
        let at_once = start.elapsed() < Duration::from_secs(2);
        ledger::reported(&error) == Reported::NotRun && code.as_deref() == Some("57P03") && at_once
    };
    ledger::until("writers are refused at once", refused).await;
    let status = ledger::status(&system, "g1s3").await.unwrap();
    assert!(!status.leads(), "{status}");
    system.servers.get_mut("g1s2").unwrap().start().unwrap();
    ledger.until_done(50).await;
    ledger.check(&system).await;
}

/// Guards against needless failovers: a primary that stalls for 300 ms, as on a busy machine, must
/// keep its term, because replacing it costs more than waiting.
#[tokio::test]
async fn stall_of_300_ms_causes_no_promotion() {
    let stall = Duration::from_millis(300);
    for _ in 0..10 {
        let system = System::start(Plan::default()).await.unwrap();
        let client = system.connect(0, "baobab", "g1").await.unwrap();
        system::run_until_ok(&client, "CREATE TABLE booking (id TEXT)").await.unwrap();
        let start = Instant::now();
        system.servers["g1s1"].signal(libc::SIGSTOP).unwrap();
        tokio::time::sleep(stall).await;
        system.servers["g1s1"].signal(libc::SIGCONT).unwrap();
        if start.elapsed() > stall + Duration::from_millis(20) {
            // The test itself was delayed, so the stall lasted longer than intended.
            continue;
        }
        client.simple_query("INSERT INTO booking VALUES ('b1')").await.unwrap();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let (name, status) = ledger::primary(&system).await;
        assert_eq!((name.as_str(), status.term.0), ("g1s1", 1));
        return;
    }
    panic!("no stall of 300 ms in ten attempts: the machine is too busy");
}

/// Guards against a caller that waits for its whole timeout of 25 s. The primary freezes with a
/// booking in progress and no connection closes; only the new term shows that its answer cannot
/// count any more. The caller is then answered with "unknown".
#[tokio::test]
async fn write_on_frozen_primary_is_reported_unknown_after_its_replacement() {
    let plan = Plan { policy: "request_ms = 25000".into(), ..Plan::default() };
    let system = System::start(plan).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE booking (id TEXT)").await.unwrap();
    system.servers["g1s1"].signal(libc::SIGSTOP).unwrap();
    let start = Instant::now();
    let error = client.simple_query("INSERT INTO booking VALUES ('b1')").await.unwrap_err();
    assert_eq!(ledger::reported(&error), Reported::Unknown, "{error:?}");
    assert!(start.elapsed() < Duration::from_secs(15), "{:?}", start.elapsed());
}

/// Guards against read errors when a replica freezes with reads in progress. Reads change nothing,
/// so they run again on another server without an error for their callers.
#[tokio::test]
async fn reads_on_frozen_replica_are_retried_on_another_server() {
    let plan = Plan {
        policy: "request_ms = 25000".into(),
        server_args: vec!["--service-ms=50".into()],
        ..Plan::default()
    };
    let system = System::start(plan).await.unwrap();
    let mut readers = Vec::new();
    for reader in 0..6 {
        let client = system.connect(reader % 3, "baobab", "g1").await.unwrap();
        let table = "CREATE TABLE IF NOT EXISTS booking (id TEXT)";
        system::run_until_ok(&client, table).await.unwrap();
        client.simple_query("INSERT INTO booking VALUES ('b1')").await.unwrap();
        readers.push(Arc::new(client));
    }
    // The first round leaves pooled connections to both replicas.
    read_concurrently(&readers).await;
    system.servers["g1s2"].signal(libc::SIGSTOP).unwrap();
    let start = Instant::now();
    read_concurrently(&readers).await;
    assert!(start.elapsed() < Duration::from_secs(15), "{:?}", start.elapsed());
}

/// Reads through all clients at the same time, so that both replicas receive some of the reads.
async fn read_concurrently(readers: &[Arc<Client>]) {
    let read =
        async |client: Arc<Client>| system::rows(&client, "SELECT DISTINCT id FROM booking").await;
    let reads: Vec<_> = readers.iter().map(|client| tokio::spawn(read(client.clone()))).collect();
    for rows in reads {
        assert_eq!(rows.await.unwrap().unwrap(), ["b1"]);
    }
}
