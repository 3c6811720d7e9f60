//! A connection to a backend server on which a statement or transaction runs: one of
//! this host's own, or one that another host holds for all.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant as StdInstant},
};

use bergamottrack_coordination::AccountId;
use bergamottrack_model::{Failure, ServerAnswer, Session, State, statement::Shape};
use bergamottrack_peer::{Answer, Errand, Link, NotSent, Question, Relayed, WorkNo};
use bytes::{Bytes, BytesMut};
use monoio::time::Instant;

use crate::{
    backend::OpenError,
    pool::{Leased, NoConnection, Permit, Pool},
};

/// How much longer than the statement may take its holder's word is waited for: the way
/// there and back, and what a busy host needs to say that time is up.
const FORWARD_MARGIN: Duration = Duration::from_millis(30);

/// How long a holder may take to close the connection of a transaction.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Who waits for a connection, and how long.
#[derive(Clone, Copy, Debug)]
pub struct QueueParams {
    /// Who goes first where not all can be served; 0 is the most urgent.
    pub priority: u32,
    /// How long it may wait for its turn.
    pub patience: Duration,
    /// When a connection is no use any more.
    pub until: Instant,
}

/// Why there is no answer of the server.
#[derive(Clone, Copy, Debug)]
pub enum ExchangeError {
    /// The server did not get the statement.
    NotSent(NotSent),
    /// The connection was lost.
    Lost,
    /// The server did not answer in time.
    Late,
}

/// A connection of this host's own.
pub struct Own {
    leased: Leased,
    /// The right to have a statement under way; taken anew for each further one.
    permit: Option<Permit>,
}

/// A connection that another host holds.
pub struct Remote {
    pool: Rc<Pool>,
    link: Rc<Link>,
    account: AccountId,
    queue: QueueParams,
    line: BytesMut,
    values: BTreeMap<Box<str>, Box<str>>,
    shape: Option<Shape>,
    /// Whether the line runs whatever the values are.
    without_session: bool,
    /// The transaction that it was or is to be opened for.
    work: Option<WorkNo>,
    /// Whether the holder keeps the connection for the transaction.
    pinned: bool,
}

/// A connection to a backend server.
pub enum Conn {
    /// Of this host's own.
    Own(Box<Own>),
    /// Held by another host.
    Remote(Box<Remote>),
}

impl Conn {
    /// One of this host's own connections, once it is the account's turn.
    pub async fn own(
        pool: &Rc<Pool>,
        account: &AccountId,
        session: &Session,
        queue: QueueParams,
        now: StdInstant,
    ) -> Result<Self, NotSent> {
        let permit = pool.enter(queue.priority, queue.patience, now).await;
        let permit = permit.map_err(queue_full)?;
        let leased = pool.lease(account, &session.values, queue.until).await.map_err(not_sent)?;
        Ok(Self::Own(Box::new(Own { leased, permit: Some(permit) })))
    }

    /// One that the host at the other end of the link holds; nothing is sent yet.
    pub fn remote(pool: Rc<Pool>, link: Rc<Link>, account: AccountId, queue: QueueParams) -> Self {
        Self::Remote(Box::new(Remote {
            pool,
            link,
            account,
            queue,
            line: BytesMut::new(),
            values: BTreeMap::new(),
            shape: None,
            without_session: false,
            work: None,
            pinned: false,
        }))
    }

    /// The server.
    pub fn pool(&self) -> &Rc<Pool> {
        match self {
            Self::Own(own) => own.leased.pool(),
            Self::Remote(remote) => &remote.pool,
        }
    }

    /// Whether the connection is this host's own.
    pub fn is_own(&self) -> bool {
        matches!(self, Self::Own(_))
    }

    /// Puts a line, to be sent on a connection that has the session's values and the
    /// named statement.
    pub fn put(
        &mut self,
        session: &Session,
        shape: Option<&Shape>,
        write: impl FnOnce(&mut BytesMut),
    ) {
        match self {
            Self::Own(own) => own.leased.backend().put(&session.values, shape, write),
            Self::Remote(remote) => {
                remote.values = session.values.clone();
                remote.shape = shape.cloned();
                write(&mut remote.line);
            }
        }
    }

    /// Puts a line that runs whatever the session's values are.
    pub fn put_without_session(&mut self, write: impl FnOnce(&mut BytesMut)) {
        match self {
            Self::Own(own) => write(&mut own.leased.backend().out),
            Self::Remote(remote) => {
                remote.without_session = true;
                write(&mut remote.line);
            }
        }
    }

    /// What is put next opens a transaction.
    pub fn begin_transaction(&mut self) {
        if let Self::Remote(remote) = self {
            remote.work = Some(rand::random());
        }
    }

    /// Sends what was put and reads the answer.
    pub async fn exchange(&mut self, within: Duration) -> Result<ServerAnswer, ExchangeError> {
        match self {
            Self::Own(own) => own.exchange(within).await,
            Self::Remote(remote) => remote.exchange(within).await,
        }
    }

