//! The dialling end of a link.

use std::{rc::Rc, time::Duration};

use bergamottrack_contract::{Host, Routes};
use bergamottrack_coordination::{SystemClock, token::Secret};
use bergamottrack_peer::{Mesh, link::Keepalive};
use monoio::{io::AsyncReadRent, net::TcpListener};

fn host(id: &str, address: &str) -> Host {
    Host { id: id.parse().unwrap(), domain: "d1".parse().unwrap(), peer: address.parse().unwrap() }
}

/// Guards against statements that run after a cut of the network, seconds after their sender gave them up
/// and closed the link: without a reset, the system goes on sending what the link's connection holds.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn link_is_closed_with_a_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = host("h1", &listener.local_addr().unwrap().to_string());
    let me = host("h2", "127.0.0.1:9");
    let (clock, keepalive) =
        (Rc::new(SystemClock), Keepalive { resets: true, ..Default::default() });
    let mesh = Mesh::with_keepalive(me, Secret::new(b"ours"), clock, Routes::default(), keepalive);
    mesh.set_roster(std::slice::from_ref(&peer), &[]);
    let (mut stream, _) = listener.accept().await.unwrap();
    // The peer does not answer the handshake, which the link gives up after its timeout.
    let end = async {
        loop {
            let (read, _) = stream.read(vec![0; 1024]).await;
            match read {
                Ok(0) => return None,
                Ok(_) => {}
                Err(error) => return Some(error.kind()),
            }
        }
    };
    let end = monoio::time::timeout(Duration::from_secs(10), end).await;
    assert_eq!(end.unwrap(), Some(std::io::ErrorKind::ConnectionReset));
}
