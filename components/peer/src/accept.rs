//! The accepting end of a link: one task a peer.

use std::{collections::HashMap, rc::Rc, time::Duration};

use anyhow::{Context, bail};
use bergamottrack_coordination::token::Secret;
use futures_util::StreamExt;
use monoio::{
    io::IntoPollIo,
    net::{TcpListener, TcpStream},
};
use tokio::sync::mpsc::{self, UnboundedSender};
use tracing::{debug, warn};

use crate::{
    activity::ActivityStream,
    exchange::HomeSide,
    message::{Answer, End, Hello, Message, Open, Proof, Question, RequestNo, ToHome},
    socket,
};

/// Exchanges known of a link before ended ones are looked for. An entry does not
/// say that it is done with an exchange that the home has ended.
const SWEEP_FROM: usize = 64;

/// Before accepting is tried again after it failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Answers a question of a peer, at once or later.
pub type Responder = dyn Fn(&Hello, Question, Replier);

/// Answers one question of a peer.
#[derive(Debug)]
pub struct Replier {
    no: RequestNo,
    out: UnboundedSender<Message>,
}

impl Replier {
    /// Sends the answer to the peer, which may be gone by now.
    pub fn reply(self, answer: Answer) {
        let _ = self.out.send(Message::Answer(self.no, answer));
    }

    /// Watches the link that the question was received by.
    pub fn watch(&self) -> LinkMonitor {
        LinkMonitor { out: self.out.clone() }
    }
}

/// Watches a peer's link.
#[derive(Clone, Debug)]
pub struct LinkMonitor {
    out: UnboundedSender<Message>,
}

impl LinkMonitor {
    /// Whether it is.
    pub fn is_open(&self) -> bool {
        !self.out.is_closed()
    }
}

/// What a host does for its peers.
pub struct Service {
    /// The secret that all hosts share.
    pub secret: Secret,
    /// Serves an exchange, in a task of its own.
    pub serve: Box<dyn Fn(Open, HomeSide)>,
    /// Answers a question.
    pub answer: Box<Responder>,
}

/// Serves one peer until its link ends.
pub async fn serve(stream: TcpStream, hello: Hello, service: Rc<Service>) {
    if let Err(error) = run(stream, hello, &service).await {
        debug!("link: a peer's link ended: {error:#}.");
    }
}

async fn run(stream: TcpStream, hello: Hello, service: &Service) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    // Whether the peer is silent is judged by the host that connected.
    let io = ActivityStream::new(stream.into_poll_io()?, || {});
    let handshake = tokio_tungstenite::accept_async_with_config(io, Some(socket::config()));
    let ws = monoio::time::timeout(socket::HELLO_TIMEOUT, handshake)
        .await
        .context("the peer did not shake hands")??;
    let (mut writing, mut reading) = ws.split();
    let prove = prove(&hello, &service.secret, &mut reading, &mut writing);
    let theirs = monoio::time::timeout(socket::HELLO_TIMEOUT, prove).await??;
    let (out, mut rx) = mpsc::unbounded_channel();
    monoio::select! {
        result = socket::pump(&mut writing, &mut rx) => result,
        result = dispatch(&mut reading, &theirs, out, service) => result,
    }
}

/// Says who this host is, and makes sure who the peer is.
async fn prove(
    mine: &Hello,
    secret: &Secret,
    reading: &mut socket::Reading,
    writing: &mut socket::Writing,
) -> anyhow::Result<Hello> {
    let Message::Hello(theirs) = socket::next(reading).await? else {
        bail!("the peer did not say who it is")
    };
    socket::send(writing, &Message::Hello(mine.clone())).await?;
    let proof = Proof::new(secret, End::Accepting, &theirs, mine);
    socket::send(writing, &Message::Proof(proof)).await?;
    match socket::next(reading).await? {
        Message::Proof(proof) if proof.is_valid(secret, End::Dialling, &theirs, mine) => Ok(theirs),
        _ => bail!("who says to be {} does not know the fleet's secret", theirs.host),
    }
}

async fn dispatch(
    reading: &mut socket::Reading,
    peer: &Hello,
    out: UnboundedSender<Message>,
    service: &Service,
) -> anyhow::Result<()> {
    // Dropping the senders, when the link ends, tells every home side that its entry is lost.
    let mut exchanges: HashMap<RequestNo, UnboundedSender<ToHome>> = HashMap::new();
    let mut sweep_at = SWEEP_FROM;
    loop {
        match socket::next(reading).await? {
            Message::Open(no, open) => {
                if exchanges.len() >= sweep_at {
                    exchanges.retain(|_, tx| !tx.is_closed());
                    sweep_at = SWEEP_FROM.max(2 * exchanges.len());
                }
                let (tx, rx) = mpsc::unbounded_channel();
                exchanges.insert(no, tx);
                (service.serve)(*open, HomeSide::on_link(no, out.clone(), rx));
            }
            Message::ToHome(no, item) => {
                let last = matches!(item, ToHome::Close);
                if let Some(tx) = exchanges.get(&no) {
                    // The home may have ended the exchange already.
                    let _ = tx.send(item);
                }
                if last {
                    exchanges.remove(&no);
                }
            }
            Message::Question(no, question) => {
                (service.answer)(peer, question, Replier { no, out: out.clone() });
            }
            other => bail!("the peer said what only an accepting host says: {other:?}"),
        }
    }
}

/// The next connection of a listener.
///
/// Guards against a host that ends when it has no file left for a connection:
/// accepting then fails, though all that is connected could go on. So the
/// failure is logged and accepting is tried again until files are free.
pub async fn stream(listener: &TcpListener, whom: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => warn!("link: a connection of {whom} cannot be accepted: {error}."),
        }
        monoio::time::sleep(ACCEPT_PAUSE).await;
    }
}
