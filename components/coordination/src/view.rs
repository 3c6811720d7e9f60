//! View of the fleet: its members and the leaders of all groups at one version of the store.
//!
//! The view is a table of the platform's store. A host uses the leader of a group only
//! while it holds a *lease*: it can prove that at most [`LEASE_TTL`] ago the view named that
//! leader and listed the host as a member. A failover first writes an intent to the store;
//! from then on no host can get a new lease on the former leader. Another server may be
//! promoted only after no host uses the former leader any more: each host has released its lease, or
//! the lease or the host's contact with the fleet has certainly expired, see the module [`contact`].
//! No other observation of a host shows that it has stopped.
//!
//! This is safe with clocks that are steady but not synchronized: a host counts its lease
//! from a local time *before* the store answered, and the host that waits counts from a local
//! time *after* the store accepted the intent. Both clocks run at nearly the true rate, also
//! while a machine is suspended.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{
    FailureDomain, GroupId, HostId, Revision, ServerId, Term,
    changes::{Changes, RemovedHosts},
    contact::{self, CONTACT_TTL, Contact, Quorum, VersionHistory},
    duty::Duty,
    succession::Terms,
};

/// How long a host may use a leader without a new proof that the server leads.
///
/// The lease outlasts typical store outages of 4 to 6 s by more than a second, so that callers
/// do not notice them. In return, a failover waits up to this long, plus [`LEASE_MARGIN`], if it
/// reaches no majority of the witnesses.
pub const LEASE_TTL: Duration = Duration::from_millis(7500);

/// Margin that the host that runs a failover adds to [`LEASE_TTL`] and [`CONTACT_TTL`]: the drift of
/// two clocks over the lease, and the time between a lease check and the send that follows it.
pub const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// A host of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Address at which other hosts reach this host.
    pub peer: SocketAddr,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Hash of the host's address, failure domain and power, see [`row_hash`]; equal for all
    /// processes of the host that are started with the same values.
    #[serde(rename = "place")]
    pub row_hash: u64,
    /// Latest time of the store's clock at which the host was removed: by other hosts that did not
    /// receive its heartbeats, or by itself before it ended; none while it is a member. A removed
    /// host may still hold a lease, and registers again if it runs.
    #[serde(default)]
    pub left: Option<Duration>,
    /// Version up to which the host has released its lease for every intent of any group; written
    /// only when the host cannot reach the host that runs a failover.
    #[serde(default)]
    pub released: u64,
    /// Processor capacity of the host in thousandths of a core.
    #[serde(default)]
    pub power: u32,
    /// Whether the host uses leaders only for [`CONTACT_TTL`] after its last contact.
    #[serde(default)]
    pub contact: bool,
}

impl Member {
    /// Returns whether the host was removed and its lease has certainly expired at the store
    /// time `clock`.
    pub fn lease_expired(&self, clock: Duration) -> bool {
        self.left.is_some_and(|left| clock >= left + LEASE_TTL + LEASE_MARGIN)
    }
}

/// Servers of a group, each with the start of its process in milliseconds of Unix time: a process that
/// starts anew under the same id has nothing of the earlier one's log.
pub type RecordedServers = BTreeMap<ServerId, u64>;

