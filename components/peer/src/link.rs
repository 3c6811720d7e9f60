//! Dialling end of a link to another host: one task that connects, sends messages and delivers
//! answers to the open exchanges and questions.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use bergamottrack_coordination::{Clock, HostId, token::Secret};
use futures_util::StreamExt;
use monoio::{io::IntoPollIo, net::TcpStream};
use tokio::sync::{
    Notify,
    mpsc::{self, UnboundedSender},
    oneshot,
};
use tracing::{debug, info};

use crate::{
    accept,
    activity::ActivityStream,
    exchange::Exchange,
    message::{Answer, End, Hello, Message, Open, Proof, Question, RequestNo, ToEntry},
    peer_clock::PeerClock,
    socket::{self, Outgoing},
};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a failed or closed link is dialled again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Default interval of pings on a link.
pub const PING_INTERVAL: Duration = Duration::from_millis(100);

/// Default time without data from the peer after which a link counts as down.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Settings of a link's connections.
#[derive(Clone, Copy, Debug)]
pub struct Keepalive {
    /// Interval between pings.
    pub interval: Duration,
    /// Time without data from the peer after which the link counts as down; several times
    /// `interval`.
    pub timeout: Duration,
    /// Whether a connection is reset when the link closes it, so that the peer gets nothing that was
    /// given up. Not for a link that sends messages which take longer than `timeout`: no answer to a
    /// ping arrives meanwhile, and a reset would discard the rest of each such message.
    pub resets: bool,
}

impl Default for Keepalive {
    fn default() -> Self {
        Self { interval: PING_INTERVAL, timeout: SILENCE_TIMEOUT, resets: false }
    }
}

enum Waiter {
    Exchange(UnboundedSender<ToEntry>),
    Question(oneshot::Sender<Answer>),
}

/// Dialling end of a link.
pub struct Link {
    /// Host at the other end.
    pub host: HostId,
    clock: Rc<dyn Clock>,
    /// Queue of messages to be sent; `None` while the link is down.
    outgoing: RefCell<Option<UnboundedSender<Outgoing>>>,
    /// Open exchanges and questions by number; cleared when the link goes down.
    waiters: RefCell<HashMap<RequestNo, Waiter>>,
    next_number: Cell<RequestNo>,
    /// Time at which data was last received from the peer, including parts of messages.
    last_contact: Rc<Cell<Option<Instant>>>,
    /// Time since which an answer has been pending and no message has been received.
    pending_since: Cell<Option<Instant>>,
    /// Clock of the peer on the current connection.
    peer_clock: PeerClock,
    closed: Cell<bool>,
    /// Whether the peer is shutting down.
    draining: Cell<bool>,
    /// Whether the first attempt to connect has ended.
    attempted: Cell<bool>,
    /// Notified when the first attempt to connect has ended.
    first_attempt_ended: Notify,
    keepalive: Keepalive,
}

impl Link {
    /// Starts a link that reconnects whenever it goes down. Its task ends soon after
    /// [`Link::close`].
    pub fn start(
        host: HostId,
        address: SocketAddr,
        hello: impl Fn() -> Hello + 'static,
        secret: Secret,
        clock: Rc<dyn Clock>,
        keepalive: Keepalive,
    ) -> Rc<Self> {
        let link = Rc::new(Self {
            host,
            clock,
            outgoing: RefCell::default(),
            waiters: RefCell::default(),
            next_number: Cell::default(),
            last_contact: Rc::default(),
            pending_since: Cell::default(),
            peer_clock: PeerClock::default(),
            closed: Cell::default(),
            draining: Cell::default(),
            attempted: Cell::default(),
            first_attempt_ended: Notify::new(),
            keepalive,
        });
        let dialler = Dialler { address, hello: Box::new(hello), secret };
        monoio::spawn(maintain(link.clone(), dialler));
        link
    }

    /// Closes the link permanently, at its next ping or before its next attempt to connect.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Returns whether the link is connected and data was received within the keepalive timeout.
    pub fn is_up(&self) -> bool {
        self.outgoing.borrow().is_some() && self.has_recent_contact()
    }

    /// Returns the time at which data was last received from the peer; `None` before the first
    /// connection.
    pub fn last_contact(&self) -> Option<Instant> {
        self.last_contact.get()
    }

