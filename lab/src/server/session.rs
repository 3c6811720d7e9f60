//! Session of the server: one connection, served by one task.

use std::{collections::HashMap, rc::Rc, time::Duration};

use anyhow::bail;
use bergamottrack_coordination::{Point, Term};
use bergamottrack_pg::{
    Frame, PgReader, PgWriter,
    answer::{self, Severity},
    frame, stream,
};
use bytes::{BufMut, BytesMut};
use monoio::{
    io::IntoPollIo,
    net::{TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use pgwire::messages::{
    PgWireFrontendMessage,
    data::RowDescription,
    response::{EmptyQueryResponse, NotificationResponse, TransactionStatus},
    startup::{Authentication, BackendKeyData, SecretKey},
};
use rusqlite::Connection;
use tokio::{
    io::{ReadHalf, WriteHalf},
    sync::{Notify, SemaphorePermit},
};

use super::{
    engine::{self, Change, Engine},
    extended::{Portal, Prepared},
    rows::{copy_fields, field, fields, is_select, put_row, tag},
    sql::{self, Command},
    values::{self, Value, oid},
};

/// Maximum length of a message, in bytes.
const MAX_MESSAGE: usize = 64 << 20;
/// Number of bytes of output at which the rows of a `SELECT` are sent.
const FLUSH_THRESHOLD: usize = 32 * 1024;

/// Error with its SQLSTATE.
#[derive(Debug)]
pub struct SqlError {
    code: &'static str,
    message: String,
}

impl SqlError {
    /// Creates an error from its SQLSTATE and message.
    pub fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self { code, message: message.into() }
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        use rusqlite::ErrorCode;
        let code = match error.sqlite_error_code() {
            Some(ErrorCode::ConstraintViolation) => "23505",
            Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => "40001",
            _ => "42601",
        };
        Self::new(code, error.to_string())
    }
}

impl From<anyhow::Error> for SqlError {
    fn from(error: anyhow::Error) -> Self {
        Self::new("XX000", format!("{error:#}"))
    }
}

/// Serves one connection until it ends.
pub async fn serve(engine: Rc<Engine>, stream: TcpStream) {
    if let Err(error) = accept(&engine, stream).await {
        tracing::debug!("server: connection closed: {error:#}.");
    }
}

/// Reads the first message of a connection; then runs a session, or cancels a statement of
/// another session that is waiting for a slot or the write lock.
async fn accept(engine: &Rc<Engine>, stream: TcpStream) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream::split(stream.into_poll_io()?, MAX_MESSAGE);
    match reader.startup(false).await? {
        PgWireFrontendMessage::Startup(_) => {}
        PgWireFrontendMessage::CancelRequest(request) => {
            monoio::time::sleep(engine.tunables.cancel_delay.get()).await;
            let signal = engine.cancel_signals.borrow().get(&request.pid).cloned();
            signal.inspect(|signal| signal.notify_one());
            return Ok(());
        }
        _ => bail!("expected a start-up message"),
    }
    if engine.sessions.get() >= engine.args.connections {
        let text = "too many connections";
        writer.send(&answer::error(Severity::Fatal, "53300", text, None, None)).await?;
        bail!(text);
    }
    engine.sessions.set(engine.sessions.get() + 1);
    engine::set_max(&engine.stats.connections, engine.sessions.get());
    let result = run_session(engine, reader, writer).await;
    engine.sessions.set(engine.sessions.get() - 1);
    result
}

async fn run_session(
    engine: &Rc<Engine>,
    reader: PgReader<ReadHalf<TcpStreamPoll>>,
    mut writer: PgWriter<WriteHalf<TcpStreamPoll>>,
) -> anyhow::Result<()> {
    monoio::time::sleep(Duration::from_millis(engine.args.connect_ms)).await;
    let pid = engine.last_pid.get() + 1;
    engine.last_pid.set(pid);
    let mut out = BytesMut::new();
    frame::put(&mut out, &Authentication::Ok);
    frame::put(&mut out, &BackendKeyData::new(pid, SecretKey::I32(pid)));
    out.extend_from_slice(&answer::ready(TransactionStatus::Idle));
    writer.send(&out).await?;
    let session = Session {
        engine,
        pid,
        db: engine.connect()?,
        generation: engine.generation.get(),
        reader,
        writer,
        out: BytesMut::new(),
        in_transaction: false,
        failed: false,
        changes: Vec::new(),
        write_lock: None,
        last_point: Point::default(),
        listening: false,
        buffering: false,
        statements: HashMap::new(),
        portals: HashMap::new(),
    };
    session.run().await
}

