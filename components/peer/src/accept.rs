//! Accepting end of a link, with one task per peer.

use std::{
    cell::Cell,
    collections::HashMap,
    fmt,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use bergamottrack_coordination::{Clock, budget::Charge, token::Secret};
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
    newest::Newest,
    socket::{self, Outgoing},
};

/// Minimum size of the exchange table of a link at which ended exchanges are removed from it.
/// They remain in the table until then, because entries send no [`ToHome::Close`] for an exchange
/// that the home has ended.
const MIN_SWEEP_SIZE: usize = 64;

/// Delay before accepting is retried after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of connections that have not proven the secret.
const MAX_HANDSHAKES: usize = 256;

/// Maximum number of bytes of a peer until it has proven the secret.
const MAX_HANDSHAKE_BYTES: usize = 16 << 10;

/// Bytes that a peer may send afterwards: no limit that a link reaches.
const UNLIMITED: usize = usize::MAX;

/// Size of the system's receive buffer of a link in bytes. What it holds counts as memory of the process.
pub const RECEIVE_BUFFER: usize = 64 << 10;

/// Handler for questions of peers. The answer may be sent after the handler has returned.
pub type Responder = dyn Fn(&Hello, Question, Replier);

/// Clock of one connection: the time since it was accepted.
#[derive(Clone)]
struct ConnectionClock {
    clock: Rc<dyn Clock>,
    accepted: Instant,
}

impl ConnectionClock {
    fn elapsed(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.accepted)
    }
}

impl fmt::Debug for ConnectionClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.elapsed())
    }
}

/// Sends the answer to one question of a peer.
#[derive(Debug)]
pub struct Replier {
    number: RequestNo,
    outgoing: UnboundedSender<Outgoing>,
    clock: ConnectionClock,
    /// Whether the answer must contain a reading of the clock.
    with_clock: bool,
}

impl Replier {
    /// Sends the answer to the peer. The answer is dropped if the link has closed meanwhile.
    pub fn reply(self, answer: Answer) {
        let message = self.message(answer);
        let _ = self.outgoing.send(message.into());
    }

    /// Sends the answer to the peer as [`Self::reply`] does. Its memory is charged until it is written.
    pub fn reply_charged(self, answer: Answer, charge: Charge) {
        let message = self.message(answer);
        let _ = self.outgoing.send(Outgoing::charged(message, charge));
    }

    fn message(&self, answer: Answer) -> Message {
        let answer = if self.with_clock {
            let draining = matches!(answer, Answer::Draining);
            Answer::Clock { elapsed: self.clock.elapsed(), draining }
        } else {
            answer
        };
        Message::Answer(self.number, answer)
    }

    /// Returns a monitor of the link on which the question was received.
    pub fn link_monitor(&self) -> LinkMonitor {
        LinkMonitor { outgoing: self.outgoing.clone(), clock: self.clock.clone() }
    }
}

/// Handle for checking whether a peer's link is still open, and how old its messages are.
#[derive(Clone, Debug)]
pub struct LinkMonitor {
    outgoing: UnboundedSender<Outgoing>,
    clock: ConnectionClock,
}

impl LinkMonitor {
    /// Returns whether the link is open.
    pub fn is_open(&self) -> bool {
        !self.outgoing.is_closed()
    }

    /// Waits until the link has closed.
    pub async fn closed(&self) {
        self.outgoing.closed().await;
    }

    /// Returns the greatest possible age of a message that was sent when the clock of this connection
    /// showed at least `sent`.
    pub fn age(&self, sent: Duration) -> Duration {
        self.clock.elapsed().saturating_sub(sent)
    }
}

/// Handlers for requests of peers, and the secret for authentication with them.
pub struct Service {
    /// Secret shared by all hosts.
    pub secret: Secret,
    /// Creates this host's hello, with a new nonce for each connection.
    pub hello: Box<dyn Fn() -> Hello>,
    /// Clock by which the age of messages is determined.
    pub clock: Rc<dyn Clock>,
    /// Starts a separate task that serves an exchange.
    pub serve: Box<dyn Fn(Open, HomeSide)>,
    /// Handler for questions.
    pub answer: Box<Responder>,
    /// Connections that have not proven the secret.
    pub handshakes: Rc<Newest>,
}

/// Returns an empty set of connections that have not proven the secret.
pub fn handshakes() -> Rc<Newest> {
    Newest::new(MAX_HANDSHAKES)
}

/// Serves one peer until its link ends.
pub async fn serve(stream: TcpStream, service: Rc<Service>) {
    if let Err(error) = run(stream, &service).await {
        debug!("link: link accepted from a peer closed: {error:#}.");
    }
}

