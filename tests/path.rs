//! The whole path, as separate processes.

use lab::system::{self, Plan, System};

async fn write_here_read_everywhere(plan: Plan) {
    let system = System::start(plan).await.unwrap();
    let writer = system.connect(0, "baobab", "g1").await.unwrap();
    system::until_runs(&writer, "CREATE TABLE IF NOT EXISTS booking (id TEXT, day TEXT)")
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
