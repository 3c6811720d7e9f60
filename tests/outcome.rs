//! Requests with an id run at most once, and what became of them is told truthfully.

mod ledger;

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    HostId,
    outcome::Outcome,
    rendezvous::{self, Candidate},
};
use lab::{
    link::Fault,
    system::{self, Plan, System, WAIT_TIMEOUT},
};
use ledger::Reported;
use tokio_postgres::Client;

async fn start(plan: Plan) -> (System, Client) {
    let system = System::start(plan).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS booking (id TEXT)").await.unwrap();
    until_all_serve(&system).await;
    (system, client)
}

fn booking(id: &str) -> String {
    format!("INSERT INTO booking VALUES ('{id}')")
}

/// Runs a statement under a request id; what the caller is told.
async fn send(client: &Client, id: &str, sql: &str) -> Reported {
    client.batch_execute(&format!("SET bergamottrack.request = '{id}'")).await.unwrap();
    client.simple_query(sql).await.map_or_else(|error| ledger::reported(&error), |_| Reported::Done)
}

/// What a host says became of a request.
async fn ask(system: &System, host: usize, id: &str) -> Outcome {
    let path = format!("/outcome?group=g1&account=baobab&id={id}");
    let address = system.addresses[host].operator;
    let (status, body) = system::request(address, "GET", &path, "").await.unwrap();
    assert_eq!(status, 200, "{body}");
    let page: serde_json::Value = serde_json::from_str(&body).unwrap();
    serde_json::from_value(page["outcome"].clone()).unwrap()
}

/// Asks until it is known.
async fn until_known(system: &System, host: usize, id: &str) -> Outcome {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        match ask(system, host, id).await {
            Outcome::Unknown { again } => tokio::time::sleep(again).await,
            known => return known,
        }
        assert!(Instant::now() < deadline, "nobody knows what became of {id}");
    }
}

/// How often a booking is in the primary's table.
async fn times(system: &System, id: &str) -> usize {
    let (primary, _) = ledger::primary(system).await;
    let client = system.connect_server(&primary).await.unwrap();
    let sql = format!("SELECT id FROM booking WHERE id = '{id}'");
    system::rows(&client, &sql).await.unwrap().len()
}

/// A customer presses the button twice: the second time nothing runs, whether
/// the booking is one statement, a prepared one or a transaction.
#[tokio::test]
async fn a_request_sent_again_is_not_run_again() {
    let (system, client) = start(Plan::default()).await;
    assert_eq!(send(&client, "r1", &booking("b1")).await, Reported::Done);
    client.batch_execute("SET bergamottrack.request = 'r1'").await.unwrap();
    let error = client.simple_query(&booking("b1")).await.unwrap_err();
    let answer = error.as_db_error().unwrap();
    assert_eq!((answer.code().code(), answer.detail()), ("23505", Some("done")));

    let other = system.connect(1, "baobab", "g1").await.unwrap();
    for host in [&client, &other] {
        host.batch_execute("SET bergamottrack.request = 'r2'").await.unwrap();
        // The second time it is refused as done.
        let _ = host.execute("INSERT INTO booking VALUES ($1)", &[&"b2"]).await;
        let _ = send(host, "r3", "BEGIN").await;
        let _ = host.batch_execute(&booking("b3")).await;
        let _ = host.batch_execute("COMMIT").await;
    }
    for id in ["b1", "b2"] {
        assert_eq!(times(&system, id).await, 1, "{id}");
    }
    assert_eq!(send(&other, "r3", "BEGIN").await, Reported::Done);
    assert_eq!(
        send(&other, "r4", "BEGIN; INSERT INTO booking VALUES ('b4')").await,
        Reported::Done
    );
    other.batch_execute("COMMIT").await.unwrap();
    assert_eq!(send(&client, "r4", &booking("b4")).await, Reported::Done);
    assert_eq!(times(&system, "b4").await, 1);
    // The id is the account's own: another account may use the same one.
    let hartwell = system.connect(0, "hartwell", "g1").await.unwrap();
    assert_eq!(send(&hartwell, "r1", &booking("b5")).await, Reported::Done);
    assert_eq!(times(&system, "b5").await, 1);
}

