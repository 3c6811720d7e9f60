//! Extended query protocol of a session.

use std::collections::VecDeque;

use anyhow::{Context, bail};
use bergamottrack_pg::{Frame, frame};
use bytes::Bytes;
use pgwire::messages::{
    PgWireFrontendMessage,
    data::{NoData, ParameterDescription, RowDescription},
    extendedquery::{BindComplete, CloseComplete, ParseComplete, PortalSuspended},
    response::EmptyQueryResponse,
};

use super::{
    rows::{field, fields},
    session::{Session, SqlError},
    sql::{self, Command},
    types,
    values::{self, Value, oid},
};

/// Prepared statement.
#[derive(Clone)]
pub struct Prepared {
    sql: Box<str>,
    oids: Vec<u32>,
}

/// Statement with bound parameters.
#[derive(Clone)]
pub struct Portal {
    sql: Box<str>,
    params: Vec<Value>,
    formats: Vec<i16>,
    /// Frames of the answer that are not sent yet; set once the portal has run with a row
    /// limit.
    pending: Option<VecDeque<Bytes>>,
}

impl Session<'_> {
    /// Serves messages up to a `Sync`; after an error the rest of them is skipped.
    pub async fn extended(&mut self, frame: Frame) -> anyhow::Result<()> {
        let mut next = Some(frame);
        let mut failed = false;
        loop {
            let frame = match next.take() {
                Some(frame) => frame,
                None => self.reader.next().await?.context("connection closed before a Sync")?,
            };
            match frame.tag {
                b'S' => return self.ready().await,
                b'H' => self.flush().await?,
                b'X' => bail!("connection terminated by the caller"),
                _ if failed => {}
                _ => {
                    if let Err(error) = self.handle_message(&frame).await {
                        self.put_error(&error);
                        failed = true;
                    }
                }
            }
        }
    }

    async fn handle_message(&mut self, frame: &Frame) -> Result<(), SqlError> {
        match frame.frontend()? {
            PgWireFrontendMessage::Parse(parse) => {
                let oids = self.param_types(&parse.query, &parse.type_oids)?;
                let name = parse.name.unwrap_or_default().into();
                self.statements.insert(name, Prepared { sql: parse.query.into(), oids });
                frame::put(&mut self.out, &ParseComplete::new());
            }
            PgWireFrontendMessage::Bind(bind) => {
                let name = bind.statement_name.unwrap_or_default();
                let statement = self.statement(&name)?;
                let portal = Portal {
                    sql: statement.sql,
                    params: decode_params(
                        &statement.oids,
                        &bind.parameter_format_codes,
                        &bind.parameters,
                    )?,
                    formats: bind.result_column_format_codes,
                    pending: None,
                };
                self.portals.insert(bind.portal_name.unwrap_or_default().into(), portal);
                frame::put(&mut self.out, &BindComplete::new());
            }
            PgWireFrontendMessage::Describe(describe) => {
                let name = describe.name.unwrap_or_default();
                self.describe(describe.target_type, &name)?;
            }
            PgWireFrontendMessage::Execute(execute) => {
                let name = execute.name.unwrap_or_default();
                let max_rows = usize::try_from(execute.max_rows).unwrap_or(0);
                self.execute_portal(&name, max_rows).await?;
            }
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                match close.target_type {
                    b'S' => drop(self.statements.remove(name.as_str())),
                    _ => drop(self.portals.remove(name.as_str())),
                }
                frame::put(&mut self.out, &CloseComplete::new());
            }
            _ => return Err(SqlError::new("0A000", "a message that is not served")),
        }
        Ok(())
    }

    fn statement(&self, name: &str) -> Result<Prepared, SqlError> {
        let statement = self.statements.get(name).cloned();
        statement.ok_or_else(|| SqlError::new("26000", "no such prepared statement"))
    }

    fn param_types(&self, sql: &str, stated: &[u32]) -> Result<Vec<u32>, SqlError> {
        if sql::command(sql) != Command::Sql {
            return Ok(Vec::new());
        }
        Ok(types::infer(&self.db, sql, stated)?)
    }

    /// Runs or continues a portal; with `max_rows` above 0 it is suspended after that many rows.
    async fn execute_portal(&mut self, name: &str, max_rows: usize) -> Result<(), SqlError> {
        let portal = self.portals.get(name).cloned();
        let portal = portal.ok_or_else(|| SqlError::new("34000", "no such portal"))?;
        if sql::command(&portal.sql) == Command::Empty {
            frame::put(&mut self.out, &EmptyQueryResponse::new());
            return Ok(());
        }
        let mut pending = match portal.pending {
            Some(pending) => pending,
            None if max_rows == 0 => {
                return self.execute(&portal.sql, &portal.params, &portal.formats, false).await;
            }
            None => self.buffer_answer(&portal).await?,
        };
        let mut rows = 0;
        while let Some(frame) = pending.front() {
            if frame.first() == Some(&b'D') && max_rows > 0 && rows == max_rows {
                break;
            }
            rows += usize::from(frame.first() == Some(&b'D'));
            self.out.extend_from_slice(frame);
            pending.pop_front();
        }
        if !pending.is_empty() {
            frame::put(&mut self.out, &PortalSuspended::new());
        }
        if let Some(portal) = self.portals.get_mut(name) {
            portal.pending = Some(pending);
        }
        Ok(())
    }

    /// Runs a portal and returns the frames of its answer instead of sending them.
    async fn buffer_answer(&mut self, portal: &Portal) -> Result<VecDeque<Bytes>, SqlError> {
        let unsent = self.out.split();
        self.buffering = true;
        let result = self.execute(&portal.sql, &portal.params, &portal.formats, false).await;
        self.buffering = false;
        let answer = std::mem::replace(&mut self.out, unsent);
        result?;
        let frames = frame::frames(answer.freeze())?;
        Ok(frames.into_iter().map(|frame| frame.raw).collect())
    }

    fn describe(&mut self, kind: u8, name: &str) -> Result<(), SqlError> {
        let (sql, formats) = match kind {
            b'S' => {
                let statement = self.statement(name)?;
                frame::put(&mut self.out, &ParameterDescription::new(statement.oids));
                (statement.sql, Vec::new())
            }
            _ => {
                let portal = self.portals.get(name).cloned();
                let portal = portal.ok_or_else(|| SqlError::new("34000", "no such portal"))?;
                (portal.sql, portal.formats)
            }
        };
        let fields = match sql::command(&sql) {
            Command::Show(name) => vec![field(&name, oid::TEXT, 0)],
            Command::Promise { .. } | Command::Promote { .. } => {
                vec![field("status", oid::TEXT, 0)]
            }
            Command::Sql => fields(&self.db.prepare(&sql)?, &formats),
            _ => Vec::new(),
        };
        if fields.is_empty() {
            frame::put(&mut self.out, &NoData::new());
        } else {
            frame::put(&mut self.out, &RowDescription::new(fields));
        }
        Ok(())
    }
}

fn decode_params(
    oids: &[u32],
    formats: &[i16],
    params: &[Option<Bytes>],
) -> Result<Vec<Value>, SqlError> {
    let format = |i: usize| match formats {
        [] => 0,
        [format] => *format,
        formats => formats.get(i).copied().unwrap_or(0),
    };
    let decode = |(i, bytes): (usize, &Option<Bytes>)| {
        let oid = oids.get(i).copied().unwrap_or(oid::TEXT);
        values::decode(bytes.as_deref(), oid, format(i) == 1)
    };
    let values = params.iter().enumerate().map(decode).collect::<anyhow::Result<_>>();
    values.map_err(|error| SqlError::new("22P02", format!("{error:#}")))
}
