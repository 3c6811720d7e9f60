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
const OWN_PREFIX: &str = "bergamottrack.";

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
    OneOf(&'static [&'static str]),
}

/// A setting of the server that drivers ask for.
struct ServerSetting {
    name: &'static str,
    /// What is in force.
    value: &'static str,
    accept: Accept,
    /// Whether the caller is told of it at its start-up.
    reported: bool,
}

const fn setting(
    name: &'static str,
    value: &'static str,
    accept: Accept,
    reported: bool,
) -> ServerSetting {
    ServerSetting { name, value, accept, reported }
}

/// The settings of the server that the entry answers itself.
const SERVER_SETTINGS: [ServerSetting; 20] = [
    setting("application_name", "", Accept::Any, true),
    setting("bytea_output", "hex", Accept::OneOf(&["hex"]), false),
    setting("client_encoding", "UTF8", Accept::OneOf(&["utf8", "utf-8", "unicode"]), true),
    setting("client_min_messages", "notice", Accept::Any, false),
    setting("DateStyle", "ISO, MDY", Accept::OneOf(&["iso", "iso, mdy"]), true),
    setting(
        "default_transaction_isolation",
        "read committed",
        Accept::OneOf(&["read committed"]),
        false,
    ),
    setting("default_transaction_read_only", "off", Accept::OneOf(&["off", "false", "0"]), true),
    setting("extra_float_digits", "1", Accept::OneOf(&["1", "2", "3"]), false),
    setting("idle_in_transaction_session_timeout", "0", Accept::OneOf(&["0"]), false),
    setting("in_hot_standby", "off", Accept::OneOf(&[]), true),
    setting("integer_datetimes", "on", Accept::OneOf(&["on"]), true),
    setting("IntervalStyle", "postgres", Accept::OneOf(&["postgres"]), true),
    setting("lock_timeout", "0", Accept::OneOf(&["0"]), false),
    setting(
        "search_path",
        "\"$user\", public",
        Accept::OneOf(&["\"$user\", public", "public"]),
        false,
    ),
    setting("server_encoding", "UTF8", Accept::OneOf(&[]), true),
    setting("server_version", "16.0", Accept::OneOf(&[]), true),
    setting("standard_conforming_strings", "on", Accept::OneOf(&["on"]), true),
    setting("TimeZone", "UTC", Accept::OneOf(&["utc", "gmt", "etc/utc", "z"]), true),
    setting("transaction_isolation", "read committed", Accept::OneOf(&[]), false),
    setting("transaction_read_only", "off", Accept::OneOf(&[]), false),
];

fn find(name: &str) -> Option<&'static ServerSetting> {
    let name = match name {
        "transaction isolation level" => "transaction_isolation",
        "time zone" => "timezone",
        name => name,
    };
    SERVER_SETTINGS.iter().find(|setting| setting.name.eq_ignore_ascii_case(name))
}

