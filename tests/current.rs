//! Reads that must be current.

use std::time::{Duration, Instant};

use lab::system::{self, Plan, System};

/// Guards against an outdated appointment in a confirmation. The host reaches only the old primary,
/// which was cut off and replaced without notice and still has the appointment from before it was
/// moved. Nothing proves that it still leads, so the read is refused, long before its timeout.
#[tokio::test]
async fn replaced_primary_answers_no_read_with_max_age_zero() {
    let plan = Plan { hosts: 1, links: true, ..Plan::default() };
    let system = System::start(plan).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS visit (day TEXT)").await.unwrap();
    client.batch_execute("INSERT INTO visit VALUES ('monday')").await.unwrap();
    client.batch_execute("SET bergamottrack.max_age = '0'").await.unwrap();
    client.batch_execute("SET bergamottrack.deadline = '60s'").await.unwrap();
    let before = system::rows(&client, "SELECT day FROM visit").await.unwrap();
    assert_eq!(before, ["monday"]);

    for links in ["h1>g1s2", "h1>g1s3", "g1s*>g1s1"] {
        system.cut(links).await.unwrap();
    }
    let (second, third) =
        tokio::join!(system.connect_server("g1s2"), system.connect_server("g1s3"));
    let (second, third) = (second.unwrap(), third.unwrap());
    for server in [&second, &third] {
        server.batch_execute("SELECT group_promise(2, 'other')").await.unwrap();
    }
    second.batch_execute("SELECT group_promote(2, 'other')").await.unwrap();
    second.batch_execute("UPDATE visit SET day = 'friday'").await.unwrap();

    let sent = Instant::now();
    let refused = system::rows(&client, "SELECT day FROM visit").await.unwrap_err();
    assert!(sent.elapsed() < Duration::from_secs(30), "refused only after {:?}", sent.elapsed());
    let refused = refused.as_db_error().unwrap();
    assert_eq!((refused.code().code(), refused.detail()), ("55000", Some("not run")));
}