/// Session of one client connection.
pub struct Session<'e> {
    engine: &'e Engine,
    pid: i32,
    pub(super) db: Connection,
    generation: u64,
    pub(super) reader: PgReader<ReadHalf<TcpStreamPoll>>,
    writer: PgWriter<WriteHalf<TcpStreamPoll>>,
    pub(super) out: BytesMut,
    /// Whether a transaction is open.
    in_transaction: bool,
    /// Whether the open transaction has failed.
    failed: bool,
    /// Uncommitted changes of the current transaction.
    changes: Vec<Change>,
    /// Permit held from the first write of a transaction to its end.
    write_lock: Option<SemaphorePermit<'e>>,
    /// Point last sent to the client.
    last_point: Point,
    /// Whether the session receives status notifications.
    listening: bool,
    /// Whether rows are kept in `out` until their statement has ended, whatever their size.
    pub(super) buffering: bool,
    pub(super) statements: HashMap<Box<str>, Prepared>,
    pub(super) portals: HashMap<Box<str>, Portal>,
}

impl Session<'_> {
    async fn run(mut self) -> anyhow::Result<()> {
        loop {
            let frame = monoio::select! {
                frame = self.reader.next() => frame?,
                _ = self.engine.changed.notified() => {
                    self.check_generation()?;
                    self.notify_status().await?;
                    continue;
                }
            };
            let Some(frame) = frame else { return Ok(()) };
            self.check_generation()?;
            match frame.tag {
                b'X' => return Ok(()),
                b'Q' => self.query(&frame).await?,
                b'p' => bail!("unexpected password message"),
                _ => self.extended(frame).await?,
            }
        }
    }

    /// Fails if the log was truncated after the session started, because the session could then
    /// read or report records that are no longer in the log.
    fn check_generation(&self) -> anyhow::Result<()> {
        anyhow::ensure!(self.generation == self.engine.generation.get(), "the log was truncated");
        Ok(())
    }

    /// Sends the status as a notification if the session listens.
    async fn notify_status(&mut self) -> anyhow::Result<()> {
        if !self.listening {
            return Ok(());
        }
        let payload = self.engine.status().to_string();
        let notification = NotificationResponse::new(0, "group_status".into(), payload);
        self.writer.send(&frame::bytes(&notification)).await
    }

    pub(super) async fn flush(&mut self) -> anyhow::Result<()> {
        let out = self.out.split();
        self.writer.send(&out).await
    }

    /// Sends `ReadyForQuery` with the transaction status, and all output before it.
    pub(super) async fn ready(&mut self) -> anyhow::Result<()> {
        let status = match (self.in_transaction, self.failed) {
            (false, _) => TransactionStatus::Idle,
            (true, false) => TransactionStatus::Transaction,
            (true, true) => TransactionStatus::Error,
        };
        self.out.extend_from_slice(&answer::ready(status));
        self.flush().await
    }

    /// Appends an error message and marks an open transaction as failed.
    pub(super) fn put_error(&mut self, error: &SqlError) {
        let bytes = answer::error(Severity::Error, error.code, &error.message, None, None);
        self.out.extend_from_slice(&bytes);
        if self.in_transaction {
            self.failed = true;
        }
    }

    async fn query(&mut self, frame: &Frame) -> anyhow::Result<()> {
        let PgWireFrontendMessage::Query(query) = frame.frontend()? else { bail!("not a query") };
        let parts = sql::split(&query.query);
        if parts.is_empty() {
            frame::put(&mut self.out, &EmptyQueryResponse::new());
        }
        let controls = |part: &&str| {
            matches!(sql::command(part), Command::Begin | Command::Commit | Command::Rollback)
        };
        let implicit = parts.len() > 1 && !self.in_transaction && !parts.iter().any(controls);
        if implicit {
            let _ = self.execute("BEGIN", &[], &[], false).await;
        }
        let mut result = Ok(());
        for part in &parts {
            result = self.execute(part, &[], &[], true).await;
            if result.is_err() {
                break;
            }
        }
        if let Err(error) = &result {
            self.put_error(error);
        }
        if implicit && self.in_transaction {
            let end = if result.is_ok() { "COMMIT" } else { "ROLLBACK" };
            let before = self.out.len();
            if let Err(error) = self.execute(end, &[], &[], false).await {
                self.put_error(&error);
            } else {
                self.drop_commit_tag(before);
            }
        }
        self.ready().await
    }

    /// Removes the command tag of the implicit `COMMIT`, which the client did not send.
    fn drop_commit_tag(&mut self, from: usize) {
        let mut tail = self.out.split_off(from);
        while let Ok(Some(frame)) = Frame::split_from(&mut tail, usize::MAX) {
            if frame.tag != b'C' {
                self.out.extend_from_slice(&frame.raw);
            }
        }
    }

    /// Runs a statement; if `describe_rows` is set, a row description precedes its rows.
    pub(super) async fn execute(
        &mut self,
        sql: &str,
        params: &[Value],
        formats: &[i16],
        describe_rows: bool,
    ) -> Result<(), SqlError> {
        let command = sql::command(sql);
        if self.failed && !matches!(command, Command::Commit | Command::Rollback) {
            return Err(SqlError::new("25P02", "the transaction has failed"));
        }
        let tag: String = match command {
            Command::Empty => return Ok(()),
            Command::Begin => self.begin()?,
            Command::Commit => self.commit()?,
            Command::Rollback => self.rollback()?,
            Command::Set { name, value } => self.set(&name, &value)?,
            Command::Show(name) => self.show(&name, formats, describe_rows),
            Command::Listen => {
                self.listening = true;
                "LISTEN".into()
            }
            Command::Promise { term, holder } => {
                let status = self.engine.promise(Term(term), &holder);
                let status = status.map_err(|e| SqlError::new("55000", format!("{e:#}")))?;
                self.text_row("status", &status.to_string(), formats, describe_rows)
            }
            Command::Promote { term, holder } => {
                let status = self.engine.promote(Term(term), &holder);
                let status = status.map_err(|e| SqlError::new("55000", format!("{e:#}")))?;
                self.text_row("status", &status.to_string(), formats, describe_rows)
            }
            Command::Sql => self.run_sql(sql, params, formats, describe_rows).await?,
        };
        self.out.extend_from_slice(&answer::complete(&tag));
        Ok(())
    }

    fn begin(&mut self) -> Result<String, SqlError> {
        if !self.in_transaction {
            self.db.execute_batch("BEGIN")?;
            self.in_transaction = true;
        }
        Ok("BEGIN".into())
    }

    fn commit(&mut self) -> Result<String, SqlError> {
        if self.failed {
            return self.rollback();
        }
        if self.in_transaction {
            if let Err(error) = self.ensure_leads() {
                self.rollback()?;
                return Err(error);
            }
            self.in_transaction = false;
            let result = self.db.execute_batch("COMMIT");
            let changes = std::mem::take(&mut self.changes);
            if let Err(error) = result {
                let _ = self.db.execute_batch("ROLLBACK");
                self.write_lock = None;
                return Err(error.into());
            }
            self.append_to_log(changes)?;
        }
        Ok("COMMIT".into())
    }

    /// Appends the committed changes to the log, reports the point reached, and then releases
    /// the write lock.
    fn append_to_log(&mut self, changes: Vec<Change>) -> Result<(), SqlError> {
        if !changes.is_empty() {
            let point = self.engine.append(changes)?;
            self.report_point(point);
        }
        self.write_lock = None;
        Ok(())
    }

    /// Fails if the transaction has changes and this server is not the primary.
    fn ensure_leads(&self) -> Result<(), SqlError> {
        if !self.changes.is_empty() && !self.engine.leads() {
            return Err(SqlError::new("25006", "this server does not lead"));
        }
        Ok(())
    }

    fn rollback(&mut self) -> Result<String, SqlError> {
        if self.in_transaction {
            let _ = self.db.execute_batch("ROLLBACK");
        }
        (self.in_transaction, self.failed, self.write_lock) = (false, false, None);
        self.changes.clear();
        Ok("ROLLBACK".into())
    }

    fn set(&self, name: &str, value: &str) -> Result<String, SqlError> {
        let millis = || {
            let n = value.parse().map_err(|_| SqlError::new("22023", "milliseconds are wanted"));
            n.map(Duration::from_millis)
        };
        match name {
            "standin.lag_ms" => self.engine.tunables.lag.set(millis()?),
            "standin.cancel_ms" => self.engine.tunables.cancel_delay.set(millis()?),
            "standin.service_ms" => self.engine.tunables.service_time.set(millis()?),
            _ => {}
        }
        Ok("SET".into())
    }

    fn show(&mut self, name: &str, formats: &[i16], describe_rows: bool) -> String {
        self.report_point(self.engine.applied_point());
        let value = match name {
            "group_status" => self.engine.status().to_string(),
            "transaction_isolation" | "transaction isolation level" => "read committed".into(),
            "server_version" => "16.0".into(),
            "standin.counters" => self.engine.stats.line(),
            _ => String::new(),
        };
        self.text_row(name, &value, formats, describe_rows);
        "SHOW".into()
    }

    fn text_row(
        &mut self,
        name: &str,
        value: &str,
        _formats: &[i16],
        describe_rows: bool,
    ) -> String {
        if describe_rows {
            frame::put(&mut self.out, &RowDescription::new(vec![field(name, oid::TEXT, 0)]));
        }
        let mut row = BytesMut::new();
        row.put_i16(1);
        row.put_i32(value.len() as i32);
        row.put_slice(value.as_bytes());
        put_row(&mut self.out, &row);
        "SELECT 1".into()
    }

    /// Reports a point to the client unless the point was the last one reported.
    fn report_point(&mut self, point: Point) {
        if self.last_point != point {
            self.last_point = point;
            let setting = answer::parameter("group_point", &point.to_string());
            self.out.extend_from_slice(&setting);
        }
    }

    async fn run_sql(
        &mut self,
        sql: &str,
        params: &[Value],
        formats: &[i16],
        describe_rows: bool,
    ) -> Result<String, SqlError> {
        let read_only = self.db.prepare_cached(sql)?.readonly();
        self.engine.count(read_only);
        let cancel = Rc::new(Notify::new());
        self.engine.cancel_signals.borrow_mut().insert(self.pid, cancel.clone());
        let write = !read_only && self.write_lock.is_none();
        let permits = monoio::select! {
            permits = acquire_permits(self.engine, write) => permits,
            _ = cancel.notified() => Err(SqlError::new("57014", "cancelled on request")),
        };
        self.engine.cancel_signals.borrow_mut().remove(&self.pid);
        let (_slot, write_lock) = permits?;
        if !read_only {
            self.write_lock = self.write_lock.take().or(write_lock);
            if !self.engine.leads() {
                self.write_lock = None;
                return Err(SqlError::new("25006", "this server does not lead"));
            }
        } else if !self.in_transaction || self.changes.is_empty() {
            // The point precedes the rows, so that the client can reject a stale answer as a whole.
            self.report_point(self.engine.applied_point());
        }
        let result = self.execute_sql(sql, params, formats, describe_rows).await;
        if !read_only && result.is_ok() {
            self.changes.push(Change { sql: sql.into(), params: params.to_vec() });
        }
        if !self.in_transaction {
            let changes = std::mem::take(&mut self.changes);
            self.append_to_log(changes)?;
        }
        result
    }

    async fn execute_sql(
        &mut self,
        sql: &str,
        params: &[Value],
        formats: &[i16],
        describe_rows: bool,
    ) -> Result<String, SqlError> {
        let mut statement = self.db.prepare_cached(sql)?;
        let fields = fields(&statement, formats);
        values::bind(&mut statement, params)?;
        if describe_rows && !fields.is_empty() {
            frame::put(&mut self.out, &RowDescription::new(copy_fields(&fields)));
        }
        let mut count = 0;
        let mut row_bytes = BytesMut::new();
        {
            let mut rows = statement.raw_query();
            while let Some(row) = rows.next()? {
                row_bytes.clear();
                row_bytes.put_i16(fields.len() as i16);
                for (i, field) in fields.iter().enumerate() {
                    let binary = field.format_code == 1;
                    values::encode(&mut row_bytes, row.get_ref(i)?, field.type_id, binary)?;
                }
                put_row(&mut self.out, &row_bytes);
                count += 1;
                if self.out.len() >= FLUSH_THRESHOLD && !self.buffering && is_select(sql) {
                    let out = self.out.split();
                    self.writer.send(&out).await?;
                }
            }
        }
        drop(statement);
        let changed = self.db.changes();
        Ok(tag(sql, count, changed))
    }
}

/// Waits until a statement may run; returns its slot or, if `write` is set (for the first write of
/// a transaction), the write lock.
async fn acquire_permits(
    engine: &Engine,
    write: bool,
) -> Result<(Option<SemaphorePermit<'_>>, Option<SemaphorePermit<'_>>), SqlError> {
    let slot = engine.acquire_slot().await?;
    let service_time = engine.tunables.service_time.get();
    if !service_time.is_zero() {
        monoio::time::sleep(service_time).await;
    }
    if !write {
        return Ok((Some(slot), None));
    }
    // The slot is released before the wait for the lock, because the holder of the lock needs
    // a slot for its next statement.
    drop(slot);
    let write_lock = engine.write_lock.acquire().await.map_err(anyhow::Error::from)?;
    Ok((None, Some(write_lock)))
}
