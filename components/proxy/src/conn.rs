//! A connection to a backend server on which a statement or transaction runs: one of
//! this host's own, or one that another host holds for all.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant as StdInstant},
};

use bergamottrack_coordination::AccountId;
use bergamottrack_model::{Failure, ServerAnswer, Session, State, statement::Shape};
use bergamottrack_peer::{
    Answer, ForwardResult, ForwardedStatement, Link, NotSent, Question, TransactionId,
};
use bytes::{Bytes, BytesMut};
use monoio::time::Instant;

use crate::{
    backend::OpenError,
    pool::{Leased, NoConnection, Permit, Pool},
};

/// How much longer than the statement may take its holder's word is waited for: the way
/// there and back, and what a busy host needs to say that time is up.
const WORD_WITHIN: Duration = Duration::from_millis(30);

/// How long a holder may take to close the connection of a transaction.
const HANG_WITHIN: Duration = Duration::from_millis(400);

/// Who waits for a connection, and how long.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// Who goes first where not all can be served; 0 is the most urgent.
    pub priority: u32,
    /// How long it may wait for its turn.
    pub patience: Duration,
    /// When a connection is no use any more.
    pub until: Instant,
}

/// Why there is no answer of the server.
#[derive(Clone, Copy, Debug)]
pub enum Broken {
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
pub struct Far {
    pool: Rc<Pool>,
    link: Rc<Link>,
    account: AccountId,
    turn: Turn,
    line: BytesMut,
    values: BTreeMap<Box<str>, Box<str>>,
    shape: Option<Shape>,
    /// Whether the line runs whatever the values are.
    bare: bool,
    /// The transaction that it was or is to be opened for.
    work: Option<TransactionId>,
    /// Whether the holder keeps the connection for the transaction.
    kept: bool,
}

/// A connection to a backend server.
pub enum Conn {
    /// Of this host's own.
    Own(Box<Own>),
    /// Held by another host.
    Far(Box<Far>),
}

impl Conn {
    /// One of this host's own connections, once it is the account's turn.
    pub async fn own(
        pool: &Rc<Pool>,
        account: &AccountId,
        session: &Session,
        turn: Turn,
        now: StdInstant,
    ) -> Result<Self, NotSent> {
        let permit = pool.enter(turn.priority, turn.patience, now).await;
        let permit = permit.map_err(crowded)?;
        let leased = pool.lease(account, &session.values, turn.until).await.map_err(not_sent)?;
        Ok(Self::Own(Box::new(Own { leased, permit: Some(permit) })))
    }

    /// One that the host at the other end of the link holds; nothing is sent yet.
    pub fn far(pool: Rc<Pool>, link: Rc<Link>, account: AccountId, turn: Turn) -> Self {
        Self::Far(Box::new(Far {
            pool,
            link,
            account,
            turn,
            line: BytesMut::new(),
            values: BTreeMap::new(),
            shape: None,
            bare: false,
            work: None,
            kept: false,
        }))
    }

    /// The server.
    pub fn pool(&self) -> &Rc<Pool> {
        match self {
            Self::Own(own) => own.leased.pool(),
            Self::Far(far) => &far.pool,
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
            Self::Far(far) => {
                far.values = session.values.clone();
                far.shape = shape.cloned();
                write(&mut far.line);
            }
        }
    }

    /// Puts a line that runs whatever the session's values are.
    pub fn put_bare(&mut self, write: impl FnOnce(&mut BytesMut)) {
        match self {
            Self::Own(own) => write(&mut own.leased.backend().out),
            Self::Far(far) => {
                far.bare = true;
                write(&mut far.line);
            }
        }
    }

    /// What is put next opens a transaction.
    pub fn open_work(&mut self) {
        if let Self::Far(far) = self {
            far.work = Some(rand::random());
        }
    }

