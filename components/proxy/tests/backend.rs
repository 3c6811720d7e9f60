//! Connections to backend servers.

mod hosts;

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bergamottrack_adapter::wire;
use bergamottrack_coordination::budget::Budget;
use bergamottrack_model::{ListedServer, Role};
use bergamottrack_proxy::backend::Backend;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};

fn listed(address: SocketAddr) -> ListedServer {
    ListedServer {
        id: hosts::server(),
        group: hosts::group(),
        address,
        domain: "d1".parse().unwrap(),
        slots: 1,
        leaving: false,
        role: Role::Primary,
        started_ms: 1,
        cold: Duration::ZERO,
    }
}

/// Memory for answers in bytes.
const MEMORY: usize = 1 << 20;

/// Returns memory for answers.
fn memory() -> Rc<Budget> {
    Budget::new(MEMORY, 0)
}

/// Opens a connection to a stand-in of a server, which accepts the session; returns both ends.
async fn open() -> (Backend, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let listed = listed(listener.local_addr().unwrap());
    let accept = async {
        let (mut server, _) = listener.accept().await.unwrap();
        read(&mut server).await.unwrap();
        server.write_all(b"READY I -\r\n").await.0.unwrap();
        server
    };
    let (account, memory) = ("a1".parse().unwrap(), memory());
    let (backend, server) = monoio::join!(Backend::open(&listed, &account, &memory), accept);
    (backend.unwrap(), server)
}

/// Reads what has arrived; 0 bytes at the end of the stream.
async fn read(server: &mut TcpStream) -> io::Result<usize> {
    let (read, _) = server.read(vec![0; 1024]).await;
    read
}

/// Guards against a write that runs after a cut of the network, seconds after its timeout, and overwrites
/// a later acknowledged write of the same caller: without a reset, the system goes on sending the bytes of
/// a closed connection.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn connection_is_reset_if_a_statement_is_given_up() {
    let (mut backend, mut server) = open().await;
    wire::put_status(&mut backend.out);
    let answer = monoio::time::timeout(Duration::from_millis(50), backend.exchange()).await;
    assert!(answer.is_err());
    assert!(read(&mut server).await.unwrap() > 0);
    drop(backend);
    let error = read(&mut server).await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
}

/// Address of the server for the process that [`run_until_killed`] runs in.
const SERVER_VARIABLE: &str = "BACKEND_TEST_SERVER";

/// Guards against a statement that runs after a cut of the network, long after the host that sent it was
/// killed: without a reset, the system goes on sending what a killed process has written.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn connection_is_reset_if_the_host_is_killed_during_a_statement() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let mut host = std::process::Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "run_until_killed"])
        .env(SERVER_VARIABLE, address)
        .stdout(std::process::Stdio::null())
        .spawn()
        .unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    read(&mut server).await.unwrap();
    server.write_all(b"READY I -\r\n").await.0.unwrap();
    assert!(read(&mut server).await.unwrap() > 0, "no statement arrived");
    host.kill().unwrap();
    host.wait().unwrap();
    let error = read(&mut server).await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
}

/// Sends a statement and waits for its answer, in a process of its own; does nothing without the address
/// of a server.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn run_until_killed() {
    let Ok(address) = std::env::var(SERVER_VARIABLE) else { return };
    let listed = listed(address.parse().unwrap());
    let mut backend = Backend::open(&listed, &"a1".parse().unwrap(), &memory()).await.unwrap();
    wire::put_status(&mut backend.out);
    let _ = backend.exchange().await;
}

/// Guards against resets of connections on which no statement is pending, which servers may count as
/// failures.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn idle_connection_is_closed_without_a_reset() {
    let (backend, mut server) = open().await;
    drop(backend);
    assert_eq!(read(&mut server).await.unwrap(), 0);
}

/// Guards against a host that holds an answer whose rows never end until its memory is used up.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn answer_longer_than_its_part_of_the_memory_is_broken_off() {
    let (mut backend, mut server) = open().await;
    wire::put_status(&mut backend.out);
    let rows = async {
        read(&mut server).await.unwrap();
        let row = format!("ROW {}\r\n", "x".repeat(10_000)).into_bytes();
        let mut sent = 0;
        // Fails once the host has closed the connection.
        while sent < 4 * MEMORY && server.write_all(row.clone()).await.0.is_ok() {
            sent += row.len();
        }
    };
    let exchange = async {
        let error = backend.exchange().await.unwrap_err();
        drop(backend);
        error
    };
    let (error, ()) = monoio::join!(exchange, rows);
    assert!(format!("{error:#}").contains("longer than"), "{error:#}");
}

/// Guards against idle connections that each hold the values of the last session, of which a session may have
/// as many as one message.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn connection_keeps_values_only_if_there_is_memory() {
    let (mut backend, _server) = open().await;
    let values = [("v".into(), "x".repeat(MEMORY / 2).into())].into();
    backend.carried.reconcile(&values, None);
    assert!(backend.keep_values());
    let values = [("v".into(), "x".repeat(2 * MEMORY).into())].into();
    backend.carried.reconcile(&values, None);
    assert!(!backend.keep_values());
}
