//! The whole path, as separate processes.

use lab::{
    ports::Ports,
    process::Process,
    system::{self, Plan, SECRET, System},
};

async fn write_here_read_everywhere(plan: Plan) {
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

/// A booking goes in through one host and is read back through another, by way
/// of the group's home and a backend server.
#[tokio::test]
async fn a_write_and_its_read_are_served_end_to_end() {
    write_here_read_everywhere(Plan::default()).await;
}

/// The same with a link that could be cut between any two processes.
#[tokio::test]
async fn the_path_is_served_through_links() {
    write_here_read_everywhere(Plan { links: true, ..Plan::default() }).await;
}

/// A host is started twice by mistake, or one was left behind. The two shared the
/// port, and callers were answered by one or the other, perhaps of another fleet.
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