    fn has_recent_contact(&self) -> bool {
        self.last_contact.get().is_some_and(|t| self.clock.now() < t + self.keepalive.timeout)
    }

    /// Returns whether the link is up and the peer, if an answer is pending, has sent a message
    /// within `timeout`.
    ///
    /// Guards against a frozen host: its link counts as up for seconds, and questions sent to it
    /// meanwhile only time out.
    pub fn is_responsive(&self, timeout: Duration) -> bool {
        self.is_up()
            && self.pending_since.get().is_none_or(|since| self.clock.now() < since + timeout)
    }

    /// Returns whether the peer is shutting down: it finishes running work and accepts no new work.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Waits until the first attempt to connect has ended, for at most `timeout`.
    pub async fn first_attempt(&self, timeout: Duration) {
        if !self.attempted.get() {
            // A peer that does not respond in time is skipped.
            let _ = monoio::time::timeout(timeout, self.first_attempt_ended.notified()).await;
        }
    }

    fn record_attempt(&self) {
        self.attempted.set(true);
        self.first_attempt_ended.notify_waiters();
    }

    /// Opens an exchange in which the peer is the home; returns `None` if the link is down.
    pub fn open(&self, open: Open) -> Option<Exchange> {
        let outgoing = self.outgoing.borrow().clone()?;
        let (tx, rx) = mpsc::unbounded_channel();
        let number = self.register(Waiter::Exchange(tx));
        outgoing.send(Message::Open(number, Box::new(open)).into()).ok()?;
        Some(Exchange::on_link(number, outgoing, rx))
    }

    /// Sends a question to the peer and returns its answer. Fails if the link is down or goes down,
    /// or after `timeout`.
    pub async fn query(&self, question: Question, timeout: Duration) -> anyhow::Result<Answer> {
        let outgoing = self.outgoing.borrow().clone();
        let outgoing = outgoing.with_context(|| format!("the link to {} is down", self.host))?;
        let (tx, rx) = oneshot::channel();
        let number = self.register(Waiter::Question(tx));
        self.pending_since.set(self.pending_since.get().or_else(|| Some(self.clock.now())));
        let sent = outgoing.send(Message::Question(number, question).into());
        let answer = monoio::time::timeout(timeout, rx).await;
        self.waiters.borrow_mut().remove(&number);
        sent.ok().with_context(|| format!("the link to {} is down", self.host))?;
        answer
            .with_context(|| format!("{} did not answer in {timeout:?}", self.host))?
            .with_context(|| format!("the link to {} went down", self.host))
    }

    /// Returns the earliest reading that the peer's clock may show now; `None` if the peer sends none.
    pub fn earliest_clock(&self) -> Option<Duration> {
        self.peer_clock.earliest(self.clock.now())
    }

    fn register(&self, waiter: Waiter) -> RequestNo {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.waiters.borrow_mut().insert(number, waiter);
        number
    }

    async fn run(&self, dialler: &Dialler) -> anyhow::Result<()> {
        let address = dialler.address;
        let connect = TcpStream::connect(address);
        let stream =
            monoio::time::timeout(CONNECT_TIMEOUT, connect).await.context("connecting")??;
        stream.set_nodelay(true)?;
        bergamottrack_socket::set_receive_buffer(&stream, accept::RECEIVE_BUFFER)?;
        if self.keepalive.resets {
            bergamottrack_socket::reset_on_close(&stream)?;
        }
        let url = format!("ws://{address}/");
        let (last_contact, clock) = (self.last_contact.clone(), self.clock.clone());
        let io = ActivityStream::new(stream.into_poll_io()?, move || {
            last_contact.set(Some(clock.now()))
        });
        let handshake =
            tokio_tungstenite::client_async_with_config(url, io, Some(socket::config()));
        let (ws, _) = monoio::time::timeout(socket::HELLO_TIMEOUT, handshake).await??;
        let (mut writer, mut reader) = ws.split();
        let authenticate = dialler.authenticate(&self.host, &mut reader, &mut writer);
        let peer = monoio::time::timeout(socket::HELLO_TIMEOUT, authenticate).await??;
        self.peer_clock.reset();
        if let Some(elapsed) = peer.clock {
            self.peer_clock.note(elapsed, self.clock.now());
        }
        let (tx, mut rx) = mpsc::unbounded_channel();
        *self.outgoing.borrow_mut() = Some(tx);
        self.draining.set(false);
        self.record_attempt();
        self.last_contact.set(Some(self.clock.now()));
        info!("link: connected to {}.", self.host);
        monoio::select! {
            result = socket::write_messages(&mut writer, &mut rx) => result,
            result = self.dispatch(&mut reader) => result,
            result = self.ping() => result,
        }
    }

