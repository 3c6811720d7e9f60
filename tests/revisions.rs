//! An accepted configuration is in force everywhere within seconds and never
//! reverts.

use std::time::{Duration, Instant};

use lab::{
    link::Fault,
    system::{self, Plan, System, WAIT_TIMEOUT},
};

const PAUSE: Duration = Duration::from_millis(20);

/// What "within seconds" may mean at most.
const SECONDS: Duration = Duration::from_secs(10);

/// The configuration with one more account.
fn with_account(system: &mut System, name: &str) -> String {
    system.plan.accounts.push((name.into(), 1000.0, 1000.0));
    let config = system.config();
    system.plan.accounts.pop();
    config
}

async fn start() -> System {
    System::start(Plan::default()).await.unwrap()
}

/// The number of the newest revision.
async fn newest(system: &System) -> String {
    let head = system.row("head").await.unwrap();
    let head: bergamottrack_platform::chain::Head = serde_json::from_str(&head).unwrap();
    head.number.to_string()
}

async fn submit(system: &System, host: usize, query: &str, config: &str) -> (u16, String) {
    let address = system.addresses[host].operator;
    system::post(address, &format!("/submit?{query}"), config).await.unwrap()
}

/// The account can connect by all hosts within seconds.
async fn in_force_everywhere(system: &System, account: &str) {
    let since = Instant::now();
    for host in 0..system.plan.hosts {
        let client = system.connect(host, account, "g1").await.unwrap();
        system::run_until_ok(&client, "SELECT 1").await.unwrap();
    }
    assert!(since.elapsed() < SECONDS, "it took {:?}", since.elapsed());
}

async fn unknown_everywhere(system: &System, account: &str) {
    for host in 0..system.plan.hosts {
        let client = system::connect(&system.caller(host, account, "g1")).await;
        assert!(client.is_err(), "account {account} is known to host {host}");
    }
}

