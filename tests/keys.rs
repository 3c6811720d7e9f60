//! Withdrawal of keys: a withdrawn key stops working within seconds, also for connected callers and
//! on hosts that are cut off. No key is ever sent to a backend server.

use std::time::{Duration, Instant};

use bergamottrack_contract::Verifier;
use lab::system::{self, Plan, System, WAIT_TIMEOUT};
use tokio_postgres::Client;

/// Timeout for a withdrawal to take effect. The freshness limit is three seconds.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Duration for which a caller must stay refused, or stay served.
const WATCH_DURATION: Duration = Duration::from_secs(2);

/// Interval between two statements of a watched caller.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the configuration with the account's key withdrawn.
fn without_key(config: &str, account: &str) -> String {
    let verifier = Verifier::new(&system::key_of(account), account.as_bytes());
    let line = format!("verifier = \"{verifier}\"\n");
    assert!(config.contains(&line));
    config.replace(&line, &format!("{line}withdrawn = true\n"))
}

/// Connects a caller of the account to each host and waits until all are served.
async fn connect_all(system: &System, account: &str) -> Vec<Client> {
    let mut clients = Vec::new();
    for host in 0..system.plan.hosts {
        let client = system.connect(host, account, "g1").await.unwrap();
        system::run_until_ok(&client, "SELECT 1").await.unwrap();
        clients.push(client);
    }
    clients
}