    /// Keeps the connection for other statements, if nothing is open on it after that
    /// answer; false when it is.
    pub fn give_back(self, answer: &ServerAnswer) -> bool {
        match self {
            Self::Own(own) => {
                let Own { mut leased, .. } = *own;
                let clean = leased.backend().is_clean(answer);
                if clean {
                    leased.give_back();
                }
                clean
            }
            // Its holder has looked at the same answer.
            Self::Remote(remote) => !remote.pinned,
        }
    }
}

impl Own {
    async fn exchange(&mut self, within: Duration) -> Result<ServerAnswer, ExchangeError> {
        let pool = self.leased.pool().clone();
        let asked = Instant::now();
        let permit = match self.permit.take() {
            Some(permit) => permit,
            None => {
                let permit = pool.enter_in_transaction(asked + within).await;
                permit.map_err(|wait| ExchangeError::NotSent(queue_full(wait)))?
            }
        };
        pool.exchanges.borrow_mut().begin(StdInstant::now());
        let answer = monoio::time::timeout(within, self.leased.backend().exchange()).await;
        pool.exchanges.borrow_mut().end(matches!(answer, Ok(Ok(_))), StdInstant::now());
        match answer {
            Ok(Ok(answer)) => {
                permit.latency.set(Some(asked.elapsed()));
                Ok(answer)
            }
            Ok(Err(_)) => {
                pool.record_disconnect();
                Err(ExchangeError::Lost)
            }
            Err(_) => {
                pool.drop_idle();
                Err(ExchangeError::Late)
            }
        }
    }
}

impl Remote {
    async fn exchange(&mut self, within: Duration) -> Result<ServerAnswer, ExchangeError> {
        if !self.link.is_up() {
            return Err(ExchangeError::NotSent(NotSent::Unreachable));
        }
        let errand = Errand {
            server: self.pool.listed.borrow().id.clone(),
            account: (!self.without_session).then(|| self.account.clone()),
            line: self.line.split().freeze(),
            values: std::mem::take(&mut self.values),
            shape: self.shape.take(),
            work: self.work,
            opens: self.work.is_some() && !self.pinned,
            priority: self.queue.priority,
            patience_ms: self.queue.patience.as_millis() as u32,
            within_ms: within.as_millis() as u32,
        };
        // Until the answer is there the holder may keep the connection.
        self.pinned = self.work.is_some();
        self.without_session = false;
        let answer = forward(&self.link, errand).await?;
        self.pinned = self.work.is_some() && answer.state != State::Idle;
        Ok(answer)
    }
}

impl Drop for Remote {
    fn drop(&mut self) {
        let Some(work) = self.work.filter(|_| self.pinned) else { return };
        let link = self.link.clone();
        monoio::spawn(async move {
            // A holder that is not reached closes it by itself.
            let _ = link.ask(Question::Hang(work), CLOSE_TIMEOUT).await;
        });
    }
}

/// Has the host at the other end of the link run an errand.
async fn forward(link: &Link, errand: Errand) -> Result<ServerAnswer, ExchangeError> {
    let within = errand.within() + FORWARD_MARGIN;
    match link.ask(Question::Relay(Box::new(errand)), within).await {
        Ok(Answer::Relayed(Relayed::Answered(answer))) => Ok(answer),
        Ok(Answer::Relayed(Relayed::NotSent(why))) => Err(ExchangeError::NotSent(why)),
        Ok(Answer::Relayed(Relayed::Late)) => Err(ExchangeError::Late),
        _ => Err(ExchangeError::Lost),
    }
}

/// Asks a server a question of the host's own by the host that holds its connections.
pub async fn forward_query(
    link: &Link,
    pool: &Pool,
    line: Bytes,
    within: Duration,
) -> Result<ServerAnswer, ExchangeError> {
    let errand = Errand {
        server: pool.listed.borrow().id.clone(),
        account: None,
        line,
        values: BTreeMap::new(),
        shape: None,
        work: None,
        opens: false,
        priority: 0,
        patience_ms: within.as_millis() as u32,
        within_ms: within.as_millis() as u32,
    };
    forward(link, errand).await
}

/// What is told of a server that has no room for so long.
pub fn queue_full(wait: Duration) -> NotSent {
    NotSent::Crowded(wait.as_millis() as u32)
}

/// Why no connection came, for a host that asked for one.
pub fn not_sent(error: NoConnection) -> NotSent {
    match error {
        NoConnection::Full => NotSent::Full,
        NoConnection::Open(OpenError::Refused) => NotSent::Dead,
        NoConnection::Open(OpenError::Silent(_)) => NotSent::Silent,
        NoConnection::Open(OpenError::Rejected(Failure::Misdirected)) => NotSent::Misdirected,
        NoConnection::Open(OpenError::Rejected(_)) => NotSent::Rejected,
    }
}
