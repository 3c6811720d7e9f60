//! What differs between two configurations.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Deserialize, Serialize};

use crate::config::{BackendServer, ClientAccount, Config, Key};

/// One thing that differs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// What differs, such as `account baobab, rate`.
    pub place: Box<str>,
    /// What stood there before, if anything.
    pub before: Option<Box<str>>,
    /// What stands there after, if anything.
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

/// What differs, in order of place. What one of them lacks whole is one change.
pub fn diff(before: Option<&Config>, after: &Config) -> Vec<Change> {
    let before = before.map(things).unwrap_or_default();
    let after = things(after);
    let places: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let mut changes = Vec::new();
    for place in places {
        match (before.get(place), after.get(place)) {
            (Some(before), Some(after)) => changes.extend(compare(place, before, after)),
            (before, after) => changes.push(Change {
                place: place.clone(),
                before: before.map(whole),
                after: after.map(whole),
            }),
        }
    }
    changes
}

/// The fields that differ; both things have the same ones.
fn compare(place: &str, before: &Thing, after: &Thing) -> Vec<Change> {
    let pairs = before.iter().zip(after).filter(|(before, after)| before.value != after.value);
    let change = |(before, after): (&Fact, &Fact)| Change {
        place: format!("{place}, {}", before.name).into(),
        before: Some(before.value.clone()),
        after: Some(after.value.clone()),
    };
    pairs.map(change).collect()
}

fn whole(thing: &Thing) -> Box<str> {
    let facts = thing.iter().map(|fact| format!("{} {}", fact.name, fact.value));
    facts.collect::<Vec<_>>().join(", ").into()
}

/// The keys that `before` withdrew and `after` would let work again.
pub fn restored<'a>(before: &'a Config, after: &Config) -> Vec<(&'a ClientAccount, &'a Key)> {
    let withdrawn = before.accounts.iter().flat_map(|account| {
        account.keys.iter().filter(|key| key.withdrawn).map(move |key| (account, key))
    });
    withdrawn
        .filter(|(account, key)| {
            after.account(&account.id).is_some_and(|a| a.key(&key.id).is_some())
        })
        .collect()
}

/// A field as a person reads it.
struct Fact {
    name: Box<str>,
    value: Box<str>,
}

/// A thing's fields; those of the same kind have the same ones.
type Thing = Vec<Fact>;

fn fact(name: &str, value: impl fmt::Display) -> Fact {
    Fact { name: name.into(), value: value.to_string().into() }
}

/// All things by what they are called.
fn things(config: &Config) -> BTreeMap<Box<str>, Thing> {
    let mut things = BTreeMap::new();
    things.insert("site".into(), vec![fact("name", &config.site)]);
    things.insert("policy".into(), policy(config));
    for group in &config.groups {
        let servers = group.servers.iter();
        things.extend(
            servers.map(|s| (format!("group {}, server {}", group.id, s.id).into(), server(s))),
        );
    }
    for account in &config.accounts {
        let place = format!("account {}", account.id);
        let keys = account.keys.iter();
        things.extend(keys.map(|k| (format!("{place}, key {}", k.id).into(), key(k))));
        things.insert(place.into(), contract(account));
    }
    things
}

fn policy(config: &Config) -> Thing {
    let policy = serde_json::to_value(&config.policy).unwrap_or_default();
    policy.as_object().into_iter().flatten().map(|(name, value)| fact(name, value)).collect()
}

fn server(server: &BackendServer) -> Thing {
    vec![
        fact("address", server.address),
        fact("domain", &server.domain),
        fact("slots", server.slots),
        fact("connections", server.connections),
        fact("leaving", server.leaving),
    ]
}

fn contract(account: &ClientAccount) -> Thing {
    vec![fact("rate", account.rate), fact("burst", account.burst), fact("weight", account.weight)]
}

fn key(key: &Key) -> Thing {
    let standing = if key.withdrawn { "withdrawn" } else { "stands" };
    vec![fact("standing", standing), fact("verifier", key.verifier.mark())]
}
