//! Statements that the entry answers itself, without a server.

use bergamottrack_peer::message::TransactionState;
use bergamottrack_pg::{answer, frame};
use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages::{
    data::{DataRow, FieldDescription, NoData, RowDescription},
    response::EmptyQueryResponse,
};

use crate::{
    session::Session,
    settings::{self, Fault, Owner},
    sql::Command,
};

/// Object id of the PostgreSQL type `text`.
const TEXT_OID: u32 = 25;

/// Returns the description of the columns of a statement that the entry answers.
pub fn columns(command: &Command) -> Bytes {
    match command {
        Command::Show(name) => {
            let field = FieldDescription::new(name.to_string(), 0, 0, TEXT_OID, -1, -1, 0);
            frame::bytes(&RowDescription::new(vec![field]))
        }
        _ => frame::bytes(&NoData::new()),
    }
}

fn row(value: &str) -> Bytes {
    let mut data = BytesMut::new();
    data.put_i32(value.len() as i32);
    data.put_slice(value.as_bytes());
    frame::bytes(&DataRow::new(data, 1))
}

impl Session {
    /// Returns whether the entry answers the statements of a query itself, or an error if the
    /// query must not run at all.
    pub(crate) fn check_query(&self, commands: &[Command]) -> Result<bool, Fault> {
        if let Some(Command::Unsupported(what)) =
            commands.iter().find(|c| matches!(c, Command::Unsupported(_)))
        {
            return Err(Fault::unsupported(what));
        }
        if self.is_aborted() && !matches!(commands, [Command::End(_)]) {
            return Err(aborted_fault());
        }
        check_order(commands)?;
        let first = commands.iter().find(|c| matches!(c, Command::Begin | Command::SetLocal));
        if self.exchange.is_none() && first == Some(&Command::SetLocal) {
            return Err(Fault::new("25P01", "SET LOCAL is for within a transaction"));
        }
        if self.exchange.is_none() && matches!(commands, [Command::End(_)]) {
            return Ok(true);
        }
        let server_count = commands.iter().filter(|c| settings::runs_on_server(c)).count();
        if server_count > 0 && server_count < commands.len() {
            let what = "a setting of the session beside other statements in one query";
            return Err(Fault::unsupported(what));
        }
        Ok(server_count == 0)
    }

    /// Runs the statements of a query without a server and returns the answer.
    pub(crate) fn run_locally(&mut self, commands: &[Command]) -> Result<Bytes, Fault> {
        let mut out = BytesMut::new();
        for command in commands {
            if matches!(command, Command::Show(_)) {
                out.extend_from_slice(&columns(command));
            }
            out.extend_from_slice(&self.execute_locally(command)?);
        }
        Ok(out.freeze())
    }

    /// Runs one statement without a server. Returns the answer without the column description.
    pub(crate) fn execute_locally(&mut self, command: &Command) -> Result<Bytes, Fault> {
        // The key is also checked for local statements: a revoked key gets no answer.
        let admission = self.entry.check(&self.caller.account, &self.caller.key);
        admission.map_err(|refusal| Fault::new(answer::code(&refusal), refusal.message))?;
        let tag = match command {
            Command::Set { name, value } => {
                self.set(name, value.as_deref())?;
                "SET"
            }
            Command::Reset(Some(name)) => {
                self.set(name, None)?;
                "RESET"
            }
            Command::Reset(None) => {
                self.settings.reset();
                "RESET"
            }
            Command::Show(name) => return self.show(name),
            Command::Discard => {
                self.settings.reset();
                self.statements.clear();
                "DISCARD ALL"
            }
            Command::Deallocate(name) => {
                match name {
                    Some(name) => self.statements.remove(name),
                    None => self.statements.clear(),
                }
                "DEALLOCATE"
            }
            Command::Unlisten => "UNLISTEN",
            Command::Empty => return Ok(frame::bytes(&EmptyQueryResponse::new())),
            Command::End(tag) => return Ok(self.end_locally(tag)),
            _ => return Err(Fault::unsupported("this statement")),
        };
        Ok(answer::complete(tag))
    }

    fn show(&self, name: &str) -> Result<Bytes, Fault> {
        let owner = Owner { account: &self.caller.account, secret: &self.entry.secret };
        let value = self.settings.show(name, owner)?.unwrap_or_default();
        Ok(answer::join([&row(&value), &answer::complete("SHOW")]))
    }

    /// Answers a `COMMIT` or `ROLLBACK` when no transaction is open, or when the transaction is
    /// already rolled back.
    fn end_locally(&mut self, tag: &str) -> Bytes {
        if self.transaction_state == TransactionState::Failed {
            self.transaction_state = TransactionState::Idle;
            return answer::complete("ROLLBACK");
        }
        let notice = answer::notice("25P01", "there is no transaction in progress");
        answer::join([&notice, &answer::complete(tag)])
    }
}

/// Returns the error for statements in a transaction that has failed.
pub fn aborted_fault() -> Fault {
    Fault::new("25P02", "the transaction has failed; its statements are not run until its end")
}

/// Refuses a request in which a transaction begins after another one has ended.
///
/// The home reports only the end of a whole request, so the caller would be told that the first
/// transaction is committed before another server has confirmed it.
pub fn check_order(commands: &[Command]) -> Result<(), Fault> {
    let end = commands.iter().position(|c| matches!(c, Command::End(_)));
    let begins = |at: usize| commands[at..].contains(&Command::Begin);
    if end.is_some_and(begins) {
        return Err(Fault::unsupported(
            "a transaction that begins in the request that ends another",
        ));
    }
    Ok(())
}
