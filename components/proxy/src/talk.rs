//! A session: what a caller's statements mean and how they are answered.

use std::{collections::HashMap, rc::Rc, time::Duration};

use bergamottrack_adapter::wire;
use bergamottrack_coordination::{AccountId, GroupId, Point, homes};
use bergamottrack_model::{
    Access, Account, Failure, Request, Route, ServerAnswer, Session, State, Statement,
};
use bytes::BytesMut;
use monoio::time::Instant;
use tracing::info;

use crate::{
    host::Host,
    job::{self, Job, Refused, Step},
    place::Running,
    tokens,
};

/// The most values and named statements that one session may hold. Callers use a
/// few; without a bound one session could take the host's memory.
const MOST_NAMES: usize = 512;

/// The account that servers are told for a route that needs no key.
const NOBODY: &str = "-";

/// A transaction that is open.
struct Transaction {
    job: Job,
    /// The longest that one statement may take.
    timeout: Duration,
    /// Opened with the first statement that needs a server.
    running: Option<Running>,
}

/// A caller's session.
pub struct Talk {
    host: Rc<Host>,
    database: Box<str>,
    key: Box<str>,
    session: Session,
    /// How far this session has written, by group.
    floors: HashMap<GroupId, Point>,
    transaction: Option<Transaction>,
    state: State,
    /// The transaction was ended while its caller rested; it has not been told.
    ended: bool,
}

impl Talk {
    /// A session that has said nothing yet.
    pub fn new(host: Rc<Host>, database: Box<str>, key: Box<str>) -> Self {
        Self {
            host,
            database,
            key,
            session: Session::default(),
            floors: HashMap::new(),
            transaction: None,
            state: State::Idle,
            ended: false,
        }
    }

    /// How the session stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// How long the caller may rest now.
    pub fn rest_limit(&self) -> Option<Duration> {
        self.transaction.as_ref()?;
        self.host.plan()?.idle_limit
    }

    /// Whether the session may be there: its database is known and so is its key.
    pub fn check(&self) -> Result<(), Refused> {
        self.admit().map(|_| ())
    }

    /// Ends a transaction whose caller rested too long: it holds a connection,
    /// and locks perhaps, that others wait for.
    pub fn end_rested(&mut self) {
        if let Some(transaction) = self.transaction.take() {
            info!(id = %transaction.job.id, "transaction: ended, its caller rested too long");
            if let Some(running) = transaction.running {
                job::roll_back(&self.host, running);
            }
            self.state = State::Failed;
            self.ended = true;
        }
    }

    /// Answers a statement that cannot be read.
    pub fn answer_unreadable(&mut self, out: &mut BytesMut) {
        let refused = Refused::of(Failure::Malformed, "the statement cannot be read");
        self.fail(&refused, out);
    }

    /// Answers a statement.
    pub async fn answer(&mut self, request: &Request, out: &mut BytesMut) {
        match self.state {
            State::Idle => self.answer_idle(request, out).await,
            State::Open => self.answer_open(request, out).await,
            State::Failed => self.answer_failed(request, out),
        }
    }

    async fn answer_idle(&mut self, request: &Request, out: &mut BytesMut) {
        match &request.statement {
            Statement::Begin(access) => match self.admit_operation(request).await {
                Ok(admitted) => {
                    let timeout = admitted.0.timeout;
                    let job = self.job(request, admitted, *access);
                    self.transaction = Some(Transaction { job, timeout, running: None });
                    self.state = State::Open;
                    self.done(out);
                }
                Err(refused) => self.fail(&refused, out),
            },
            Statement::Commit | Statement::Rollback => {
                self.fail(&Refused::of(Failure::Malformed, "no transaction is open"), out);
            }
            Statement::Read | Statement::Write | Statement::Execute { .. } => {
                self.answer_single(request, out).await;
            }
            _ => self.answer_local(request, out),
        }
    }

    /// Answers a statement outside of any transaction.
    async fn answer_single(&mut self, request: &Request, out: &mut BytesMut) {
        let Some(access) = job::access(&self.session, &request.statement) else {
            self.fail(&Refused::of(Failure::UnknownName, "no such name"), out);
            return;
        };
        let admitted = match self.admit_operation(request).await {
            Ok(admitted) => admitted,
            Err(refused) => return self.fail(&refused, out),
        };
        let began = Instant::now();
        let job = self.job(request, admitted, access);
        let answer = job::single(&self.host, &job, &self.session, request).await;
        self.log(&job, request, began, &answer);
        match answer {
            Ok((answer, _)) => {
                if access == Access::Write {
                    self.raise(&job, answer.point);
                }
                out.extend_from_slice(&answer.relay);
                wire::put_ready(State::Idle, out);
            }
            Err(refused) => self.fail(&refused, out),
        }
    }

