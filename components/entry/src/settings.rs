//! Session settings of a caller. They are stored in the entry and never set on a server
//! connection, since server connections are shared by callers.

use std::{collections::BTreeMap, time::Duration};

use bergamottrack_coordination::{
    AccountId, RequestId,
    token::{Secret, SessionToken, TokenError},
};
use bergamottrack_pg::answer::{self, Severity};
use bytes::Bytes;

use crate::sql::Command;

/// Prefix of the names of the proxy's own settings.
const OWN_PREFIX: &str = "bergamottrack.";

/// Setting that carries the session token.
pub const SESSION: &str = "bergamottrack.session";

/// Setting of the request id, with which the next statement or transaction runs at most once.
pub const REQUEST: &str = "bergamottrack.request";

/// Setting of the maximum age of the data that reads accept.
pub const MAX_AGE: &str = "bergamottrack.max_age";

/// Setting of the request timeout.
pub const DEADLINE: &str = "bergamottrack.deadline";

/// Statement timeout setting of PostgreSQL; it sets the request timeout.
const STATEMENT_TIMEOUT: &str = "statement_timeout";

/// Maximum request timeout that a caller may set.
pub const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Maximum length of the value of a setting, in bytes.
const MAX_VALUE_LEN: usize = 4096;

/// Error caused by the caller, with its SQLSTATE. The statements did not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// SQLSTATE of the error.
    pub code: &'static str,
    /// Message for people.
    pub message: Box<str>,
}

impl Fault {
    /// Creates an error with its SQLSTATE.
    pub fn new(code: &'static str, message: impl Into<Box<str>>) -> Self {
        Self { code, message: message.into() }
    }

    /// Creates the error for a feature that needs a dedicated server connection.
    pub fn unsupported(what: &str) -> Self {
        let why = "a server's connection is kept for one transaction only";
        Self::new("0A000", format!("{what} is not carried: {why}"))
    }

    /// Returns the error as a message to the caller.
    pub fn answer(&self, severity: Severity) -> Bytes {
        answer::error(severity, self.code, &self.message, Some("not run"), None)
    }
}

/// Values that a caller may assign to a setting of the server.
enum Accept {
    /// All values, since the setting has no effect that the caller could notice.
    Any,
    /// Spellings of the value that is in effect anyway.
    OneOf(&'static [&'static str]),
}

/// Setting of the server that drivers use.
struct ServerSetting {
    name: &'static str,
    /// Value in effect.
    value: &'static str,
    accept: Accept,
    /// Whether the value is reported to the caller at start-up.
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

/// Settings of the server that the entry handles itself.
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

/// Returns whether the statement runs on a server; the entry handles all others itself.
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

/// Session settings of a caller.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Token with the positions that the session has seen.
    pub token: SessionToken,
    /// Id of the next statement or transaction, if it must run at most once.
    pub request: Option<RequestId>,
    /// Maximum age of the data that reads accept.
    pub max_age: Option<Duration>,
    /// Request timeout.
    pub deadline: Option<Duration>,
    /// Values assigned to server settings; at most one for each of [`SERVER_SETTINGS`].
    overrides: BTreeMap<&'static str, Box<str>>,
}

/// Owner of the settings; a session token must be issued to the same account.
#[derive(Clone, Copy)]
pub struct Owner<'a> {
    /// Client account.
    pub account: &'a AccountId,
    /// Secret shared by all hosts.
    pub secret: &'a Secret,
}

impl Settings {
    /// Sets a setting to a value, or to its default if `value` is `None`.
    ///
    /// A setting that is not supported is refused; it is never ignored silently.
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
            // In PostgreSQL, 0 disables the statement timeout.
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

    /// Resets all settings to their defaults, except for the session token.
    pub fn reset(&mut self) {
        let token = std::mem::take(&mut self.token);
        *self = Self { token, ..Self::default() };
    }

    /// Returns the value of a setting, or `None` if it has to be read from the server.
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
        // The accepted names of the encoding differ in spelling only.
        match self.overrides.get(setting.name) {
            Some(value) if setting.name != "client_encoding" => value,
            _ => setting.value,
        }
    }

    /// Returns the settings that are reported to the caller at start-up, with their values.
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

/// Parses a duration: a number of milliseconds, or a number with the unit `ms`, `s` or `min`.
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

/// Parses start-up options such as `-c name=value` or `--name=value`. Blanks in a value are
/// escaped with a backslash.
pub fn parse_options(text: &str) -> Result<Vec<(String, String)>, Fault> {
    let mut words = vec![String::new()];
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        let last = words.last_mut().expect("the list of words is never empty");
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
