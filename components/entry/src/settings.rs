//! The settings of a caller's session. The entry keeps them itself: a server's
//! connection carries none, for it goes from caller to caller.

use std::{collections::BTreeMap, time::Duration};

use bergamottrack_coordination::{
    AccountId, RequestId,
    token::{Secret, SessionToken, TokenError},
};
use bergamottrack_pg::answer::{self, Severity};
use bytes::Bytes;

use crate::sql::Command;

/// What the names of the proxy's own settings begin with.
const OWN: &str = "bergamottrack.";

/// The setting that carries the session token.
pub const SESSION: &str = "bergamottrack.session";

/// The setting that makes the next statement or transaction run at most once.
pub const REQUEST: &str = "bergamottrack.request";

/// The setting of the age that reads accept.
pub const MAX_AGE: &str = "bergamottrack.max_age";

/// The setting of the time that a request may take.
pub const DEADLINE: &str = "bergamottrack.deadline";

/// The server's setting of the time that a statement may take.
const STATEMENT_TIMEOUT: &str = "statement_timeout";

/// The longest time that a caller may state for a request.
pub const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// The longest value that is kept.
const MAX_VALUE_LEN: usize = 4096;

/// An error of a caller's own making, with its SQLSTATE; nothing ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The code of the SQL standard.
    pub code: &'static str,
    /// What a person should know.
    pub message: Box<str>,
}

impl Fault {
    /// An error with its SQLSTATE.
    pub fn new(code: &'static str, message: impl Into<Box<str>>) -> Self {
        Self { code, message: message.into() }
    }

    /// What asks for a server session of the caller's own.
    pub fn unsupported(what: &str) -> Self {
        let why = "a server's connection is kept for one transaction only";
        Self::new("0A000", format!("{what} is not carried: {why}"))
    }

    /// The error as the caller gets it.
    pub fn answer(&self, severity: Severity) -> Bytes {
        answer::error(severity, self.code, &self.message, Some("not run"), None)
    }
}

/// Which values a setting of the server may be given.
enum Accept {
    /// Any: it changes nothing that the caller could notice.
    Any,
    /// Only what is in force anyway.
    These(&'static [&'static str]),
}

/// A setting of the server that drivers ask for.
struct Known {
    name: &'static str,
    /// What is in force.
    value: &'static str,
    accept: Accept,
    /// Whether the caller is told of it at its start-up.
    told: bool,
}

const fn known(name: &'static str, value: &'static str, accept: Accept, told: bool) -> Known {
    Known { name, value, accept, told }
}

/// The settings of the server that the entry answers itself.
const KNOWN: [Known; 20] = [
    known("application_name", "", Accept::Any, true),
    known("bytea_output", "hex", Accept::These(&["hex"]), false),
    known("client_encoding", "UTF8", Accept::These(&["utf8", "utf-8", "unicode"]), true),
    known("client_min_messages", "notice", Accept::Any, false),
    known("DateStyle", "ISO, MDY", Accept::These(&["iso", "iso, mdy"]), true),
    known(
        "default_transaction_isolation",
        "read committed",
        Accept::These(&["read committed"]),
        false,
    ),
    known("default_transaction_read_only", "off", Accept::These(&["off", "false", "0"]), true),
    known("extra_float_digits", "1", Accept::These(&["1", "2", "3"]), false),
    known("idle_in_transaction_session_timeout", "0", Accept::These(&["0"]), false),
    known("in_hot_standby", "off", Accept::These(&[]), true),
    known("integer_datetimes", "on", Accept::These(&["on"]), true),
    known("IntervalStyle", "postgres", Accept::These(&["postgres"]), true),
    known("lock_timeout", "0", Accept::These(&["0"]), false),
    known(
        "search_path",
        "\"$user\", public",
        Accept::These(&["\"$user\", public", "public"]),
        false,
    ),
    known("server_encoding", "UTF8", Accept::These(&[]), true),
    known("server_version", "16.0", Accept::These(&[]), true),
    known("standard_conforming_strings", "on", Accept::These(&["on"]), true),
    known("TimeZone", "UTC", Accept::These(&["utc", "gmt", "etc/utc", "z"]), true),
    known("transaction_isolation", "read committed", Accept::These(&[]), false),
    known("transaction_read_only", "off", Accept::These(&[]), false),
];

