//! HTTP answers that arrive slowly or stop arriving.

use std::{
    future::Future,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bergamottrack_platform::http::{self, Call, Client, Response};
use bytes::Bytes;
use hyper::Method;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};

/// Number of parts of an answer, and the interval between two of them.
const PARTS: usize = 12;
const INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for the start of an answer; it does not limit the intervals within the answer. Sending
/// all parts takes three times as long.
const TIMEOUT: Duration = Duration::from_millis(400);

fn on_runtime<T>(test: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap()
        .block_on(test)
}

/// Starts a server that sends the first `sends` of the announced parts and then nothing more.
fn server(sends: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(answer(stream, sends));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, sends: usize) {
    let _ = stream.read(vec![0; 4096]).await;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {PARTS}\r\n\r\n");
    let _ = stream.write_all(head.into_bytes()).await;
    for _ in 0..sends {
        monoio::time::sleep(INTERVAL).await;
        let _ = stream.write_all(b"x".to_vec()).await;
    }
    monoio::time::sleep(Duration::from_secs(60)).await;
}

async fn persistent(address: SocketAddr) -> anyhow::Result<Response> {
    Client::new(address).call(Method::GET, "/", &[], Bytes::new(), TIMEOUT).await
}

async fn single(address: SocketAddr) -> anyhow::Result<Response> {
    let call = Call { method: Method::GET, path: "/", headers: &[], body: Bytes::new() };
    Ok(http::call(address, call, TIMEOUT).await?)
}

/// A host with a slow link starts and reads a large configuration. With a timeout of one second
/// for the whole call, which the answer exceeded, each attempt was aborted and started again, and
/// the host never became ready.
#[test]
fn a_slow_but_steady_answer_is_read_completely() {
    on_runtime(async {
        for answer in [persistent(server(PARTS)).await, single(server(PARTS)).await] {
            assert_eq!(answer.unwrap().body.len(), PARTS);
        }
    });
}

/// The server sends the first part of an answer and then nothing more, and keeps the connection
/// open. The call must fail soon, not only when the operating system closes the connection.
#[test]
fn an_answer_that_stops_is_aborted() {
    on_runtime(async {
        let began = Instant::now();
        assert!(persistent(server(1)).await.is_err());
        assert!(single(server(1)).await.is_err());
        assert!(began.elapsed() < Duration::from_secs(10));
    });
}

/// Accepts a connection, reads the request and answers nothing; returns whether the connection was
/// reset after the caller has closed it.
async fn is_reset(listener: &TcpListener) -> bool {
    let (mut stream, _) = listener.accept().await.unwrap();
    let (read, _) = stream.read(vec![0; 4096]).await;
    assert!(read.unwrap() > 0, "no request arrives");
    if stream.read(vec![0; 4096]).await.0.is_err() {
        return true;
    }
    // After an orderly end of the stream, only a reset makes the first write fail.
    monoio::time::sleep(INTERVAL).await;
    stream.write_all(b"x".to_vec()).await.0.is_err()
}

/// Guards against a call that is performed long after it was given up: a network that is cut holds the
/// request back, and delivers it afterwards unless the connection was reset.
#[test]
fn a_call_that_is_given_up_resets_its_connection() {
    on_runtime(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (answer, reset) = monoio::join!(single(address), is_reset(&listener));
        assert!(answer.is_err() && reset, "the connection of a single call is not reset");
        let (answer, reset) = monoio::join!(persistent(address), is_reset(&listener));
        assert!(answer.is_err() && reset, "the persistent connection is not reset");
    });
}