    async fn answer_open(&mut self, request: &Request, out: &mut BytesMut) {
        match &request.statement {
            Statement::Begin(_) => {
                let refused = Refused::of(Failure::Malformed, "a transaction is open already");
                self.fail(&refused, out);
            }
            Statement::Rollback => {
                self.end_transaction();
                self.done(out);
            }
            Statement::Commit => self.answer_step(request, None, out).await,
            Statement::Read | Statement::Write | Statement::Execute { .. } => {
                match job::access(&self.session, &request.statement) {
                    Some(access) => self.answer_step(request, Some(access), out).await,
                    None => self.fail(&Refused::of(Failure::UnknownName, "no such name"), out),
                }
            }
            _ => self.answer_local(request, out),
        }
    }

    /// Answers a statement of a transaction; no access means that it commits.
    async fn answer_step(&mut self, request: &Request, access: Option<Access>, out: &mut BytesMut) {
        let Some(mut transaction) = self.transaction.take() else { return };
        let began = Instant::now();
        transaction.job.deadline = began + transaction.timeout;
        transaction.job.id = request.id.clone();
        let answer = self.step(request, &mut transaction).await;
        self.log(&transaction.job, request, began, &answer);
        let commits = access.is_none();
        match answer {
            Ok((answer, _)) if answer.failure().is_none() && !commits => {
                out.extend_from_slice(&answer.relay);
                self.transaction = Some(transaction);
                wire::put_ready(State::Open, out);
            }
            Ok((answer, _)) => {
                if answer.failure().is_none() {
                    self.raise(&transaction.job, answer.point);
                }
                out.extend_from_slice(&answer.relay);
                if let Some(running) = transaction.running {
                    finish(&self.host, running, &answer);
                }
                self.state = if commits { State::Idle } else { State::Failed };
                wire::put_ready(self.state, out);
            }
            Err(refused) => {
                // What is dropped here closes the connection, which rolls back.
                drop(transaction);
                wire::put_failure(refused.failure, &refused.text(), out);
                self.state = if commits { State::Idle } else { State::Failed };
                wire::put_ready(self.state, out);
            }
        }
    }

    async fn step(
        &self,
        request: &Request,
        transaction: &mut Transaction,
    ) -> Result<(ServerAnswer, usize), Refused> {
        let Transaction { job, running, .. } = transaction;
        if running.is_none() {
            *running = Some(job::open(&self.host, job, &self.session).await?);
        }
        let Some(on) = running else { return Err(Refused::busy("no connection")) };
        let commits = request.statement == Statement::Commit;
        let valid = on.usage.as_ref().is_none_or(|usage| self.host.holds(usage));
        if !valid {
            return Err(Refused {
                failure: Failure::Aborted,
                ..Refused::busy("the leader changed")
            });
        }
        match job::step(&self.host, job, &self.session, request, on).await {
            Step::Answered(answer) => Ok((answer, 1)),
            // Sent, and nobody knows whether it was kept.
            Step::Lost(why) if commits => Err(Refused::of(Failure::Uncertain, why)),
            Step::Lost(why) => Err(Refused { failure: Failure::Aborted, ..Refused::busy(why) }),
            Step::NotSent(refused) => Err(Refused { failure: Failure::Aborted, ..refused }),
        }
    }

    fn answer_failed(&mut self, request: &Request, out: &mut BytesMut) {
        match &request.statement {
            Statement::Rollback => {
                self.end_transaction();
                self.done(out);
            }
            Statement::Commit => {
                self.end_transaction();
                let refused = Refused::of(Failure::Aborted, "the transaction has failed");
                self.fail(&refused, out);
            }
            _ if std::mem::take(&mut self.ended) => {
                let why = "the transaction was ended, its caller rested too long";
                self.fail(&Refused::of(Failure::Aborted, why), out);
            }
            _ => self.fail(&Refused::of(Failure::Malformed, "the transaction has failed"), out),
        }
    }

    /// Answers what only concerns the session.
    fn answer_local(&mut self, request: &Request, out: &mut BytesMut) {
        let session = &mut self.session;
        let known = match &request.statement {
            Statement::Set { name, .. } => session.values.contains_key(name),
            Statement::Prepare { name, .. } => session.prepared.contains_key(name),
            _ => true,
        };
        if !known && session.values.len() + session.prepared.len() >= MOST_NAMES {
            let refused = Refused::of(Failure::TooLarge, "the session holds too many names");
            return self.fail(&refused, out);
        }
        match &request.statement {
            Statement::Set { name, value } => {
                session.values.insert(name.clone(), value.clone());
            }
            Statement::Prepare { name, shape } => {
                session.prepared.insert(name.clone(), shape.clone());
            }
            Statement::Forget { name } if session.prepared.remove(name).is_none() => {
                return self.fail(&Refused::of(Failure::UnknownName, "no such name"), out);
            }
            _ => {}
        }
        self.done(out);
    }

    fn end_transaction(&mut self) {
        if let Some(running) = self.transaction.take().and_then(|open| open.running) {
            job::roll_back(&self.host, running);
        }
        self.state = State::Idle;
        self.ended = false;
    }