    async fn dispatch(&self, reader: &mut socket::Reader) -> anyhow::Result<()> {
        loop {
            let message = socket::receive(reader).await?;
            self.pending_since.set((self.waiters.borrow().len() > 1).then(|| self.clock.now()));
            match message {
                Message::ToEntry(number, message) => self.deliver(number, message),
                Message::Answer(number, answer) => {
                    // An answer to a question that has timed out is dropped.
                    if let Some(Waiter::Question(tx)) = self.waiters.borrow_mut().remove(&number) {
                        let _ = tx.send(answer);
                    }
                }
                other => bail!("the peer sent a message of the dialling end: {other:?}"),
            }
        }
    }

    fn deliver(&self, number: RequestNo, message: ToEntry) {
        let is_last = message.is_last();
        let mut waiters = self.waiters.borrow_mut();
        let abandoned = match waiters.get(&number) {
            Some(Waiter::Exchange(tx)) => tx.send(message).is_err(),
            _ => false,
        };
        if is_last || abandoned {
            waiters.remove(&number);
        }
    }

    /// Pings the peer until the link is closed or no data has been received for the keepalive
    /// timeout.
    ///
    /// A late answer to a ping is tolerated while data is being received: it is queued behind a
    /// message that is large for the link's bandwidth. If the link were closed, all pending answers
    /// would be lost, and the large message would fail in the same way at the next request.
    async fn ping(&self) -> anyhow::Result<()> {
        while !self.closed.get() {
            let question =
                if self.earliest_clock().is_some() { Question::Clock } else { Question::Ping };
            match self.query(question, self.keepalive.timeout).await {
                Ok(Answer::Clock { elapsed, draining }) => {
                    self.peer_clock.note(elapsed, self.clock.now());
                    self.draining.set(draining);
                }
                Ok(answer) => self.draining.set(matches!(answer, Answer::Draining)),
                Err(_) if self.has_recent_contact() => continue,
                Err(error) => return Err(error),
            }
            monoio::time::sleep(self.keepalive.interval).await;
        }
        bail!("the link is no longer needed")
    }
}

/// Address and credentials with which a link connects.
struct Dialler {
    address: SocketAddr,
    /// Creates this host's hello, with a new nonce for each connection.
    hello: Box<dyn Fn() -> Hello>,
    secret: Secret,
}

impl Dialler {
    /// Authenticates the peer to this host, then this host to the peer. Returns the peer's hello.
    async fn authenticate(
        &self,
        host: &HostId,
        reader: &mut socket::Reader,
        writer: &mut socket::Writer,
    ) -> anyhow::Result<Hello> {
        let own = (self.hello)();
        socket::send(writer, &Message::Hello(own.clone())).await?;
        let peer = match socket::receive(reader).await? {
            Message::Hello(peer) if peer.host == *host => peer,
            _ => bail!("the peer at {} is not the expected host", self.address),
        };
        match socket::receive(reader).await? {
            Message::Proof(proof) if proof.is_valid(&self.secret, End::Accepting, &own, &peer) => {}
            _ => bail!("the peer at {} has no valid proof of the shared secret", self.address),
        }
        let proof = Proof::new(&self.secret, End::Dialling, &own, &peer);
        socket::send(writer, &Message::Proof(proof)).await?;
        Ok(peer)
    }
}

async fn maintain(link: Rc<Link>, dialler: Dialler) {
    while !link.closed.get() {
        if let Err(error) = link.run(&dialler).await {
            link.record_attempt();
            debug!("link: connection to {} failed: {error:#}.", link.host);
        }
        let was_up = link.outgoing.borrow_mut().take().is_some();
        link.waiters.borrow_mut().clear();
        link.pending_since.set(None);
        if was_up {
            info!("link: connection to {} lost.", link.host);
        }
        monoio::time::sleep(RETRY_DELAY).await;
    }
}
