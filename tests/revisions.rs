//! An accepted configuration is in force on all hosts within seconds and never reverts.

use std::time::{Duration, Instant};

use lab::{
    link::Fault,
    system::{self, Plan, System, WAIT_TIMEOUT},
};

/// Interval between polls and between statements of a caller.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time within which an accepted configuration must be in force on all hosts.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the configuration with one more account.
fn config_with_account(system: &mut System, name: &str) -> String {
    system.plan.accounts.push((name.into(), 1000.0, 1000.0));
    let config = system.config();
    system.plan.accounts.pop();
    config
}

async fn start() -> System {
    System::start(Plan::default()).await.unwrap()
}

/// Returns the number of the newest revision.
async fn newest_revision(system: &System) -> String {
    let head = system.row("head").await.unwrap();
    let head: bergamottrack_platform::chain::Head = serde_json::from_str(&head).unwrap();
    head.number.to_string()
}

async fn submit(system: &System, host: usize, query: &str, config: &str) -> (u16, String) {
    let address = system.addresses[host].operator;
    system::post(address, &format!("/submit?{query}"), config).await.unwrap()
}

/// Checks that an account can connect through all hosts within `IN_FORCE_TIMEOUT`.
async fn check_in_force(system: &System, account: &str) {
    let since = Instant::now();
    for host in 0..system.plan.hosts {
        let client = system.connect(host, account, "g1").await.unwrap();
        system::run_until_ok(&client, "SELECT 1").await.unwrap();
    }
    assert!(since.elapsed() < IN_FORCE_TIMEOUT, "in force only after {:?}", since.elapsed());
}

/// Checks that an account cannot connect through any host.
async fn check_refused(system: &System, account: &str) {
    for host in 0..system.plan.hosts {
        let client = system::connect(&system.caller(host, account, "g1")).await;
        assert!(client.is_err(), "host {host} accepts account {account}");
    }
}