fn find(name: &str) -> Option<&'static Known> {
    let name = match name {
        "transaction isolation level" => "transaction_isolation",
        "time zone" => "timezone",
        name => name,
    };
    KNOWN.iter().find(|known| known.name.eq_ignore_ascii_case(name))
}

/// Whether a server runs the statement; the entry runs the others itself.
pub fn is_for_server(command: &Command) -> bool {
    match command {
        Command::Read | Command::Write | Command::Begin | Command::End(_) | Command::SetLocal => {
            true
        }
        Command::Show(name) => {
            !name.starts_with(OWN) && **name != *STATEMENT_TIMEOUT && find(name).is_none()
        }
        _ => false,
    }
}

/// The settings of a caller's session.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// What the session has been told of.
    pub token: SessionToken,
    /// The id of the next statement or transaction, if it must run at most once.
    pub request: Option<RequestId>,
    /// The age that reads accept.
    pub max_age: Option<Duration>,
    /// The time that a request may take.
    pub deadline: Option<Duration>,
    /// Values given for settings of the server; at most one for each known one.
    given: BTreeMap<&'static str, Box<str>>,
}

/// Whose settings they are, which a token is checked against.
#[derive(Clone, Copy)]
pub struct Owner<'a> {
    /// The client account.
    pub account: &'a AccountId,
    /// The secret that all hosts share.
    pub secret: &'a Secret,
}

impl Settings {
    /// Gives a setting a value, or its default again.
    ///
    /// A setting that cannot be kept is refused and never dropped in silence.
    pub fn set(&mut self, name: &str, value: Option<&str>, owner: Owner<'_>) -> Result<(), Fault> {
        if value.is_some_and(|value| value.len() > MAX_VALUE_LEN) {
            return Err(Fault::new("22023", format!("the value of {name} is too long")));
        }
        match (name, value) {
            (SESSION, Some(text)) => self.present(text, owner)?,
            (SESSION, None) => self.token = SessionToken::default(),
            (REQUEST, text) => self.request = text.map(request).transpose()?,
            (MAX_AGE, text) => self.max_age = text.map(|t| duration(MAX_AGE, t)).transpose()?,
            (DEADLINE, text) => self.deadline = text.map(|t| deadline(DEADLINE, t)).transpose()?,
            // The server's own limit of a statement's time; 0 is none.
            (STATEMENT_TIMEOUT, None | Some("0")) => self.deadline = None,
            (STATEMENT_TIMEOUT, Some(text)) => {
                self.deadline = Some(deadline(STATEMENT_TIMEOUT, text)?);
            }
            (name, _) if name.starts_with(OWN) => {
                return Err(Fault::new("42704", format!("there is no setting {name}")));
            }
            (name, value) => self.set_known(name, value)?,
        }
        Ok(())
    }

    fn present(&mut self, text: &str, owner: Owner<'_>) -> Result<(), Fault> {
        if text.is_empty() {
            return Ok(());
        }
        let token = SessionToken::open(text, owner.account, owner.secret);
        let token = token.map_err(|error| {
            let code = match error {
                TokenError::Malformed => "22023",
                TokenError::Forged => "42501",
            };
            Fault::new(code, error.to_string())
        })?;
        self.token.merge(&token);
        Ok(())
    }

    fn set_known(&mut self, name: &str, value: Option<&str>) -> Result<(), Fault> {
        let known = find(name).ok_or_else(|| Fault::unsupported(&format!("SET {name}")))?;
        let Some(value) = value else {
            self.given.remove(known.name);
            return Ok(());
        };
        let fits = match known.accept {
            Accept::Any => true,
            Accept::These(values) => values.iter().any(|v| v.eq_ignore_ascii_case(value)),
        };
        if !fits {
            let what = format!("SET {name} to {value:?} in place of {:?}", known.value);
            return Err(Fault::unsupported(&what));
        }
        self.given.insert(known.name, value.into());
        Ok(())
    }

