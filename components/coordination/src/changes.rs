//! Differences between two views, which hosts exchange instead of whole views.
//!
//! A whole view of 300 hosts is 45 KB, a change of one row 150 bytes. If a host of a fleet of
//! several hundred hosts sent the whole view to every other host whenever a leader is replaced
//! or a host joins, the links of small hosts (10 Mbit/s) would be saturated for seconds.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    GroupId, HostId,
    view::{Leadership, Member, Versioned, View},
};

/// Maximum number of removed hosts to keep. A host whose view is older than the first of them
/// receives the whole view. At most a few hundred hosts are replaced within minutes.
const MAX_REMOVED: usize = 256;

/// Hosts whose rows were removed from the view.
#[derive(Debug, Default)]
pub struct RemovedHosts {
    /// Removed hosts, oldest first, each with the version of the first view without it.
    hosts: VecDeque<(u64, HostId)>,
    /// Version of the view since which `hosts` contains every removal.
    complete: u64,
}

/// Difference between a view and an older one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Changes {
    /// Version of the older view; 0 if `view` is the whole view.
    pub since: u64,
    /// Newer view, with only the rows of members and groups that changed unless `since` is 0.
    pub view: View,
    /// Stamp of the newer view with all its rows.
    pub stamp: u64,
    /// Hosts removed since the older view.
    pub gone: Vec<HostId>,
}

impl RemovedHosts {
    /// Records the hosts that are in the view `before` but not in `after`, which replaces it.
    pub fn note(&mut self, before: &View, after: &View) {
        if before.version == 0 {
            self.complete = after.version;
            return;
        }
        let removed = before.members.keys().filter(|id| !after.members.contains_key(*id));
        self.hosts.extend(removed.map(|id| (after.version, id.clone())));
        while self.hosts.len() > MAX_REMOVED {
            let oldest = self.hosts.pop_front();
            self.complete = oldest.map_or(self.complete, |(version, _)| version);
        }
    }

    /// Returns the changes of `view`, whose stamp is `stamp`, since the view of version `since`, or
    /// the whole view if not every removal since then is recorded.
    pub fn changes(&self, view: &View, stamp: u64, since: u64) -> Changes {
        let since = if since < self.complete { 0 } else { since };
        let removed = self.hosts.iter().filter(|(version, _)| since > 0 && *version > since);
        Changes {
            since,
            view: View {
                version: view.version,
                clock: view.clock,
                secret: view.secret.clone(),
                duty: view.duty.clone(),
                members: newer::<HostId, Member>(&view.members, since),
                groups: newer::<GroupId, Leadership>(&view.groups, since),
                closed: view.closed.clone(),
            },
            stamp,
            gone: removed.map(|(_, id)| id.clone()).collect(),
        }
    }
}

fn newer<K: Clone + Ord, V: Clone>(
    rows: &BTreeMap<K, Versioned<V>>,
    since: u64,
) -> BTreeMap<K, Versioned<V>> {
    let newer = rows.iter().filter(|(_, row)| row.version > since);
    newer.map(|(key, row)| (key.clone(), row.clone())).collect()
}

impl Changes {
    /// Returns the whole view as changes.
    pub fn whole(view: View) -> Self {
        Self { since: 0, stamp: view.stamp(), view, gone: Vec::new() }
    }

    /// Applies the changes to the older view `base` and returns the sender's view, or `None` if
    /// the changes do not apply to `base`, so that the whole view must be requested.
    ///
    /// The result is compared by its stamp, which covers the version of every row, so that no
    /// host acts on rows that the store no longer has. A whole view is not compared.
    pub fn apply_to(self, base: &View) -> Option<View> {
        let Self { since, view, stamp, gone } = self;
        if since == 0 {
            return Some(view);
        }
        let (mut members, mut groups) = (base.members.clone(), base.groups.clone());
        gone.iter().for_each(|id| drop(members.remove(id)));
        members.extend(view.members);
        groups.extend(view.groups);
        let view = View { members, groups, ..view };
        (base.version >= since && view.stamp() == stamp).then_some(view)
    }
}
