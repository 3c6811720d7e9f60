//! Backend servers.

use std::{net::SocketAddr, time::Duration};

use bergamottrack_coordination::{FailureDomain, GroupId, Point, ServerId, Term};
use serde::{Deserialize, Serialize};

/// Role that a server reports to have in its group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates the primary.
    Replica,
}

/// Entry of a backend server in the list of servers, written by the server itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedServer {
    /// Name of the server.
    pub id: ServerId,
    /// Database group.
    pub group: GroupId,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub domain: FailureDomain,
    /// Maximum number of statements that the server runs concurrently.
    pub slots: usize,
    /// Whether the server is about to shut down.
    pub leaving: bool,
    /// Reported role.
    pub role: Role,
    /// Start time in milliseconds since 1970; distinguishes successive processes of the server.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Time of the store's clock until which the server is cold after its start; zero if it is not.
    pub cold: Duration,
}

/// Server's answer to a status query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// Reported role.
    pub role: Role,
    /// Current term of the server.
    pub term: Term,
    /// Position of the last log record that the server has received.
    pub received: Point,
}
