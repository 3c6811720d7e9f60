//! What differs between two configurations.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::config::{BackendServer, ClientAccount, Config, Group, Key};

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

/// What differs, in order of place.
pub fn diff(before: Option<&Config>, after: &Config) -> Vec<Change> {
    let before = before.map(facts).unwrap_or_default();
    let after = facts(after);
    let places: std::collections::BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let change = |place: &str| Change {
        place: place.into(),
        before: before.get(place).cloned(),
        after: after.get(place).cloned(),
    };
    places
        .into_iter()
        .map(|place| change(place))
        .filter(|change| change.before != change.after)
        .collect()
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

type Facts = BTreeMap<Box<str>, Box<str>>;

fn facts(config: &Config) -> Facts {
    let mut facts = Facts::new();
    add(&mut facts, "site", &config.site);
    let policy = serde_json::to_value(&config.policy).unwrap_or_default();
    for (name, value) in policy.as_object().into_iter().flatten() {
        add(&mut facts, &format!("policy, {name}"), value);
    }
    config.groups.iter().for_each(|group| group_facts(&mut facts, group));
    config.accounts.iter().for_each(|account| account_facts(&mut facts, account));
    facts
}

fn add(facts: &mut Facts, place: &str, value: impl fmt::Display) {
    facts.insert(place.into(), value.to_string().into());
}

fn group_facts(facts: &mut Facts, group: &Group) {
    for server in &group.servers {
        let BackendServer { id, address, domain, slots, connections, leaving } = server;
        let place = format!("group {}, server {id}", group.id);
        add(facts, &format!("{place}, address"), address);
        add(facts, &format!("{place}, domain"), domain);
        add(facts, &format!("{place}, slots"), slots);
        add(facts, &format!("{place}, connections"), connections);
        add(facts, &format!("{place}, leaving"), leaving);
    }
}

fn account_facts(facts: &mut Facts, account: &ClientAccount) {
    let place = format!("account {}", account.id);
    add(facts, &format!("{place}, rate"), account.rate);
    add(facts, &format!("{place}, burst"), account.burst);
    add(facts, &format!("{place}, weight"), account.weight);
    for key in &account.keys {
        let standing = if key.withdrawn { "withdrawn" } else { "stands" };
        let mark = key.verifier.mark();
        add(facts, &format!("{place}, key {}", key.id), format!("{standing} (verifier {mark})"));
    }
}
