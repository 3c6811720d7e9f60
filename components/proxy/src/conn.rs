//! A connection to a backend server for a statement or transaction: one of this host's own,
//! or one that another host holds for all hosts.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant as StdInstant},
};

use bergamottrack_coordination::{AccountId, HostId};
use bergamottrack_model::{Failure, ServerAnswer, Session, State, statement::Shape};
use bergamottrack_peer::{
    Answer, ForwardResult, ForwardedStatement, Link, NotSent, Question, TransactionId,
};
use bytes::{Bytes, BytesMut};
use monoio::time::Instant;

use crate::{
    backend::OpenError,
    pool::{Leased, NoConnection, Permit, Pool, TransactionPlace},
};

/// Time beyond a statement's timeout for the holder's answer to arrive: a round trip, and the
/// delay with which a busy host reports the timeout.
const FORWARD_MARGIN: Duration = Duration::from_millis(30);

/// Timeout of a request to a holder to close the connection of a transaction.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Priority and time limits of a request that waits for a connection.
#[derive(Clone, Copy, Debug)]
pub struct QueueParams {
    /// Priority if not all requests can be served; 0 is the most urgent.
    pub priority: u32,
    /// Maximum time in the queue of the server.
    pub queue_timeout: Duration,
    /// Time until which the request may wait for a connection.
    pub deadline: Instant,
    /// Whether the request opens a transaction.
    pub opens: bool,
}

/// Reason why an exchange ended without an answer of the server.
#[derive(Clone, Copy, Debug)]
pub enum ExchangeError {
    /// The server did not receive the statement.
    NotSent(NotSent),
    /// The connection was lost.
    Lost,
    /// The server did not answer in time.
    Late,
}

/// A connection of this host's own.
pub struct Own {
    leased: Leased,
    /// Permit for the first statement; `None` afterwards, when each statement acquires its own.
    permit: Option<Permit>,
}

/// A connection held by another host, to which statements are forwarded.
pub struct Remote {
    pool: Rc<Pool>,
    link: Rc<Link>,
    account: AccountId,
    queue: QueueParams,
    /// Lines to send with the next exchange.
    line: BytesMut,
    values: BTreeMap<Box<str>, Box<str>>,
    shape: Option<Shape>,
    /// Whether `line` is independent of the session's values.
    without_session: bool,
    /// Id of the transaction that runs, or is to be opened, on the connection.
    transaction: Option<TransactionId>,
    /// Whether the holder keeps the connection for the transaction.
    pinned: bool,
    /// Whether the server is used as the leader of its group.
    leads: bool,
}

/// A connection to a backend server.
pub enum Conn {
    /// A connection of this host's own.
    Own(Box<Own>),
    /// A connection held by another host.
    Remote(Box<Remote>),
}

impl Conn {
    /// Leases one of this host's own connections, once the queue admits the request.
    pub async fn own(
        pool: &Rc<Pool>,
        account: &AccountId,
        session: &Session,
        queue: QueueParams,
        now: StdInstant,
    ) -> Result<Self, NotSent> {
        let transaction =
            transaction_place(pool, account, queue.opens, queue.queue_timeout).await?;
        let permit = pool.enter(queue.priority, queue.queue_timeout, now).await;
        let permit = permit.map_err(queue_full)?;
        let mut leased =
            pool.lease(account, &session.values, queue.deadline).await.map_err(not_sent)?;
        leased.transaction = transaction;
        Ok(Self::Own(Box::new(Own { leased, permit: Some(permit) })))
    }

    /// Returns a connection held by the host at the other end of the link; sends nothing yet. `leads`
    /// is whether the server is used as the leader of its group.
    pub fn remote(
        pool: Rc<Pool>,
        link: Rc<Link>,
        account: AccountId,
        queue: QueueParams,
        leads: bool,
    ) -> Self {
        Self::Remote(Box::new(Remote {
            pool,
            link,
            account,
            queue,
            line: BytesMut::new(),
            values: BTreeMap::new(),
            shape: None,
            without_session: false,
            transaction: None,
            pinned: false,
            leads,
        }))
    }

    /// Returns the pool of the server.
    pub fn pool(&self) -> &Rc<Pool> {
        match self {
            Self::Own(own) => own.leased.pool(),
            Self::Remote(remote) => &remote.pool,
        }
    }

    /// Returns the host that holds the connection; none if this host does.
    pub fn holder(&self) -> Option<&HostId> {
        match self {
            Self::Own(_) => None,
            Self::Remote(remote) => Some(&remote.link.host),
        }
    }

    /// Returns whether the connection is one of this host's own.
    pub fn is_own(&self) -> bool {
        matches!(self, Self::Own(_))
    }

    /// Writes a line for the next exchange, to be sent on a connection that has the session's
    /// values and the named statement.
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

    /// Writes a line for the next exchange that is independent of the session's values.
    pub fn put_without_session(&mut self, write: impl FnOnce(&mut BytesMut)) {
        match self {
            Self::Own(own) => write(&mut own.leased.backend().out),
            Self::Remote(remote) => {
                remote.without_session = true;
                write(&mut remote.line);
            }
        }
    }

    /// Marks the next line as one that opens a transaction, for the holder of the connection.
    /// Has no effect on a connection of this host's own.
    pub fn begin_transaction(&mut self) {
        if let Self::Remote(remote) = self {
            remote.transaction = Some(rand::random());
        }
    }

