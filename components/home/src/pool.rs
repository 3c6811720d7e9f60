//! Connection pool of one backend server.

use std::{cell::RefCell, fmt, time::Duration};

use bergamottrack_contract::BackendServer;
use bergamottrack_coordination::GroupId;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::backend::Conn;

/// Connection pool of one backend server; idle connections have no open transaction.
pub struct Pool {
    limit: usize,
    idle: RefCell<Vec<Conn>>,
    permits: Semaphore,
}

/// Connection in use by one transaction. A drop without a release closes the connection, which
/// rolls back an open transaction.
pub struct PooledConn<'a> {
    /// Underlying connection.
    pub conn: Conn,
    pool: &'a Pool,
    _permit: SemaphorePermit<'a>,
}

/// Error: all connections to a server are in use by open transactions.
#[derive(Clone, Copy, Debug)]
pub struct Full;

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("all connections are in use by open transactions")
    }
}

impl std::error::Error for Full {}

impl Pool {
    /// Creates a pool of at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self { limit, idle: RefCell::default(), permits: Semaphore::new(limit) }
    }

    /// Returns an idle connection, or a new one made within `timeout`. Fails at once with [`Full`]
    /// if all connections are in use.
    ///
    /// A request that waited for a connection would hold a slot that the transactions using the
    /// connections need for their next statements.
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

    /// Returns the most recently used idle connection that is still open and has no unread data.
    ///
    /// On a connection that the server has closed, a write would get an unknown fate although
    /// the server never read it. Unsolicited data would be taken for the next answer.
    fn pop(&self) -> Option<Conn> {
        loop {
            let mut conn = self.idle.borrow_mut().pop()?;
            if conn.is_idle() {
                return Some(conn);
            }
        }
    }

    /// Returns the number of connections in use by transactions.
    pub fn in_use(&self) -> usize {
        self.limit - self.permits.available_permits()
    }

    /// Returns the number of connections, idle ones included.
    pub fn len(&self) -> usize {
        self.in_use() + self.idle.borrow().len()
    }

    /// Returns whether the pool has no connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

impl PooledConn<'_> {
    /// Returns the connection to the pool. To be called only after a complete answer and outside
    /// of a transaction.
    ///
    /// A connection whose statement was cancelled is closed instead. The cancel request uses a
    /// separate connection and may arrive late, where it would cancel a statement of the next
    /// transaction.
    pub fn release(self) {
        if self.conn.is_cancelled() {
            return;
        }
        self.pool.idle.borrow_mut().push(self.conn);
    }
}