/// Checks that the caller is refused within `WITHDRAWAL_TIMEOUT` and not served again after that.
async fn assert_refused(client: &Client) {
    let start = Instant::now();
    while client.simple_query("SELECT 1").await.is_ok() {
        assert!(start.elapsed() < WITHDRAWAL_TIMEOUT, "a withdrawn key still works");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let refused = Instant::now();
    while refused.elapsed() < WATCH_DURATION {
        let result = client.simple_query("SELECT 1").await;
        assert!(result.is_err(), "a withdrawn key works again");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Checks that the caller is served, without a single refusal for `WATCH_DURATION`.
async fn assert_served(client: &Client) {
    system::run_until_ok(client, "SELECT 1").await.unwrap();
    let start = Instant::now();
    while start.elapsed() < WATCH_DURATION {
        client.simple_query("SELECT 1").await.unwrap();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against connected callers that keep using a withdrawn key. Callers are connected through
/// all hosts when the operator withdraws their key; each is refused within seconds and cannot
/// connect again, and another account's callers are not affected.
#[tokio::test]
async fn withdrawn_key_is_refused_for_connected_callers() {
    let system = System::start(Plan::default()).await.unwrap();
    let withdrawn = connect_all(&system, "baobab").await;
    let others = connect_all(&system, "hartwell").await;
    system.submit(&without_key(&system.config(), "baobab")).await.unwrap();
    for client in &withdrawn {
        assert_refused(client).await;
    }
    for client in &others {
        assert_served(client).await;
    }
    for host in 0..system.plan.hosts {
        let reconnected = system::connect(&system.caller(host, "baobab", "g1")).await;
        assert!(reconnected.is_err(), "a caller connected with a withdrawn key");
    }
}

/// Guards against a withdrawal that is lost with the platform, which goes down right after it. The
/// key stays withdrawn, callers of other accounts are served throughout the outage, and a host that
/// restarts without any state during it gets the configuration from its peers.
#[tokio::test]
async fn key_stays_withdrawn_through_platform_outage_and_host_restart() {
    let mut system = System::start(Plan::default()).await.unwrap();
    let withdrawn = connect_all(&system, "baobab").await;
    let others = connect_all(&system, "hartwell").await;
    system.submit(&without_key(&system.config(), "baobab")).await.unwrap();
    system.platform_faults(r#"{"down": true}"#).await.unwrap();
    let outage = Instant::now();
    for client in &withdrawn {
        assert_refused(client).await;
    }
    // Longer than the freshness limit, so freshness now depends on the votes of the peers.
    while outage.elapsed() < WITHDRAWAL_TIMEOUT {
        for client in &others {
            client.simple_query("SELECT 1").await.unwrap();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    system.hosts[2].kill();
    system.hosts[2].start().unwrap();
    let other = system.connect(2, "hartwell", "g1").await.unwrap();
    assert_served(&other).await;
    assert!(system::connect(&system.caller(2, "baobab", "g1")).await.is_err());
}

/// Cuts off one host and then withdraws a key through another. If cut off from the platform only,
/// the host gets the withdrawal from its peers, and if cut off from its peers only, from the
/// platform. If cut off from both, it cannot get the withdrawal and must refuse all callers.
async fn withdraw_while_cut_off(platform: bool, peers: bool) {
    let system = System::start(Plan { links: true, ..Plan::default() }).await.unwrap();
    let withdrawn = connect_all(&system, "baobab").await;
    let others = connect_all(&system, "hartwell").await;
    if platform {
        system.cut("h3>platform").await.unwrap();
    }
    if peers {
        system.cut("h3>h*").await.unwrap();
        system.cut("h*>h3").await.unwrap();
    }
    system.submit(&without_key(&system.config(), "baobab")).await.unwrap();
    for client in &withdrawn {
        assert_refused(client).await;
    }
    assert_served(&others[0]).await;
    if platform && peers {
        assert_refused(&others[2]).await;
    } else {
        assert_served(&others[2]).await;
    }
    system.mend("h*>*").await.unwrap();
    assert_served(&others[2]).await;
    assert_refused(&withdrawn[2]).await;
}

/// Guards against a key that still works because its host gets withdrawals from the platform only.
#[tokio::test]
async fn withdrawn_key_is_refused_by_host_cut_off_from_the_platform() {
    withdraw_while_cut_off(true, false).await;
}

/// Guards against a key that still works because its host gets withdrawals from its peers only.
#[tokio::test]
async fn withdrawn_key_is_refused_by_host_cut_off_from_its_peers() {
    withdraw_while_cut_off(false, true).await;
}

/// Guards against a key that still works on a host that can get no withdrawal at all.
#[tokio::test]
async fn host_cut_off_from_platform_and_peers_refuses_all_callers() {
    withdraw_while_cut_off(true, true).await;
}

/// Guards against a resumed host that uses an old configuration. The host is cut off and frozen, a
/// key is withdrawn, and the host resumes and reads what its caller sent meanwhile. It got no
/// withdrawal, and its last proof of freshness is too old, so it must refuse the caller.
#[tokio::test]
async fn resumed_host_does_not_accept_withdrawn_key() {
    let system = System::start(Plan { links: true, ..Plan::default() }).await.unwrap();
    let withdrawn = connect_all(&system, "baobab").await;
    let others = connect_all(&system, "hartwell").await;
    for links in ["h3>platform", "h3>h*", "h*>h3"] {
        system.cut(links).await.unwrap();
    }
    system.hosts[2].signal(libc::SIGSTOP).unwrap();
    system.submit(&without_key(&system.config(), "baobab")).await.unwrap();
    // Longer than the freshness limit.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let query = withdrawn[2].simple_query("SELECT 1");
    let (result, resumed) = tokio::join!(query, async {
        tokio::time::sleep(POLL_INTERVAL).await;
        system.hosts[2].signal(libc::SIGCONT)
    });
    resumed.unwrap();
    assert!(result.is_err(), "a resumed host accepted a withdrawn key");
    assert_refused(&withdrawn[2]).await;
    system.mend("h*>*").await.unwrap();
    assert_served(&others[2]).await;
    assert_refused(&withdrawn[2]).await;
}

/// Guards against keys sent between processes. All bytes between any two processes are recorded
/// while callers log in with right and wrong keys and run statements: the statements are among the
/// bytes, the keys are not.
#[tokio::test]
async fn bytes_between_processes_contain_no_key() {
    let plan = Plan { links: true, record: true, ..Plan::default() };
    let system = System::start(plan).await.unwrap();
    let writer = system.connect(0, "baobab", "g1").await.unwrap();
    let sql = "CREATE TABLE IF NOT EXISTS booking (id TEXT)";
    system::run_until_ok(&writer, sql).await.unwrap();
    for host in 0..system.plan.hosts {
        let client = system.connect(host, "baobab", "g1").await.unwrap();
        client.simple_query("INSERT INTO booking VALUES ('recorded')").await.unwrap();
        let mut wrong = system.caller(host, "baobab", "g1");
        wrong.password("a-wrong-key");
        assert!(system::connect(&wrong).await.is_err());
    }
    let contains =
        |bytes: &[u8], text: &str| bytes.windows(text.len()).any(|w| w == text.as_bytes());
    let start = Instant::now();
    let path = system.dir().join("bytes");
    let bytes = loop {
        let bytes = std::fs::read(&path).unwrap();
        if contains(&bytes, "'recorded'") {
            break bytes;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "the statement was not recorded");
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    assert!(!contains(&bytes, &system::key_of("baobab")), "the key was sent over a link");
    assert!(!contains(&bytes, "a-wrong-key"), "a wrong key was sent over a link");
}
