//! A backend server that is leaving gets no new work, finishes what it has and
//! may come back.

mod ledger;

use std::time::{Duration, Instant};

use lab::system::{self, Plan, System};
use ledger::{Ledger, Reported};

/// Sets the platform's list of leaving machines.
async fn list(system: &System, json: &str) {
    let address = system.platform_address;
    let (status, text) = system::request(address, "PUT", "/hosts", json).await.unwrap();
    assert_eq!(status, 200, "{text}");
}

async fn until_led_by(system: &System, wanted: impl Fn(&str) -> bool) {
    ledger::until("another server leads", async || wanted(&ledger::primary(system).await.0)).await;
}

/// The platform says that the primary's machine is about to go. Another server
/// is promoted before that, and no caller notices: nothing is refused and
/// nothing is left unknown. When all the others leave too, the first one, back
/// by then, leads again.
#[tokio::test]
async fn a_leaving_primary_hands_over_unnoticed() {
    // Slow statements, so that there is always one under way.
    let server_args = vec!["--service-ms=30".to_owned()];
    let system = System::start(Plan { server_args, ..Plan::default() }).await.unwrap();
    let ledger = Ledger::start(&system).await;
    ledger.until_done(50).await;
    let before = ledger.count(Reported::NotRun) + ledger.count(Reported::Unknown);
    list(&system, r#"[{"id": "g1s1", "leaving": true}]"#).await;
    until_led_by(&system, |name| name != "g1s1").await;
    ledger::until_follows(&system, "g1s1", 1).await;
    ledger.until_done(50).await;
    let others = r#"[{"id": "g1s2", "leaving": true}, {"id": "g1s3", "leaving": true}]"#;
    list(&system, others).await;
    until_led_by(&system, |name| name == "g1s1").await;
    ledger.until_done(50).await;
    let after = ledger.count(Reported::NotRun) + ledger.count(Reported::Unknown);
    assert_eq!(before, after, "callers noticed");
    ledger.check(&system).await;
}

/// The operator marks a replica as leaving: a transaction goes on, and within
/// seconds no read goes there any more.
#[tokio::test]
async fn a_leaving_replica_gets_no_more_reads() {
    let policy = "request_ms = 25000".to_owned();
    let system = System::start(Plan { policy, ..Plan::default() }).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::until_runs(&client, "CREATE TABLE IF NOT EXISTS booking (id TEXT)").await.unwrap();
    system::until_runs(&client, "INSERT INTO booking VALUES ('b1')").await.unwrap();
    let leaving = "id = \"g1s2\"\nleaving = true";
    system.submit(&system.config().replace("id = \"g1s2\"", leaving)).await.unwrap();
    let reported =
        async || system.hosts.iter().any(|h| h.log().contains("g1s2 leaves: no new work"));
    ledger::until("the home knows", reported).await;
    // Whatever goes there from now on is slow.
    let direct = system.connect_server("g1s2").await.unwrap();
    direct.batch_execute("SET standin.service_ms = 10000").await.unwrap();
    for _ in 0..20 {
        let began = Instant::now();
        let rows = system::rows(&client, "SELECT id FROM booking").await.unwrap();
        assert_eq!(rows, ["b1"]);
        assert!(began.elapsed() < Duration::from_secs(10), "a leaving server was asked");
    }
}
