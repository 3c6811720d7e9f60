//! A withdrawn key stops working within seconds, also on connected callers and
//! on hosts that are cut off; and no key ever reaches a server.

use std::time::{Duration, Instant};

use bergamottrack_contract::Verifier;
use lab::system::{self, PATIENCE, Plan, System};
use tokio_postgres::Client;

/// What "within seconds" may mean at most: the freshness limit is three.
const SECONDS: Duration = Duration::from_secs(10);

/// How long a caller that was refused is watched for being served again.
const WATCHED: Duration = Duration::from_secs(2);

const PAUSE: Duration = Duration::from_millis(20);

/// The configuration with the account's key withdrawn.
fn without_key(config: &str, account: &str) -> String {
    let verifier = Verifier::new(&system::key_of(account), account.as_bytes());
    let line = format!("verifier = \"{verifier}\"\n");
    assert!(config.contains(&line));
    config.replace(&line, &format!("{line}withdrawn = true\n"))
}

async fn connect_all(system: &System, account: &str) -> Vec<Client> {
    let mut clients = Vec::new();
    for host in 0..system.plan.hosts {
        let client = system.connect(host, account, "g1").await.unwrap();
        system::until_runs(&client, "SELECT 1").await.unwrap();
        clients.push(client);
    }
    clients
}

/// The caller is refused within seconds, and not served again after that.
async fn is_stopped(client: &Client) {
    let since = Instant::now();
    while client.simple_query("SELECT 1").await.is_ok() {
        assert!(since.elapsed() < SECONDS, "a withdrawn key still works");
        tokio::time::sleep(PAUSE).await;
    }
    let refused = Instant::now();
    while refused.elapsed() < WATCHED {
        let answer = client.simple_query("SELECT 1").await;
        assert!(answer.is_err(), "a withdrawn key works again");
        tokio::time::sleep(PAUSE).await;
    }
}

/// The caller is served, and is not refused once for a while.
async fn is_served(client: &Client) {
    system::until_runs(client, "SELECT 1").await.unwrap();
    let since = Instant::now();
    while since.elapsed() < WATCHED {
        client.simple_query("SELECT 1").await.unwrap();
        tokio::time::sleep(PAUSE).await;
    }
}

/// The operator withdraws a key while its callers are connected, through all
/// hosts. Each of them is refused within seconds and cannot connect again;
/// another account's callers notice nothing.
#[tokio::test]
async fn a_withdrawn_key_stops_on_connected_callers() {
    let system = System::start(Plan::default()).await.unwrap();
    let withdrawn = connect_all(&system, "baobab").await;
    let others = connect_all(&system, "hartwell").await;
    system.submit(&without_key(&system.config(), "baobab")).await.unwrap();
    for client in &withdrawn {
        is_stopped(client).await;
    }
    for client in &others {
        is_served(client).await;
    }
    for host in 0..system.plan.hosts {
        let again = system::connect(&system.caller(host, "baobab", "g1")).await;
        assert!(again.is_err(), "a withdrawn key connects");
    }
}

/// A key is withdrawn and the platform goes down right after. The key stays
/// withdrawn, callers of other accounts are served all through the outage, and
/// a host that restarts in it, knowing nothing, learns the same from its peers.
#[tokio::test]
async fn a_key_stays_withdrawn_through_an_outage_and_a_restart() {
    let mut system = System::start(Plan::default()).await.unwrap();
    let withdrawn = connect_all(&system, "baobab").await;
    let others = connect_all(&system, "hartwell").await;
    system.submit(&without_key(&system.config(), "baobab")).await.unwrap();
    system.platform_faults(r#"{"down": true}"#).await.unwrap();
    let outage = Instant::now();
    for client in &withdrawn {
        is_stopped(client).await;
    }
    // Longer than freshness lasts: it is the peers that vouch now.
    while outage.elapsed() < SECONDS {
        for client in &others {
            client.simple_query("SELECT 1").await.unwrap();
        }
        tokio::time::sleep(PAUSE).await;
    }
    system.hosts[2].kill();
    system.hosts[2].start().unwrap();
    let other = system.connect(2, "hartwell", "g1").await.unwrap();
    is_served(&other).await;
    assert!(system::connect(&system.caller(2, "baobab", "g1")).await.is_err());
}

/// One host is cut off, then a key is withdrawn through another. Cut off from
/// the platform it learns of it from its peers; cut off from its peers, from the
/// platform. Cut off from both it cannot know, and must serve nobody.
async fn cut_off(platform: bool, peers: bool) {
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
        is_stopped(client).await;
    }
    is_served(&others[0]).await;
    if platform && peers {
        is_stopped(&others[2]).await;
    } else {
        is_served(&others[2]).await;
    }
    system.mend("h*>*").await.unwrap();
    is_served(&others[2]).await;
    is_stopped(&withdrawn[2]).await;
}