/// Servers of a group that may have confirmed a commit, as recorded in the group's row; see the module
/// [`succession`](crate::succession).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedSet {
    /// The servers; empty if they are not recorded.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub servers: RecordedServers,
    /// Whether each commit that another server has confirmed is held by two of `servers`: no host counts
    /// confirmations by others any more, as one that has not read this row may do. Absent in
    /// rows of earlier builds.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub exhaustive: bool,
    /// Version of the configuration by which the servers are recorded or not; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_default")]
    pub revision: Revision,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Leadership of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Leadership {
    /// The group has a leader, and no intent to replace it is written.
    Steady {
        /// Server that leads the group.
        leader: ServerId,
        /// Term in which the leader leads; 0 until its status has been read.
        #[serde(default)]
        term: Term,
        /// Servers of the group that may have confirmed a commit.
        #[serde(flatten)]
        recorded: RecordedSet,
    },
    /// A failover is in progress; no server may be used as the leader.
    Moving {
        /// Former leader; none if it is not known.
        from: Option<ServerId>,
        /// Host that runs the failover.
        holder: HostId,
        /// Time of the store's clock at which the failover began; the holder's right to run
        /// it expires [`FAILOVER_TTL`] later.
        since: Duration,
        /// Whether the failover is planned, so that the former leader still serves.
        planned: bool,
        /// Term in which `from` led; 0 while it is unknown.
        #[serde(default)]
        term: Term,
        /// Servers of the group that may have confirmed a commit, as in [`Self::Steady`].
        #[serde(flatten)]
        recorded: RecordedSet,
    },
}

/// How long a host may run a failover before another host may take it over. A failover takes
/// the lease, a promotion of one second and the pauses between.
pub const FAILOVER_TTL: Duration = Duration::from_millis(11_500);

/// Margin that a host adds to [`FAILOVER_TTL`] before it takes over, for clock differences.
pub const FAILOVER_MARGIN: Duration = Duration::from_millis(1500);

/// A row of the view with its version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versioned<T> {
    /// Version of the store change that wrote the row.
    pub version: u64,
    /// Content of the row.
    pub value: T,
}

/// All rows of the view at one version of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct View {
    /// Version of the newest store change.
    pub version: u64,
    /// Time of the store's clock when the view was read.
    pub clock: Duration,
    /// Shared secret by which hosts of the fleet authenticate each other.
    pub secret: Option<Box<str>>,
    /// Lock on promotion calls.
    pub duty: Option<Versioned<Duty>>,
    /// Hosts of the fleet.
    pub members: BTreeMap<HostId, Versioned<Member>>,
    /// Leadership by group; a group without an entry is led by the server that reports that
    /// it leads.
    pub groups: BTreeMap<GroupId, Versioned<Leadership>>,
    /// Newest closed term by group: terms up to it may have ended, because a promotion was
    /// requested. Only the host that runs a failover reads the closed terms, so they are not
    /// part of the stamp.
    #[serde(default)]
    pub closed: BTreeMap<GroupId, Term>,
}

impl Leadership {
    /// Term of the current or former leader; 0 while it is unknown.
    pub fn term(&self) -> Term {
        match self {
            Self::Steady { term, .. } | Self::Moving { term, .. } => *term,
        }
    }

    /// Servers of the group that may have confirmed a commit.
    pub fn recorded(&self) -> &RecordedSet {
        match self {
            Self::Steady { recorded, .. } | Self::Moving { recorded, .. } => recorded,
        }
    }
}

impl View {
    /// Returns the terms of a group; 0 where unknown.
    pub fn terms(&self, group: &GroupId) -> Terms {
        let known = self.groups.get(group).map(|row| row.value.term());
        let closed = self.closed.get(group).copied();
        Terms { known: known.unwrap_or_default(), closed: closed.unwrap_or_default() }
    }

    /// Returns a hash of the keys and versions of all members and groups. The hash does not
    /// depend on the version of the view nor on the time at which it was read.
    pub fn stamp(&self) -> u64 {
        let mut hash = xxh3::Xxh3::new();
        for (id, row) in &self.members {
            hash.update(id.as_str().as_bytes());
            hash.update(&row.version.to_le_bytes());
        }
        for (id, row) in &self.groups {
            hash.update(id.as_str().as_bytes());
            hash.update(&row.version.to_le_bytes());
        }
        hash.digest()
    }
}

/// Returns the hash of a host's address, failure domain and power, which identifies the
/// content of its row.
///
/// The suffix distinguishes the rows of processes that limit their use of leaders by contact from
/// those of earlier builds, which write their own row when they start in place of such a process.
pub fn row_hash(peer: SocketAddr, domain: &FailureDomain, power: u32) -> u64 {
    xxh3::xxh3_64(format!("{peer} {domain} {power} contact").as_bytes())
}

