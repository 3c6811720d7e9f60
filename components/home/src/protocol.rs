//! Statements and settings of a backend server beyond ordinary SQL.
//!
//! This module and `docs/ASSUMPTIONS.md` contain all assumptions about a database group.

use bergamottrack_coordination::{Point, Term, leadership::Status};

/// Queries a server's [`Status`]; the answer is one row with one text.
pub const SHOW_STATUS: &str = "SHOW group_status";

/// Subscribes to changes of a server's [`Status`], reported on [`STATUS_CHANNEL`].
pub const LISTEN_STATUS: &str = "LISTEN group_status";

/// Channel on which a server reports its status.
pub const STATUS_CHANNEL: &str = "group_status";

/// Setting by which a server reports, with each answer, the point that the answer shows (for a
/// read, before its rows) or has reached (for a write, after its commit).
pub const POINT_SETTING: &str = "group_point";

/// User name of this program at backend servers.
pub const USER: &str = "bergamottrack";

/// Requests that a server accept no log of a term earlier than `term`, and promise that term to
/// no promoter other than `promoter`. The answer is one row with the server's [`Status`].
pub fn promise(term: Term, promoter: &str) -> String {
    format!("SELECT group_promise({term}, '{promoter}')")
}

/// Makes a server that has promised `term` the primary of that term. The server first writes a
/// record of the new term, so its log is greater than all earlier ones.
pub fn promote(term: Term, promoter: &str) -> String {
    format!("SELECT group_promote({term}, '{promoter}')")
}

/// Parses the status that a server reports.
pub fn parse_status(text: &str) -> anyhow::Result<Status> {
    Ok(text.parse()?)
}

/// Parses the value of [`POINT_SETTING`].
pub fn parse_point(text: &str) -> anyhow::Result<Point> {
    Ok(text.parse()?)
}