/// The platform's answer to a commit is lost after the change took effect. Guards against a submit
/// that does not determine by itself that it was accepted, and against a retry that creates
/// another revision.
#[tokio::test]
async fn a_submit_whose_commit_answer_is_lost_is_accepted_once() {
    let mut system = start().await;
    let config = config_with_account(&mut system, "third");
    let query = format!("submit=lost&base={}", newest_revision(&system).await);
    system.platform_faults(r#"{"lose_commits": 1}"#).await.unwrap();
    let (status, text) = submit(&system, 0, &query, &config).await;
    assert_eq!(status, 200, "{text}");
    let accepted = system.row("submit-lost").await.unwrap();
    check_in_force(&system, "third").await;
    let (status, text) = submit(&system, 1, &query, &config).await;
    assert_eq!(status, 200, "{text}");
    assert!(text.contains(&accepted), "{text}");
    assert_eq!(system.row("submit-lost").await.unwrap(), accepted);
}

/// The platform commits a change and goes down before any host gets the result. Guards against
/// a submit that reports "nothing changed" instead of "not yet known", and against a retry after
/// the outage that does not report the change as accepted.
#[tokio::test]
async fn a_submit_interrupted_by_an_outage_is_reported_as_not_yet_known() {
    let mut system = start().await;
    let config = config_with_account(&mut system, "third");
    let query = format!("submit=cut&base={}", newest_revision(&system).await);
    system.platform_faults(r#"{"lose_commits": 100}"#).await.unwrap();
    let outage = async {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while system.row("submit-cut").await.unwrap().is_empty() {
            assert!(Instant::now() < deadline, "the platform did not commit the change");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        system.platform_faults(r#"{"down": true}"#).await.unwrap();
    };
    let ((status, text), ()) = tokio::join!(submit(&system, 0, &query, &config), outage);
    assert_eq!(status, 503, "{text}");
    assert!(text.contains("not yet known"), "{text}");
    system.platform_faults("{}").await.unwrap();
    let accepted = system.row("submit-cut").await.unwrap();
    let (status, text) = submit(&system, 1, &query, &config).await;
    assert_eq!(status, 200, "{text}");
    assert!(text.contains(&accepted), "{text}");
    check_in_force(&system, "third").await;
}

/// The platform is down when the operator submits. Guards against a submit that takes effect
/// later or does not report that it changed nothing, and against effects on callers.
#[tokio::test]
async fn a_submit_during_an_outage_changes_nothing() {
    let mut system = start().await;
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
    let config = config_with_account(&mut system, "third");
    let query = format!("submit=none&base={}", newest_revision(&system).await);
    system.platform_faults(r#"{"down": true}"#).await.unwrap();
    let (status, text) = submit(&system, 0, &query, &config).await;
    assert_eq!(status, 409, "{text}");
    assert!(text.contains("changed nothing"), "{text}");
    client.simple_query("SELECT 1").await.unwrap();
    system.platform_faults("{}").await.unwrap();
    assert_eq!(system.row("submit-none").await.unwrap(), "");
    check_refused(&system, "third").await;
}

/// Two operators submit changes to the same revision at the same time through different hosts.
/// Guards against a second submit that reverts the first, and against a refusal that does not
/// name the author of the accepted change.
#[tokio::test]
async fn of_two_concurrent_submits_one_is_refused_with_the_others_author() {
    let mut system = start().await;
    let base = newest_revision(&system).await;
    let (first_config, second_config) =
        (config_with_account(&mut system, "third"), config_with_account(&mut system, "fourth"));
    let (first_query, second_query) = (
        format!("submit=awas&base={base}&author=awa"),
        format!("submit=bens&base={base}&author=ben"),
    );
    let (first, second) = tokio::join!(
        submit(&system, 0, &first_query, &first_config),
        submit(&system, 1, &second_query, &second_config)
    );
    let (winner, loser, refusal, name) = match (first.0, second.0) {
        (200, 409) => ("third", "fourth", second.1, "awa"),
        (409, 200) => ("fourth", "third", first.1, "ben"),
        _ => panic!("{first:?} and {second:?}"),
    };
    assert!(refusal.contains("nothing changed") && refusal.contains(name), "{refusal}");
    check_in_force(&system, winner).await;
    check_refused(&system, loser).await;
}

/// After a change the platform returns each row as it was before, as a lagging replica would.
/// Guards against an older revision in force again on any host, and against refused callers.
#[tokio::test]
async fn old_rows_of_the_platform_do_not_revert_a_revision() {
    let mut system = start().await;
    let config = config_with_account(&mut system, "third");
    system.submit(&config).await.unwrap();
    check_in_force(&system, "third").await;
    let client = system.connect(1, "third", "g1").await.unwrap();
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
    system.platform_faults(r#"{"old_rows": true}"#).await.unwrap();
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(6) {
        client.simple_query("SELECT 1").await.unwrap();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    check_in_force(&system, "third").await;
}

/// A host restarts without any state during an outage of the platform. Guards against a host that
/// cannot serve until the platform is back: it must get the newest revision from its peers.
#[tokio::test]
async fn a_host_restarted_in_an_outage_gets_the_newest_revision_from_peers() {
    let mut system = start().await;
    let config = config_with_account(&mut system, "third");
    system.submit(&config).await.unwrap();
    check_in_force(&system, "third").await;
    system.platform_faults(r#"{"down": true}"#).await.unwrap();
    system.hosts[1].kill();
    system.hosts[1].start().unwrap();
    let client = system.connect(1, "third", "g1").await.unwrap();
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
}

/// All hosts restart at once, as after a power failure. Guards against an accepted revision that
/// is not in the platform or does not come into force again without an operator.
#[tokio::test]
async fn a_revision_is_in_force_after_a_restart_of_all_hosts() {
    let mut system = start().await;
    let config = config_with_account(&mut system, "third");
    system.submit(&config).await.unwrap();
    system.hosts.iter_mut().for_each(lab::process::Process::kill);
    system.hosts.iter_mut().for_each(|host| host.start().unwrap());
    for host in 0..system.plan.hosts {
        let client = system.connect(host, "third", "g1").await.unwrap();
        system::run_until_ok(&client, "SELECT 1").await.unwrap();
    }
}

/// The platform answers each call just within the timeout. Guards against callers that are held up
/// by the platform, and against a submit that is not accepted because it is slow.
#[tokio::test]
async fn a_slow_platform_blocks_neither_callers_nor_submits() {
    let mut system = start().await;
    let client = system.connect(1, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
    system.platform_faults(r#"{"slow_ms": 1500}"#).await.unwrap();
    let config = config_with_account(&mut system, "third");
    let submitting = submit(&system, 0, "submit=slow", &config);
    let reading = async {
        let since = Instant::now();
        while since.elapsed() < IN_FORCE_TIMEOUT {
            client.simple_query("SELECT 1").await.unwrap();
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let ((status, text), ()) = tokio::join!(submitting, reading);
    assert_eq!(status, 200, "{text}");
    check_in_force(&system, "third").await;
}

/// A large configuration is submitted while a host cannot reach the platform and its links to the
/// others are slow. These time out after half a second, in less time than one copy takes, and
/// retry. Guards against a host that discards the late copy and so never gets a revision.
#[tokio::test]
async fn a_host_behind_slow_links_gets_a_large_revision() {
    const SLOW_BYTES_PER_SEC: u64 = 4_000;
    const ACCOUNTS: usize = 60;
    let mut system = System::start(Plan { links: true, ..Plan::default() }).await.unwrap();
    let slow = Fault { bytes_per_sec: SLOW_BYTES_PER_SEC, ..Fault::default() };
    system.fault("h*>h3", slow.clone()).await.unwrap();
    system.fault("h3>h*", slow).await.unwrap();
    system.cut("h3>platform").await.unwrap();
    let more = (0..ACCOUNTS).map(|n| (format!("account-{n:05}"), 1000.0, 1000.0));
    system.plan.accounts.extend(more);
    let config = system.config();
    let query = format!("submit=large&base={}", newest_revision(&system).await);
    let (status, text) = submit(&system, 0, &query, &config).await;
    assert_eq!(status, 200, "{text}");
    check_in_force(&system, "account-00059").await;
}
