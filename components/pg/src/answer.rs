//! Messages to callers that this program generates itself.

use std::time::Duration;

use bergamottrack_coordination::{Fate, Reason, Refusal};
use bytes::{Bytes, BytesMut};
use pgwire::messages::{
    response::{CommandComplete, ErrorResponse, NoticeResponse, ReadyForQuery, TransactionStatus},
    startup::ParameterStatus,
};

use crate::frame;

/// Severity of an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// The statement failed.
    Error,
    /// The connection ends.
    Fatal,
}

impl Severity {
    fn as_str(self) -> &'static str {
        match self {
            Self::Error => "ERROR",
            Self::Fatal => "FATAL",
        }
    }
}

/// Builds an error message with an SQLSTATE code.
pub fn error(
    severity: Severity,
    code: &str,
    message: &str,
    detail: Option<&str>,
    hint: Option<&str>,
) -> Bytes {
    let mut fields = vec![
        (b'S', severity.as_str().to_owned()),
        (b'V', severity.as_str().to_owned()),
        (b'C', code.to_owned()),
        (b'M', message.to_owned()),
    ];
    fields.extend(detail.map(|text| (b'D', text.to_owned())));
    fields.extend(hint.map(|text| (b'H', text.to_owned())));
    frame::bytes(&ErrorResponse::new(fields))
}

/// Builds a warning notice with an SQLSTATE code.
pub fn notice(code: &str, message: &str) -> Bytes {
    let fields = [(b'S', "WARNING"), (b'V', "WARNING"), (b'C', code), (b'M', message)];
    let fields = fields.map(|(kind, text)| (kind, text.to_owned()));
    frame::bytes(&NoticeResponse::new(fields.into()))
}

/// Returns the SQLSTATE code of a refusal.
pub fn code(refusal: &Refusal) -> &'static str {
    if refusal.fate == Fate::Unknown {
        return "08007";
    }
    match refusal.reason {
        Reason::Rate => "53400",
        Reason::Overload => "53300",
        Reason::Unavailable | Reason::NoMajority | Reason::Stale => "57P03",
        Reason::Deadline => "57014",
        Reason::Draining => "57P01",
        Reason::Lost => "08006",
        Reason::TooOld => "55000",
        Reason::Denied => "28000",
        Reason::Busy => "55006",
        Reason::Unsupported => "0A000",
        Reason::Done => "23505",
    }
}

/// Returns the text for the fate of a request.
pub fn fate(fate: Fate) -> &'static str {
    match fate {
        Fate::NotRun => "not run",
        Fate::Unknown => "unknown",
        Fate::Done => "done",
    }
}

/// Returns the hint with the retry delay `after`, in whole milliseconds and at least 1.
pub fn retry_hint(after: Duration) -> String {
    format!("Come back in {} ms.", after.as_millis().max(1))
}

/// Builds the error message of a refused request.
pub fn refusal(severity: Severity, refusal: &Refusal) -> Bytes {
    let hint = refusal.retry.map(retry_hint);
    let detail = fate(refusal.fate);
    error(severity, code(refusal), &refusal.message, Some(detail), hint.as_deref())
}

/// Builds the `ReadyForQuery` message, which ends an answer.
pub fn ready(status: TransactionStatus) -> Bytes {
    frame::bytes(&ReadyForQuery::new(status))
}

/// Builds the `CommandComplete` message, which ends a statement.
pub fn complete(tag: &str) -> Bytes {
    frame::bytes(&CommandComplete::new(tag.to_owned()))
}

/// Builds the `ParameterStatus` message, which reports the value of a setting to a caller.
pub fn parameter(name: &str, value: &str) -> Bytes {
    frame::bytes(&ParameterStatus::new(name.to_owned(), value.to_owned()))
}

/// Concatenates messages.
pub fn join<'a>(parts: impl IntoIterator<Item = &'a Bytes>) -> Bytes {
    let mut buf = BytesMut::new();
    for part in parts {
        buf.extend_from_slice(part);
    }
    buf.freeze()
}