/// A booking fails in the database: the caller sees the database's own error,
/// and the same id may be sent again, for nothing ran.
#[tokio::test]
async fn a_failed_request_may_be_sent_again() {
    let (system, client) = start(Plan::default()).await;
    client.batch_execute("SET bergamottrack.request = 'r1'").await.unwrap();
    let error = client.simple_query("INSERT INTO nowhere VALUES (1)").await.unwrap_err();
    assert_eq!(error.as_db_error().unwrap().detail(), None, "{error:?}");
    assert_eq!(send(&client, "r1", &booking("b1")).await, Reported::Done);
    assert_eq!(times(&system, "b1").await, 1);
}

/// The same booking arrives at three hosts at once, as after an impatient
/// retry: one runs, and no caller hears that it did not.
#[tokio::test]
async fn one_id_at_all_hosts_at_once_runs_once() {
    let (system, _client) = start(Plan::default()).await;
    for round in 0..10 {
        let id = format!("b{round}");
        let mut sent = Vec::new();
        for host in 0..system.plan.hosts {
            let client = system.connect(host, "baobab", "g1").await.unwrap();
            let id = id.clone();
            sent.push(tokio::spawn(async move { send(&client, &id, &booking(&id)).await }));
        }
        for reported in sent {
            assert_eq!(reported.await.unwrap(), Reported::Done);
        }
        assert_eq!(times(&system, &id).await, 1, "{id}");
    }
}

/// The primary commits a booking and feeds its replicas, but its answer is
/// lost on the way to the hosts. The home finds the booking on the next
/// primary and says so; sent again, it is not run again.
#[tokio::test]
async fn an_answer_lost_after_the_commit_is_found() {
    let (system, client) = start(Plan { links: true, ..Plan::default() }).await;
    assert_eq!(send(&client, "r0", &booking("b0")).await, Reported::Done);
    assert_eq!(send(&client, "r1", "BEGIN").await, Reported::Done);
    client.batch_execute(&booking("b1")).await.unwrap();
    let fault = Fault { cut_down: true, ..Fault::default() };
    system.fault("h*>g1s1", fault).await.unwrap();
    let error = client.batch_execute("COMMIT").await.unwrap_err();
    assert_eq!(ledger::reported(&error), Reported::Done, "{error:?}");
    system.mend("*").await.unwrap();
    assert_eq!(send(&client, "r1", &booking("b1")).await, Reported::Done);
    assert_eq!(times(&system, "b1").await, 1);
}

