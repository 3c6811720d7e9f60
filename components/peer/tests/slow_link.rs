//! Links over which the transfer of a message takes longer than the keepalive timeout.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_contract::{Host, Routes};
use bergamottrack_coordination::{
    Revision, Size, SystemClock,
    pieces::{Piece, PieceRequest},
    token::Secret,
};
use bergamottrack_peer::{
    Answer, Link, Mesh, Question,
    accept::{self, Service},
    link,
};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt, Splitable},
    net::{TcpListener, TcpStream},
};

/// Size of the answer in bytes. Its transfer takes 2.5 s.
const ANSWER_SIZE: usize = 250_000;

/// Number of bytes that the slow link forwards per [`CHUNK_INTERVAL`].
const CHUNK_SIZE: usize = 5_000;

/// Interval between two chunks on the slow link.
const CHUNK_INTERVAL: Duration = Duration::from_millis(50);

fn host(id: &str, peer: SocketAddr) -> Host {
    Host { id: id.parse().unwrap(), domain: "d1".parse().unwrap(), peer }
}

fn mesh(me: Host) -> Rc<Mesh> {
    Mesh::new(me, Secret::new(b"ours"), Rc::new(SystemClock), Routes::default())
}

fn answer(question: Question) -> Answer {
    let Question::Piece(_) = question else { return Answer::Pong };
    let (digest, whole, confirmed) = (0, Size(ANSWER_SIZE as u64), Duration::ZERO);
    Answer::Piece(Some(Piece { digest, whole, confirmed, bytes: vec![7; ANSWER_SIZE].into() }))
}

/// Starts a host that gives large answers.
fn start_host() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mesh = mesh(host("h1", address));
    let service = Rc::new(Service {
        secret: mesh.secret.clone(),
        handshakes: accept::handshakes(),
        hello: Box::new(move || mesh.hello()),
        clock: Rc::new(SystemClock),
        serve: Box::new(|_, _| {}),
        answer: Box::new(|_, question, replier| replier.reply(answer(question))),
    });
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(accept::serve(stream, service.clone()));
        }
    });
    address
}

/// Starts a proxy to a host that forwards its answers slowly, and at most `max_bytes` of them.
fn slow_proxy(to: SocketAddr, max_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(to).await.unwrap();
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            monoio::spawn(forward(near_read, far_write, usize::MAX, Duration::ZERO));
            monoio::spawn(forward(far_read, near_write, max_bytes, CHUNK_INTERVAL));
        }
    });
    address
}

async fn forward(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    max_bytes: usize,
    interval: Duration,
) {
    let mut forwarded = 0;
    while forwarded < max_bytes {
        let (read, mut chunk) = from.read(vec![0; CHUNK_SIZE]).await;
        let Ok(1..) = read else { return };
        chunk.truncate(read.unwrap());
        forwarded += chunk.len();
        if to.write_all(chunk).await.0.is_err() {
            return;
        }
        monoio::time::sleep(interval).await;
    }
    monoio::time::sleep(Duration::from_secs(60)).await;
}

async fn link_through(proxy: SocketAddr) -> Rc<Link> {
    let dialler = mesh(host("h2", "127.0.0.1:9".parse().unwrap()));
    let peer = host("h1", proxy);
    dialler.set_roster(std::slice::from_ref(&peer), &[]);
    let link = dialler.link(&peer.id).unwrap();
    while !link.is_up() {
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
    link
}

async fn query(link: &Link) -> anyhow::Result<Answer> {
    let (revision, from, most) = (Revision(1), Size(0), Size(ANSWER_SIZE as u64));
    let question = Question::Piece(PieceRequest { revision, from, most });
    link.query(question, Duration::from_secs(20)).await
}

/// Guards against a link that is closed, with all statements on it, while a large row of a caller
/// is transferred over it: the answer to a ping is queued behind the row and arrives late. When the
/// row is requested again, it fails in the same way.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn link_stays_up_while_a_large_message_is_received() {
    let link = link_through(slow_proxy(start_host(), usize::MAX)).await;
    let query = query(&link);
    let check = async {
        monoio::time::sleep(2 * link::SILENCE_TIMEOUT).await;
        link.is_up()
    };
    let (answer, up) = monoio::join!(query, check);
    let answer = answer.unwrap();
    assert!(matches!(answer, Answer::Piece(Some(piece)) if piece.bytes.len() == ANSWER_SIZE));
    assert!(up, "the link was down while the answer was being received");
}

/// Guards against a link that stays up after the peer has frozen within a message, because of the
/// bytes received before.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn link_closes_if_the_peer_freezes_within_a_message() {
    let link = link_through(slow_proxy(start_host(), ANSWER_SIZE / 10)).await;
    let started = Instant::now();
    assert!(query(&link).await.is_err());
    assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
}
