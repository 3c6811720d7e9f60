//! Tests of `lab up`, which runs a site for manual use.

use std::{
    io::{BufRead, BufReader},
    net::TcpListener,
    process::{Child, Command, Stdio},
};

use lab::{client, ports::Ports};

/// Starts `lab up` with one host. Returns the process and the lines that it prints.
fn up(port: u16, more: &[&str]) -> (Child, Vec<String>) {
    let mut up = Command::new(env!("CARGO_BIN_EXE_lab"))
        .args(["up", "--site", "hartwell", "--hosts", "1", "--port", &port.to_string()])
        .args(more)
        .env_remove("CARGO")
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(up.stdout.take().unwrap()).lines().map(Result::unwrap);
    let mut printed = Vec::new();
    for line in lines {
        let last = line.starts_with("Ctrl-C");
        printed.push(line);
        if last {
            break;
        }
    }
    (up, printed)
}

/// Returns the rest of the line that starts with `name`.
fn value<'a>(lines: &'a [String], name: &str) -> &'a str {
    lines.iter().find_map(|line| line.strip_prefix(name)).unwrap()
}

/// Sends SIGINT, as Ctrl-C does, and waits for a successful exit.
fn interrupt(mut up: Child) {
    let kill = Command::new("kill").args(["-INT", &up.id().to_string()]).status().unwrap();
    assert!(kill.success());
    assert!(up.wait().unwrap().success());
}

/// Guards against a connection string that an ordinary driver rejects, and against a host that
/// still listens after Ctrl-C.
#[test]
fn a_site_prints_a_connection_string_and_stops_at_ctrl_c() {
    let mut ports = Ports::take().unwrap();
    let port = ports.address().unwrap().port() - 1;
    let (up, lines) = up(port, &[]);
    let config: tokio_postgres::Config = value(&lines, "connect ").parse().unwrap();
    assert_eq!(config.get_ports(), [port + 1]);
    interrupt(up);
    TcpListener::bind(("127.0.0.1", port + 1)).unwrap();
}

/// Guards against `lab fault` without effect: callers are refused while the links from the host to
/// all servers are cut, and served again once the fault is cleared.
#[tokio::test]
async fn callers_are_refused_while_links_are_cut_and_served_afterwards() {
    let mut ports = Ports::take().unwrap();
    let port = ports.address().unwrap().port() - 1;
    let (up, lines) = up(port, &["--links"]);
    let fault = |more: &[&str]| {
        let at = value(&lines, "links ");
        let mut command = Command::new(env!("CARGO_BIN_EXE_lab"));
        command.args(["fault", "--at", at, "h1>*"]).args(more);
        assert!(command.status().unwrap().success());
    };
    let caller = client::connect(&value(&lines, "connect ").parse().unwrap()).await.unwrap();
    client::run_until_ok(&caller, "SELECT 1").await.unwrap();
    fault(&["--cut", "both"]);
    while caller.simple_query("SELECT 1").await.is_ok() {}
    fault(&[]);
    client::run_until_ok(&caller, "SELECT 1").await.unwrap();
    interrupt(up);
}
