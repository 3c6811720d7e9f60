//! Validates and parses a configuration.

use std::collections::HashMap;

use serde::Deserialize;

use crate::{
    config::Config,
    fault::{Fault, Faults},
    schema::{self, Field, Kind, Shape},
    source::{Data, Node, Origin},
};

/// Number of servers in a database group; two of the three hold each acknowledged write.
pub const SERVERS_PER_GROUP: usize = 3;

/// Parses a complete configuration; on failure returns all of its faults.
pub fn read(node: &Node) -> Result<Config, Faults> {
    let mut check = Check::default();
    let value = check.table("", node, &schema::site());
    check.check_policy(node, &value);
    check.check_groups(node);
    check.check_ids("account", node.list("account"));
    let mut faults = check.faults;
    if faults.0.is_empty() {
        match Config::deserialize(value) {
            Ok(config) => return Ok(config),
            Err(error) => faults.0.push(Fault {
                origin: node.origin.clone(),
                path: "the configuration".into(),
                found: "it".into(),
                expected: error.message().into(),
            }),
        }
    }
    faults.0.sort();
    faults.0.dedup();
    Err(faults)
}

/// Inclusive bounds of policy fields in milliseconds, each with the reason.
const POLICY_BOUNDS: [(&str, i64, i64, &str); 2] = [
    ("fresh_ms", 2_000, 10_000, "hosts show freshness once a second, and withdrawn keys end by it"),
    ("silence_ms", 350, 60_000, "a stall of 300 ms is no failure, and callers wait for a failover"),
];

#[derive(Default)]
struct Check {
    faults: Faults,
}

impl Check {
    fn fault(
        &mut self,
        origin: &Origin,
        path: &str,
        found: impl Into<Box<str>>,
        expected: impl Into<Box<str>>,
    ) {
        let (origin, found, expected) = (origin.clone(), found.into(), expected.into());
        self.faults.0.push(Fault { origin, path: path.into(), found, expected });
    }

    /// Checks a table; returns its valid values, normalized for the deserialization of [`Config`]
    /// (durations as integers in milliseconds, for instance).
    fn table(&mut self, path: &str, node: &Node, shape: &Shape) -> toml::Value {
        let mut values = toml::Table::new();
        if !matches!(node.data, Data::Table(_)) {
            self.fault(&node.origin, path, describe(node, None), "a table");
        }
        for (name, value) in node.entries() {
            let child_path = join_path(path, name);
            let field = shape.fields.iter().find(|field| field.name == *name);
            let list = shape.lists.iter().find(|list| list.name == &**name);
            let table = shape.tables.iter().find(|table| table.name == &**name);
            let read = match (field, list, table) {
                (Some(field), ..) => self.field(&child_path, value, field),
                (_, Some(list), _) => Some(self.list(path, value, list)),
                (.., Some(table)) => Some(self.table(&child_path, value, table)),
                _ => {
                    self.fault(&value.origin, &child_path, "an unknown field", known_fields(shape));
                    None
                }
            };
            values.extend(read.map(|read| (name.to_string(), read)));
        }
        for field in shape.fields.iter().filter(|field| field.required) {
            if node.get(&field.name).is_none() {
                let path = join_path(path, &field.name);
                self.fault(&node.origin, &path, "nothing", field.kind.expected());
            }
        }
        toml::Value::Table(values)
    }

    fn field(&mut self, path: &str, node: &Node, field: &Field) -> Option<toml::Value> {
        let read = match &node.data {
            Data::Value(value) => field.kind.read(value),
            _ => None,
        };
        if read.is_none() {
            let found = describe(node, Some(field.kind));
            self.fault(&node.origin, path, found, field.kind.expected());
        }
        read
    }

    fn list(&mut self, path: &str, node: &Node, shape: &Shape) -> toml::Value {
        let Data::List(items) = &node.data else {
            let expected = format!("tables [[{}]]", shape.name);
            self.fault(&node.origin, &join_path(path, shape.name), describe(node, None), expected);
            return toml::Value::Array(Vec::new());
        };
        let mut tables = Vec::new();
        for item in items {
            let name = format!("{} {}", shape.name, item.id().unwrap_or("without an id"));
            tables.push(self.table(&join_path(path, &name), item, shape));
        }
        toml::Value::Array(tables)
    }

