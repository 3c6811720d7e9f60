//! All that is assumed of a database group stands here and in
//! `docs/ASSUMPTIONS.md`: the few statements and settings of a backend server
//! that go beyond ordinary SQL.

use bergamottrack_coordination::{Point, Term, leadership::Status};

/// Asks a server for its [`Status`], one row of one text.
pub const SHOW_STATUS: &str = "SHOW group_status";

/// Asks a server to tell its [`Status`] whenever it changes, on [`STATUS_CHANNEL`].
pub const LISTEN_STATUS: &str = "LISTEN group_status";

/// The channel on which a server tells its status.
pub const STATUS_CHANNEL: &str = "group_status";

/// The setting by which a server tells, with each answer, what the answer
/// shows (a read, before its rows) or has reached (a write, after its commit).
pub const POINT_SETTING: &str = "group_point";

/// The user as which this program speaks to backend servers.
pub const USER: &str = "bergamottrack";

/// Asks a server to take no log of an earlier term than `term`, and to promise
/// that term to no other `promoter`. One row of one text: the server's [`Status`].
pub fn promise(term: Term, promoter: &str) -> String {
    format!("SELECT group_promise({term}, '{promoter}')")
}

/// Makes a server that promised `term` its primary. It writes a record of the
/// new term first, so that its log is greater than all earlier ones.
pub fn promote(term: Term, promoter: &str) -> String {
    format!("SELECT group_promote({term}, '{promoter}')")
}

/// Reads a server's own account of itself.
pub fn parse_status(text: &str) -> anyhow::Result<Status> {
    Ok(text.parse()?)
}

/// Reads the value of [`POINT_SETTING`].
pub fn parse_point(text: &str) -> anyhow::Result<Point> {
    Ok(text.parse()?)
}