async fn run(stream: TcpStream, service: &Service) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    let clock = ConnectionClock { clock: service.clock.clone(), accepted: service.clock.now() };
    // Only the dialling end monitors activity and closes links to unresponsive peers.
    let allowance = Rc::new(Cell::new(MAX_HANDSHAKE_BYTES));
    let io = ActivityStream::limited(stream.into_poll_io()?, || {}, allowance.clone());
    let mut place = service.handshakes.enter();
    let (peer, mut reader, mut writer) = monoio::select! {
        authenticated = handshake(io, service, &clock) => authenticated?,
        () = place.ended() => bail!("too many peers have not proven the shared secret"),
    };
    drop(place);
    allowance.set(UNLIMITED);
    let (outgoing, mut rx) = mpsc::unbounded_channel();
    monoio::select! {
        result = socket::write_messages(&mut writer, &mut rx) => result,
        result = dispatch(&mut reader, &peer, outgoing, service, &clock) => result,
    }
}

/// Accepts the WebSocket of a peer and authenticates both ends.
async fn handshake(
    io: ActivityStream,
    service: &Service,
    clock: &ConnectionClock,
) -> anyhow::Result<(Hello, socket::Reader, socket::Writer)> {
    let handshake = tokio_tungstenite::accept_async_with_config(io, Some(socket::config()));
    let ws = monoio::time::timeout(socket::HELLO_TIMEOUT, handshake)
        .await
        .context("the peer did not complete the WebSocket handshake in time")??;
    let (mut writer, mut reader) = ws.split();
    let hello = (service.hello)();
    let authenticate = authenticate(&hello, &service.secret, clock, &mut reader, &mut writer);
    let peer = monoio::time::timeout(socket::HELLO_TIMEOUT, authenticate).await??;
    Ok((peer, reader, writer))
}

/// Authenticates this host to the peer and the peer to this host. Returns the peer's hello.
async fn authenticate(
    own: &Hello,
    secret: &Secret,
    clock: &ConnectionClock,
    reader: &mut socket::Reader,
    writer: &mut socket::Writer,
) -> anyhow::Result<Hello> {
    let Message::Hello(peer) = socket::receive(reader).await? else {
        bail!("the first message of the peer was not a hello")
    };
    let dated = Hello { clock: Some(clock.elapsed()), ..own.clone() };
    socket::send(writer, &Message::Hello(dated)).await?;
    let proof = Proof::new(secret, End::Accepting, &peer, own);
    socket::send(writer, &Message::Proof(proof)).await?;
    match socket::receive(reader).await? {
        Message::Proof(proof) if proof.is_valid(secret, End::Dialling, &peer, own) => Ok(peer),
        _ => bail!(
            "the peer that claims to be {} has no valid proof of the shared secret",
            peer.host
        ),
    }
}

async fn dispatch(
    reader: &mut socket::Reader,
    peer: &Hello,
    outgoing: UnboundedSender<Outgoing>,
    service: &Service,
    clock: &ConnectionClock,
) -> anyhow::Result<()> {
    // When the link closes, dropping the senders makes each home side receive `None`.
    let mut exchanges: HashMap<RequestNo, UnboundedSender<ToHome>> = HashMap::new();
    let mut sweep_size = MIN_SWEEP_SIZE;
    loop {
        match socket::receive(reader).await? {
            Message::Open(number, open) => {
                if exchanges.len() >= sweep_size {
                    exchanges.retain(|_, tx| !tx.is_closed());
                    sweep_size = MIN_SWEEP_SIZE.max(2 * exchanges.len());
                }
                let (tx, rx) = mpsc::unbounded_channel();
                exchanges.insert(number, tx);
                (service.serve)(*open, HomeSide::on_link(number, outgoing.clone(), rx));
            }
            Message::ToHome(number, message) => {
                let is_close = matches!(message, ToHome::Close);
                if let Some(tx) = exchanges.get(&number) {
                    // Fails if the home has ended the exchange already.
                    let _ = tx.send(message);
                }
                if is_close {
                    exchanges.remove(&number);
                }
            }
            Message::Question(number, question) => {
                let with_clock = matches!(question, Question::Clock);
                let question = if with_clock { Question::Ping } else { question };
                let (outgoing, clock) = (outgoing.clone(), clock.clone());
                let replier = Replier { number, outgoing, clock, with_clock };
                (service.answer)(peer, question, replier);
            }
            other => bail!("the peer sent a message of the accepting end: {other:?}"),
        }
    }
}

/// Accepts the next connection of a listener; `clients` names the connecting side in the log.
///
/// Guards against a host that exits when it has no file descriptor left for a connection:
/// accepting then fails, although established connections could continue. The failure is
/// therefore logged, and accepting is retried until file descriptors are free.
pub async fn stream(listener: &TcpListener, clients: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                warn!("link: a connection of {clients} cannot be accepted, retrying: {error}.")
            }
        }
        monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
}