/// Sends a booking again and again until it is told done.
async fn until_done(client: &Client, id: &str) {
    let sql = booking(&id.replace('r', "b"));
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while send(client, id, &sql).await != Reported::Done {
        assert!(Instant::now() < deadline, "{id} is not done");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A primary freezes with a booking in it, is replaced, and wakes. The home has
/// ruled the attempt out at the new primary, and what the old one still does
/// counts nowhere: "not run" stays true until the caller sends the id again.
#[tokio::test]
async fn an_attempt_that_wakes_does_not_run() {
    let (system, client) = start(Plan::default()).await;
    assert_eq!(send(&client, "r0", &booking("b0")).await, Reported::Done);
    system.servers["g1s1"].signal(libc::SIGSTOP).unwrap();
    let reported = send(&client, "r1", &booking("b1")).await;
    assert_eq!(reported, Reported::NotRun);
    system.servers["g1s1"].signal(libc::SIGCONT).unwrap();
    ledger::until_follows(&system, "g1s1", 1).await;
    assert_eq!(times(&system, "b1").await, 0);
    assert_eq!(send(&client, "r1", &booking("b1")).await, Reported::Done);
    assert_eq!(send(&client, "r1", &booking("b1")).await, Reported::Done);
    assert_eq!(times(&system, "b1").await, 1);
}

/// Bookings with ids are sent again until done, through all hosts, while the
/// primary is killed: each is there exactly once in the end.
#[tokio::test]
async fn requests_sent_again_over_a_failover_run_once() {
    let (mut system, _client) = start(Plan::default()).await;
    let mut callers = Vec::new();
    for host in 0..system.plan.hosts {
        let client = system.connect(host, "baobab", "g1").await.unwrap();
        callers.push(tokio::spawn(async move {
            for number in 0..40 {
                until_done(&client, &format!("r{host}-{number}")).await;
            }
        }));
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    system.servers.get_mut("g1s1").unwrap().kill();
    for caller in callers {
        caller.await.unwrap();
    }
    let (primary, status) = ledger::primary(&system).await;
    assert!(status.term.0 > 1, "nobody was promoted");
    let client = system.connect_server(&primary).await.unwrap();
    let mut found = system::rows(&client, "SELECT id FROM booking").await.unwrap();
    found.sort();
    let mut wanted: Vec<_> =
        (0..3).flat_map(|host| (0..40).map(move |n| format!("b{host}-{n}"))).collect();
    wanted.sort();
    assert_eq!(found, wanted);
}

/// The platform is down, and the telephone rings: "did my booking go through?"
/// Any host answers truthfully, also right after a failover, and "not run"
/// holds until the customer books again.
#[tokio::test]
async fn any_host_tells_outcomes_while_the_platform_is_down() {
    let (mut system, client) = start(Plan::default()).await;
    system.platform_faults(r#"{"down": true}"#).await.unwrap();
    assert_eq!(send(&client, "r1", &booking("b1")).await, Reported::Done);
    for host in 0..system.plan.hosts {
        assert_eq!(until_known(&system, host, "r1").await, Outcome::Done);
        assert_eq!(until_known(&system, host, &format!("never-{host}")).await, Outcome::NotRun);
    }
    system.servers.get_mut("g1s1").unwrap().kill();
    for host in 0..system.plan.hosts {
        assert_eq!(until_known(&system, host, "r1").await, Outcome::Done);
        assert_eq!(until_known(&system, host, "never-1").await, Outcome::NotRun);
    }
    assert_eq!(send(&client, "never-1", &booking("b2")).await, Reported::Done);
    assert_eq!(until_known(&system, 2, "never-1").await, Outcome::Done);
    assert_eq!((times(&system, "b1").await, times(&system, "b2").await), (1, 1));
}

/// A booking is open in a transaction that its caller may yet commit: nobody
/// may say that it did not run.
#[tokio::test]
async fn a_request_that_runs_is_not_told_as_not_run() {
    let (system, client) = start(Plan::default()).await;
    assert_eq!(send(&client, "r1", "BEGIN").await, Reported::Done);
    client.batch_execute(&booking("b1")).await.unwrap();
    for host in 0..system.plan.hosts {
        let outcome = ask(&system, host, "r1").await;
        assert!(matches!(outcome, Outcome::Unknown { .. }), "{outcome}");
    }
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(until_known(&system, 1, "r1").await, Outcome::Done);
}

/// An attempt is delayed between its first look and its claim. Meanwhile the
/// hosts lose each other, another one takes itself for the home and tells the
/// customer "not run". The attempt must not run after that.
#[tokio::test]
async fn an_attempt_that_was_ruled_out_meanwhile_does_not_run() {
    // Delays must not look like silence.
    let policy = "silence_ms = 5000\nrequest_ms = 20000".to_owned();
    let (system, client) = start(Plan { links: true, policy, ..Plan::default() }).await;
    assert_eq!(send(&client, "r0", &booking("b0")).await, Reported::Done);
    until_alone(&system, &client).await;
    // A void row, from which the attempt plans.
    assert_eq!(until_known(&system, 2, "r1").await, Outcome::NotRun);
    let delay = Fault { delay_ms: 600, ..Fault::default() };
    system.fault("h1>g1s1", delay).await.unwrap();
    let sending = tokio::spawn(async move { send_within_rate(&client, "r1", "b1").await });
    until_log(&system, 0, "request r1 is planned").await;
    assert_eq!(until_known(&system, 2, "r1").await, Outcome::NotRun);
    assert_ne!(sending.await.unwrap(), Reported::Done);
    assert_eq!(times(&system, "b1").await, 0);
}

/// Sends a booking, again while it is over the account's rate: a host that
/// stands alone may yet lack a part of it.
async fn send_within_rate(client: &Client, id: &str, name: &str) -> Reported {
    client.batch_execute(&format!("SET bergamottrack.request = '{id}'")).await.unwrap();
    for _ in 0..100 {
        let Err(error) = client.simple_query(&booking(name)).await else { return Reported::Done };
        if error.code().map(|code| code.code()) != Some("53400") {
            return ledger::reported(&error);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    panic!("{id} stays over the rate");
}

/// A booking is held up on its way to the home, and its entry host freezes. The
/// customer gives up, asks elsewhere and hears "not run". When the network
/// delivers the booking after all, nobody waits for it: it must not run.
#[tokio::test]
async fn a_request_that_comes_late_does_not_run() {
    let (system, _client) = start(Plan { links: true, ..Plan::default() }).await;
    let home = home_of(&system, "g1");
    let entry = (home + 1) % system.plan.hosts;
    let client = system.connect(entry, "baobab", "g1").await.unwrap();
    until_alone(&system, &client).await;
    system.mend("*").await.unwrap();
    let mut warm = 0;
    while !system.hosts[home].log().contains("is planned") {
        warm += 1;
        assert!(warm < 300, "the home is not found again");
        until_done(&client, &format!("r-warm-{warm}")).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let link = format!("h{}>h{}", entry + 1, home + 1);
    system.fault(&link, Fault { cut_up: true, ..Fault::default() }).await.unwrap();
    let sending = tokio::spawn(async move { send_within_rate(&client, "r1", "b1").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    system.hosts[entry].signal(libc::SIGSTOP).unwrap();
    assert_eq!(until_known(&system, home, "r1").await, Outcome::NotRun);
    system.mend("*").await.unwrap();
    until_log(&system, home, "request r1 is planned").await;
    // Until the home has ended the attempt nothing is known of it.
    assert_eq!(until_known(&system, home, "r1").await, Outcome::NotRun);
    assert_eq!(times(&system, "b1").await, 0);
    system.hosts[entry].signal(libc::SIGCONT).unwrap();
    assert_ne!(sending.await.unwrap(), Reported::Done);
    let client = system.connect(home, "baobab", "g1").await.unwrap();
    assert_eq!(send(&client, "r1", &booking("again")).await, Reported::Done);
    assert_eq!((times(&system, "b1").await, times(&system, "again").await), (0, 1));
}

/// Cuts the hosts off from each other for good, once the caller's host serves
/// it alone: a host that has just joined has no part of the account's rate yet.
async fn until_alone(system: &System, client: &Client) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        system.cut("h*>h*").await.unwrap();
        for _ in 0..8 {
            if client.simple_query(&booking("b0")).await.is_ok() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        assert!(Instant::now() < deadline, "the host does not serve alone");
        system.mend("h*>h*").await.unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Waits until a host has logged a text.
async fn until_log(system: &System, host: usize, text: &str) {
    ledger::until(text, async || system.hosts[host].log().contains(text)).await;
}

/// Waits until every host serves callers.
async fn until_all_serve(system: &System) {
    for host in 0..system.plan.hosts {
        let client = system.connect(host, "baobab", "g1").await.unwrap();
        system::run_until_ok(&client, "SELECT id FROM booking").await.unwrap();
    }
}

/// The host that ranks first for a group.
fn home_of(system: &System, group: &str) -> usize {
    let hosts: Vec<HostId> =
        (1..=system.plan.hosts).map(|host| format!("h{host}").parse().unwrap()).collect();
    let domain = "d1".parse().unwrap();
    let candidates = hosts.iter().map(|host| Candidate { host, domain: &domain });
    let first = rendezvous::rank(&group.parse().unwrap(), candidates, None)[0];
    hosts.iter().position(|host| host == first).unwrap()
}