    /// Checks that policy fields are within [`POLICY_BOUNDS`]. Guards against a policy that stops
    /// the whole fleet, or voids a guarantee, as soon as the configuration is in force.
    fn check_policy(&mut self, node: &Node, value: &toml::Value) {
        let Some(policy) = node.get("policy") else { return };
        for (name, min, max, reason) in POLICY_BOUNDS {
            let millis = value.get("policy").and_then(|p| p.get(name)?.as_integer());
            let (Some(millis), Some(setting)) = (millis, policy.get(name)) else { continue };
            if !(min..=max).contains(&millis) {
                let expected = format!("from {min}ms to {max}ms: {reason}");
                self.fault(
                    &setting.origin,
                    &format!("policy, {name}"),
                    format!("{millis}ms"),
                    expected,
                );
            }
        }
    }

    fn check_groups(&mut self, node: &Node) {
        let groups = node.list("group");
        self.check_ids("group", groups);
        for group in groups {
            let servers = group.list("server");
            if servers.len() != SERVERS_PER_GROUP {
                let path = format!("group {}", group.id().unwrap_or_default());
                let found = format!("{} servers", servers.len());
                self.fault(&group.origin, &path, found, format!("{SERVERS_PER_GROUP} servers"));
            }
            servers.iter().for_each(|server| self.check_slots(server));
        }
        let servers = || groups.iter().flat_map(|group| group.list("server"));
        self.check_ids("server", servers());
        self.check_unique("server", "address", servers());
        for account in node.list("account") {
            let path = format!("account {}, key", account.id().unwrap_or_default());
            self.check_ids(&path, account.list("key"));
        }
    }

    /// Checks that a server has at least as many connections as slots, because a slot without a
    /// connection can never be used.
    fn check_slots(&mut self, server: &Node) {
        let number = |name| match server.get(name).map(|node| &node.data) {
            Some(Data::Value(value)) => value.as_integer(),
            _ => None,
        };
        let connections =
            number("connections").unwrap_or(crate::config::DEFAULT_CONNECTIONS.into());
        let slots = number("slots").unwrap_or(crate::config::DEFAULT_SLOTS.into());
        if slots > connections {
            let setting = server.get("slots").or(server.get("connections")).unwrap_or(server);
            let path = format!("server {}, slots", server.id().unwrap_or_default());
            let expected = format!("no more than its {connections} connections");
            self.fault(&setting.origin, &path, slots.to_string(), expected);
        }
    }

    fn check_ids<'a>(&mut self, path: &str, items: impl IntoIterator<Item = &'a Node>) {
        self.check_unique(path, "id", items);
    }

    /// Checks that no two items have the same value in a text field. Items without the field are
    /// ignored.
    fn check_unique<'a>(
        &mut self,
        path: &str,
        field: &str,
        items: impl IntoIterator<Item = &'a Node>,
    ) {
        let mut seen: HashMap<&str, &Origin> = HashMap::new();
        for item in items {
            let Some(text) = item.text(field) else { continue };
            let origin = &item.get(field).unwrap_or(item).origin;
            if let Some(first) = seen.get(text) {
                let path = format!("{path} {}", item.id().unwrap_or_default());
                let found = format!("the {field} {text:?} again");
                self.fault(origin, &path, found, format!("one other than that at {first}"));
            } else {
                seen.insert(text, origin);
            }
        }
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}, {name}") }
}

/// Describes the fields that a table may have, for an error message.
fn known_fields(shape: &Shape) -> String {
    let fields = shape.fields.iter().map(|field| &*field.name);
    let tables = shape.lists.iter().chain(&shape.tables).map(|shape| shape.name);
    format!("one of {}", fields.chain(tables).collect::<Vec<_>>().join(", "))
}

/// Describes the value of a node for an error message. Values of verifier fields are never shown,
/// since a key may have been entered by mistake.
fn describe(node: &Node, kind: Option<Kind>) -> String {
    match &node.data {
        _ if kind == Some(Kind::Verifier) => "something else (not shown)".to_owned(),
        Data::Value(value) => value.to_string(),
        Data::Table(_) => "a table".to_owned(),
        Data::List(_) => "a list of tables".to_owned(),
    }
}
