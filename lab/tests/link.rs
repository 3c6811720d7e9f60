//! Links that refuse and reset connections.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    time::{Duration, Instant},
};

use lab::{
    link::{AddLink, Fault, Links},
    ports::Ports,
};

/// Maximum time until a fault of a link shows.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs `test` with links, the address of the link `h1>s1`, and both ends of a connection over it.
fn with_connection(test: impl AsyncFnOnce(Links, SocketAddr, TcpStream, TcpStream)) {
    let mut ports = Ports::take().unwrap();
    let (listen, to) = (ports.address().unwrap(), ports.address().unwrap());
    let listener = TcpListener::bind(to).unwrap();
    listener.set_nonblocking(true).unwrap();
    let run = async {
        let links = Links::default();
        links.add(AddLink { name: "h1>s1".into(), listen, to }).unwrap();
        let open = TcpStream::connect(listen).unwrap();
        open.set_nonblocking(true).unwrap();
        let mut far = None;
        wait_until("the link forwards the connection", || {
            far = listener.accept().ok().map(|(stream, _)| stream);
            far.is_some()
        })
        .await;
        far.as_ref().unwrap().set_nonblocking(true).unwrap();
        test(links, listen, open, far.unwrap()).await;
    };
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap()
        .block_on(run);
}

/// Waits until the condition holds; the links run meanwhile.
async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "not in time: {what}");
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns whether the kernel refuses connections to an address.
fn is_refused(address: SocketAddr) -> bool {
    TcpStream::connect(address).is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

/// Guards against a link that accepts connections and closes them, which a process distinguishes
/// from a refusal, and against one that does not listen again.
#[test]
fn a_refusing_link_does_not_listen_until_the_fault_ends() {
    with_connection(async |links, address, mut open, _| {
        links.set("h1>*", &Fault { refuse: true, ..Fault::default() });
        wait_until("connections are refused", || is_refused(address)).await;
        let read = open.read(&mut [0]).unwrap_err();
        assert_eq!(read.kind(), ErrorKind::WouldBlock, "an open connection was closed");
        links.set("h1>*", &Fault::default());
        wait_until("connections are accepted", || TcpStream::connect(address).is_ok()).await;
        assert!(open.write(b"x").is_ok());
    });
}

/// Guards against a link that delivers held bytes although their sender has reset the connection, as no
/// network does: a check for work that was given up would fail whatever the sender does.
#[test]
fn bytes_held_back_are_lost_if_their_sender_resets_the_connection() {
    with_connection(async |links, _, mut near, mut far| {
        links.set("h1>*", &Fault { cut_up: true, ..Fault::default() });
        assert_eq!(near.write(b"held").unwrap(), 4);
        monoio::time::sleep(Duration::from_millis(50)).await;
        bergamottrack_socket::reset_on_close(&near).unwrap();
        drop(near);
        monoio::time::sleep(Duration::from_millis(50)).await;
        links.set("h1>*", &Fault::default());
        let mut end = Ok(0);
        wait_until("the connection ends", || {
            end = far.read(&mut [0; 8]).map_err(|error| error.kind());
            end != Err(ErrorKind::WouldBlock)
        })
        .await;
        assert_eq!(end, Err(ErrorKind::ConnectionReset));
    });
}

/// Guards against a reset that only closes connections, as a process that ends does.
#[test]
fn a_fault_with_a_reset_resets_open_connections() {
    with_connection(async |links, address, mut open, _| {
        links.set("h1>*", &Fault { reset: true, ..Fault::default() });
        let mut kind = ErrorKind::WouldBlock;
        wait_until("the connection ends", || {
            kind =
                open.read(&mut [0]).map_or_else(|error| error.kind(), |_| ErrorKind::UnexpectedEof);
            kind != ErrorKind::WouldBlock
        })
        .await;
        assert_eq!(kind, ErrorKind::ConnectionReset);
        assert!(!is_refused(address));
    });
}
