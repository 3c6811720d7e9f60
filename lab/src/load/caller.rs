//! Callers: sessions that roam between hosts over lasting connections.

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

/// The setting that carries the session token.
const TOKEN_SETTING: &str = "bergamottrack.session";

/// The table that the load writes to.
pub const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS visit (id TEXT PRIMARY KEY, n INT8)";

/// Far more than any request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// What became of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was served; whether its read was older than the session's own writes.
    Served {
        /// A read that lacks a write that this session was told of.
        stale: bool,
    },
    /// It was refused with this SQLSTATE, or the connection was lost.
    Refused(Box<str>),
}

/// A connection of a session to one host.
struct Connection {
    client: Client,
    /// The token that the host last told.
    received_token: Rc<RefCell<Option<String>>>,
    /// The token that the host was last shown.
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

/// A session of a client account; it writes and reads a row of its own.
pub struct Session {
    /// Its account.
    pub account: Rc<str>,
    /// Its group.
    pub group: Rc<str>,
    row: String,
    token: RefCell<Option<String>>,
    /// Connections that wait for a request, by host. A request that finds none
    /// opens one, so that none waits behind another on the caller's side.
    idle: RefCell<HashMap<usize, Vec<Connection>>>,
    /// The last number written.
    written: Cell<u64>,
    /// The last number that was acknowledged.
    acknowledged: Cell<u64>,
    /// The age that its reads accept, in milliseconds.
    max_age: Option<u64>,
}

impl Session {
    /// A session without a connection.
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

    /// Runs one request through a host.
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
        let floor = self.acknowledged.get();
        let sql = format!("SELECT n FROM visit WHERE id = '{}'", self.row);
        let messages = self.query(connection, &sql).await?;
        let read = messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0)?.parse::<u64>().ok(),
            _ => None,
        });
        Ok(self.max_age.is_none() && read.unwrap_or_default() < floor)
    }

    /// Shows the session's token first when this host has not seen it.
    async fn query(
        &self,
        connection: &Connection,
        sql: &str,
    ) -> Result<Vec<SimpleQueryMessage>, tokio_postgres::Error> {
        let token = self.token.borrow().clone();
        let known = token.is_none()
            || *connection.sent_token.borrow() == token
            || *connection.received_token.borrow() == token;
        let query = connection.client.simple_query(sql);
        let messages = if known {
            query.await?
        } else {
            *connection.sent_token.borrow_mut() = token.clone();
            let set = format!("SET {TOKEN_SETTING} = '{}'", token.unwrap_or_default());
            let (sent_token, messages) = tokio::join!(connection.client.batch_execute(&set), query);
            sent_token?;
            messages?
        };
        let received_token = connection.received_token.borrow().clone();
        self.update_token(received_token);
        Ok(messages)
    }

    /// Keeps a token unless the session has a newer one: requests of one session
    /// may run side by side, and the answer that comes last may tell less.
    fn update_token(&self, received_token: Option<String>) {
        let mut token = self.token.borrow_mut();
        if received_token.as_deref().map(token_point) > token.as_deref().map(token_point) {
            *token = received_token;
        }
    }
}

/// The point that a token of one group tells: `group=term/position.tag`.
fn token_point(token: &str) -> Option<Point> {
    let (body, _) = token.rsplit_once('.')?;
    body.rsplit_once('=')?.1.parse().ok()
}
