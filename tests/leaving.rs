//! Backend servers that are leaving: they get no new work, finish what they have and may come back.

mod ledger;

use std::time::{Duration, Instant};

use lab::system::{self, Plan, System};
use ledger::{Ledger, Reported};

/// Sets the platform's list of leaving machines.
async fn set_leaving(system: &System, json: &str) {
    let address = system.platform_address;
    let (status, text) = system::request(address, "PUT", "/hosts", json).await.unwrap();
    assert_eq!(status, 200, "{text}");
}

/// Waits until `accepts` returns true for the name of the primary.
async fn until_led_by(system: &System, accepts: impl Fn(&str) -> bool) {
    ledger::until("another server leads", async || accepts(&ledger::primary(system).await.0)).await;
}

/// Guards against refused or unknown writes when the platform announces that the primary's machine
/// leaves: another server is promoted before that. When all other servers leave in turn, the first
/// one, no longer leaving, leads again.
#[tokio::test]
async fn leaving_primary_hands_over_without_failed_writes() {
    // Slow statements, so that one is always in progress.
    let server_args = vec!["--service-ms=30".to_owned()];
    let system = System::start(Plan { server_args, ..Plan::default() }).await.unwrap();
    let ledger = Ledger::start(&system).await;
    ledger.until_done(50).await;
    let before = ledger.count(Reported::NotRun) + ledger.count(Reported::Unknown);
    set_leaving(&system, r#"[{"id": "g1s1", "leaving": true}]"#).await;
    until_led_by(&system, |name| name != "g1s1").await;
    ledger::until_follows(&system, "g1s1", 1).await;
    ledger.until_done(50).await;
    let others = r#"[{"id": "g1s2", "leaving": true}, {"id": "g1s3", "leaving": true}]"#;
    set_leaving(&system, others).await;
    until_led_by(&system, |name| name == "g1s1").await;
    ledger.until_done(50).await;
    let after = ledger.count(Reported::NotRun) + ledger.count(Reported::Unknown);
    assert_eq!(before, after, "writes were refused or unknown");
    ledger.check(&system).await;
}

/// Guards against reads that still run on a replica seconds after the operator has marked it as
/// leaving. Transactions in progress there continue.
#[tokio::test]
async fn leaving_replica_receives_no_reads() {
    let policy = "request_ms = 25000".to_owned();
    let system = System::start(Plan { policy, ..Plan::default() }).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS booking (id TEXT)").await.unwrap();
    system::run_until_ok(&client, "INSERT INTO booking VALUES ('b1')").await.unwrap();
    let leaving = "id = \"g1s2\"\nleaving = true";
    system.submit(&system.config().replace("id = \"g1s2\"", leaving)).await.unwrap();
    let noticed =
        async || system.hosts.iter().any(|h| h.log().contains("g1s2 leaves: no new work"));
    ledger::until("a host logs that the replica leaves", noticed).await;
    // From now on any statement that still runs there is slow.
    let direct = system.connect_server("g1s2").await.unwrap();
    direct.batch_execute("SET standin.service_ms = 10000").await.unwrap();
    for _ in 0..20 {
        let start = Instant::now();
        let rows = system::rows(&client, "SELECT id FROM booking").await.unwrap();
        assert_eq!(rows, ["b1"]);
        assert!(start.elapsed() < Duration::from_secs(10), "a leaving server received a read");
    }
}
