//! Authentication of hosts to each other.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bergamottrack_contract::{Host, Routes};
use bergamottrack_coordination::{HostId, SystemClock, token::Secret};
use bergamottrack_peer::{
    Answer, Mesh, Message, Question,
    accept::{self, Service},
    message::{End, Proof},
};
use futures_util::{SinkExt, StreamExt};
use monoio::{
    io::{AsyncReadRent, IntoPollIo},
    net::{TcpListener, TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use tokio_tungstenite::{WebSocketStream, tungstenite};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn host(id: &str, peer: SocketAddr) -> Host {
    Host { id: id.parse().unwrap(), domain: "d1".parse().unwrap(), peer }
}

fn mesh(host: Host, secret: &str) -> Rc<Mesh> {
    Mesh::new(host, Secret::new(secret.as_bytes()), Rc::new(SystemClock), Routes::default())
}

/// Starts a host `h1` with the given secret.
fn listen(secret: &str) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let me = host("h1", listener.local_addr().unwrap());
    let mesh = mesh(me.clone(), secret);
    let service = Rc::new(Service {
        secret: mesh.secret.clone(),
        handshakes: accept::handshakes(),
        hello: Box::new(move || mesh.hello()),
        clock: Rc::new(SystemClock),
        serve: Box::new(|_, _| {}),
        answer: Box::new(|_, _, replier| replier.reply(Answer::Pong)),
    });
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(accept::serve(stream, service.clone()));
        }
    });
    me
}

async fn responds(dialler: &Mesh, peer: &Host) -> bool {
    dialler.set_roster(std::slice::from_ref(peer), &[]);
    let id: HostId = peer.id.clone();
    let link = dialler.link(&id).unwrap();
    link.query(Question::Ping, Duration::from_secs(1)).await.is_ok()
}

async fn wait_until_responds(dialler: &Mesh, peer: &Host) {
    let wait = async {
        while !responds(dialler, peer).await {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    monoio::time::timeout(TEST_TIMEOUT, wait).await.expect("no answer despite the right secret");
}

type Socket = WebSocketStream<TcpStreamPoll>;

async fn send(socket: &mut Socket, message: &Message) -> bool {
    socket.send(tungstenite::Message::Binary(message.encode())).await.is_ok()
}

/// Receives the next message; `None` if the other end has closed the connection.
async fn receive(socket: &mut Socket) -> Option<Message> {
    match socket.next().await?.ok()? {
        tungstenite::Message::Binary(bytes) => Message::decode(&bytes).ok(),
        _ => None,
    }
}

fn forged_hello(id: &str) -> Message {
    Message::Hello(mesh(host(id, "127.0.0.1:9".parse().unwrap()), "guessed").hello())
}

/// Connects as `h2`, sends the proof that `proof` derives from the host's own, and sends a
/// question. Returns the answer.
async fn dial(peer: &Host, proof: impl Fn(Proof) -> Proof) -> Option<Message> {
    let stream = TcpStream::connect(peer.peer).await.unwrap().into_poll_io().unwrap();
    let url = format!("ws://{}/", peer.peer);
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
    send(&mut socket, &forged_hello("h2")).await;
    assert!(matches!(receive(&mut socket).await, Some(Message::Hello(_))));
    let Some(Message::Proof(reflected)) = receive(&mut socket).await else { panic!("no proof") };
    send(&mut socket, &Message::Proof(proof(reflected))).await;
    send(&mut socket, &Message::Question(1, Question::Ping)).await;
    receive(&mut socket).await
}

fn guessed_proof() -> Proof {
    let Message::Hello(hello) = forged_hello("h2") else { unreachable!() };
    Proof::new(&Secret::new(b"guessed"), End::Dialling, &hello, &hello)
}

/// Guards against an attacker on the network that connects to a host's peer address, claims to be
/// h2 and sends a guessed proof, or the host's own proof. It must get no answer; otherwise it could
/// run statements.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn client_without_the_secret_gets_no_answer() {
    let right = listen("right");
    assert!(dial(&right, |_| guessed_proof()).await.is_none(), "a guessed proof was accepted");
    assert!(dial(&right, |reflected| reflected).await.is_none(), "a reflected proof was accepted");
    let me = host("h2", "127.0.0.1:9".parse().unwrap());
    wait_until_responds(&mesh(me, "right"), &right).await;
}

/// Guards against an attacker that listens at the former address of h1 and answers as h1 with a
/// guessed proof. The connecting host must close the connection before it sends a proof or
/// question: otherwise the attacker could pass off an old revision as the newest, or receive
/// callers' statements.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn server_without_the_secret_gets_no_question() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let dialler = mesh(host("h2", "127.0.0.1:9".parse().unwrap()), "right");
    dialler.set_roster(&[host("h1", address)], &[]);
    let (stream, _) = listener.accept().await.unwrap();
    let mut socket = tokio_tungstenite::accept_async(stream.into_poll_io().unwrap()).await.unwrap();
    assert!(matches!(receive(&mut socket).await, Some(Message::Hello(_))));
    send(&mut socket, &forged_hello("h1")).await;
    send(&mut socket, &Message::Proof(guessed_proof())).await;
    let received = receive(&mut socket).await;
    assert!(received.is_none(), "the server without the secret received {received:?}");
}

/// Guards against clients without the secret that occupy the memory and descriptors of a host: many connect and
/// send no hello, and one sends more than a hello. Another host still connects.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn crowd_without_the_secret_does_not_keep_a_host_out() {
    let right = listen("right");
    let mut crowd = Vec::new();
    for _ in 0..600 {
        crowd.push(TcpStream::connect(right.peer).await.unwrap());
    }
    let first = crowd.remove(0);
    let (read, _) = monoio::time::timeout(Duration::from_secs(1), async {
        let mut first = first;
        first.read(vec![0; 1]).await
    })
    .await
    .expect("the oldest connection is kept");
    assert!(!matches!(read, Ok(1..)), "{read:?}");
    let stream = TcpStream::connect(right.peer).await.unwrap().into_poll_io().unwrap();
    let url = format!("ws://{}/", right.peer);
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
    let large = tungstenite::Message::Binary(vec![0; 1 << 20].into());
    // Fails once the host has closed the connection.
    let _ = socket.send(large).await;
    assert!(receive(&mut socket).await.is_none(), "a message of 1 MiB was read before a proof");
    let me = host("h2", "127.0.0.1:9".parse().unwrap());
    wait_until_responds(&mesh(me, "right"), &right).await;
}