/// Newest view of one host, with the latest time at which it is proven to have been current.
#[derive(Debug)]
pub struct LocalView {
    me: HostId,
    /// Hash that this host's row must have, see [`Member::row_hash`].
    row_hash: u64,
    view: View,
    /// Stamp of `view`.
    stamp: u64,
    /// Hosts removed from earlier views.
    removed: RemovedHosts,
    /// Latest local time at which the view is proven to have been the newest; none before the
    /// first proof.
    confirmed_at: Option<Instant>,
    /// Contact with the witnesses of `view`.
    contact: Contact,
    /// Versions of `view` over time.
    history: VersionHistory,
}

impl LocalView {
    /// Creates an empty view for the host `me`, whose row must have the hash `row_hash`.
    pub fn new(me: HostId, row_hash: u64) -> Self {
        Self {
            me,
            row_hash,
            view: View::default(),
            stamp: 0,
            removed: RemovedHosts::default(),
            confirmed_at: None,
            contact: Contact::default(),
            history: VersionHistory::default(),
        }
    }

    /// The newest view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Replaces the view by `view`, which was the newest at the local time `sent_at` or later.
    /// Returns false, without any change, if the current view has a later version.
    ///
    /// Rows from [`LocalView::replace_group`] that are newer than `view` are kept: a host that
    /// has released its lease on a leader must not return to an older row.
    pub fn replace(&mut self, mut view: View, sent_at: Instant) -> bool {
        if view.version < self.view.version {
            return false;
        }
        for (id, row) in &self.view.groups {
            if row.version > view.version {
                view.groups.insert(id.clone(), row.clone());
            }
        }
        self.removed.note(&self.view, &view);
        self.stamp = view.stamp();
        self.view = view;
        self.contact.set_witnesses(&self.me, contact::witnesses(&self.view));
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        true
    }

    /// Replaces one group's row if `row` is newer; returns whether it was replaced.
    ///
    /// The lease is unchanged: it began no later than the row was written, so the next
    /// failover of the group waits for the lease.
    pub fn replace_group(&mut self, group: &GroupId, row: Versioned<Leadership>) -> bool {
        if self.leadership(group).is_some_and(|known| known.version >= row.version) {
            return false;
        }
        self.view.groups.insert(group.clone(), row);
        self.stamp = self.view.stamp();
        true
    }

    /// Returns the changes since the view of version `since`, or the whole view if that version
    /// is too old.
    pub fn changes(&self, since: u64) -> Changes {
        self.removed.changes(&self.view, self.stamp, since)
    }

    /// Stamp of the view, see [`View::stamp`].
    pub fn stamp(&self) -> u64 {
        self.stamp
    }

    /// Renews the lease if this view has the given stamp and `clock` is later than the view's
    /// own time. A view with that stamp was the newest at the store time `clock`, which was at
    /// the local time `confirmed_at` or later.
    pub fn renew(&mut self, stamp: u64, clock: Duration, confirmed_at: Instant) {
        if stamp == self.stamp && clock > self.view.clock {
            self.view.clock = clock;
            self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        }
    }

    /// Time since the view was last proven to be the newest; none before the first proof.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Local time at which this host may no longer use the leaders of the view; none before the
    /// first proof.
    pub fn lease_expiry(&self, now: Instant) -> Option<Instant> {
        let expiry = self.confirmed_at? + LEASE_TTL;
        if !self.is_limited() {
            return Some(expiry);
        }
        let contact = self.confirmed_at.max(self.contact.last(now))?;
        Some(expiry.min(contact + CONTACT_TTL))
    }

    /// Returns the age of the contact that this host passes on; none without a lease, since a failover
    /// takes only hosts with a lease into account.
    pub fn relayed_age(&self, now: Instant) -> Option<Duration> {
        self.contact_age(now).filter(|_| self.leased(now))
    }

