//! Checks a configuration and reads it.

use std::collections::HashMap;

use serde::Deserialize;

use crate::{
    config::Config,
    fault::{Fault, Faults},
    schema::{self, Field, Kind, Shape},
    source::{Data, Node, Origin},
};

/// Servers of a database group: two of three hold each acknowledged write.
pub const SERVERS: usize = 3;

/// Reads a whole configuration; every fault of it at once.
pub fn read(node: &Node) -> Result<Config, Faults> {
    let mut check = Check::default();
    let value = check.table("", node, &schema::site());
    check.policy(node, &value);
    check.groups(node);
    check.unique("account", node.list("account"));
    let mut faults = check.faults;
    if faults.0.is_empty() {
        match Config::deserialize(value) {
            Ok(config) => return Ok(config),
            Err(error) => faults.0.push(Fault {
                origin: node.origin.clone(),
                place: "the configuration".into(),
                given: "it".into(),
                wanted: error.message().into(),
            }),
        }
    }
    faults.0.sort();
    faults.0.dedup();
    Err(faults)
}

/// Bounds of policies in milliseconds, and why.
const BOUNDS: [(&str, i64, i64, &str); 2] = [
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
        place: &str,
        given: impl Into<Box<str>>,
        wanted: impl Into<Box<str>>,
    ) {
        let (origin, given, wanted) = (origin.clone(), given.into(), wanted.into());
        self.faults.0.push(Fault { origin, place: place.into(), given, wanted });
    }

    /// Checks a table; gives it as the configuration keeps it.
    fn table(&mut self, place: &str, node: &Node, shape: &Shape) -> toml::Value {
        let mut out = toml::Table::new();
        if !matches!(node.data, Data::Table(_)) {
            self.fault(&node.origin, place, given(node, None), "a table");
        }
        for (name, value) in node.entries() {
            let below = join(place, name);
            let field = shape.fields.iter().find(|field| field.name == *name);
            let list = shape.lists.iter().find(|list| list.name == &**name);
            let table = shape.tables.iter().find(|table| table.name == &**name);
            let read = match (field, list, table) {
                (Some(field), ..) => self.field(&below, value, field),
                (_, Some(list), _) => Some(self.list(place, value, list)),
                (.., Some(table)) => Some(self.table(&below, value, table)),
                _ => {
                    self.fault(&value.origin, &below, "an unknown field", known(shape));
                    None
                }
            };
            out.extend(read.map(|read| (name.to_string(), read)));
        }
        for field in shape.fields.iter().filter(|field| field.needed) {
            if node.get(&field.name).is_none() {
                let place = join(place, &field.name);
                self.fault(&node.origin, &place, "nothing", field.kind.wanted());
            }
        }
        toml::Value::Table(out)
    }

    fn field(&mut self, place: &str, node: &Node, field: &Field) -> Option<toml::Value> {
        let read = match &node.data {
            Data::Value(value) => field.kind.read(value),
            _ => None,
        };
        if read.is_none() {
            let given = given(node, Some(field.kind));
            self.fault(&node.origin, place, given, field.kind.wanted());
        }
        read
    }

    fn list(&mut self, place: &str, node: &Node, shape: &Shape) -> toml::Value {
        let Data::List(items) = &node.data else {
            let wanted = format!("tables [[{}]]", shape.name);
            self.fault(&node.origin, &join(place, shape.name), given(node, None), wanted);
            return toml::Value::Array(Vec::new());
        };
        let mut out = Vec::new();
        for item in items {
            let named = format!("{} {}", shape.name, item.id().unwrap_or("without an id"));
            out.push(self.table(&join(place, &named), item, shape));
        }
        toml::Value::Array(out)
    }

    /// Guards against a policy with which the whole fleet would stop, or a
    /// promise would be void, as soon as it is in force.
    fn policy(&mut self, node: &Node, value: &toml::Value) {
        let Some(policy) = node.get("policy") else { return };
        for (name, least, most, why) in BOUNDS {
            let millis = value.get("policy").and_then(|p| p.get(name)?.as_integer());
            let (Some(millis), Some(at)) = (millis, policy.get(name)) else { continue };
            if !(least..=most).contains(&millis) {
                let wanted = format!("from {least}ms to {most}ms: {why}");
                self.fault(&at.origin, &format!("policy, {name}"), format!("{millis}ms"), wanted);
            }
        }
    }

    fn groups(&mut self, node: &Node) {
        let groups = node.list("group");
        self.unique("group", groups);
        for group in groups {
            let servers = group.list("server");
            if servers.len() != SERVERS {
                let place = format!("group {}", group.id().unwrap_or_default());
                let given = format!("{} servers", servers.len());
                self.fault(&group.origin, &place, given, format!("{SERVERS} servers"));
            }
            servers.iter().for_each(|server| self.slots(server));
        }
        let servers = || groups.iter().flat_map(|group| group.list("server"));
        self.unique("server", servers());
        self.once("server", "address", servers());
        for account in node.list("account") {
            let place = format!("account {}, key", account.id().unwrap_or_default());
            self.unique(&place, account.list("key"));
        }
    }

    /// A slot without a connection could never be used.
    fn slots(&mut self, server: &Node) {
        let number = |name| match server.get(name).map(|node| &node.data) {
            Some(Data::Value(value)) => value.as_integer(),
            _ => None,
        };
        let connections = number("connections").unwrap_or(crate::config::CONNECTIONS.into());
        let slots = number("slots").unwrap_or(crate::config::SLOTS.into());
        if slots > connections {
            let at = server.get("slots").or(server.get("connections")).unwrap_or(server);
            let place = format!("server {}, slots", server.id().unwrap_or_default());
            let wanted = format!("no more than its {connections} connections");
            self.fault(&at.origin, &place, slots.to_string(), wanted);
        }
    }

    fn unique<'a>(&mut self, place: &str, items: impl IntoIterator<Item = &'a Node>) {
        self.once(place, "id", items);
    }

    /// Checks that no two items have the same text in a field.
    fn once<'a>(&mut self, place: &str, field: &str, items: impl IntoIterator<Item = &'a Node>) {
        let mut seen: HashMap<&str, &Origin> = HashMap::new();
        for item in items {
            let Some(text) = item.text(field) else { continue };
            let origin = &item.get(field).unwrap_or(item).origin;
            if let Some(first) = seen.get(text) {
                let place = format!("{place} {}", item.id().unwrap_or_default());
                let given = format!("the {field} {text:?} again");
                self.fault(origin, &place, given, format!("one other than that at {first}"));
            } else {
                seen.insert(text, origin);
            }
        }
    }
}

fn join(place: &str, name: &str) -> String {
    if place.is_empty() { name.to_owned() } else { format!("{place}, {name}") }
}

fn known(shape: &Shape) -> String {
    let fields = shape.fields.iter().map(|field| &*field.name);
    let below = shape.lists.iter().chain(&shape.tables).map(|shape| shape.name);
    format!("one of {}", fields.chain(below).collect::<Vec<_>>().join(", "))
}

/// What was given, for a person. A key may stand where its verifier belongs, so
/// that is never shown.
fn given(node: &Node, kind: Option<Kind>) -> String {
    match &node.data {
        _ if kind == Some(Kind::Verifier) => "something else (not shown)".to_owned(),
        Data::Value(value) => value.to_string(),
        Data::Table(_) => "a table".to_owned(),
        Data::List(_) => "a list of tables".to_owned(),
    }
}
