//! Who may speak as a host.

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
    io::IntoPollIo,
    net::{TcpListener, TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use tokio_tungstenite::{WebSocketStream, tungstenite};

const PATIENCE: Duration = Duration::from_secs(30);

fn host(id: &str, peer: SocketAddr) -> Host {
    Host { id: id.parse().unwrap(), domain: "d1".parse().unwrap(), peer }
}

fn mesh(host: Host, secret: &str) -> Rc<Mesh> {
    Mesh::new(host, Secret::new(secret.as_bytes()), Rc::new(SystemClock), Routes::default())
}

/// A host `h1` that knows the secret "right", or another.
fn listen(secret: &str) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let me = host("h1", listener.local_addr().unwrap());
    let mesh = mesh(me.clone(), secret);
    let service = Rc::new(Service {
        secret: mesh.secret.clone(),
        serve: Box::new(|_, _| {}),
        answer: Box::new(|_, _, replier| replier.reply(Answer::Pong)),
    });
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(accept::serve(stream, mesh.hello(), service.clone()));
        }
    });
    me
}

async fn asked(dialler: &Mesh, whom: &Host) -> bool {
    dialler.set_roster(std::slice::from_ref(whom), &[]);
    let id: HostId = whom.id.clone();
    let link = dialler.link(&id).unwrap();
    link.query(Question::Ping, Duration::from_secs(1)).await.is_ok()
}

async fn until_asked(dialler: &Mesh, whom: &Host) {
    let query = async {
        while !asked(dialler, whom).await {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    monoio::time::timeout(PATIENCE, query).await.expect("a host is answered");
}

type Socket = WebSocketStream<TcpStreamPoll>;

async fn say(socket: &mut Socket, message: &Message) -> bool {
    socket.send(tungstenite::Message::Binary(message.encode())).await.is_ok()
}

/// The next message; none when the other end has hung up.
async fn hear(socket: &mut Socket) -> Option<Message> {
    match socket.next().await?.ok()? {
        tungstenite::Message::Binary(bytes) => Message::decode(&bytes).ok(),
        _ => None,
    }
}

fn stranger_hello(id: &str) -> Message {
    Message::Hello(mesh(host(id, "127.0.0.1:9".parse().unwrap()), "guessed").hello())
}

/// Connects as `h2`, shows the proof that `proof` makes of the host's own, and asks.
async fn dial(whom: &Host, proof: impl Fn(Proof) -> Proof) -> Option<Message> {
    let stream = TcpStream::connect(whom.peer).await.unwrap().into_poll_io().unwrap();
    let url = format!("ws://{}/", whom.peer);
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
    say(&mut socket, &stranger_hello("h2")).await;
    assert!(matches!(hear(&mut socket).await, Some(Message::Hello(_))));
    let Some(Message::Proof(theirs)) = hear(&mut socket).await else { panic!("no proof") };
    say(&mut socket, &Message::Proof(proof(theirs))).await;
    say(&mut socket, &Message::Question(1, Question::Ping)).await;
    hear(&mut socket).await
}

fn guessed() -> Proof {
    let Message::Hello(hello) = stranger_hello("h2") else { unreachable!() };
    Proof::new(&Secret::new(b"guessed"), End::Dialling, &hello, &hello)
}

/// Somebody on the network connects to a host's peer address, says that it is h2
/// and asks, with a guessed proof or with the host's own proof sent back. It
/// must not be answered; without the check it could have statements run.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn a_stranger_that_connects_is_refused() {
    let right = listen("right");
    assert!(dial(&right, |_| guessed()).await.is_none(), "a guessed proof was taken");
    assert!(dial(&right, |theirs| theirs).await.is_none(), "a proof sent back was taken");
    let me = host("h2", "127.0.0.1:9".parse().unwrap());
    until_asked(&mesh(me, "right"), &right).await;
}

/// Somebody listens where h1 stood and answers as h1 with a guessed proof. The
/// host that connects must hang up before it says anything: it could be told
/// that an old revision is the newest, or be handed a caller's statements.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn a_stranger_that_listens_is_not_asked() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let dialler = mesh(host("h2", "127.0.0.1:9".parse().unwrap()), "right");
    dialler.set_roster(&[host("h1", address)], &[]);
    let (stream, _) = listener.accept().await.unwrap();
    let mut socket = tokio_tungstenite::accept_async(stream.into_poll_io().unwrap()).await.unwrap();
    assert!(matches!(hear(&mut socket).await, Some(Message::Hello(_))));
    say(&mut socket, &stranger_hello("h1")).await;
    say(&mut socket, &Message::Proof(guessed())).await;
    let said = hear(&mut socket).await;
    assert!(said.is_none(), "the stranger was told {said:?}");
}