    /// Returns whether this host's use of leaders is limited by contact that is older than `limit`.
    pub fn lacks_contact(&self, limit: Duration, now: Instant) -> bool {
        self.is_limited() && self.contact_age(now).is_none_or(|age| age > limit)
    }

    /// Returns whether this host may publish its release of all intents up to `version`: its view
    /// contains all of them, and it has released each. `released` returns the greatest version that a
    /// group has released.
    pub fn has_released(&self, version: u64, released: impl Fn(&GroupId) -> u64) -> bool {
        let is_open = |(group, row): (&GroupId, &Versioned<Leadership>)| {
            let moving = matches!(row.value, Leadership::Moving { .. });
            moving && row.version <= version && released(group) < row.version
        };
        self.view.version >= version && !self.view.groups.iter().any(is_open)
    }

    /// Returns whether this host uses leaders only for [`CONTACT_TTL`] after its last contact: a
    /// failover waits for the whole lease of a host whose row does not say so.
    fn is_limited(&self) -> bool {
        self.view.members.get(&self.me).is_some_and(|row| row.value.contact)
    }

    /// Time since this host's last contact with the fleet, see the module [`contact`]; none before
    /// the first one.
    pub fn contact_age(&self, now: Instant) -> Option<Duration> {
        let last = self.confirmed_at.max(self.contact.last(now));
        last.map(|at| now.saturating_duration_since(at))
    }

    /// Records a host's answer to a heartbeat sent at `sent_at`, after the rows in the answer were
    /// applied. `age` is the age of that host's own contact.
    pub fn note_contact(&mut self, from: &HostId, sent_at: Instant, age: Option<Duration>) {
        self.contact.note(from, sent_at, age);
    }

    /// Returns the leadership rows that are newer than the view of version `since`; `None` if there
    /// are more than [`contact::MAX_ROWS`].
    pub fn rows_since(&self, since: u64) -> Option<Vec<(GroupId, Versioned<Leadership>)>> {
        let newer = self.view.groups.iter().filter(|(_, row)| row.version > since);
        let rows: Vec<_> = newer.take(contact::MAX_ROWS + 1).collect();
        let fits = rows.len() <= contact::MAX_ROWS;
        fits.then(|| rows.into_iter().map(|(id, row)| (id.clone(), row.clone())).collect())
    }

    /// Records the version of the view at `now`, for [`LocalView::settled`].
    pub fn note_version(&mut self, now: Instant) {
        self.history.note(self.view.version, now);
    }

    /// Returns a version that the store had before the oldest lease that is valid at `now` began; 0 if
    /// this host has none.
    pub fn settled(&self, now: Instant) -> u64 {
        self.history.settled(now)
    }

    /// Returns whether the view lists this host as a member, with its current row hash.
    ///
    /// A row written by an earlier process of the host with the same hash counts as well: a
    /// failover waits for the host, whichever process runs there.
    pub fn is_member(&self) -> bool {
        self.lists(&self.me, self.row_hash)
    }

    /// Returns whether the view lists a host as a member, with the given row hash.
    fn lists(&self, host: &HostId, row_hash: u64) -> bool {
        self.view.members.get(host).is_some_and(|row| {
            // A row newer than the view comes from a later page of the same read: the groups' rows
            // of an earlier page may be older than an intent that does not wait for the host.
            let is_current = row.version <= self.view.version;
            is_current && row.value.row_hash == row_hash && row.value.left.is_none()
        })
    }

    /// Returns whether a host that has just started may act on this view: the view lists it, and
    /// was the newest at the store time `since`, which the host has read after it began to listen.
    ///
    /// A failover no longer waits for a host that has released its lease. A process that starts there
    /// afterwards must not receive a view from before the intent, as a host that has not read the
    /// store since may hold one.
    pub fn admits(&self, host: &HostId, row_hash: u64, since: Duration) -> bool {
        self.lists(host, row_hash) && self.view.clock >= since
    }