#[tokio::test]
async fn a_key_stops_on_a_host_cut_off_from_the_platform() {
    cut_off(true, false).await;
}

#[tokio::test]
async fn a_key_stops_on_a_host_cut_off_from_its_peers() {
    cut_off(false, true).await;
}

#[tokio::test]
async fn a_host_cut_off_from_platform_and_peers_serves_nobody() {
    cut_off(true, true).await;
}

/// A host is cut off and frozen at once, a key is withdrawn, and the host wakes
/// and reads what its caller sent meanwhile. It has heard nothing, and its last
/// proof of being up to date is old: it must not serve the caller from the past.
#[tokio::test]
async fn a_host_that_wakes_does_not_honour_a_withdrawn_key() {
    let system = System::start(Plan { links: true, ..Plan::default() }).await.unwrap();
    let withdrawn = connect_all(&system, "baobab").await;
    let others = connect_all(&system, "hartwell").await;
    for names in ["h3>platform", "h3>h*", "h*>h3"] {
        system.cut(names).await.unwrap();
    }
    system.hosts[2].signal(libc::SIGSTOP).unwrap();
    system.submit(&without_key(&system.config(), "baobab")).await.unwrap();
    // Longer than freshness lasts.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let asked = withdrawn[2].simple_query("SELECT 1");
    let (asked, woken) = tokio::join!(asked, async {
        tokio::time::sleep(PAUSE).await;
        system.hosts[2].signal(libc::SIGCONT)
    });
    woken.unwrap();
    assert!(asked.is_err(), "a withdrawn key was honoured by a host that woke");
    is_stopped(&withdrawn[2]).await;
    system.mend("h*>*").await.unwrap();
    is_served(&others[2]).await;
    is_stopped(&withdrawn[2]).await;
}

/// All bytes between any two processes are recorded while callers prove their
/// keys, rightly and wrongly, and work. The statements are among the bytes; the
/// keys are not.
#[tokio::test]
async fn no_key_is_in_any_byte_between_processes() {
    let plan = Plan { links: true, record: true, ..Plan::default() };
    let system = System::start(plan).await.unwrap();
    let writer = system.connect(0, "baobab", "g1").await.unwrap();
    let sql = "CREATE TABLE IF NOT EXISTS booking (id TEXT)";
    system::until_runs(&writer, sql).await.unwrap();
    for host in 0..system.plan.hosts {
        let client = system.connect(host, "baobab", "g1").await.unwrap();
        client.simple_query("INSERT INTO booking VALUES ('recorded')").await.unwrap();
        let mut wrong = system.caller(host, "baobab", "g1");
        wrong.password("a-wrong-key");
        assert!(system::connect(&wrong).await.is_err());
    }
    let seen = |bytes: &[u8], text: &str| bytes.windows(text.len()).any(|w| w == text.as_bytes());
    let since = Instant::now();
    let path = system.dir().join("bytes");
    let bytes = loop {
        let bytes = std::fs::read(&path).unwrap();
        if seen(&bytes, "'recorded'") {
            break bytes;
        }
        assert!(since.elapsed() < PATIENCE, "nothing was recorded");
        tokio::time::sleep(PAUSE).await;
    };
    assert!(!seen(&bytes, &system::key_of("baobab")), "the key went over a link");
    assert!(!seen(&bytes, "a-wrong-key"), "a wrong key went over a link");
}
