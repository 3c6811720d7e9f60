//! A client's session.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::instances::Lines;

/// Time after which a client gives up an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// An open session.
pub struct Client {
    stream: TcpStream,
    lines: Lines,
}

/// A whole answer, up to the state.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Rows of the answer.
    pub rows: Vec<String>,
    /// Line that tells the outcome.
    pub outcome: String,
    /// State of the session: `I`, `T` or `E`.
    pub state: char,
}

impl Answer {
    /// Returns whether the statement succeeded.
    pub fn is_done(&self) -> bool {
        self.outcome.starts_with("DONE")
    }
}

impl Client {
    /// Opens a session.
    pub fn start(address: SocketAddr, database: &str, key: &str) -> std::io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.write_all(format!("START {database} {key}\r\n").as_bytes())?;
        let mut lines = Lines::new(stream.try_clone()?);
        match lines.next()? {
            Some(line) if line.starts_with("READY") => Ok(Self { stream, lines }),
            other => Err(std::io::Error::other(format!("no session: {other:?}"))),
        }
    }

    /// Runs a statement; an error if the connection ends without a complete answer.
    pub fn query(&mut self, id: &str, text: &str) -> std::io::Result<Answer> {
        self.stream.write_all(format!("QUERY {id} {text}\r\n").as_bytes())?;
        let mut answer = Answer { rows: Vec::new(), outcome: String::new(), state: '?' };
        loop {
            let line = self.lines.next()?;
            let line = line.ok_or_else(|| std::io::Error::other("closed without an answer"))?;
            if let Some(row) = line.strip_prefix("ROW ") {
                answer.rows.push(row.into());
            } else if let Some(state) = line.strip_prefix("READY ") {
                answer.state = state.chars().next().unwrap_or('?');
                return Ok(answer);
            } else {
                answer.outcome = line;
            }
        }
    }
}
