//! Configuration of a site.

use std::net::SocketAddr;

use bergamottrack_coordination::{AccountId, Burst, FailureDomain, GroupId, KeyId, Rate, ServerId};
use serde::{Deserialize, Serialize};

use crate::{check, fault::Faults, source::Node, verifier::Verifier};

/// Configuration of one site.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the site.
    pub site: Box<str>,
    /// Limits for requests, failover and freshness.
    #[serde(default)]
    pub policy: Policy,
    /// Database groups.
    #[serde(default, rename = "group")]
    pub groups: Vec<Group>,
    /// Client accounts.
    #[serde(default, rename = "account")]
    pub accounts: Vec<ClientAccount>,
}

/// Limits for requests, failover and freshness; all in milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Default timeout of a request, used if the caller sets none.
    pub request_ms: u64,
    /// Maximum idle time of a transaction between two statements.
    pub idle_ms: u64,
    /// Time without contact after which a primary is replaced.
    pub silence_ms: u64,
    /// Maximum time for which a host acts on a revision without proving that it is the newest.
    pub fresh_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self { request_ms: 5_000, idle_ms: 10_000, silence_ms: 450, fresh_ms: 3_000 }
    }
}

/// A database group: servers with the same data.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Id of the group; callers connect to it as their database name.
    pub id: GroupId,
    /// Servers of the group.
    #[serde(rename = "server")]
    pub servers: Vec<BackendServer>,
}

/// A backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Id of the server.
    pub id: ServerId,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub domain: FailureDomain,
    /// Number of statements that the server can run concurrently.
    #[serde(default = "default_slots")]
    pub slots: u16,
    /// Number of connections that the server accepts.
    #[serde(default = "default_connections")]
    pub connections: u16,
    /// Whether the operator is taking the server out of service, so that it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Default number of slots of a server.
pub const DEFAULT_SLOTS: u16 = 5;

/// Default number of connections of a server.
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
    /// Id of the account.
    pub id: AccountId,
    /// Maximum sustained rate over all hosts, in requests per second.
    pub rate: Rate,
    /// Maximum number of requests above the rate at once, over all hosts.
    pub burst: Burst,
    /// Weight against other accounts when a server is busy.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Keys of the account.
    #[serde(default, rename = "key")]
    pub keys: Vec<Key>,
}

fn default_weight() -> u32 {
    1
}

/// A key of a client account; only its salted verifier is stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Id of the key.
    pub id: KeyId,
    /// Verifier against which the key is checked.
    pub verifier: Verifier,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

impl Config {
    /// Parses a complete configuration in TOML; on failure returns all of its faults.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        check::read(&Node::parse("configuration", text)?)
    }

    /// Returns the group with the given id.
    pub fn group(&self, id: &GroupId) -> Option<&Group> {
        self.groups.iter().find(|g| g.id == *id)
    }

    /// Returns the account with the given id.
    pub fn account(&self, id: &AccountId) -> Option<&ClientAccount> {
        self.accounts.iter().find(|a| a.id == *id)
    }
}

impl ClientAccount {
    /// Returns the key with the given id, unless it has been withdrawn.
    pub fn key(&self, id: &KeyId) -> Option<&Key> {
        self.keys.iter().find(|k| k.id == *id && !k.withdrawn)
    }
}
