//! A site held up for use by hand.

use std::{
    io::{BufRead, BufReader},
    net::TcpListener,
    process::{Command, Stdio},
};

use lab::ports::Ports;

/// What an operator sees: each host's addresses a line, a connection string
/// that an ordinary driver takes, and all processes gone after Ctrl-C.
#[test]
fn a_site_is_held_up_and_stops_at_ctrl_c() {
    let mut ports = Ports::take().unwrap();
    let port = ports.address().unwrap().port() - 1;
    let mut up = Command::new(env!("CARGO_BIN_EXE_lab"))
        .args(["up", "--site", "hartwell", "--hosts", "1", "--port", &port.to_string()])
        .env_remove("CARGO")
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(up.stdout.take().unwrap()).lines();
    let mut connect = None;
    for line in lines.map(Result::unwrap) {
        connect = connect.or(line.strip_prefix("connect ").map(str::to_owned));
        if line.starts_with("Ctrl-C") {
            break;
        }
    }
    let config: tokio_postgres::Config = connect.unwrap().parse().unwrap();
    assert_eq!(config.get_ports(), [port + 1]);
    let kill = Command::new("kill").args(["-INT", &up.id().to_string()]).status().unwrap();
    assert!(kill.success());
    assert!(up.wait().unwrap().success());
    TcpListener::bind(("127.0.0.1", port + 1)).unwrap();
}
