//! The path from a caller through entry and home to a backend server, as separate processes.

use lab::{
    ports::Ports,
    process::Process,
    system::{self, Plan, SECRET, System},
};

async fn check_write_is_read_by_all_hosts(plan: Plan) {
    let system = System::start(plan).await.unwrap();
    let writer = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&writer, "CREATE TABLE IF NOT EXISTS booking (id TEXT, day TEXT)")
        .await
        .unwrap();
    writer.simple_query("INSERT INTO booking VALUES ('b1', 'monday')").await.unwrap();
    for host in 0..system.plan.hosts {
        let reader = system.connect(host, "baobab", "g1").await.unwrap();
        let days = system::rows(&reader, "SELECT day FROM booking WHERE id = 'b1'").await.unwrap();
        assert_eq!(days, ["monday"], "through host {host}");
    }
}

/// Guards against a write through one host that is not visible to reads through the others, by
/// way of the group's home and a backend server.
#[tokio::test]
async fn a_write_is_read_through_every_host() {
    check_write_is_read_by_all_hosts(Plan::default()).await;
}

/// Guards against links that break the path: the same write and reads, with a link that could be
/// cut between any two processes.
#[tokio::test]
async fn a_write_is_read_through_every_host_over_links() {
    check_write_is_read_by_all_hosts(Plan { links: true, ..Plan::default() }).await;
}

/// A host is started twice by mistake, or an earlier one is still running. Guards against two
/// processes that share the port, so that either may answer a caller, perhaps for another fleet.
#[tokio::test]
async fn a_second_host_at_the_same_address_does_not_start() {
    let system = System::start(Plan { hosts: 1, ..Plan::default() }).await.unwrap();
    let first = system.addresses[0];
    let mut ports = Ports::take().unwrap();
    let args = vec![
        "serve".into(),
        "--host=twin".into(),
        "--domain=d1".into(),
        format!("--listen={}", first.callers),
        format!("--peer={}", ports.address().unwrap()),
        format!("--operator={}", ports.address().unwrap()),
        format!("--platform={}", system.platform_address),
    ];
    let program = system::program("bergamottrack").unwrap();
    let mut twin =
        Process::new("twin", &program, args, system.dir()).env("BERGAMOTTRACK_SECRET", SECRET);
    twin.start().unwrap();
    assert_eq!(twin.wait().unwrap(), Some(2), "{}", twin.log());
    assert!(twin.log().contains("listening for callers"), "{}", twin.log());
}
