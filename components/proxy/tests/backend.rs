//! Connections to backend servers.

mod hosts;

use std::{io, time::Duration};

use bergamottrack_adapter::wire;
use bergamottrack_model::{ListedServer, Role};
use bergamottrack_proxy::backend::Backend;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};

/// Opens a connection to a stand-in of a server, which accepts the session; returns both ends.
async fn open() -> (Backend, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let listed = ListedServer {
        id: hosts::server(),
        group: hosts::group(),
        address: listener.local_addr().unwrap(),
        domain: "d1".parse().unwrap(),
        slots: 1,
        leaving: false,
        role: Role::Primary,
        started_ms: 1,
        cold: Duration::ZERO,
    };
    let accept = async {
        let (mut server, _) = listener.accept().await.unwrap();
        read(&mut server).await.unwrap();
        server.write_all(b"READY I -\r\n").await.0.unwrap();
        server
    };
    let account = "a1".parse().unwrap();
    let (backend, server) = monoio::join!(Backend::open(&listed, &account), accept);
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

/// Guards against resets of connections on which no statement is pending, which servers may count as
/// failures.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn idle_connection_is_closed_without_a_reset() {
    let (backend, mut server) = open().await;
    drop(backend);
    assert_eq!(read(&mut server).await.unwrap(), 0);
}
