//! A caller's session: admits statements, keeps the transaction state and answers the caller.

use std::{collections::HashMap, rc::Rc, time::Duration};

use bergamottrack_adapter::wire;
use bergamottrack_coordination::{
    AccountId, GroupId, Point, budget::Charge, clients::Client, demand::Ruling, homes,
};
use bergamottrack_model::{
    Access, Account, Failure, Request, Route, ServerAnswer, Session, State, Statement,
};
use bytes::BytesMut;
use monoio::time::Instant;
use tracing::info;

use crate::{
    host::{Host, Phase},
    operation::{self, Operation, Refusal, StepOutcome},
    target::Execution,
    timing::{Stage, Timing},
    tokens,
};

/// Maximum number of values and named statements of one session. Callers use a few; without a
/// limit one session could exhaust the host's memory.
const MAX_NAMES: usize = 512;

/// Maximum size in bytes of the values and named statements of one session: one message of the
/// greatest length. Connections to servers hold copies of them.
const MAX_SIZE: usize = wire::MAX_LINE;

/// An operation waits for a token for up to its latency target divided by this: a caller that is
/// refused after it has most of the time left.
const TOKEN_WAIT_DIVISOR: u32 = 4;

/// Minimum time between two requests for a token of one operation.
const MIN_TOKEN_WAIT: Duration = Duration::from_millis(5);

/// Account name sent to backend servers for callers of a public database whose key belongs to no
/// client account.
const ANONYMOUS: &str = "-";

/// Reason for a caller whose statement ends with the host.
const HOST_STOPPING: &str = "the host is being stopped";

/// An open transaction.
struct Transaction {
    operation: Operation,
    /// Timeout of each statement.
    timeout: Duration,
    /// Connection of the transaction; `None` until the first statement that needs a server.
    execution: Option<Execution>,
}

/// An operation that may run under the current configuration.
struct Admission {
    route: Rc<Route>,
    /// Client account; `None` for a public database and a key that belongs to no account.
    account: Option<Rc<Account>>,
    homes: homes::Homes,
    /// Time in which the token of the rate limit was granted.
    token_wait: Duration,
}

/// A caller's session.
pub struct CallerSession {
    host: Rc<Host>,
    database: Box<str>,
    key: Box<str>,
    session: Session,
    /// Memory of the session's values and named statements.
    memory: Charge,
    /// Log position of the session's last write, by group.
    last_writes: HashMap<GroupId, Point>,
    transaction: Option<Transaction>,
    state: State,
    /// Whether the transaction was rolled back for its idle timeout and the caller has not been
    /// notified yet.
    expired: bool,
}

impl CallerSession {
    /// Creates a session without a transaction.
    pub fn new(host: Rc<Host>, client: Rc<Client>, database: Box<str>, key: Box<str>) -> Self {
        Self {
            memory: host.memory.client_charge(client),
            host,
            database,
            key,
            session: Session::default(),
            last_writes: HashMap::new(),
            transaction: None,
            state: State::Idle,
            expired: false,
        }
    }

    /// Returns the transaction state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the size of the session's values in bytes.
    pub fn values_size(&self) -> usize {
        self.session.values_size()
    }

    /// Returns the idle timeout of the open transaction; `None` without a transaction or if the
    /// configuration sets no timeout.
    pub fn idle_timeout(&self) -> Option<Duration> {
        self.transaction.as_ref()?;
        self.host.plan()?.idle_timeout
    }

    /// Checks that this host may serve, that the database exists, and that it is public or the key
    /// belongs to a client account, which is returned if there is one.
    pub fn check_access(&self) -> Result<Option<AccountId>, Refusal> {
        let (_, account) = self.authorize()?;
        Ok(account.map(|account| account.id.clone()))
    }

    /// Rolls back a transaction whose caller exceeded the idle timeout: the transaction holds a
    /// connection, and possibly locks, that other statements wait for.
    pub fn expire_transaction(&mut self) {
        if let Some(transaction) = self.transaction.take() {
            info!(id = %transaction.operation.id, "transaction: rolled back, its caller exceeded the idle timeout");
            if let Some(execution) = transaction.execution {
                operation::roll_back(&self.host, execution);
            }
            self.state = State::Failed;
            self.expired = true;
        }
    }

