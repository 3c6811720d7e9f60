//! The list of backend servers, with the history of its changes.
//!
//! Hosts exchange the changes since a version in place of whole lists: the list of 3,000 servers
//! is half a megabyte, a changed entry 200 bytes.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use bergamottrack_coordination::{GroupId, ServerId};
use bergamottrack_model::{ListedServer, Role};
use bergamottrack_peer::message::ServerChanges;

/// Maximum number of removals to keep. A host whose list is older than the first of them receives
/// the whole list.
const MAX_REMOVED: usize = 1024;

/// Difference below which two reported ends of a server's cold phase count as equal.
pub const COLD_TOLERANCE: Duration = Duration::from_millis(1000);

struct Entry {
    listed: ListedServer,
    /// Version of the list in which `listed` last changed.
    version: u64,
    /// Random number of the entry's disappearance; `None` while the entry is present.
    missing: Option<u64>,
}

/// Effect of [`Catalog::upsert`].
#[derive(Clone, Debug, PartialEq)]
pub enum Upsert {
    /// The server was not in the list.
    Added,
    /// The entry had the enclosed content, or was missing.
    Changed(Box<ListedServer>),
    /// The entry had the same content.
    Unchanged,
}

/// The list of servers. Entries that have disappeared are *missing*: they are no part of the list
/// that other hosts receive, but stay until they are removed.
#[derive(Default)]
pub struct Catalog {
    entries: BTreeMap<ServerId, Entry>,
    by_group: HashMap<GroupId, BTreeSet<ServerId>>,
    /// Entries that disappeared, oldest first, each with the version of the list without it.
    removed: VecDeque<(u64, ServerId)>,
    /// Version since which `removed` contains every disappearance.
    complete: u64,
    /// Version up to which all changes are applied; 0 if unknown.
    version: u64,
    /// Hash of the present entries; `None` after a change, recomputed on the next access.
    stamp: Cell<Option<u64>>,
}

impl Catalog {
    /// Returns whether the list has no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the version up to which all changes are applied; 0 if unknown.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that the list contains all changes up to `version`. The history begins at the first
    /// known version.
    pub fn advance(&mut self, version: u64) {
        if self.version == 0 {
            self.complete = version;
        }
        self.version = self.version.max(version);
    }

    /// Discards the version: the next request is for the whole list.
    pub fn reset_version(&mut self) {
        self.version = 0;
    }

    /// Returns the entry of a server, also if it is missing.
    pub fn get(&self, id: &ServerId) -> Option<&ListedServer> {
        self.entries.get(id).map(|entry| &entry.listed)
    }

    /// Returns the entries, also missing ones, sorted by server.
    pub fn all(&self) -> impl Iterator<Item = &ListedServer> {
        self.entries.values().map(|entry| &entry.listed)
    }

    /// Returns the entries of a group, also missing ones, sorted by server.
    pub fn group(&self, group: &GroupId) -> impl Iterator<Item = &ListedServer> {
        self.by_group.get(group).into_iter().flatten().filter_map(|id| self.get(id))
    }

    /// Returns whether a server has an entry that is not missing.
    pub fn is_present(&self, id: &ServerId) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.missing.is_none())
    }

    fn present(&self) -> impl Iterator<Item = &ListedServer> {
        let present = self.entries.values().filter(|entry| entry.missing.is_none());
        present.map(|entry| &entry.listed)
    }

    /// Returns the present entries, sorted by server.
    pub fn listed(&self) -> Vec<ListedServer> {
        self.present().cloned().collect()
    }

    /// Returns a hash of the present entries.
    pub fn stamp(&self) -> u64 {
        if let Some(stamp) = self.stamp.get() {
            return stamp;
        }
        let mut hash = DefaultHasher::new();
        for listed in self.present() {
            (&listed.id, &listed.group, listed.address, listed.started_ms).hash(&mut hash);
            (listed.leaving, listed.role == Role::Primary, listed.slots).hash(&mut hash);
            listed.cold.hash(&mut hash);
        }
        let stamp = hash.finish();
        self.stamp.set(Some(stamp));
        stamp
    }

    /// Replaces the end of a cold phase that a server reported by the known one if they differ by
    /// less than [`COLD_TOLERANCE`].
    ///
    /// Ends are computed from the time of each report and vary slightly, and every change is
    /// propagated to all hosts.
    pub fn keep_cold_end(&self, listed: &mut ListedServer) {
        let known = self.get(&listed.id).map_or(Duration::ZERO, |known| known.cold);
        if !known.is_zero() && listed.cold.abs_diff(known) < COLD_TOLERANCE {
            listed.cold = known;
        }
    }

    /// Adds or replaces an entry, which changed in `version` of the list or before.
    pub fn upsert(&mut self, listed: ListedServer, version: u64) -> Upsert {
        let effect = match self.entries.get(&listed.id) {
            Some(known) if known.missing.is_none() && known.listed == listed => {
                return Upsert::Unchanged;
            }
            Some(known) => Upsert::Changed(Box::new(known.listed.clone())),
            None => Upsert::Added,
        };
        if let Upsert::Changed(before) = &effect
            && before.group != listed.group
        {
            self.unlink(&before.group, &before.id);
        }
        self.by_group.entry(listed.group.clone()).or_default().insert(listed.id.clone());
        self.entries.insert(listed.id.clone(), Entry { listed, version, missing: None });
        self.stamp.set(None);
        effect
    }

    /// Marks an entry as missing since `version` of the list. Returns a random number that
    /// identifies the disappearance; `None` if the server is unknown or missing already.
    pub fn mark_missing(&mut self, id: &ServerId, version: u64) -> Option<u64> {
        let entry = self.entries.get_mut(id).filter(|entry| entry.missing.is_none())?;
        let occurrence = rand::random();
        entry.missing = Some(occurrence);
        self.removed.push_back((version, id.clone()));
        while self.removed.len() > MAX_REMOVED {
            let oldest = self.removed.pop_front();
            self.complete = oldest.map_or(self.complete, |(version, _)| version);
        }
        self.stamp.set(None);
        Some(occurrence)
    }

    /// Removes an entry that has been missing since the given disappearance; returns whether it
    /// was removed.
    pub fn remove(&mut self, id: &ServerId, occurrence: u64) -> bool {
        if self.entries.get(id).is_none_or(|entry| entry.missing != Some(occurrence)) {
            return false;
        }
        if let Some(entry) = self.entries.remove(id) {
            self.unlink(&entry.listed.group, id);
        }
        true
    }

    fn unlink(&mut self, group: &GroupId, id: &ServerId) {
        if let Some(ids) = self.by_group.get_mut(group) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_group.remove(group);
            }
        }
    }

    /// Returns the changes since `since`; `None` if the history does not reach back to it, so that
    /// the whole list must be sent.
    pub fn changes(&self, since: u64) -> Option<ServerChanges> {
        if since == 0 || since < self.complete || since > self.version {
            return None;
        }
        let changed = self.entries.values();
        let changed = changed.filter(|entry| entry.missing.is_none() && entry.version > since);
        let removed = self.removed.iter().filter(|(version, _)| *version > since);
        let is_missing =
            |id: &ServerId| self.entries.get(id).is_none_or(|entry| entry.missing.is_some());
        Some(ServerChanges {
            since,
            version: self.version,
            stamp: self.stamp(),
            changed: changed.map(|entry| entry.listed.clone()).collect(),
            gone: removed.map(|(_, id)| id.clone()).filter(is_missing).collect(),
        })
    }
}
