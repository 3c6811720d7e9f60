//! Hosts that are gone are taken out of the roster, and come back by themselves.

use std::time::{Duration, Instant};

use bergamottrack_contract::RevisionDoc;
use bergamottrack_platform::chain::Head;
use lab::system::{self, Plan, System, WAIT_TIMEOUT};

const PAUSE: Duration = Duration::from_millis(100);

/// A host must have been silent for thirty seconds before it is taken out.
const TAKEN_OUT: Duration = Duration::from_secs(60);

/// The names of the roster in the newest revision.
async fn roster(system: &System) -> Vec<String> {
    let head: Head = serde_json::from_str(&system.row("head").await.unwrap()).unwrap();
    let path = format!("/objects/{}", head.object);
    let (_, text) = system::request(system.platform_address, "GET", &path, "").await.unwrap();
    let doc: RevisionDoc = serde_json::from_str(&text).unwrap();
    let mut names: Vec<String> = doc.roster.iter().map(|host| host.id.to_string()).collect();
    names.sort();
    names
}

async fn until_roster(system: &System, names: &[&str], within: Duration) {
    let deadline = Instant::now() + within;
    while roster(system).await != names {
        assert!(Instant::now() < deadline, "the roster is {:?}", roster(system).await);
        tokio::time::sleep(PAUSE).await;
    }
}

/// A host is frozen for so long that the others take it out and use its part of
/// the rates. When it wakes it must come back in by itself and serve again; its
/// callers see refusals in between, and no more than that.
#[tokio::test]
async fn a_silent_host_is_taken_out_and_comes_back() {
    let system = System::start(Plan::default()).await.unwrap();
    let client = system.connect(2, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
    system.hosts[2].signal(libc::SIGSTOP).unwrap();
    until_roster(&system, &["h1", "h2"], TAKEN_OUT).await;
    system.hosts[2].signal(libc::SIGCONT).unwrap();
    until_roster(&system, &["h1", "h2", "h3"], WAIT_TIMEOUT).await;
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
}

/// Two of three hosts die for good at once. No majority of the roster can be
/// told of anything any more, so no change could ever be accepted again; but the
/// platform's list says that they are gone, and the third goes on without them.
#[tokio::test]
async fn the_loss_of_a_majority_for_good_does_not_stop_changes_for_good() {
    let mut system = System::start(Plan::default()).await.unwrap();
    system.hosts[1].kill();
    system.hosts[2].kill();
    let refused = system::post(system.addresses[0].operator, "/submit", &system.config()).await;
    assert_ne!(refused.unwrap().0, 200, "accepted without a majority");
    let list = r#"[{"id": "h1", "leaving": false}]"#;
    let (status, text) =
        system::request(system.platform_address, "PUT", "/hosts", list).await.unwrap();
    assert_eq!(status, 200, "{text}");
    until_roster(&system, &["h1"], TAKEN_OUT).await;
    system.submit(&system.config()).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
}