    fn done(&self, out: &mut BytesMut) {
        wire::put_done(out);
        wire::put_ready(self.state, out);
    }

    /// Tells a failure; within a transaction it fails the transaction.
    fn fail(&mut self, refused: &Refused, out: &mut BytesMut) {
        if self.state == State::Open {
            if let Some(running) = self.transaction.take().and_then(|open| open.running) {
                job::roll_back(&self.host, running);
            }
            self.state = State::Failed;
        }
        wire::put_failure(refused.failure, &refused.text(), out);
        wire::put_ready(self.state, out);
    }

    /// Notes how far the session has written.
    fn raise(&mut self, job: &Job, point: Option<Point>) {
        if let Some(point) = point {
            let floor = self.floors.entry(job.group.id.clone()).or_insert(point);
            *floor = (*floor).max(point);
        }
    }

    /// The route and the account that the session has by the newest configuration.
    fn admit(&self) -> Result<(Rc<Route>, Option<Rc<Account>>), Refused> {
        if !self.host.may_serve() {
            return Err(Refused::busy("this host cannot show that its configuration is in force"));
        }
        let (route, account) = self.host.resolve(&self.database, &self.key);
        let Some(route) = route else {
            return Err(Refused::of(Failure::NoDatabase, "there is no such database"));
        };
        if account.is_none() && !route.public {
            return Err(Refused::of(Failure::Denied, "the key is not known"));
        }
        Ok((route, account))
    }

    /// Admits one operation and takes its token of the account's rate.
    async fn admit_operation(
        &self,
        request: &Request,
    ) -> Result<(Rc<Route>, AccountId, homes::Homes), Refused> {
        let (route, account) = self.admit().inspect_err(|refused| {
            info!(
                id = %request.id, database = %self.database, version = self.host.version().0,
                newest = self.host.newest.get().0,
                plan_age_ms = self.host.plan_age().map(|age| age.as_millis() as u64),
                failure = ?refused.failure, why = refused.why, "statement: not admitted"
            );
        })?;
        let Some(account) = account else {
            let nobody = NOBODY.parse().expect("the name is allowed");
            let homes = route.homes.clone();
            return Ok((route, nobody, homes));
        };
        let Some(ruling) = tokens::take(&self.host, &request.id, &account).await else {
            info!(id = %request.id, account = %account.id, "statement: its rate cannot be checked");
            return Err(Refused::busy("the account's rate cannot be checked now"));
        };
        if !ruling.admitted {
            info!(
                id = %request.id, account = %account.id, rate = account.rate.0,
                part = ruling.part, side = ruling.side, level = ruling.level, retry_ms = ruling.retry.as_millis() as u64,
                "statement: over the account's rate"
            );
            let retry = Some(ruling.retry);
            return Err(Refused { retry, ..Refused::busy("the account is over its rate") });
        }
        let homes = route.homes.and(&account.homes);
        Ok((route, account.id.clone(), homes))
    }

    fn job(
        &self,
        request: &Request,
        (route, account, homes): (Rc<Route>, AccountId, homes::Homes),
        access: Access,
    ) -> Job {
        Job {
            id: request.id.clone(),
            account,
            group: self.host.group(&route.group),
            currency: route.currency,
            access,
            homes,
            floor: self.floors.get(&route.group).copied(),
            deadline: Instant::now() + route.timeout,
            priority: route.priority,
            patience: route.aim / 2,
        }
    }

    fn log(
        &self,
        job: &Job,
        request: &Request,
        began: Instant,
        answer: &Result<(ServerAnswer, usize), Refused>,
    ) {
        let took = began.elapsed();
        let verb = request.text.split(' ').next().unwrap_or_default();
        let (outcome, tries, why) = match answer {
            Ok((answer, tries)) => match answer.failure() {
                None => ("done", *tries, ""),
                Some(_) => ("failed", *tries, "the server said so"),
            },
            Err(refused) if refused.failure == Failure::Uncertain => ("uncertain", 0, refused.why),
            Err(refused) => ("refused", 0, refused.why),
        };
        self.host.metrics.record_statement(&job.account, outcome, took);
        let point = answer.as_ref().ok().and_then(|(answer, _)| answer.point);
        info!(
            id = %request.id, verb, account = %job.account, group = %job.group.id,
            leader = job.group.leader().as_ref().map(tracing::field::display),
            point = point.as_ref().map(tracing::field::display),
            floor = job.floor.as_ref().map(tracing::field::display),
            version = self.host.version().0,
            ms = took.as_millis() as u64, tries, outcome, why, "statement"
        );
    }
}

/// Keeps or closes the connection of a transaction that the answer has ended.
fn finish(host: &Host, running: Running, answer: &ServerAnswer) {
    if answer.state == State::Idle {
        running.conn.give_back(answer);
    } else {
        job::roll_back(host, running);
    }
}

impl Drop for Talk {
    fn drop(&mut self) {
        self.end_transaction();
    }
}
