//! Hosts that fail are removed from the roster, and rejoin without an operator.

use std::time::{Duration, Instant};

use bergamottrack_contract::RevisionDoc;
use bergamottrack_platform::chain::Head;
use lab::system::{self, Plan, System, WAIT_TIMEOUT};

/// Interval between reads of the roster.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time within which a host is removed; it must have been silent for 30 seconds before.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the sorted names of the roster in the newest revision.
async fn roster(system: &System) -> Vec<String> {
    let head: Head = serde_json::from_str(&system.row("head").await.unwrap()).unwrap();
    let path = format!("/objects/{}", head.object);
    let (_, text) = system::request(system.platform_address, "GET", &path, "").await.unwrap();
    let doc: RevisionDoc = serde_json::from_str(&text).unwrap();
    let mut names: Vec<String> = doc.roster.iter().map(|host| host.id.to_string()).collect();
    names.sort();
    names
}

async fn until_roster_is(system: &System, names: &[&str], timeout: Duration) {
    let deadline = Instant::now() + timeout;
    while roster(system).await != names {
        assert!(Instant::now() < deadline, "the roster is {:?}", roster(system).await);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A host is suspended for so long that the others remove it from the roster and use its part of
/// the rates. Guards against a host that does not rejoin and serve again when it is resumed, and
/// against effects on its callers other than refusals in between.
#[tokio::test]
async fn a_silent_host_is_removed_and_rejoins() {
    let system = System::start(Plan::default()).await.unwrap();
    let client = system.connect(2, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
    system.hosts[2].signal(libc::SIGSTOP).unwrap();
    until_roster_is(&system, &["h1", "h2"], REMOVAL_TIMEOUT).await;
    system.hosts[2].signal(libc::SIGCONT).unwrap();
    until_roster_is(&system, &["h1", "h2", "h3"], WAIT_TIMEOUT).await;
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
}

/// Two of three hosts die for good at once, so no majority of the roster can get a change. Guards
/// against a remaining host that never accepts changes again: the platform's list says that the
/// two are gone, so they are removed from the roster.
#[tokio::test]
async fn changes_are_accepted_after_a_lost_majority_is_removed() {
    let mut system = System::start(Plan::default()).await.unwrap();
    system.hosts[1].kill();
    system.hosts[2].kill();
    let refused = system::post(system.addresses[0].operator, "/submit", &system.config()).await;
    assert_ne!(refused.unwrap().0, 200, "accepted without a majority");
    let list = r#"[{"id": "h1", "leaving": false}]"#;
    let (status, text) =
        system::request(system.platform_address, "PUT", "/hosts", list).await.unwrap();
    assert_eq!(status, 200, "{text}");
    until_roster_is(&system, &["h1"], REMOVAL_TIMEOUT).await;
    system.submit(&system.config()).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
}
