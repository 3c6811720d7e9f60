//! The connections to one backend server.

use std::{cell::RefCell, fmt, time::Duration};

use bergamottrack_contract::BackendServer;
use bergamottrack_coordination::GroupId;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::backend::Conn;

/// The connections to one backend server; idle ones belong to no transaction.
pub struct Pool {
    limit: usize,
    idle: RefCell<Vec<Conn>>,
    permits: Semaphore,
}

/// A connection that one transaction has. Unless given back it is closed,
/// which rolls back whatever it was in.
pub struct PooledConn<'a> {
    /// The connection.
    pub conn: Conn,
    pool: &'a Pool,
    _permit: SemaphorePermit<'a>,
}

/// All connections to a server are in use by open transactions.
#[derive(Clone, Copy, Debug)]
pub struct Full;

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("all connections are in use by open transactions")
    }
}

impl std::error::Error for Full {}

impl Pool {
    /// A pool of at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self { limit, idle: RefCell::default(), permits: Semaphore::new(limit) }
    }

    /// An idle connection, or a new one; an error at once when there is no place.
    ///
    /// Whoever waited here would hold a slot that the transactions that have
    /// the connections need for their next statements.
    pub async fn acquire(
        &self,
        server: &BackendServer,
        group: &GroupId,
        timeout: Duration,
    ) -> anyhow::Result<PooledConn<'_>> {
        let permit = self.permits.try_acquire().map_err(|_| Full)?;
        let conn = match self.pop() {
            Some(conn) => conn,
            None => Conn::connect(server, group, timeout).await?,
        };
        Ok(PooledConn { conn, pool: self, _permit: permit })
    }

    /// The last idle connection that is still quiet.
    ///
    /// Guards against one that the server has closed meanwhile, which would
    /// leave a write unknown that was never read, and against one on which
    /// something has come unasked: it would be taken for the next answer.
    fn pop(&self) -> Option<Conn> {
        loop {
            let mut conn = self.idle.borrow_mut().pop()?;
            if conn.is_quiet() {
                return Some(conn);
            }
        }
    }

    /// Connections that transactions have.
    pub fn in_use(&self) -> usize {
        self.limit - self.permits.available_permits()
    }

    /// Connections, idle and taken.
    pub fn len(&self) -> usize {
        self.in_use() + self.idle.borrow().len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

impl PooledConn<'_> {
    /// Gives the connection back; only after a whole answer outside of any transaction.
    ///
    /// One that a cancel was sent for is closed instead. The cancel goes over a
    /// connection of its own and may come late: it would end a statement of
    /// whichever transaction has this connection next.
    pub fn release(self) {
        if self.conn.is_cancelled() {
            return;
        }
        self.pool.idle.borrow_mut().push(self.conn);
    }
}
