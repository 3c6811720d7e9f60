//! Schema of a configuration: its tables and fields.

use std::{net::SocketAddr, time::Duration};

use bergamottrack_coordination::{AccountId, Burst, Rate};

use crate::{config::Policy, verifier::Verifier};

/// Type of a field's value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Any text.
    Text,
    /// A name or id of letters, digits, `-`, `_` and `:`.
    Name,
    /// An IP address and a port.
    Address,
    /// Requests per second, above 0.
    Rate,
    /// Number of requests at once, above 0.
    Burst,
    /// A whole number from 1 to 65,535.
    Count,
    /// A duration above 0, stored in milliseconds.
    Millis,
    /// Any number.
    Number,
    /// A boolean.
    Flag,
    /// Salted verifier of a key.
    Verifier,
}

impl Kind {
    /// Describes acceptable values for an error message.
    pub fn expected(self) -> &'static str {
        match self {
            Self::Text => "a text",
            Self::Name => "a name of letters, digits, '-', '_' and ':'",
            Self::Address => "an address such as 10.0.0.1:5432",
            Self::Rate => "a rate above 0 such as \"20/s\"",
            Self::Burst => "a burst above 0 such as 40",
            Self::Count => "a whole number from 1 to 65535",
            Self::Millis => "a time such as \"450ms\" or \"5s\"",
            Self::Number => "a number",
            Self::Flag => "true or false",
            Self::Verifier => "a SCRAM-SHA-256 verifier; make one with `bergamottrack key new`",
        }
    }

    /// Converts a value to the form in which the configuration stores it; `None` if it is not of
    /// this kind.
    pub fn read(self, value: &toml::Value) -> Option<toml::Value> {
        let text = value.as_str();
        match self {
            Self::Text => text.map(|_| value.clone()),
            Self::Name => text?.parse::<AccountId>().ok().map(|_| value.clone()),
            Self::Address => text?.parse::<SocketAddr>().ok().map(|_| value.clone()),
            Self::Rate => {
                let rate = text.map(|text| text.strip_suffix("/s")?.parse::<Rate>().ok());
                positive(rate.unwrap_or_else(|| number(value).map(Rate))?.0)
            }
            Self::Burst => positive(number(value).map(Burst)?.0),
            Self::Count => {
                value.as_integer().filter(|n| (1..=65_535).contains(n)).map(toml::Value::Integer)
            }
            Self::Millis => {
                let millis = match text {
                    Some(text) => duration(text)?.as_millis().try_into().ok()?,
                    None => value.as_integer()?,
                };
                (millis > 0).then_some(toml::Value::Integer(millis))
            }
            Self::Number => number(value).map(|_| value.clone()),
            Self::Flag => value.as_bool().map(toml::Value::Boolean),
            Self::Verifier => text?.parse::<Verifier>().ok().map(|_| value.clone()),
        }
    }
}

fn number(value: &toml::Value) -> Option<f64> {
    value.as_float().or_else(|| value.as_integer().map(|n| n as f64))
}

fn positive(number: f64) -> Option<toml::Value> {
    (number.is_finite() && number > 0.0).then_some(toml::Value::Float(number))
}

/// Parses a duration such as `450ms`, `5s` or `2m`.
pub fn duration(text: &str) -> Option<Duration> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(split);
    let number: u64 = number.parse().ok()?;
    let millis = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        _ => return None,
    };
    number.checked_mul(millis).map(Duration::from_millis)
}

/// A field of a table.
#[derive(Clone, Debug)]
pub struct Field {
    /// Name of the field.
    pub name: Box<str>,
    /// Type of its value.
    pub kind: Kind,
    /// Whether it must be present.
    pub required: bool,
}

/// Schema of a table.
#[derive(Clone, Debug, Default)]
pub struct Shape {
    /// Name of the table; empty for the whole configuration.
    pub name: &'static str,
    /// Fields of the table.
    pub fields: Vec<Field>,
    /// Lists of tables in the table.
    pub lists: Vec<Self>,
    /// Single tables in the table.
    pub tables: Vec<Self>,
}

/// Returns the schema of a whole configuration.
pub fn site() -> Shape {
    Shape {
        name: "",
        fields: vec![required("site", Kind::Name)],
        lists: vec![group(), account()],
        tables: vec![policy()],
    }
}

fn group() -> Shape {
    let server = list_item(
        "server",
        vec![
            required("address", Kind::Address),
            required("domain", Kind::Name),
            optional("slots", Kind::Count),
            optional("connections", Kind::Count),
            optional("leaving", Kind::Flag),
        ],
    );
    Shape { lists: vec![server], ..list_item("group", Vec::new()) }
}

fn account() -> Shape {
    let key = list_item(
        "key",
        vec![required("verifier", Kind::Verifier), optional("withdrawn", Kind::Flag)],
    );
    let fields = vec![
        required("rate", Kind::Rate),
        required("burst", Kind::Burst),
        optional("weight", Kind::Count),
    ];
    Shape { lists: vec![key], ..list_item("account", fields) }
}

/// Returns the schema of the tables in a list: an id and `fields`.
fn list_item(name: &'static str, mut fields: Vec<Field>) -> Shape {
    fields.insert(0, required("id", Kind::Name));
    Shape { name, fields, ..Shape::default() }
}

/// Returns the schema of the policy, derived from the fields of [`Policy`]; fields whose names end
/// in `_ms` contain durations.
fn policy() -> Shape {
    let default = serde_json::to_value(Policy::default()).unwrap_or_default();
    let field = |(name, value): (&String, &serde_json::Value)| {
        let kind = match value {
            serde_json::Value::Bool(_) => Kind::Flag,
            _ if name.ends_with("_ms") => Kind::Millis,
            _ => Kind::Number,
        };
        optional(name, kind)
    };
    let fields = default.as_object().map(|fields| fields.iter().map(field).collect());
    Shape { name: "policy", fields: fields.unwrap_or_default(), ..Shape::default() }
}

fn required(name: &str, kind: Kind) -> Field {
    Field { name: name.into(), kind, required: true }
}

fn optional(name: &str, kind: Kind) -> Field {
    Field { name: name.into(), kind, required: false }
}
