//! Callers of the load: sessions that send each request to any host over persistent
//! connections.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::poll_fn,
    rc::Rc,
    task::Poll,
    time::Duration,
};

use bergamottrack_coordination::Point;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

use crate::system::key_of;

/// Name of the setting that carries the session token.
const TOKEN_SETTING: &str = "bergamottrack.session";

/// Statement that creates the table written by the load.
pub const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS visit (id TEXT PRIMARY KEY, n INT8)";

/// Maximum wait for an answer; far above the timeout of any request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request was served.
    Served {
        /// Whether a read lacks a write that was acknowledged to this session.
        stale: bool,
    },
    /// The request was refused with this SQLSTATE, or the connection failed.
    Refused(Box<str>),
}

/// Connection of a session to one host.
struct Connection {
    client: Client,
    /// Token last received from the host.
    received_token: Rc<RefCell<Option<String>>>,
    /// Token last sent to the host.
    sent_token: RefCell<Option<String>>,
}

impl Connection {
    async fn open(config: &Config) -> Result<Self, tokio_postgres::Error> {
        let (client, mut connection) = config.connect(NoTls).await?;
        let received_token = Rc::new(RefCell::new(None));
        let latest_token = received_token.clone();
        tokio::task::spawn_local(poll_fn(move |cx| {
            loop {
                match connection.poll_message(cx) {
                    Poll::Ready(Some(Ok(_))) => {}
                    Poll::Ready(_) => return Poll::Ready(()),
                    Poll::Pending => break,
                }
            }
            if latest_token.borrow().as_deref() != connection.parameter(TOKEN_SETTING) {
                *latest_token.borrow_mut() = connection.parameter(TOKEN_SETTING).map(str::to_owned);
            }
            Poll::Pending
        }));
        Ok(Self { client, received_token, sent_token: RefCell::default() })
    }
}

/// Session of a client account that writes and reads one row of its own.
pub struct Session {
    /// Client account of the session.
    pub account: Rc<str>,
    /// Database group of the session.
    pub group: Rc<str>,
    row: String,
    token: RefCell<Option<String>>,
    /// Idle connections by host. A request opens a new connection if there is none,
    /// so that no request queues behind another on the caller's side.
    idle: RefCell<HashMap<usize, Vec<Connection>>>,
    /// Last number sent in a write.
    written: Cell<u64>,
    /// Greatest number whose write was acknowledged.
    acknowledged: Cell<u64>,
    /// Maximum age of the data that reads accept, in milliseconds.
    max_age: Option<u64>,
}

impl Session {
    /// Creates a session without connections.
    pub fn new(account: Rc<str>, group: Rc<str>, no: usize, max_age: Option<u64>) -> Self {
        Self {
            row: format!("{account}-{no}"),
            account,
            group,
            token: RefCell::default(),
            idle: RefCell::default(),
            written: Cell::default(),
            acknowledged: Cell::default(),
            max_age,
        }
    }

    /// Sends one request to a host and waits for its outcome.
    pub async fn run(&self, host: usize, address: std::net::SocketAddr, write: bool) -> Outcome {
        let work = async {
            let connection = self.connection(host, address).await?;
            let result = match write {
                true => self.write(&connection).await,
                false => self.read(&connection).await,
            };
            if !connection.client.is_closed() {
                self.idle.borrow_mut().entry(host).or_default().push(connection);
            }
            result
        };
        match tokio::time::timeout(REQUEST_TIMEOUT, work).await {
            Ok(Ok(stale)) => Outcome::Served { stale },
            Ok(Err(error)) => {
                let code = error.code().map_or("lost", |code| code.code());
                Outcome::Refused(code.into())
            }
            Err(_) => Outcome::Refused("no answer".into()),
        }
    }

    async fn connection(
        &self,
        host: usize,
        address: std::net::SocketAddr,
    ) -> Result<Connection, tokio_postgres::Error> {
        while let Some(idle) = self.idle.borrow_mut().get_mut(&host).and_then(Vec::pop) {
            if !idle.client.is_closed() {
                return Ok(idle);
            }
        }
        let mut config = Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(format!("{}.k1", self.account))
            .password(key_of(&self.account))
            .dbname(&*self.group);
        let connection = Connection::open(&config).await?;
        if let Some(age) = self.max_age {
            let set = format!("SET bergamottrack.max_age = '{age}ms'");
            connection.client.batch_execute(&set).await?;
        }
        Ok(connection)
    }

    async fn write(&self, connection: &Connection) -> Result<bool, tokio_postgres::Error> {
        let n = self.written.get() + 1;
        self.written.set(n);
        let row = &self.row;
        let sql = format!(
            "INSERT INTO visit VALUES ('{row}', {n}) \
             ON CONFLICT (id) DO UPDATE SET n = max(n, excluded.n)"
        );
        self.query(connection, &sql).await?;
        self.acknowledged.set(self.acknowledged.get().max(n));
        Ok(false)
    }

    async fn read(&self, connection: &Connection) -> Result<bool, tokio_postgres::Error> {
        let expected = self.acknowledged.get();
        let sql = format!("SELECT n FROM visit WHERE id = '{}'", self.row);
        let messages = self.query(connection, &sql).await?;
        let read = messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0)?.parse::<u64>().ok(),
            _ => None,
        });
        Ok(self.max_age.is_none() && read.unwrap_or_default() < expected)
    }

    /// Runs a statement; sends the session's token first if the host does not have it.
    async fn query(
        &self,
        connection: &Connection,
        sql: &str,
    ) -> Result<Vec<SimpleQueryMessage>, tokio_postgres::Error> {
        let token = self.token.borrow().clone();
        let up_to_date = token.is_none()
            || *connection.sent_token.borrow() == token
            || *connection.received_token.borrow() == token;
        let query = connection.client.simple_query(sql);
        let messages = if up_to_date {
            query.await?
        } else {
            *connection.sent_token.borrow_mut() = token.clone();
            let set = format!("SET {TOKEN_SETTING} = '{}'", token.unwrap_or_default());
            let (set, messages) = tokio::join!(connection.client.batch_execute(&set), query);
            set?;
            messages?
        };
        let received_token = connection.received_token.borrow().clone();
        self.update_token(received_token);
        Ok(messages)
    }

    /// Replaces the session's token if the received one is newer. Requests of one session
    /// may run concurrently, so the last answer may carry an older token.
    fn update_token(&self, received_token: Option<String>) {
        let mut token = self.token.borrow_mut();
        if received_token.as_deref().map(token_point) > token.as_deref().map(token_point) {
            *token = received_token;
        }
    }
}

/// Returns the point in a token of one group, which has the form `group=term/position.tag`.
fn token_point(token: &str) -> Option<Point> {
    let (body, _) = token.rsplit_once('.')?;
    body.rsplit_once('=')?.1.parse().ok()
}
