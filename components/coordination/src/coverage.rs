//! Position that covers every acknowledged commit of a group, from what hosts report as they release a
//! leader.
//!
//! A host reports the last record confirmed to it, which covers the commits that it has acknowledged since its
//! memory began. Commits acknowledged before, by an earlier process of the host or by a host that has left
//! the fleet, are covered by a position that the leader returned later: its log contained them by then. So does
//! every log that has reached a later term, whose leader was shown to have them.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    HostId, Point,
    view::{LEASE_MARGIN, LEASE_TTL, View},
};

/// Bound of the difference between the times that two hosts give for one event.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);

/// What a host has acknowledged of a group, reported as it releases the leader. Times are those of the
/// store's clock.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Acknowledged {
    /// Last record that a replica has confirmed to the host; `None` if there is none.
    pub confirmed: Option<Point>,
    /// Time from which `confirmed` covers each commit that the host has acknowledged.
    pub since: Duration,
    /// Newest known position of the leader, or of a former one if it has returned none, after the time at
    /// which it was requested; `None` if none is known.
    pub leader: Option<(Duration, Point)>,
}

/// Returns the position that covers every acknowledged commit; `None` if the reports do not show one.
///
/// `view` was read after the release, and `departed` is the time until which members that `view` no longer
/// lists may have acknowledged commits.
pub fn position(
    view: &View,
    reports: &BTreeMap<HostId, Acknowledged>,
    departed: Duration,
) -> Option<Point> {
    let mut unknown_until = departed;
    for (host, member) in &view.members {
        match (reports.get(host), member.value.left) {
            (Some(report), _) => unknown_until = unknown_until.max(report.since),
            (None, Some(left)) if member.value.lease_expired(view.clock) => {
                unknown_until = unknown_until.max(left + LEASE_TTL + LEASE_MARGIN);
            }
            (None, _) => return None,
        }
    }
    let observed = reports.values().filter_map(|report| report.leader);
    let later = observed.filter(|(at, _)| *at >= unknown_until + CLOCK_MARGIN);
    let earlier = later.map(|(_, point)| point).min()?;
    let confirmed = reports.values().filter_map(|report| report.confirmed).max();
    confirmed.max(Some(earlier))
}