    /// Answers a statement that cannot be parsed; an open transaction fails.
    pub fn answer_malformed(&mut self, out: &mut BytesMut) {
        let refusal = Refusal::new(Failure::Malformed, "the statement cannot be read");
        self.fail(&refusal, out);
    }

    /// Answers a statement that is not run.
    pub fn refuse(&mut self, refusal: &Refusal, out: &mut BytesMut) {
        self.fail(refusal, out);
    }

    /// Answers a statement that has no answer yet as the host stops: it may have run. An open
    /// transaction is rolled back.
    pub fn abandon(&mut self, request: &Request, out: &mut BytesMut) {
        info!(id = %request.id, "statement: abandoned, the host is being stopped");
        self.fail(&Refusal::new(Failure::Uncertain, HOST_STOPPING), out);
    }

    /// Answers a statement according to the transaction state.
    pub async fn answer(&mut self, request: &Request, out: &mut BytesMut) {
        let ends = matches!(request.statement, Statement::Commit | Statement::Rollback);
        if self.state == State::Open && !ends && *self.host.phase.borrow() >= Phase::Ending {
            let refusal = Refusal::busy(HOST_STOPPING);
            return self.fail(&Refusal { failure: Failure::Aborted, ..refusal }, out);
        }
        if self.state == State::Open
            && request.statement != Statement::Rollback
            && let Some(refusal) = self.key_refusal()
        {
            return self.fail(&refusal, out);
        }
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
                    let timeout = admitted.route.timeout;
                    let operation = self.operation(request, admitted, *access);
                    self.transaction = Some(Transaction { operation, timeout, execution: None });
                    self.state = State::Open;
                    self.acknowledge(out);
                }
                Err(refusal) => self.fail(&refusal, out),
            },
            Statement::Commit | Statement::Rollback => {
                self.fail(&Refusal::new(Failure::Malformed, "no transaction is open"), out);
            }
            Statement::Read | Statement::Write | Statement::Execute { .. } => {
                self.answer_single(request, out).await;
            }
            _ => self.answer_local(request, out),
        }
    }

    /// Answers a statement that runs outside of a transaction.
    async fn answer_single(&mut self, request: &Request, out: &mut BytesMut) {
        let Some(access) = operation::access(&self.session, &request.statement) else {
            self.fail(&Refusal::new(Failure::UnknownName, "no such name"), out);
            return;
        };
        let admitted = match self.admit_operation(request).await {
            Ok(admitted) => admitted,
            Err(refusal) => return self.fail(&refusal, out),
        };
        let started = Instant::now();
        let operation = self.operation(request, admitted, access);
        let answer = operation::run_statement(&self.host, &operation, &self.session, request).await;
        self.log(&operation, request, started, &answer);
        match answer {
            Ok((answer, _)) => {
                if access == Access::Write {
                    self.record_write(&operation, answer.point);
                }
                out.extend_from_slice(&answer.raw);
                wire::put_ready(State::Idle, out);
            }
            Err(refusal) => self.fail(&refusal, out),
        }
    }

    async fn answer_open(&mut self, request: &Request, out: &mut BytesMut) {
        match &request.statement {
            Statement::Begin(_) => {
                let refusal = Refusal::new(Failure::Malformed, "a transaction is open already");
                self.fail(&refusal, out);
            }
            Statement::Rollback => {
                self.abort_transaction();
                self.acknowledge(out);
            }
            Statement::Commit => self.answer_step(request, None, out).await,
            Statement::Read | Statement::Write | Statement::Execute { .. } => {
                match operation::access(&self.session, &request.statement) {
                    Some(access) => self.answer_step(request, Some(access), out).await,
                    None => self.fail(&Refusal::new(Failure::UnknownName, "no such name"), out),
                }
            }
            _ => self.answer_local(request, out),
        }
    }

    /// Answers a statement of the open transaction; `access` is `None` for a commit.
    async fn answer_step(&mut self, request: &Request, access: Option<Access>, out: &mut BytesMut) {
        let Some(mut transaction) = self.transaction.take() else { return };
        let started = Instant::now();
        transaction.operation.deadline = started + transaction.timeout;
        transaction.operation.id = request.id.clone();
        if transaction.execution.is_some() {
            transaction.operation.timing = Rc::default();
        }
        let answer = self.step(request, &mut transaction).await;
        self.log(&transaction.operation, request, started, &answer);
        let commits = access.is_none();
        match answer {
            Ok((answer, _)) if answer.failure().is_none() && !commits => {
                out.extend_from_slice(&answer.raw);
                self.transaction = Some(transaction);
                wire::put_ready(State::Open, out);
            }
            Ok((answer, _)) => {
                if answer.failure().is_none() {
                    self.record_write(&transaction.operation, answer.point);
                }
                out.extend_from_slice(&answer.raw);
                if let Some(execution) = transaction.execution {
                    release(&self.host, execution, &answer);
                }
                self.state = if commits { State::Idle } else { State::Failed };
                wire::put_ready(self.state, out);
            }
            Err(refusal) => {
                // Dropping the transaction closes its connection, which rolls back.
                drop(transaction);
                wire::put_failure(refusal.failure, &refusal.text(), out);
                self.state = if commits { State::Idle } else { State::Failed };
                wire::put_ready(self.state, out);
            }
        }
    }

    async fn step(
        &self,
        request: &Request,
        transaction: &mut Transaction,
    ) -> Result<(ServerAnswer, usize), Refusal> {
        let Transaction { operation, execution, .. } = transaction;
        if execution.is_none() {
            *execution =
                Some(operation::open_transaction(&self.host, operation, &self.session).await?);
        }
        let Some(execution) = execution else { return Err(Refusal::busy("no connection")) };
        let commits = request.statement == Statement::Commit;
        let still_leads = execution.usage.as_ref().is_none_or(|usage| self.host.holds(usage));
        if !still_leads {
            return Err(Refusal {
                failure: Failure::Aborted,
                ..Refusal::busy("the leader changed")
            });
        }
        match operation::run_step(&self.host, operation, &self.session, request, execution).await {
            StepOutcome::Answered(answer) => Ok((answer, 1)),
            // The commit may have been sent, so its result is unknown.
            StepOutcome::Lost(reason) if commits => Err(Refusal::new(Failure::Uncertain, reason)),
            StepOutcome::Lost(reason) => {
                Err(Refusal { failure: Failure::Aborted, ..Refusal::busy(reason) })
            }
            StepOutcome::NotSent(refusal) => Err(Refusal { failure: Failure::Aborted, ..refusal }),
        }
    }

    fn answer_failed(&mut self, request: &Request, out: &mut BytesMut) {
        match &request.statement {
            Statement::Rollback => {
                self.abort_transaction();
                self.acknowledge(out);
            }
            Statement::Commit => {
                self.abort_transaction();
                let refusal = Refusal::new(Failure::Aborted, "the transaction has failed");
                self.fail(&refusal, out);
            }
            _ if std::mem::take(&mut self.expired) => {
                let reason = "the transaction was ended, its caller rested too long";
                self.fail(&Refusal::new(Failure::Aborted, reason), out);
            }
            _ => self.fail(&Refusal::new(Failure::Malformed, "the transaction has failed"), out),
        }
    }

    /// Returns the refusal of the open transaction's next statement if the session's key no longer
    /// belongs to the transaction's account under the current configuration. Changes of the route apply
    /// from the next transaction on.
    fn key_refusal(&self) -> Option<Refusal> {
        let account = self.transaction.as_ref()?.operation.contract.as_ref()?;
        let (plan, key) = (self.host.plan()?, &self.key);
        let holds = plan.keys.get(key).is_some_and(|current| current.id == account.id);
        (!holds).then(|| Refusal::new(Failure::Denied, "the key was removed"))
    }

    /// Answers a statement that changes only the session and needs no server.
    fn answer_local(&mut self, request: &Request, out: &mut BytesMut) {
        let session = &mut self.session;
        let exists = match &request.statement {
            Statement::Set { name, .. } => session.values.contains_key(name),
            Statement::Prepare { name, .. } => session.prepared.contains_key(name),
            _ => true,
        };
        if !exists && session.values.len() + session.prepared.len() >= MAX_NAMES {
            let refusal = Refusal::new(Failure::TooLarge, "the session holds too many names");
            return self.fail(&refusal, out);
        }
        let size = session.size_after(&request.statement);
        if size > MAX_SIZE {
            let refusal = Refusal::new(Failure::TooLarge, "the session holds too much");
            return self.fail(&refusal, out);
        }
        if self.memory.set(size).is_err() {
            return self.fail(&Refusal::busy("the sessions of this host hold too much"), out);
        }
        match &request.statement {
            Statement::Set { name, value } => {
                session.values.insert(name.clone(), value.clone());
            }
            Statement::Prepare { name, shape } => {
                session.prepared.insert(name.clone(), shape.clone());
            }
            Statement::Deallocate { name } if session.prepared.remove(name).is_none() => {
                return self.fail(&Refusal::new(Failure::UnknownName, "no such name"), out);
            }
            _ => {}
        }
        self.acknowledge(out);
    }

    /// Rolls back the open transaction, if any, and returns to the idle state.
    fn abort_transaction(&mut self) {
        if let Some(execution) = self.transaction.take().and_then(|open| open.execution) {
            operation::roll_back(&self.host, execution);
        }
        self.state = State::Idle;
        self.expired = false;
    }

    fn acknowledge(&self, out: &mut BytesMut) {
        wire::put_done(out);
        wire::put_ready(self.state, out);
    }

    /// Answers with a failure, which also fails an open transaction.
    fn fail(&mut self, refusal: &Refusal, out: &mut BytesMut) {
        if self.state == State::Open {
            if let Some(execution) = self.transaction.take().and_then(|open| open.execution) {
                operation::roll_back(&self.host, execution);
            }
            self.state = State::Failed;
        }
        wire::put_failure(refusal.failure, &refusal.text(), out);
        wire::put_ready(self.state, out);
    }

    /// Records the log position up to which the session has written.
    fn record_write(&mut self, operation: &Operation, point: Option<Point>) {
        if let Some(point) = point {
            let last_write = self.last_writes.entry(operation.group.id.clone()).or_insert(point);
            *last_write = (*last_write).max(point);
        }
    }

    /// Returns the session's route and account under the current configuration. The account is
    /// `None` for a public database and a key that belongs to no account.
    fn authorize(&self) -> Result<(Rc<Route>, Option<Rc<Account>>), Refusal> {
        if !self.host.may_serve() {
            return Err(Refusal::busy("this host cannot show that its configuration is in force"));
        }
        let (route, account) = self.host.resolve(&self.database, &self.key);
        let Some(route) = route else {
            return Err(Refusal::new(Failure::NoDatabase, "there is no such database"));
        };
        if account.is_none() && !route.public {
            return Err(Refusal::new(Failure::Denied, "the key is not known"));
        }
        Ok((route, account))
    }

    /// Admits one operation and takes a token of the account's rate limit for it. Operations
    /// without an account are not limited.
    async fn admit_operation(&self, request: &Request) -> Result<Admission, Refusal> {
        let (route, account) = self.authorize().inspect_err(|refusal| {
            info!(
                id = %request.id, database = %self.database, version = self.host.version().0,
                newest = self.host.newest.get().0,
                plan_age_ms = self.host.plan_age().map(|age| age.as_millis() as u64),
                failure = ?refusal.failure, why = refusal.reason, "statement: not admitted"
            );
        })?;
        let Some(account) = account else {
            let homes = route.homes.clone();
            return Ok(Admission { route, account: None, homes, token_wait: Duration::ZERO });
        };
        let started = Instant::now();
        let ruling = self.wait_for_token(request, &route, &account).await;
        let waited = started.elapsed();
        self.host.metrics.record_token_wait(route.priority, waited);
        let Some(ruling) = ruling else {
            info!(id = %request.id, account = %account.id, "statement: its rate cannot be checked");
            return Err(Refusal::busy("the account's rate cannot be checked now"));
        };
        if !ruling.admitted {
            info!(
                id = %request.id, account = %account.id, rate = account.rate.0,
                part = ruling.part, side = ruling.side, level = ruling.level, retry_ms = ruling.retry.as_millis() as u64,
                priority = route.priority, reserved = ruling.reserved, waited_ms = waited.as_millis() as u64,
                "statement: over the account's rate"
            );
            self.host.metrics.record_token_refusal(&account.id, route.priority, ruling.reserved);
            let retry_after = Some(ruling.retry);
            return Err(Refusal { retry_after, ..Refusal::busy("the account is over its rate") });
        }
        let homes = route.homes.and(&account.homes);
        Ok(Admission { route, account: Some(account), homes, token_wait: waited })
    }

    /// Takes a token of the account's rate limit. Waits for one that is expected within a fraction of
    /// the route's latency target; `None` if no host can decide.
    async fn wait_for_token(
        &self,
        request: &Request,
        route: &Route,
        account: &Account,
    ) -> Option<Ruling> {
        let until = Instant::now() + route.latency_target / TOKEN_WAIT_DIVISOR;
        loop {
            let ruling = tokens::acquire(&self.host, &request.id, account, route.priority).await?;
            if ruling.admitted || Instant::now() + ruling.retry > until {
                return Some(ruling);
            }
            monoio::time::sleep(ruling.retry.max(MIN_TOKEN_WAIT)).await;
        }
    }

    fn operation(
        &self,
        request: &Request,
        Admission { route, account, homes, token_wait }: Admission,
        access: Access,
    ) -> Operation {
        let id = account.as_ref().map(|account| account.id.clone());
        let timing = Timing::default();
        timing.add(Stage::Token, token_wait);
        Operation {
            id: request.id.clone(),
            account: id.unwrap_or_else(|| ANONYMOUS.parse().expect("the name is allowed")),
            contract: account,
            group: self.host.group(&route.group),
            consistency: route.consistency,
            access,
            homes,
            last_write: self.last_writes.get(&route.group).copied(),
            deadline: Instant::now() + route.timeout,
            priority: route.priority,
            queue_timeout: route.latency_target / 2,
            timing: Rc::new(timing),
        }
    }

    fn log(
        &self,
        operation: &Operation,
        request: &Request,
        started: Instant,
        answer: &Result<(ServerAnswer, usize), Refusal>,
    ) {
        let took = started.elapsed();
        let verb = request.text.split(' ').next().unwrap_or_default();
        let (outcome, tries, why) = match answer {
            Ok((answer, tries)) => match answer.failure() {
                None => ("done", *tries, ""),
                Some(_) => ("failed", *tries, "the server reported a failure"),
            },
            Err(refusal) if refusal.failure == Failure::Uncertain => {
                ("uncertain", 0, refusal.reason)
            }
            Err(refusal) => ("refused", 0, refusal.reason),
        };
        let (timing, priority) = (&operation.timing, operation.priority);
        self.host.metrics.record_statement(&operation.account, outcome, took);
        self.host.metrics.record_stages(priority, timing);
        let ms = |stage| timing.total(stage).as_millis() as u64;
        let point = answer.as_ref().ok().and_then(|(answer, _)| answer.point);
        info!(
            id = %request.id, verb, account = %operation.account, group = %operation.group.id,
            leader = operation.group.leader().as_ref().map(tracing::field::display),
            point = point.as_ref().map(tracing::field::display),
            floor = operation.last_write.as_ref().map(tracing::field::display),
            version = self.host.version().0,
            ms = took.as_millis() as u64, tries, outcome, why, priority,
            token_ms = ms(Stage::Token), connection_ms = ms(Stage::Connection),
            lease_row = timing.lease().map(|lease| lease.row),
            lease_ms = timing.lease().map(|lease| lease.age.as_millis() as u64),
            server_ms = ms(Stage::Server), confirmation_ms = ms(Stage::Confirmation),
            holder = timing.holder().as_ref().map(tracing::field::display), "statement"
        );
    }
}

/// Returns the connection to the pool if the answer ended the transaction; otherwise rolls back.
fn release(host: &Host, execution: Execution, answer: &ServerAnswer) {
    if answer.state == State::Idle {
        execution.conn.give_back(answer);
    } else {
        operation::roll_back(host, execution);
    }
}

impl Drop for CallerSession {
    fn drop(&mut self) {
        self.abort_transaction();
    }
}