    /// Sends what was put and reads the answer.
    pub async fn exchange(&mut self, within: Duration) -> Result<ServerAnswer, Broken> {
        match self {
            Self::Own(own) => own.exchange(within).await,
            Self::Far(far) => far.exchange(within).await,
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
            Self::Far(far) => !far.kept,
        }
    }
}

impl Own {
    async fn exchange(&mut self, within: Duration) -> Result<ServerAnswer, Broken> {
        let pool = self.leased.pool().clone();
        let asked = Instant::now();
        let permit = match self.permit.take() {
            Some(permit) => permit,
            None => {
                let permit = pool.go_on(asked + within).await;
                permit.map_err(|wait| Broken::NotSent(crowded(wait)))?
            }
        };
        pool.exchanges.borrow_mut().begin(StdInstant::now());
        let answer = monoio::time::timeout(within, self.leased.backend().exchange()).await;
        pool.exchanges.borrow_mut().end(matches!(answer, Ok(Ok(_))), StdInstant::now());
        match answer {
            Ok(Ok(answer)) => {
                permit.took.set(Some(asked.elapsed()));
                Ok(answer)
            }
            Ok(Err(_)) => {
                pool.note_lost();
                Err(Broken::Lost)
            }
            Err(_) => {
                pool.drop_idle();
                Err(Broken::Late)
            }
        }
    }
}

impl Far {
    async fn exchange(&mut self, within: Duration) -> Result<ServerAnswer, Broken> {
        if !self.link.is_up() {
            return Err(Broken::NotSent(NotSent::Unreachable));
        }
        let statement = ForwardedStatement {
            server: self.pool.listed.borrow().id.clone(),
            account: (!self.bare).then(|| self.account.clone()),
            line: self.line.split().freeze(),
            values: std::mem::take(&mut self.values),
            shape: self.shape.take(),
            transaction: self.work,
            opens: self.work.is_some() && !self.kept,
            priority: self.turn.priority,
            queue_timeout_ms: self.turn.patience.as_millis() as u32,
            timeout_ms: within.as_millis() as u32,
        };
        // Until the answer is there the holder may keep the connection.
        self.kept = self.work.is_some();
        self.bare = false;
        let answer = run(&self.link, statement).await?;
        self.kept = self.work.is_some() && answer.state != State::Idle;
        Ok(answer)
    }
}

impl Drop for Far {
    fn drop(&mut self) {
        let Some(work) = self.work.filter(|_| self.kept) else { return };
        let link = self.link.clone();
        monoio::spawn(async move {
            // A holder that is not reached closes it by itself.
            let _ = link.query(Question::CancelTransaction(work), HANG_WITHIN).await;
        });
    }
}

/// Has the host at the other end of the link run an errand.
async fn run(link: &Link, statement: ForwardedStatement) -> Result<ServerAnswer, Broken> {
    let within = statement.timeout() + WORD_WITHIN;
    match link.query(Question::Forward(Box::new(statement)), within).await {
        Ok(Answer::ForwardResult(ForwardResult::Answered(answer))) => Ok(answer),
        Ok(Answer::ForwardResult(ForwardResult::NotSent(why))) => Err(Broken::NotSent(why)),
        Ok(Answer::ForwardResult(ForwardResult::TimedOut)) => Err(Broken::Late),
        _ => Err(Broken::Lost),
    }
}

/// Asks a server a question of the host's own by the host that holds its connections.
pub async fn ask_far(
    link: &Link,
    pool: &Pool,
    line: Bytes,
    within: Duration,
) -> Result<ServerAnswer, Broken> {
    let statement = ForwardedStatement {
        server: pool.listed.borrow().id.clone(),
        account: None,
        line,
        values: BTreeMap::new(),
        shape: None,
        transaction: None,
        opens: false,
        priority: 0,
        queue_timeout_ms: within.as_millis() as u32,
        timeout_ms: within.as_millis() as u32,
    };
    run(link, statement).await
}

/// What is told of a server that has no room for so long.
pub fn crowded(wait: Duration) -> NotSent {
    NotSent::QueueFull(wait.as_millis() as u32)
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