    /// Returns whether this host holds a lease and so may use the leaders of the view.
    ///
    /// A host that is not a member holds no lease, since a failover would not wait for it.
    pub fn leased(&self, now: Instant) -> bool {
        self.is_member() && self.lease_expiry(now).is_some_and(|expiry| now < expiry)
    }

    /// Leadership of a group; none if the view has no row of the group.
    pub fn leadership(&self, group: &GroupId) -> Option<&Versioned<Leadership>> {
        self.view.groups.get(group)
    }
}

/// Tracks the hosts that may still use a former leader.
#[derive(Debug)]
pub struct LeaseRelease {
    /// Local time at which every lease has expired, whether released or not.
    pub deadline: Instant,
    /// Hosts that may still hold a lease.
    waiting: Vec<HostId>,
    /// Hosts that hold their lease without contact.
    unlimited: BTreeSet<HostId>,
    quorum: Quorum,
    /// Time since which no host in `waiting` has had contact without receiving the intent; none
    /// until the quorum is reached.
    cut_off: Option<Instant>,
}

impl LeaseRelease {
    /// Starts the wait at `now`, after the store accepted the intent and `me` applied it, for all
    /// members of `view` but `me` and removed hosts whose lease has expired. `view` must be at least
    /// as new as the intent. `settled` is a version that the store had before the oldest valid lease
    /// began.
    pub fn new(view: &View, me: &HostId, settled: u64, now: Instant) -> Self {
        let members = view.members.iter();
        let waiting = members
            .filter(|(host, member)| *host != me && !member.value.lease_expired(view.clock))
            .map(|(host, _)| host.clone())
            .collect();
        let unlimited = view.members.iter().filter(|(_, member)| !member.value.contact);
        let mut release = Self {
            deadline: now + LEASE_TTL + LEASE_MARGIN,
            waiting,
            unlimited: unlimited.map(|(host, _)| host.clone()).collect(),
            quorum: Quorum::new(view, settled),
            cut_off: None,
        };
        release.update(now);
        release
    }

    /// Hosts that may still hold a lease, up to the deadline.
    pub fn waiting(&self) -> &[HostId] {
        &self.waiting
    }

    /// Records that a host has released its lease. Returns whether the failover waited for the host
    /// until now.
    pub fn mark_released(&mut self, host: &HostId, now: Instant) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|id| id != host);
        self.update(now);
        self.waiting.len() < before
    }

    /// Records from `view` the releases of the hosts that could not reach the host that runs
    /// the failover, and the hosts that left or whose lease has expired. `intent` is the version
    /// of the failover's intent. Returns the hosts for which the failover waits no longer.
    pub fn note(&mut self, view: &View, intent: u64, now: Instant) -> Vec<HostId> {
        let holds_lease = |host: &HostId| match view.members.get(host) {
            Some(member) => {
                member.value.released < intent && !member.value.lease_expired(view.clock)
            }
            // A host that shuts down removes its row after its last use of a leader and its last
            // answer to a heartbeat.
            None => false,
        };
        let waiting = std::mem::take(&mut self.waiting);
        let (waiting, ended) = waiting.into_iter().partition(holds_lease);
        self.waiting = waiting;
        self.update(now);
        ended
    }

    fn update(&mut self, now: Instant) {
        if self.cut_off.is_none() && self.quorum.is_reached(&self.waiting) {
            self.cut_off = Some(now);
        }
    }

    /// Returns whether the hosts that have not released their lease can no longer have contact.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let limited = !self.waiting.iter().any(|id| self.unlimited.contains(id));
        let lost = self.cut_off.is_some_and(|at| now >= at + CONTACT_TTL + LEASE_MARGIN);
        limited && lost
    }

    /// Returns whether no host can use the former leader any more.
    pub fn is_over(&self, now: Instant) -> bool {
        self.waiting.is_empty() || now >= self.deadline || self.is_cut_off(now)
    }
}
