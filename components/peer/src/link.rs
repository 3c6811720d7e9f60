//! The dialling end of a link to another host: one task that connects, sends
//! what is asked of it and hands answers to those who wait.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
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
    activity::ActivityStream,
    exchange::Exchange,
    message::{Answer, End, Hello, Message, Open, Proof, Question, RequestNo, ToEntry},
    socket,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How often a link is tried out.
pub const PING_INTERVAL: Duration = Duration::from_millis(100);

/// How long a silent peer counts as there, where links are tried out so often.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// How a link is tried out.
#[derive(Clone, Copy, Debug)]
pub struct Keepalive {
    /// How often.
    pub interval: Duration,
    /// How long a silent peer counts as there; several times `interval`.
    pub timeout: Duration,
}

impl Default for Keepalive {
    fn default() -> Self {
        Self { interval: PING_INTERVAL, timeout: SILENCE_TIMEOUT }
    }
}

enum Waiter {
    Exchange(UnboundedSender<ToEntry>),
    Question(oneshot::Sender<Answer>),
}

/// The dialling end of a link.
pub struct Link {
    /// The host at the other end.
    pub host: HostId,
    clock: Rc<dyn Clock>,
    /// `None` while the link is down.
    out: RefCell<Option<UnboundedSender<Message>>>,
    /// Who waits for an answer, by number; emptied when the link goes down.
    waiters: RefCell<HashMap<RequestNo, Waiter>>,
    next_no: Cell<RequestNo>,
    /// When something of the peer's came last, be it a part of a message.
    heard: Rc<Cell<Option<Instant>>>,
    /// Since when the peer owes an answer without saying anything.
    owes: Cell<Option<Instant>>,
    closed: Cell<bool>,
    /// Whether the peer is being stopped.
    leaving: Cell<bool>,
    /// Whether nothing listened at the peer's address when it was last connected to.
    refused: Cell<bool>,
    /// Whether the first attempt to connect has ended.
    tried: Cell<bool>,
    /// Wakes those who wait for the first attempt.
    first: Notify,
    pace: Keepalive,
}

impl Link {
    /// Starts a link that connects again whenever it goes down.
    ///
    /// The task ends soon after [`Link::close`].
    pub fn start(
        host: HostId,
        address: SocketAddr,
        hello: impl Fn() -> Hello + 'static,
        secret: Secret,
        clock: Rc<dyn Clock>,
        pace: Keepalive,
    ) -> Rc<Self> {
        let link = Rc::new(Self {
            host,
            clock,
            out: RefCell::default(),
            waiters: RefCell::default(),
            next_no: Cell::default(),
            heard: Rc::default(),
            owes: Cell::default(),
            closed: Cell::default(),
            leaving: Cell::default(),
            refused: Cell::default(),
            tried: Cell::default(),
            first: Notify::new(),
            pace,
        });
        let dialler = Dialler { address, hello: Box::new(hello), secret };
        monoio::spawn(keep(link.clone(), dialler));
        link
    }

    /// Ends the link for good.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Whether the peer answered lately.
    pub fn is_up(&self) -> bool {
        self.out.borrow().is_some() && self.is_heard()
    }

    fn is_heard(&self) -> bool {
        self.heard.get().is_some_and(|t| self.clock.now() < t + self.pace.timeout)
    }

    /// Whether the peer has said something within that time, if it owes an answer.
    ///
    /// Guards against a host that froze: its link counts as up for seconds, and all that
    /// is asked of it meanwhile waits in vain.
    pub fn is_responsive(&self, within: Duration) -> bool {
        self.is_up() && self.owes.get().is_none_or(|since| self.clock.now() < since + within)
    }

    /// Whether the peer is being stopped: it ends what it has and gets nothing new.
    pub fn is_draining(&self) -> bool {
        self.leaving.get()
    }

    /// Whether the peer's process is gone: its host refused the last connection.
    pub fn is_refused(&self) -> bool {
        self.refused.get()
    }

    /// Waits until a new link has been tried for the first time.
    pub async fn first_attempt(&self, within: Duration) {
        if !self.tried.get() {
            // A peer that does not answer by then is passed over.
            let _ = monoio::time::timeout(within, self.first.notified()).await;
        }
    }

    fn note_tried(&self) {
        self.tried.set(true);
        self.first.notify_waiters();
    }

    /// Begins an exchange with the peer as home; `None` when the link is down.
    pub fn open(&self, open: Open) -> Option<Exchange> {
        let out = self.out.borrow().clone()?;
        let (tx, rx) = mpsc::unbounded_channel();
        let no = self.wait(Waiter::Exchange(tx));
        out.send(Message::Open(no, Box::new(open))).ok()?;
        Some(Exchange::on_link(no, out, rx))
    }

    /// Asks the peer; an error when the link is down or goes down.
    pub async fn query(&self, question: Question, within: Duration) -> anyhow::Result<Answer> {
        let out = self.out.borrow().clone();
        let out = out.with_context(|| format!("the link to {} is down", self.host))?;
        let (tx, rx) = oneshot::channel();
        let no = self.wait(Waiter::Question(tx));
        self.owes.set(self.owes.get().or_else(|| Some(self.clock.now())));
        let sent = out.send(Message::Question(no, question));
        let answer = monoio::time::timeout(within, rx).await;
        self.waiters.borrow_mut().remove(&no);
        sent.ok().with_context(|| format!("the link to {} is down", self.host))?;
        answer
            .with_context(|| format!("{} did not answer in {within:?}", self.host))?
            .with_context(|| format!("the link to {} went down", self.host))
    }

