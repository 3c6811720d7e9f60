//! Reports of a host for operators and for other hosts.

use std::time::Duration;

use bergamottrack_coordination::{
    AccountId, FailureDomain, GroupId, HostId, Point, Reason, Revision, ServerId, Term,
    leadership::Role,
};
use serde::{Deserialize, Serialize};

use crate::latency::LatencyHistogram;

/// Report of a host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostReport {
    /// Id of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Revision in force on the host.
    pub revision: Revision,
    /// Time since the revision was last proven to be the newest; `None` if never.
    pub fresh: Option<Duration>,
    /// Whether the host may act: that time is within the policy's limit.
    pub acts: bool,
    /// Whether the host is draining: it finishes its work and accepts no new work.
    pub draining: bool,
    /// Number of callers connected to the host.
    pub callers: u64,
    /// Number of calls of the platform since the host started.
    pub platform_calls: u64,
    /// Groups whose home is this host.
    pub groups: Vec<GroupReport>,
    /// Client accounts as served by this host.
    pub accounts: Vec<AccountReport>,
}

/// Report of a database group by its home.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupReport {
    /// Id of the group.
    pub group: GroupId,
    /// Server that leads; `None` while there is none.
    pub primary: Option<ServerId>,
    /// Highest term seen.
    pub term: Term,
    /// Number of requests waiting for a slot.
    pub queue: u64,
    /// Servers of the group, in the order of the configuration.
    pub servers: Vec<ServerReport>,
}

/// Report of a backend server by its group's home.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerReport {
    /// Id of the server.
    pub server: ServerId,
    /// Failure domain of the server.
    pub domain: FailureDomain,
    /// Role of the server; `None` while it does not answer.
    pub role: Option<Role>,
    /// Last record that is visible to its reads.
    pub applied: Point,
    /// Time since the last contact; `None` before the first contact.
    pub heard: Option<Duration>,
    /// Number of statements that it is running for this home.
    pub busy: u64,
    /// Maximum number of statements that it may run at once.
    pub slots: u64,
    /// Number of connections from this home to it.
    pub connections: u64,
    /// Whether the server gets no new work.
    pub leaving: bool,
}

/// Requests of a client account at one host since that host started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountReport {
    /// Id of the account.
    pub account: AccountId,
    /// Number of answered requests.
    pub served: u64,
    /// Total duration of the answered requests in seconds, from the caller's message to the answer.
    pub seconds: f64,
    /// Histogram of their durations.
    pub spread: LatencyHistogram,
    /// Refused requests by reason, without reasons that did not occur.
    pub refused: Vec<RefusalCount>,
}

/// Number of refusals for one reason.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RefusalCount {
    /// Reason of the refusals.
    pub reason: Reason,
    /// Number of refusals.
    pub count: u64,
}
