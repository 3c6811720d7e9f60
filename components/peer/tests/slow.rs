//! Links over which a message takes longer than a silent peer counts as there.

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

/// Bytes of the answer, and the bytes that the link passes every [`EVERY`]: 2.5 s of it.
const LARGE: usize = 250_000;
const PASSES: usize = 5_000;
const EVERY: Duration = Duration::from_millis(50);

fn host(id: &str, peer: SocketAddr) -> Host {
    Host { id: id.parse().unwrap(), domain: "d1".parse().unwrap(), peer }
}

fn mesh(me: Host) -> Rc<Mesh> {
    Mesh::new(me, Secret::new(b"ours"), Rc::new(SystemClock), Routes::default())
}

fn answer(question: Question) -> Answer {
    let Question::Piece(_) = question else { return Answer::Pong };
    let (digest, whole, confirmed) = (0, Size(LARGE as u64), Duration::ZERO);
    Answer::Piece(Some(Piece { digest, whole, confirmed, bytes: vec![7; LARGE].into() }))
}

/// A host that tells a large answer.
fn teller() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mesh = mesh(host("h1", address));
    let service = Rc::new(Service {
        secret: mesh.secret.clone(),
        serve: Box::new(|_, _| {}),
        answer: Box::new(|_, question, replier| replier.reply(answer(question))),
    });
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(accept::serve(stream, mesh.hello(), service.clone()));
        }
    });
    address
}

/// A way to a host that passes its answers slowly, and `most` bytes of them at most.
fn slow_way(to: SocketAddr, most: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(to).await.unwrap();
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            monoio::spawn(pass(near_read, far_write, usize::MAX, Duration::ZERO));
            monoio::spawn(pass(far_read, near_write, most, EVERY));
        }
    });
    address
}

async fn pass(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    most: usize,
    every: Duration,
) {
    let mut passed = 0;
    while passed < most {
        let (read, mut chunk) = from.read(vec![0; PASSES]).await;
        let Ok(1..) = read else { return };
        chunk.truncate(read.unwrap());
        passed += chunk.len();
        if to.write_all(chunk).await.0.is_err() {
            return;
        }
        monoio::time::sleep(every).await;
    }
    monoio::time::sleep(Duration::from_secs(60)).await;
}

async fn link_over(way: SocketAddr) -> Rc<Link> {
    let dialler = mesh(host("h2", "127.0.0.1:9".parse().unwrap()));
    let teller = host("h1", way);
    dialler.set_roster(std::slice::from_ref(&teller), &[]);
    let link = dialler.link(&teller.id).unwrap();
    while !link.is_up() {
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
    link
}

async fn query(link: &Link) -> anyhow::Result<Answer> {
    let (revision, from, most) = (Revision(1), Size(0), Size(LARGE as u64));
    let question = Question::Piece(PieceRequest { revision, from, most });
    link.query(question, Duration::from_secs(20)).await
}

/// A caller's large row is on its way over a slow link, and the answer to the try of the link
/// waits behind it. The link counted as silent and was given up, with every statement on it;
/// asked for again, the row met the same end.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn a_link_on_which_a_message_goes_on_coming_is_up() {
    let link = link_over(slow_way(teller(), usize::MAX)).await;
    let asked = query(&link);
    let watched = async {
        monoio::time::sleep(2 * link::SILENCE_TIMEOUT).await;
        link.is_up()
    };
    let (answer, up) = monoio::join!(asked, watched);
    let answer = answer.unwrap();
    assert!(matches!(answer, Answer::Piece(Some(piece)) if piece.bytes.len() == LARGE));
    assert!(up, "the link counted as down while the answer came");
}

/// The peer freezes within a message. Bytes that came before must not keep the link up.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn a_link_that_goes_silent_within_a_message_is_given_up() {
    let link = link_over(slow_way(teller(), LARGE / 10)).await;
    let began = Instant::now();
    assert!(query(&link).await.is_err());
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}
