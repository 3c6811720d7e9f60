//! Differences between two configurations.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Deserialize, Serialize};

use crate::config::{BackendServer, ClientAccount, Config, Key};

/// One difference.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Path of the object or field that differs, such as `account baobab, rate`.
    pub place: Box<str>,
    /// Value before the change; `None` if it was added.
    pub before: Option<Box<str>>,
    /// Value after the change; `None` if it was removed.
    pub after: Option<Box<str>>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.place),
            (Some(before), None) => write!(f, "- {}: {before}", self.place),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.place),
            (None, None) => Ok(()),
        }
    }
}

/// Returns the differences, ordered by `place`. An object that only one configuration has is a
/// single change.
pub fn diff(before: Option<&Config>, after: &Config) -> Vec<Change> {
    let before = before.map(objects).unwrap_or_default();
    let after = objects(after);
    let places: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let mut changes = Vec::new();
    for place in places {
        match (before.get(place), after.get(place)) {
            (Some(before), Some(after)) => changes.extend(compare(place, before, after)),
            (before, after) => changes.push(Change {
                place: place.clone(),
                before: before.map(summary),
                after: after.map(summary),
            }),
        }
    }
    changes
}

/// Returns the properties that differ; both objects must have the same properties.
fn compare(place: &str, before: &Object, after: &Object) -> Vec<Change> {
    let pairs = before.iter().zip(after).filter(|(before, after)| before.value != after.value);
    let change = |(before, after): (&Property, &Property)| Change {
        place: format!("{place}, {}", before.name).into(),
        before: Some(before.value.clone()),
        after: Some(after.value.clone()),
    };
    pairs.map(change).collect()
}

/// Lists all properties of an object in one line.
fn summary(object: &Object) -> Box<str> {
    let properties = object.iter().map(|property| format!("{} {}", property.name, property.value));
    properties.collect::<Vec<_>>().join(", ").into()
}

/// Returns the keys that are withdrawn in `before` and valid in `after`.
pub fn restored_keys<'a>(before: &'a Config, after: &Config) -> Vec<(&'a ClientAccount, &'a Key)> {
    let withdrawn = before.accounts.iter().flat_map(|account| {
        account.keys.iter().filter(|key| key.withdrawn).map(move |key| (account, key))
    });
    withdrawn
        .filter(|(account, key)| {
            after.account(&account.id).is_some_and(|a| a.key(&key.id).is_some())
        })
        .collect()
}

/// A field in the form shown to people.
struct Property {
    name: Box<str>,
    value: Box<str>,
}

/// Properties of an object; objects of the same kind have the same properties.
type Object = Vec<Property>;

/// Creates a property from a value.
fn property(name: &str, value: impl fmt::Display) -> Property {
    Property { name: name.into(), value: value.to_string().into() }
}

/// Returns all objects of a configuration by path.
fn objects(config: &Config) -> BTreeMap<Box<str>, Object> {
    let mut objects = BTreeMap::new();
    objects.insert("site".into(), vec![property("name", &config.site)]);
    objects.insert("policy".into(), policy(config));
    for group in &config.groups {
        let servers = group.servers.iter();
        objects.extend(
            servers.map(|s| (format!("group {}, server {}", group.id, s.id).into(), server(s))),
        );
    }
    for account in &config.accounts {
        let place = format!("account {}", account.id);
        let keys = account.keys.iter();
        objects.extend(keys.map(|k| (format!("{place}, key {}", k.id).into(), key(k))));
        objects.insert(place.into(), contract(account));
    }
    objects
}

fn policy(config: &Config) -> Object {
    let policy = serde_json::to_value(&config.policy).unwrap_or_default();
    policy.as_object().into_iter().flatten().map(|(name, value)| property(name, value)).collect()
}

fn server(server: &BackendServer) -> Object {
    vec![
        property("address", server.address),
        property("domain", &server.domain),
        property("slots", server.slots),
        property("connections", server.connections),
        property("leaving", server.leaving),
    ]
}

fn contract(account: &ClientAccount) -> Object {
    vec![
        property("rate", account.rate),
        property("burst", account.burst),
        property("weight", account.weight),
    ]
}

fn key(key: &Key) -> Object {
    let standing = if key.withdrawn { "withdrawn" } else { "stands" };
    vec![property("standing", standing), property("verifier", key.verifier.fingerprint())]
}
