//! Tests of the rules of the stand-in server that the proxy relies on.

use std::path::PathBuf;

use lab::{ports::Ports, process::Process};

/// Guards against two promoters using the same term: a server that has promised a term to one must
/// refuse it to another.
#[tokio::test]
async fn a_term_promised_to_one_host_is_refused_to_another() {
    let dir = tempfile::tempdir().unwrap();
    let mut ports = Ports::take().unwrap();
    let (listen, replication) = (ports.address().unwrap(), ports.address().unwrap());
    let args = vec![
        "server".into(),
        "--id=s1".into(),
        format!("--listen={listen}"),
        format!("--replication={replication}"),
        format!("--data={}", dir.path().join("s1").display()),
        "--primary".into(),
    ];
    let program = PathBuf::from(env!("CARGO_BIN_EXE_lab"));
    let mut server = Process::new("s1", &program, args, dir.path());
    server.start().unwrap();
    let client = loop {
        let address = format!("host={} port={} user=t dbname=g", listen.ip(), listen.port());
        match tokio_postgres::connect(&address, tokio_postgres::NoTls).await {
            Ok((client, connection)) => {
                tokio::spawn(connection);
                break client;
            }
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(20)).await,
        }
    };
    client.simple_query("SELECT group_promise(2, 'h1')").await.unwrap();
    client.simple_query("SELECT group_promise(2, 'h1')").await.unwrap();
    client.simple_query("SELECT group_promise(2, 'h2')").await.unwrap_err();
    client.simple_query("SELECT group_promote(2, 'h2')").await.unwrap_err();
    client.simple_query("CREATE TABLE t (n INTEGER)").await.unwrap_err();
    client.simple_query("SELECT group_promote(2, 'h1')").await.unwrap();
    client.simple_query("CREATE TABLE t (n INTEGER)").await.unwrap();
}
