//! What a host reports of itself, to operators and to the other hosts.

use std::time::Duration;

use bergamottrack_coordination::{
    AccountId, FailureDomain, GroupId, HostId, Point, Reason, Revision, ServerId, Term,
    leadership::Role,
};
use serde::{Deserialize, Serialize};

use crate::latency::LatencyHistogram;

/// What a host reports of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostReport {
    /// The host.
    pub host: HostId,
    /// The failure domain it stands in.
    pub domain: FailureDomain,
    /// The revision in force there.
    pub revision: Revision,
    /// How long ago it could show that its revision was the newest; `None` if never.
    pub fresh: Option<Duration>,
    /// Whether it may act: it could show that within the policy's limit.
    pub acts: bool,
    /// Whether it finishes what it has and takes nothing new.
    pub draining: bool,
    /// Callers connected to it.
    pub callers: u64,
    /// Calls of the platform that it made since it started.
    pub platform_calls: u64,
    /// The groups whose home it is.
    pub groups: Vec<GroupReport>,
    /// The client accounts, as it served them.
    pub accounts: Vec<AccountReport>,
}

/// A database group as its home sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupReport {
    /// The group.
    pub group: GroupId,
    /// The server that leads; `None` while there is none.
    pub primary: Option<ServerId>,
    /// The greatest term seen.
    pub term: Term,
    /// Requests that wait for a slot.
    pub queue: u64,
    /// Its servers, in the operator's order.
    pub servers: Vec<ServerReport>,
}

/// A backend server as its group's home sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerReport {
    /// The server.
    pub server: ServerId,
    /// The failure domain it stands in.
    pub domain: FailureDomain,
    /// What it does; `None` while it does not answer.
    pub role: Option<Role>,
    /// The last record that its reads show.
    pub applied: Point,
    /// How long ago it was last heard of.
    pub heard: Option<Duration>,
    /// Statements that it runs for this home.
    pub busy: u64,
    /// Statements that it may run at once.
    pub slots: u64,
    /// Connections of this home to it.
    pub connections: u64,
    /// Whether it gets no new work.
    pub leaving: bool,
}

/// A client account as one host served it since that host started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountReport {
    /// The account.
    pub account: AccountId,
    /// Requests answered.
    pub served: u64,
    /// Seconds that all of them took together, from the caller's message to the answer.
    pub seconds: f64,
    /// How long they took.
    pub spread: LatencyHistogram,
    /// Requests refused, by reason; none that is 0.
    pub refused: Vec<RefusalCount>,
}

/// Refusals for one reason.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RefusalCount {
    /// Why.
    pub reason: Reason,
    /// How many.
    pub count: u64,
}