    fn wait(&self, waiter: Waiter) -> RequestNo {
        let no = self.next_no.get();
        self.next_no.set(no + 1);
        self.waiters.borrow_mut().insert(no, waiter);
        no
    }

    async fn run(&self, dialler: &Dialler) -> anyhow::Result<()> {
        let address = dialler.address;
        let connect = TcpStream::connect(address);
        let stream =
            monoio::time::timeout(CONNECT_TIMEOUT, connect).await.context("connecting")??;
        stream.set_nodelay(true)?;
        let url = format!("ws://{address}/");
        let (heard, clock) = (self.heard.clone(), self.clock.clone());
        let io = ActivityStream::new(stream.into_poll_io()?, move || heard.set(Some(clock.now())));
        let handshake =
            tokio_tungstenite::client_async_with_config(url, io, Some(socket::config()));
        let (ws, _) = monoio::time::timeout(socket::HELLO_TIMEOUT, handshake).await??;
        let (mut writer, mut reader) = ws.split();
        let prove = dialler.prove(&self.host, &mut reader, &mut writer);
        monoio::time::timeout(socket::HELLO_TIMEOUT, prove).await??;
        let (tx, mut rx) = mpsc::unbounded_channel();
        *self.out.borrow_mut() = Some(tx);
        self.leaving.set(false);
        self.refused.set(false);
        self.note_tried();
        self.heard.set(Some(self.clock.now()));
        info!("link: {} is up.", self.host);
        monoio::select! {
            result = socket::write_messages(&mut writer, &mut rx) => result,
            result = self.dispatch(&mut reader) => result,
            result = self.ping() => result,
        }
    }

    async fn dispatch(&self, reader: &mut socket::Reader) -> anyhow::Result<()> {
        loop {
            let message = socket::receive(reader).await?;
            self.owes.set((self.waiters.borrow().len() > 1).then(|| self.clock.now()));
            match message {
                Message::ToEntry(no, item) => self.hand_over(no, item),
                Message::Answer(no, answer) => {
                    // An answer that nobody waits for any more is late: dropped.
                    if let Some(Waiter::Question(tx)) = self.waiters.borrow_mut().remove(&no) {
                        let _ = tx.send(answer);
                    }
                }
                other => bail!("the peer said what only a dialling host says: {other:?}"),
            }
        }
    }

    fn hand_over(&self, no: RequestNo, item: ToEntry) {
        let last = item.is_last();
        let mut waiters = self.waiters.borrow_mut();
        let gone = match waiters.get(&no) {
            Some(Waiter::Exchange(tx)) => tx.send(item).is_err(),
            _ => false,
        };
        if last || gone {
            waiters.remove(&no);
        }
    }

    /// Tries the link out until it is closed or the peer is silent.
    ///
    /// An answer that is late while something comes is no silence: it waits behind a message
    /// that is large for the link. Given up for that, the link would lose all that is asked
    /// over it, and the large message, asked for again, would have the same end.
    async fn ping(&self) -> anyhow::Result<()> {
        while !self.closed.get() {
            match self.query(Question::Ping, self.pace.timeout).await {
                Ok(answer) => self.leaving.set(matches!(answer, Answer::Draining)),
                Err(_) if self.is_heard() => continue,
                Err(error) => return Err(error),
            }
            monoio::time::sleep(self.pace.interval).await;
        }
        bail!("the host left the roster")
    }
}

/// What a link needs to connect.
struct Dialler {
    address: SocketAddr,
    /// Who this host says it is; new for each connection.
    hello: Box<dyn Fn() -> Hello>,
    secret: Secret,
}

impl Dialler {
    /// Says who this host is, and makes sure who the peer is.
    async fn prove(
        &self,
        host: &HostId,
        reader: &mut socket::Reader,
        writer: &mut socket::Writer,
    ) -> anyhow::Result<()> {
        let mine = (self.hello)();
        socket::send(writer, &Message::Hello(mine.clone())).await?;
        let theirs = match socket::receive(reader).await? {
            Message::Hello(theirs) if theirs.host == *host => theirs,
            _ => bail!("another host answered at {}", self.address),
        };
        match socket::receive(reader).await? {
            Message::Proof(proof)
                if proof.is_valid(&self.secret, End::Accepting, &mine, &theirs) => {}
            _ => bail!("who answered at {} does not know the fleet's secret", self.address),
        }
        let proof = Proof::new(&self.secret, End::Dialling, &mine, &theirs);
        socket::send(writer, &Message::Proof(proof)).await
    }
}

fn is_refusal(error: &anyhow::Error) -> bool {
    let error = error.downcast_ref::<io::Error>();
    error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

async fn keep(link: Rc<Link>, dialler: Dialler) {
    while !link.closed.get() {
        if let Err(error) = link.run(&dialler).await {
            link.refused.set(is_refusal(&error));
            link.note_tried();
            debug!("link: {} is down: {error:#}.", link.host);
        }
        let was_up = link.out.borrow_mut().take().is_some();
        link.waiters.borrow_mut().clear();
        link.owes.set(None);
        if was_up {
            info!("link: {} is lost.", link.host);
        }
        monoio::time::sleep(RETRY_PAUSE).await;
    }
}
