//! Operator's configuration: databases, client accounts and limits.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use bergamottrack_coordination::{AccountId, Burst, GroupId, Rate, Revision, cold, homes};

/// Commits that a read must show.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Consistency {
    /// All commits acknowledged before the read arrived.
    Current,
    /// All commits acknowledged longer ago than this.
    MaxAge(Duration),
    /// All commits of the read's own session, and all commits acknowledged longer ago than this.
    OwnWrites(Duration),
}

/// Settings of a database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Database group that holds the database.
    pub group: GroupId,
    /// Commits that reads must show.
    pub consistency: Consistency,
    /// Timeout of a statement.
    pub timeout: Duration,
    /// Target latency of an operation.
    pub latency_target: Duration,
    /// Priority under overload; 0 is the highest.
    pub priority: u32,
    /// Whether the database may be used without a key.
    pub public: bool,
    /// Regions in which statements may run.
    pub homes: homes::Homes,
}

/// Client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub id: AccountId,
    /// Rate limit in operations per second over the whole fleet.
    pub rate: Rate,
    /// Number of operations that may exceed the rate at once.
    pub burst: Burst,
    /// Regions in which statements may run.
    pub homes: homes::Homes,
}

/// Limits for the servers of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of connections to each server.
    pub connections: usize,
    /// Rate limit for servers that have just started; `None` if they need no special treatment.
    pub cold: Option<cold::Limit>,
    /// Number of replicas that have a commit before a server acknowledges it. If it is not 0, no server
    /// is promoted that may lack an acknowledged commit.
    pub sync_replicas: u32,
}

/// Version of the whole configuration.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Number of the version; never decreases.
    pub version: Revision,
    /// Databases by name.
    pub routes: HashMap<Box<str>, Rc<Route>>,
    /// Accounts by key.
    pub keys: HashMap<Box<str>, Rc<Account>>,
    /// Limits for the servers of each group.
    pub groups: HashMap<GroupId, Limits>,
    /// Maximum time between two statements of a transaction.
    pub idle_timeout: Option<Duration>,
}

impl Plan {
    /// Returns whether any database or account is restricted to regions.
    pub fn has_homes(&self) -> bool {
        let routes = self.routes.values().any(|route| !route.homes.is_unrestricted());
        routes || self.keys.values().any(|account| !account.homes.is_unrestricted())
    }

    /// Iterates over the accounts, each of them once.
    pub fn accounts(&self) -> impl Iterator<Item = &Rc<Account>> {
        let mut seen = HashSet::new();
        self.keys.values().filter(move |account| seen.insert(&account.id))
    }
}