    /// Sends the lines written so far and reads the answer. Sends nothing if `may_send` does not hold
    /// after a wait for the server's capacity.
    pub async fn exchange(
        &mut self,
        timeout: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<ServerAnswer, ExchangeError> {
        match self {
            Self::Own(own) => own.exchange(timeout, may_send).await,
            Self::Remote(remote) => remote.exchange(timeout).await,
        }
    }

    /// Gives the connection back for other statements if no transaction is open on it after
    /// `answer`, the last one; otherwise closes it and returns false.
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
            // The holder has given the connection back or kept it by the same answer.
            Self::Remote(remote) => !remote.pinned,
        }
    }
}

impl Own {
    async fn exchange(
        &mut self,
        timeout: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<ServerAnswer, ExchangeError> {
        let pool = self.leased.pool().clone();
        let sent_at = Instant::now();
        let permit = match self.permit.take() {
            Some(permit) => permit,
            None => {
                let permit = pool.enter_in_transaction(sent_at + timeout).await;
                permit.map_err(|wait| ExchangeError::NotSent(queue_full(wait)))?
            }
        };
        if !may_send() {
            return Err(ExchangeError::NotSent(NotSent::NotLeader));
        }
        pool.exchanges.borrow_mut().begin(StdInstant::now());
        let answer = monoio::time::timeout(timeout, self.leased.backend().exchange()).await;
        pool.exchanges.borrow_mut().end(matches!(answer, Ok(Ok(_))), StdInstant::now());
        match answer {
            Ok(Ok(answer)) => {
                permit.latency.set(Some(sent_at.elapsed()));
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
    async fn exchange(&mut self, timeout: Duration) -> Result<ServerAnswer, ExchangeError> {
        if !self.link.is_up() {
            return Err(ExchangeError::NotSent(NotSent::Unreachable));
        }
        let statement = ForwardedStatement {
            server: self.pool.listed.borrow().id.clone(),
            account: (!self.without_session).then(|| self.account.clone()),
            line: self.line.split().freeze(),
            values: std::mem::take(&mut self.values),
            shape: self.shape.take(),
            transaction: self.transaction,
            opens: self.transaction.is_some() && !self.pinned,
            leads: self.leads,
            priority: self.queue.priority,
            queue_timeout_ms: self.queue.queue_timeout.as_millis() as u32,
            timeout_ms: timeout.as_millis() as u32,
            sent: self.link.earliest_clock(),
        };
        // Until the answer arrives, the holder may keep the connection for the transaction.
        self.pinned = self.transaction.is_some();
        self.without_session = false;
        let answer = forward(&self.link, statement).await?;
        self.pinned = self.transaction.is_some() && answer.state != State::Idle;
        Ok(answer)
    }
}

impl Drop for Remote {
    fn drop(&mut self) {
        let Some(transaction) = self.transaction.filter(|_| self.pinned) else { return };
        let link = self.link.clone();
        monoio::spawn(async move {
            // A holder that cannot be reached closes the connection by itself.
            let _ = link.query(Question::CancelTransaction(transaction), CLOSE_TIMEOUT).await;
        });
    }
}

/// Forwards a statement to the host at the other end of the link.
async fn forward(
    link: &Link,
    statement: ForwardedStatement,
) -> Result<ServerAnswer, ExchangeError> {
    let timeout = statement.timeout() + FORWARD_MARGIN;
    match link.query(Question::Forward(Box::new(statement)), timeout).await {
        Ok(Answer::ForwardResult(ForwardResult::Answered(answer))) => Ok(answer),
        Ok(Answer::ForwardResult(ForwardResult::NotSent(why))) => Err(ExchangeError::NotSent(why)),
        Ok(Answer::ForwardResult(ForwardResult::TimedOut)) => Err(ExchangeError::Late),
        _ => Err(ExchangeError::Lost),
    }
}

/// Forwards a query of this host itself to the host that holds the server's connections.
pub async fn forward_query(
    link: &Link,
    pool: &Pool,
    line: Bytes,
    timeout: Duration,
) -> Result<ServerAnswer, ExchangeError> {
    let statement = ForwardedStatement {
        server: pool.listed.borrow().id.clone(),
        account: None,
        line,
        values: BTreeMap::new(),
        shape: None,
        transaction: None,
        opens: false,
        leads: false,
        priority: 0,
        queue_timeout_ms: timeout.as_millis() as u32,
        timeout_ms: timeout.as_millis() as u32,
        sent: link.earliest_clock(),
    };
    forward(link, statement).await
}

/// Waits for the account's part of the connections in transactions, if the request opens one.
pub async fn transaction_place(
    pool: &Rc<Pool>,
    account: &AccountId,
    opens: bool,
    queue_timeout: Duration,
) -> Result<Option<TransactionPlace>, NotSent> {
    if !opens {
        return Ok(None);
    }
    let place = pool.enter_transaction(account, Instant::now() + queue_timeout).await;
    place.map(Some).ok_or(NotSent::Full)
}

/// Returns the reason for a statement refused because a server's queue is full; the queue may
/// have room after `wait`.
pub fn queue_full(wait: Duration) -> NotSent {
    NotSent::QueueFull(wait.as_millis() as u32)
}

/// Returns the reason for a statement not sent because no connection was leased.
pub fn not_sent(error: NoConnection) -> NotSent {
    match error {
        NoConnection::Full => NotSent::Full,
        NoConnection::Open(OpenError::Refused) => NotSent::Refused,
        NoConnection::Open(OpenError::Silent(_)) => NotSent::Silent,
        NoConnection::Open(OpenError::Rejected(Failure::Misdirected)) => NotSent::Misdirected,
        NoConnection::Open(OpenError::Rejected(_)) => NotSent::Rejected,
    }
}