/// The answer to the platform's commit is lost after the change took effect. The
/// submit settles it by itself and says so; run again, it names the same revision.
#[tokio::test]
async fn a_lost_answer_is_settled_by_the_submits_own_id() {
    let mut system = start().await;
    let config = with_account(&mut system, "third");
    let query = format!("submit=lost&base={}", newest(&system).await);
    system.platform_faults(r#"{"lose_commits": 1}"#).await.unwrap();
    let (status, text) = submit(&system, 0, &query, &config).await;
    assert_eq!(status, 200, "{text}");
    let accepted = system.row("submit-lost").await.unwrap();
    in_force_everywhere(&system, "third").await;
    let (status, text) = submit(&system, 1, &query, &config).await;
    assert_eq!(status, 200, "{text}");
    assert!(text.contains(&accepted), "{text}");
    assert_eq!(system.row("submit-lost").await.unwrap(), accepted);
}

/// The platform takes the change, and goes down before anybody hears of it. The
/// operator is told that it is not yet known, not that nothing changed. After the
/// outage the same submit says truthfully that it was accepted.
#[tokio::test]
async fn a_submit_cut_short_by_an_outage_is_not_called_refused() {
    let mut system = start().await;
    let config = with_account(&mut system, "third");
    let query = format!("submit=cut&base={}", newest(&system).await);
    system.platform_faults(r#"{"lose_commits": 100}"#).await.unwrap();
    let outage = async {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while system.row("submit-cut").await.unwrap().is_empty() {
            assert!(Instant::now() < deadline, "the change was not made");
            tokio::time::sleep(PAUSE).await;
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
    in_force_everywhere(&system, "third").await;
}

/// The platform is down when the operator submits: nothing changed, and the
/// answer says so. Callers notice nothing.
#[tokio::test]
async fn a_submit_in_an_outage_changes_nothing() {
    let mut system = start().await;
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
    let config = with_account(&mut system, "third");
    let query = format!("submit=none&base={}", newest(&system).await);
    system.platform_faults(r#"{"down": true}"#).await.unwrap();
    let (status, text) = submit(&system, 0, &query, &config).await;
    assert_eq!(status, 409, "{text}");
    assert!(text.contains("changed nothing"), "{text}");
    client.simple_query("SELECT 1").await.unwrap();
    system.platform_faults("{}").await.unwrap();
    assert_eq!(system.row("submit-none").await.unwrap(), "");
    unknown_everywhere(&system, "third").await;
}

/// Two operators change the configuration that both have before them, at the
/// same time and by different hosts. One is accepted; the other is told who
/// changed it since, and nothing of the first is undone.
#[tokio::test]
async fn of_two_operators_racing_one_is_told_who_came_first() {
    let mut system = start().await;
    let base = newest(&system).await;
    let (awa, ben) = (with_account(&mut system, "third"), with_account(&mut system, "fourth"));
    let (awas, bens) = (
        format!("submit=awas&base={base}&author=awa"),
        format!("submit=bens&base={base}&author=ben"),
    );
    let (first, second) =
        tokio::join!(submit(&system, 0, &awas, &awa), submit(&system, 1, &bens, &ben));
    let (winner, loser, lost, name) = match (first.0, second.0) {
        (200, 409) => ("third", "fourth", second.1, "awa"),
        (409, 200) => ("fourth", "third", first.1, "ben"),
        _ => panic!("{first:?} and {second:?}"),
    };
    assert!(lost.contains("nothing changed") && lost.contains(name), "{lost}");
    in_force_everywhere(&system, winner).await;
    unknown_everywhere(&system, loser).await;
}

/// After a change the platform shows each row as it was before, as a copy that
/// lags would. The older revision must not come back at any host, and callers
/// are served all the while.
#[tokio::test]
async fn an_old_row_does_not_bring_an_older_revision_back() {
    let mut system = start().await;
    let config = with_account(&mut system, "third");
    system.submit(&config).await.unwrap();
    in_force_everywhere(&system, "third").await;
    let client = system.connect(1, "third", "g1").await.unwrap();
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
    system.platform_faults(r#"{"old_rows": true}"#).await.unwrap();
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(6) {
        client.simple_query("SELECT 1").await.unwrap();
        tokio::time::sleep(PAUSE).await;
    }
    in_force_everywhere(&system, "third").await;
}

/// A host restarts during an outage, knowing nothing. It gets the newest
/// revision from its peers, and serves by it.
#[tokio::test]
async fn a_host_restarted_in_an_outage_gets_the_newest_revision() {
    let mut system = start().await;
    let config = with_account(&mut system, "third");
    system.submit(&config).await.unwrap();
    in_force_everywhere(&system, "third").await;
    system.platform_faults(r#"{"down": true}"#).await.unwrap();
    system.hosts[1].kill();
    system.hosts[1].start().unwrap();
    let client = system.connect(1, "third", "g1").await.unwrap();
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
}

/// All hosts restart at once, as after a power cut: what was accepted is in the
/// platform and comes back in force by itself.
#[tokio::test]
async fn a_revision_outlives_all_hosts() {
    let mut system = start().await;
    let config = with_account(&mut system, "third");
    system.submit(&config).await.unwrap();
    system.hosts.iter_mut().for_each(lab::process::Process::kill);
    system.hosts.iter_mut().for_each(|host| host.start().unwrap());
    for host in 0..system.plan.hosts {
        let client = system.connect(host, "third", "g1").await.unwrap();
        system::run_until_ok(&client, "SELECT 1").await.unwrap();
    }
}

/// The platform answers each call late, near the limit of what is waited for. No
/// caller notices, and a submit takes its time and is accepted.
#[tokio::test]
async fn a_slow_platform_stops_neither_callers_nor_submits() {
    let mut system = start().await;
    let client = system.connect(1, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
    system.platform_faults(r#"{"slow_ms": 1500}"#).await.unwrap();
    let config = with_account(&mut system, "third");
    let submitting = submit(&system, 0, "submit=slow", &config);
    let asking = async {
        let since = Instant::now();
        while since.elapsed() < SECONDS {
            client.simple_query("SELECT 1").await.unwrap();
            tokio::time::sleep(PAUSE).await;
        }
    };
    let ((status, text), ()) = tokio::join!(submitting, asking);
    assert_eq!(status, 200, "{text}");
    in_force_everywhere(&system, "third").await;
}

/// A large configuration is submitted while a host does not reach the platform and its links
/// to the others are slow. They give up telling it after half a second, in less time than one
/// copy takes, and begin again; it must take the copy that comes late, or it never has any.
#[tokio::test]
async fn a_large_revision_reaches_a_host_over_slow_links() {
    const SLOW: u64 = 4_000;
    const ACCOUNTS: usize = 60;
    let mut system = System::start(Plan { links: true, ..Plan::default() }).await.unwrap();
    let slow = Fault { bytes_per_sec: SLOW, ..Fault::default() };
    system.fault("h*>h3", slow.clone()).await.unwrap();
    system.fault("h3>h*", slow).await.unwrap();
    system.cut("h3>platform").await.unwrap();
    let more = (0..ACCOUNTS).map(|n| (format!("account-{n:05}"), 1000.0, 1000.0));
    system.plan.accounts.extend(more);
    let config = system.config();
    let query = format!("submit=large&base={}", newest(&system).await);
    let (status, text) = submit(&system, 0, &query, &config).await;
    assert_eq!(status, 200, "{text}");
    in_force_everywhere(&system, "account-00059").await;
}
