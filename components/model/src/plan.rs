//! What operators describe: databases, client accounts and limits.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use bergamottrack_coordination::{AccountId, Burst, GroupId, Rate, Revision, cold, homes};

/// Which commits a read must show.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Consistency {
    /// All that were acknowledged before it came.
    Current,
    /// All that were acknowledged longer ago than this.
    MaxAge(Duration),
    /// All of its own session, and all acknowledged longer ago than this.
    OwnWrites(Duration),
}

/// How a database is served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The group that holds it.
    pub group: GroupId,
    /// What its reads must show.
    pub consistency: Consistency,
    /// The longest that one statement may take.
    pub timeout: Duration,
    /// The latency that a whole operation aims at.
    pub latency_target: Duration,
    /// Who goes first where not all can be served; 0 is the most urgent.
    pub priority: u32,
    /// Whether it is served without a key.
    pub public: bool,
    /// Where its statements may run.
    pub homes: homes::Homes,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Its name.
    pub id: AccountId,
    /// Operations a second over the whole fleet.
    pub rate: Rate,
    /// Operations above the rate that may come at once.
    pub burst: Burst,
    /// Where its statements may run.
    pub homes: homes::Homes,
}

/// What the servers of a group take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The most connections to each.
    pub connections: usize,
    /// Requests to one that has just started; none where that makes no difference.
    pub cold: Option<cold::Limit>,
}

/// One version of the whole configuration.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Its number; never goes down.
    pub version: Revision,
    /// Databases by name.
    pub routes: HashMap<Box<str>, Rc<Route>>,
    /// Accounts by key.
    pub keys: HashMap<Box<str>, Rc<Account>>,
    /// What the servers of each group take.
    pub groups: HashMap<GroupId, Limits>,
    /// How long a transaction may rest between statements.
    pub idle_timeout: Option<Duration>,
}

impl Plan {
    /// Whether any database or account is bound to homes.
    pub fn has_homes(&self) -> bool {
        let routes = self.routes.values().any(|route| !route.homes.is_unrestricted());
        routes || self.keys.values().any(|account| !account.homes.is_unrestricted())
    }

    /// Every account once.
    pub fn accounts(&self) -> impl Iterator<Item = &Rc<Account>> {
        let mut seen = HashSet::new();
        self.keys.values().filter(move |account| seen.insert(&account.id))
    }
}