/// Whether a server runs the statement; the entry runs the others itself.
pub fn runs_on_server(command: &Command) -> bool {
    match command {
        Command::Read | Command::Write | Command::Begin | Command::End(_) | Command::SetLocal => {
            true
        }
        Command::Show(name) => {
            !name.starts_with(OWN_PREFIX) && **name != *STATEMENT_TIMEOUT && find(name).is_none()
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
    overrides: BTreeMap<&'static str, Box<str>>,
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
            (SESSION, Some(text)) => self.merge_token(text, owner)?,
            (SESSION, None) => self.token = SessionToken::default(),
            (REQUEST, text) => self.request = text.map(parse_request_id).transpose()?,
            (MAX_AGE, text) => {
                self.max_age = text.map(|t| parse_duration(MAX_AGE, t)).transpose()?
            }
            (DEADLINE, text) => {
                self.deadline = text.map(|t| parse_deadline(DEADLINE, t)).transpose()?
            }
            // The server's own limit of a statement's time; 0 is none.
            (STATEMENT_TIMEOUT, None | Some("0")) => self.deadline = None,
            (STATEMENT_TIMEOUT, Some(text)) => {
                self.deadline = Some(parse_deadline(STATEMENT_TIMEOUT, text)?);
            }
            (name, _) if name.starts_with(OWN_PREFIX) => {
                return Err(Fault::new("42704", format!("there is no setting {name}")));
            }
            (name, value) => self.set_server_setting(name, value)?,
        }
        Ok(())
    }

    fn merge_token(&mut self, text: &str, owner: Owner<'_>) -> Result<(), Fault> {
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

    fn set_server_setting(&mut self, name: &str, value: Option<&str>) -> Result<(), Fault> {
        let setting = find(name).ok_or_else(|| Fault::unsupported(&format!("SET {name}")))?;
        let Some(value) = value else {
            self.overrides.remove(setting.name);
            return Ok(());
        };
        let fits = match setting.accept {
            Accept::Any => true,
            Accept::OneOf(values) => values.iter().any(|v| v.eq_ignore_ascii_case(value)),
        };
        if !fits {
            let what = format!("SET {name} to {value:?} in place of {:?}", setting.value);
            return Err(Fault::unsupported(&what));
        }
        self.overrides.insert(setting.name, value.into());
        Ok(())
    }

    /// Gives all settings their defaults; what the session has been told of stays.
    pub fn reset(&mut self) {
        let token = std::mem::take(&mut self.token);
        *self = Self { token, ..Self::default() };
    }

    /// The value of a setting; `None` for one that the server knows.
    pub fn show(&self, name: &str, owner: Owner<'_>) -> Result<Option<String>, Fault> {
        let format_ms = |d: Option<Duration>| d.map(|d| format!("{}ms", d.as_millis()));
        Ok(Some(match name {
            SESSION if self.token.is_empty() => String::new(),
            SESSION => self.token.seal(owner.account, owner.secret),
            REQUEST => self.request.as_ref().map(ToString::to_string).unwrap_or_default(),
            MAX_AGE => format_ms(self.max_age).unwrap_or_default(),
            DEADLINE => format_ms(self.deadline).unwrap_or_default(),
            STATEMENT_TIMEOUT => format_ms(self.deadline).unwrap_or_else(|| "0".into()),
            name if name.starts_with(OWN_PREFIX) => {
                return Err(Fault::new("42704", format!("there is no setting {name}")));
            }
            name => {
                let Some(setting) = find(name) else { return Ok(None) };
                self.value(setting).to_owned()
            }
        }))
    }

    fn value(&self, setting: &ServerSetting) -> &str {
        // Names of an encoding differ in writing only.
        match self.overrides.get(setting.name) {
            Some(value) if setting.name != "client_encoding" => value,
            _ => setting.value,
        }
    }

    /// What a caller is told at its start-up.
    pub fn reported(&self) -> impl Iterator<Item = (&'static str, &str)> {
        SERVER_SETTINGS
            .iter()
            .filter(|setting| setting.reported)
            .map(|setting| (setting.name, self.value(setting)))
    }
}

fn parse_request_id(text: &str) -> Result<RequestId, Fault> {
    text.parse().map_err(|error| Fault::new("22023", format!("{REQUEST} {text:?}: {error}")))
}

/// Reads a time: a number of milliseconds, or one with the unit `ms`, `s` or `min`.
fn parse_duration(name: &str, text: &str) -> Result<Duration, Fault> {
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

fn parse_deadline(name: &str, text: &str) -> Result<Duration, Fault> {
    let length = parse_duration(name, text)?;
    if length.is_zero() || length > MAX_DEADLINE {
        let limit = MAX_DEADLINE.as_secs();
        return Err(Fault::new("22023", format!("{name} is to be above 0 and at most {limit}s")));
    }
    Ok(length)
}

/// Reads start-up options such as `-c name=value` or `--name=value`; a blank
/// within a value stands behind a backslash.
pub fn parse_options(text: &str) -> Result<Vec<(String, String)>, Fault> {
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
