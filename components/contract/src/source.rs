//! Parses a configuration text into a tree whose values carry their file and line.

use std::{fmt, sync::Arc};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::fault::{Fault, Faults};

/// Position of a value in its source.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Origin {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line number, starting at 1.
    pub line: usize,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// A value with its position.
#[derive(Clone, Debug)]
pub struct Node {
    /// Position of the value.
    pub origin: Origin,
    /// Content of the value.
    pub data: Data,
}

/// Content of a node.
#[derive(Clone, Debug)]
pub enum Data {
    /// A scalar value, or an array that is not a list of tables.
    Value(toml::Value),
    /// Named values in file order, without duplicate names.
    Table(Vec<(Box<str>, Node)>),
    /// A list of tables such as `[[group]]`.
    List(Vec<Node>),
}

impl Node {
    /// Parses a text; `file` is its name in faults.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let reader = Reader::new(file, text);
        let (table, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            let fault = |error: &toml::de::Error| Fault {
                origin: reader.origin(error.span().map_or(0, |span| span.start)),
                path: "syntax".into(),
                found: "text that is no TOML".into(),
                expected: error.message().into(),
            };
            let mut faults: Vec<_> = errors.iter().map(fault).collect();
            faults.sort();
            return Err(Faults(faults));
        }
        Ok(Self { origin: reader.origin(0), data: reader.table(table.get_ref()) })
    }

    /// Returns the entry with the given name, if this is a table that has one.
    pub fn get(&self, name: &str) -> Option<&Self> {
        self.entries().iter().find(|(known, _)| &**known == name).map(|(_, node)| node)
    }

    /// Returns the entries of a table; empty for other nodes.
    pub fn entries(&self) -> &[(Box<str>, Self)] {
        match &self.data {
            Data::Table(entries) => entries,
            _ => &[],
        }
    }

    /// Returns the tables in the list with the given name; empty if there is no such list.
    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name).map(|node| &node.data) {
            Some(Data::List(items)) => items,
            _ => &[],
        }
    }

    /// Returns the text in the entry with the given name, if it is a text.
    pub fn text(&self, name: &str) -> Option<&str> {
        match &self.get(name)?.data {
            Data::Value(value) => value.as_str(),
            _ => None,
        }
    }

    /// Returns the `id` of a table.
    pub fn id(&self) -> Option<&str> {
        self.text("id")
    }
}

/// Converts parsed TOML into nodes.
struct Reader {
    file: Arc<str>,
    /// Byte offset of each line end, in ascending order.
    line_ends: Vec<usize>,
}

impl Reader {
    fn new(file: &str, text: &str) -> Self {
        let line_ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self { file: file.into(), line_ends: line_ends.map(|(offset, _)| offset).collect() }
    }

    fn origin(&self, offset: usize) -> Origin {
        let before = self.line_ends.partition_point(|end| *end < offset);
        Origin { file: self.file.clone(), line: 1 + before }
    }

    fn table(&self, table: &DeTable<'_>) -> Data {
        let mut entries: Vec<_> = table.iter().collect();
        entries.sort_by_key(|(name, value)| (name.span().start, value.span().start));
        let entry = |(name, value): (&Spanned<_>, &Spanned<DeValue<'_>>)| {
            let name: &std::borrow::Cow<'_, str> = name.get_ref();
            (Box::from(&**name), self.node(value))
        };
        Data::Table(entries.into_iter().map(entry).collect())
    }

    fn node(&self, value: &Spanned<DeValue<'_>>) -> Node {
        let data = match value.get_ref() {
            DeValue::Table(table) => self.table(table),
            DeValue::Array(items) if items.iter().all(|item| item.get_ref().is_table()) => {
                Data::List(items.iter().map(|item| self.node(item)).collect())
            }
            other => Data::Value(plain_value(other)),
        };
        Node { origin: self.origin(value.span().start), data }
    }
}

fn plain_value(value: &DeValue<'_>) -> toml::Value {
    match value {
        DeValue::String(text) => toml::Value::String(text.to_string()),
        DeValue::Integer(number) => match i64::from_str_radix(number.as_str(), number.radix()) {
            Ok(number) => toml::Value::Integer(number),
            Err(_) => toml::Value::String(number.as_str().to_owned()),
        },
        DeValue::Float(number) => match number.as_str().parse() {
            Ok(number) => toml::Value::Float(number),
            Err(_) => toml::Value::String(number.as_str().to_owned()),
        },
        DeValue::Boolean(flag) => toml::Value::Boolean(*flag),
        DeValue::Datetime(time) => toml::Value::Datetime(*time),
        DeValue::Array(items) => {
            toml::Value::Array(items.iter().map(|item| plain_value(item.get_ref())).collect())
        }
        DeValue::Table(table) => {
            let entry = |(name, value): (&Spanned<_>, &Spanned<DeValue<'_>>)| {
                let name: &std::borrow::Cow<'_, str> = name.get_ref();
                (name.to_string(), plain_value(value.get_ref()))
            };
            toml::Value::Table(table.iter().map(entry).collect())
        }
    }
}
