//! Failover: no acknowledged write is lost or doubled, and "not run" is true.

mod ledger;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lab::system::{self, Plan, System};
use ledger::{Ledger, Reported};
use tokio_postgres::Client;

fn linked() -> Plan {
    Plan { links: true, ..Plan::default() }
}

/// A primary's process ends while bookings come in. Its machine refuses
/// connections, another server is promoted, and the old one, started again with
/// its old log, rejoins as a replica.
#[tokio::test]
async fn a_killed_primary_is_replaced_and_rejoins() {
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

/// A primary freezes with bookings on their way in it, another one is
/// promoted, and the old one wakes as if nothing had happened: what it still
/// commits must be told to nobody as done.
#[tokio::test]
async fn a_frozen_primary_wakes_and_harms_nothing() {
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

/// A primary is cut from its replicas but not from the hosts: it commits and
/// answers, yet nothing can be confirmed. Callers would wait for ever if only
/// silence counted.
#[tokio::test]
async fn a_primary_cut_from_its_replicas_is_replaced() {
    let system = System::start(linked()).await.unwrap();
    let ledger = Ledger::start(&system).await;
    ledger.until_done(20).await;
    system.cut("g1s2>g1s1").await.unwrap();
    system.cut("g1s3>g1s1").await.unwrap();
    ledger.until_done(50).await;
    system.mend("*>g1s1").await.unwrap();
    ledger::until_follows(&system, "g1s1", 1).await;
    ledger.check(&system).await;
}

/// A primary is cut from every host but one, and still feeds its replicas.
/// Whoever is the group's home, writers get on: through the home that reaches
/// it, or after a promotion.
#[tokio::test]
async fn a_primary_that_one_host_alone_reaches_stops_nobody() {
    let system = System::start(linked()).await.unwrap();
    let ledger = Ledger::start(&system).await;
    ledger.until_done(20).await;
    for reaches in 1..=3 {
        let (primary, _) = ledger::primary(&system).await;
        for host in (1..=3).filter(|host| *host != reaches) {
            system.cut(&format!("h{host}>{primary}")).await.unwrap();
        }
        ledger.until_done(50).await;
        system.mend("*").await.unwrap();
    }
    let (_, status) = ledger::primary(&system).await;
    assert!(status.term.0 > 1, "no home was cut off");
    ledger.check(&system).await;
}

/// The hosts lose each other and the primary dies: each host takes itself for
/// the group's home, and all promote at once. The servers' promises settle who
/// wins, and all find the same primary.
#[tokio::test]
async fn homes_that_promote_at_once_settle_on_one_primary() {
    let mut system = System::start(linked()).await.unwrap();
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

/// The primary and a replica are lost together. The third server may lack
/// acknowledged bookings, so it must not be promoted: writers are told at once
/// that nothing ran. When the replica is back, a majority settles it.
#[tokio::test]
async fn nobody_is_promoted_without_a_majority() {
    let mut system = System::start(Plan::default()).await.unwrap();
    let ledger = Ledger::start(&system).await;
    ledger.until_done(20).await;
    system.servers.get_mut("g1s1").unwrap().kill();
    system.servers.get_mut("g1s2").unwrap().kill();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    let refused = async || {
        let began = Instant::now();
        let error = client.simple_query("INSERT INTO booking VALUES ('x')").await.unwrap_err();
        let code = error.as_db_error().map(|e| e.code().code().to_owned());
        let at_once = began.elapsed() < Duration::from_secs(2);
        ledger::reported(&error) == Reported::NotRun && code.as_deref() == Some("57P03") && at_once
    };
    ledger::until("writers are refused at once", refused).await;
    let status = ledger::status(&system, "g1s3").await.unwrap();
    assert!(!status.leads(), "{status}");
    system.servers.get_mut("g1s2").unwrap().start().unwrap();
    ledger.until_done(50).await;
    ledger.check(&system).await;
}

/// A primary stands still for 300 ms, as a busy machine does. Replacing it
/// would cost more than waiting: the term must stay.
#[tokio::test]
async fn a_short_stall_causes_no_promotion() {
    let stall = Duration::from_millis(300);
    for _ in 0..10 {
        let system = System::start(Plan::default()).await.unwrap();
        let client = system.connect(0, "baobab", "g1").await.unwrap();
        system::until_runs(&client, "CREATE TABLE booking (id TEXT)").await.unwrap();
        let began = Instant::now();
        system.servers["g1s1"].signal(libc::SIGSTOP).unwrap();
        tokio::time::sleep(stall).await;
        system.servers["g1s1"].signal(libc::SIGCONT).unwrap();
        if began.elapsed() > stall + Duration::from_millis(20) {
            // This machine stood still itself: the stall was a longer one.
            continue;
        }
        client.simple_query("INSERT INTO booking VALUES ('b1')").await.unwrap();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let (name, status) = ledger::primary(&system).await;
        assert_eq!((name.as_str(), status.term.0), ("g1s1", 1));
        return;
    }
    panic!("no stall could be kept to 300 ms here");
}

/// A primary freezes with a booking on its way in it. Nothing closes, so only
/// the new term tells that its answer cannot count any more: the caller hears
/// "unknown" then, and not when its own long deadline has passed.
#[tokio::test]
async fn a_write_on_a_frozen_primary_ends_when_it_is_replaced() {
    let plan = Plan { policy: "request_ms = 25000".into(), ..Plan::default() };
    let system = System::start(plan).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::until_runs(&client, "CREATE TABLE booking (id TEXT)").await.unwrap();
    system.servers["g1s1"].signal(libc::SIGSTOP).unwrap();
    let began = Instant::now();
    let error = client.simple_query("INSERT INTO booking VALUES ('b1')").await.unwrap_err();
    assert_eq!(ledger::reported(&error), Reported::Unknown, "{error:?}");
    assert!(began.elapsed() < Duration::from_secs(15), "{:?}", began.elapsed());
}

/// A replica freezes with reads on their way in it. They changed nothing, so
/// they run again on another server and their callers notice no error.
#[tokio::test]
async fn reads_on_a_frozen_replica_run_again_elsewhere() {
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
        system::until_runs(&client, table).await.unwrap();
        client.simple_query("INSERT INTO booking VALUES ('b1')").await.unwrap();
        readers.push(Arc::new(client));
    }
    // The first round leaves connections to both replicas behind.
    read_at_once(&readers).await;
    system.servers["g1s2"].signal(libc::SIGSTOP).unwrap();
    let began = Instant::now();
    read_at_once(&readers).await;
    assert!(began.elapsed() < Duration::from_secs(15), "{:?}", began.elapsed());
}

/// Reads through all clients at once, so that both replicas get some.
async fn read_at_once(readers: &[Arc<Client>]) {
    let read =
        async |client: Arc<Client>| system::rows(&client, "SELECT DISTINCT id FROM booking").await;
    let reads: Vec<_> = readers.iter().map(|client| tokio::spawn(read(client.clone()))).collect();
    for rows in reads {
        assert_eq!(rows.await.unwrap().unwrap(), ["b1"]);
    }
}
