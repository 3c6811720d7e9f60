//! What is known of backend servers.

use std::{net::SocketAddr, time::Duration};

use bergamottrack_coordination::{FailureDomain, GroupId, Point, ServerId, Term};
use serde::{Deserialize, Serialize};

/// What a server says it is in its group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It follows the primary.
    Replica,
}

/// A backend server as it listed itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedServer {
    /// Its name.
    pub id: ServerId,
    /// The group that it belongs to.
    pub group: GroupId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain it stands in.
    pub domain: FailureDomain,
    /// Statements that it runs at once.
    pub slots: usize,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// What it says it is.
    pub role: Role,
    /// When it started, in milliseconds since 1970; tells two runs of one id apart.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Until when it is cold after its start, by the store's clock; zero if it is not.
    pub cold: Duration,
}

/// What a server answers when it is asked how it stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// What it says it is.
    pub role: Role,
    /// The term it is in.
    pub term: Term,
    /// The last log record that it received.
    pub received: Point,
}
