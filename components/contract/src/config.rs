//! What the operator describes.

use std::net::SocketAddr;

use bergamottrack_coordination::{AccountId, Burst, FailureDomain, GroupId, KeyId, Rate, ServerId};
use serde::{Deserialize, Serialize};

use crate::{check, fault::Faults, source::Node, verifier::Verifier};

/// All that an operator describes for one site.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the site.
    pub site: Box<str>,
    /// How requests are treated.
    #[serde(default)]
    pub policy: Policy,
    /// The database groups.
    #[serde(default, rename = "group")]
    pub groups: Vec<Group>,
    /// The client accounts.
    #[serde(default, rename = "account")]
    pub accounts: Vec<ClientAccount>,
}

/// How requests are treated; times in milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// The longest a request may take when its caller states nothing.
    pub request_ms: u64,
    /// The longest a transaction may stand idle between two statements.
    pub idle_ms: u64,
    /// How long a silent primary is left in place.
    pub silence_ms: u64,
    /// How long a host may act on a revision that it could not show to be the newest.
    pub fresh_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self { request_ms: 5_000, idle_ms: 10_000, silence_ms: 450, fresh_ms: 3_000 }
    }
}

/// A database group: servers that hold the same data.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Its name, by which callers choose it as their database.
    pub id: GroupId,
    /// Its servers.
    #[serde(rename = "server")]
    pub servers: Vec<BackendServer>,
}

/// A backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Its name.
    pub id: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain it stands in.
    pub domain: FailureDomain,
    /// Statements it can run at once.
    #[serde(default = "default_slots")]
    pub slots: u16,
    /// Connections it accepts.
    #[serde(default = "default_connections")]
    pub connections: u16,
    /// Whether the operator takes it out of work.
    #[serde(default)]
    pub leaving: bool,
}

/// Slots of a server of which nothing else is said.
pub const DEFAULT_SLOTS: u16 = 5;

/// Connections of a server of which nothing else is said.
pub const DEFAULT_CONNECTIONS: u16 = 35;

fn default_slots() -> u16 {
    DEFAULT_SLOTS
}

fn default_connections() -> u16 {
    DEFAULT_CONNECTIONS
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Its name.
    pub id: AccountId,
    /// Requests a second that it may make over all hosts.
    pub rate: Rate,
    /// Requests above the rate that it may make at once over all hosts.
    pub burst: Burst,
    /// Its share of a busy server beside other accounts.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Its keys.
    #[serde(default, rename = "key")]
    pub keys: Vec<Key>,
}

fn default_weight() -> u32 {
    1
}

/// A key of a client account; only a salted verifier of it is kept.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Its name.
    pub id: KeyId,
    /// What the key is checked against.
    pub verifier: Verifier,
    /// Whether it has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

impl Config {
    /// Reads a whole configuration in TOML; every fault of it at once.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        check::read(&Node::parse("configuration", text)?)
    }

    /// The group of that name.
    pub fn group(&self, id: &GroupId) -> Option<&Group> {
        self.groups.iter().find(|g| g.id == *id)
    }

    /// The account of that name.
    pub fn account(&self, id: &AccountId) -> Option<&ClientAccount> {
        self.accounts.iter().find(|a| a.id == *id)
    }
}

impl ClientAccount {
    /// The key of that name, unless it has been withdrawn.
    pub fn key(&self, id: &KeyId) -> Option<&Key> {
        self.keys.iter().find(|k| k.id == *id && !k.withdrawn)
    }
}