    /// Gives all settings their defaults; what the session has been told of stays.
    pub fn reset(&mut self) {
        let token = std::mem::take(&mut self.token);
        *self = Self { token, ..Self::default() };
    }

    /// The value of a setting; `None` for one that the server knows.
    pub fn show(&self, name: &str, owner: Owner<'_>) -> Result<Option<String>, Fault> {
        let shown = |d: Option<Duration>| d.map(|d| format!("{}ms", d.as_millis()));
        Ok(Some(match name {
            SESSION if self.token.is_empty() => String::new(),
            SESSION => self.token.seal(owner.account, owner.secret),
            REQUEST => self.request.as_ref().map(ToString::to_string).unwrap_or_default(),
            MAX_AGE => shown(self.max_age).unwrap_or_default(),
            DEADLINE => shown(self.deadline).unwrap_or_default(),
            STATEMENT_TIMEOUT => shown(self.deadline).unwrap_or_else(|| "0".into()),
            name if name.starts_with(OWN) => {
                return Err(Fault::new("42704", format!("there is no setting {name}")));
            }
            name => {
                let Some(known) = find(name) else { return Ok(None) };
                self.value(known).to_owned()
            }
        }))
    }

    fn value(&self, known: &Known) -> &str {
        // Names of an encoding differ in writing only.
        match self.given.get(known.name) {
            Some(given) if known.name != "client_encoding" => given,
            _ => known.value,
        }
    }

    /// What a caller is told at its start-up.
    pub fn told(&self) -> impl Iterator<Item = (&'static str, &str)> {
        KNOWN.iter().filter(|known| known.told).map(|known| (known.name, self.value(known)))
    }
}

fn request(text: &str) -> Result<RequestId, Fault> {
    text.parse().map_err(|error| Fault::new("22023", format!("{REQUEST} {text:?}: {error}")))
}

/// Reads a time: a number of milliseconds, or one with the unit `ms`, `s` or `min`.
fn duration(name: &str, text: &str) -> Result<Duration, Fault> {
    let text = text.trim();
    let split = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(split);
    let millis = match unit.trim() {
        "" | "ms" => 1,
        "s" => 1000,
        "min" => 60_000,
        _ => 0,
    };
    let number: Option<u64> = number.parse().ok().filter(|_| millis > 0);
    let length = number.and_then(|n| n.checked_mul(millis)).map(Duration::from_millis);
    length.ok_or_else(|| {
        Fault::new("22023", format!("{name} {text:?} is not a time such as 500ms or 2s"))
    })
}

fn deadline(name: &str, text: &str) -> Result<Duration, Fault> {
    let length = duration(name, text)?;
    if length.is_zero() || length > MAX_DEADLINE {
        let limit = MAX_DEADLINE.as_secs();
        return Err(Fault::new("22023", format!("{name} is to be above 0 and at most {limit}s")));
    }
    Ok(length)
}

/// Reads start-up options such as `-c name=value` or `--name=value`; a blank
/// within a value stands behind a backslash.
pub fn options(text: &str) -> Result<Vec<(String, String)>, Fault> {
    let mut words = vec![String::new()];
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        let last = words.last_mut().expect("there is always a word");
        match c {
            '\\' => last.extend(chars.next()),
            c if c.is_whitespace() => words.push(String::new()),
            c => last.push(c),
        }
    }
    let mut words = words.into_iter().filter(|word| !word.is_empty());
    let mut all = Vec::new();
    while let Some(word) = words.next() {
        let pair = match word.strip_prefix("--").or_else(|| word.strip_prefix("-c")) {
            Some("") => words.next().unwrap_or_default(),
            Some(pair) => pair.to_owned(),
            None => return Err(Fault::new("22023", format!("the option {word:?} is not known"))),
        };
        let (name, value) = pair.split_once('=').ok_or_else(|| {
            Fault::new("22023", format!("the option {pair:?} is not of the form NAME=VALUE"))
        })?;
        all.push((name.replace('-', "_").to_ascii_lowercase(), value.to_owned()));
    }
    Ok(all)
}
