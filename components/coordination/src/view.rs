//! Who is of the fleet and who leads each group, as of one moment.
//!
//! The view is a table of the platform's store. A host uses the leader of a
//! group only while it holds a *lease*: it can show that at most [`LEASE_TTL`] ago
//! the view named that leader and counted the host in. A change of leader is
//! written as an intent first; from then on no host can get a new lease on the
//! old leader, and it is over when every host has given its lease back or
//! [`LEASE_TTL`] has passed. Only then may another server be promoted.
//!
//! Why this holds though clocks are only steady, not equal: a host counts its
//! lease from a local time that lies *before* the store answered, and the one
//! who waits counts from a local time *after* the store took the intent. Both
//! run at nearly the true rate, also while a machine is suspended.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{
    FailureDomain, GroupId, HostId, ServerId, Term,
    changes::{Changes, RemovedHosts},
    duty::Duty,
    succession::Terms,
};

/// How long a host may use a leader without showing again that it leads.
///
/// Long enough to bridge the store's usual outages of 4 to 6 s with a second to
/// spare, so that callers do not notice them. The price is paid only when a
/// host is silent while a leader is replaced: all wait this long for it.
pub const LEASE_TTL: Duration = Duration::from_millis(7500);

/// What is added to [`LEASE_TTL`] by the one who waits for it to end: drift of two
/// clocks over the lease and the time from a check to the send that it allows.
pub const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// A host of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Where other hosts reach it.
    pub peer: SocketAddr,
    /// The failure domain it stands in.
    pub domain: FailureDomain,
    /// Tells apart where the host stands: the same for all its processes that listen at one
    /// address, in one failure domain.
    pub place: u64,
    /// The store's clock when others took it out, since they did not hear it. It
    /// may hold a lease for a while yet, and counts itself in again if it lives.
    #[serde(default)]
    pub left: Option<Duration>,
    /// The newest intent after which it used the old leader no more; written only
    /// when it cannot tell the one who waits for it.
    #[serde(default)]
    pub released: u64,
    /// Thousandths of a processor core that it has.
    #[serde(default)]
    pub power: u32,
}

impl Member {
    /// Whether no lease of it can be left at that time of the store's clock.
    pub fn is_over(&self, clock: Duration) -> bool {
        self.left.is_some_and(|left| clock >= left + LEASE_TTL + LEASE_MARGIN)
    }
}

/// Who leads a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Leadership {
    /// This server, until an intent says otherwise.
    Steady {
        /// The server.
        leader: ServerId,
        /// The term in which it leads; 0 while nobody has asked it.
        #[serde(default)]
        term: Term,
    },
    /// Nobody may be used: a change is on its way.
    Moving {
        /// The server that led; none when it was never known.
        from: Option<ServerId>,
        /// The host that makes the change.
        holder: HostId,
        /// The store's clock when it took up the change; its right to make it
        /// ends [`FAILOVER_TTL`] later.
        since: Duration,
        /// Whether the leader leaves as planned and still serves.
        planned: bool,
        /// The term in which `from` led; 0 while it is not known.
        #[serde(default)]
        term: Term,
    },
}

/// How long a host may make a change of leader before another may take it over.
/// A change takes the lease, a promotion of a second and the waits between.
pub const FAILOVER_TTL: Duration = Duration::from_millis(11_500);

/// What is added to [`FAILOVER_TTL`] by the one who takes over, for clocks that differ.
pub const FAILOVER_MARGIN: Duration = Duration::from_millis(1500);

/// A row of the view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versioned<T> {
    /// The change of the store that it comes from.
    pub version: u64,
    /// What it says.
    pub value: T,
}

/// The whole view as of one moment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct View {
    /// The newest change of the store at that moment.
    pub version: u64,
    /// The store's clock at that moment.
    pub clock: Duration,
    /// The secret that hosts of the fleet prove to each other.
    pub secret: Option<Box<str>>,
    /// Who calls for promotions.
    pub duty: Option<Versioned<Duty>>,
    /// The hosts.
    pub members: BTreeMap<HostId, Versioned<Member>>,
    /// Who leads; a group without an entry is led by the server that says so.
    pub groups: BTreeMap<GroupId, Versioned<Leadership>>,
    /// Up to which term a group's terms may be over, since a promotion was asked for.
    /// Only whoever changes a leader reads it, so it is not part of the stamp.
    #[serde(default)]
    pub closed: BTreeMap<GroupId, Term>,
}

impl Leadership {
    /// The term of the leader that is named last; 0 while it is not known.
    pub fn term(&self) -> Term {
        match self {
            Self::Steady { term, .. } | Self::Moving { term, .. } => *term,
        }
    }
}

impl View {
    /// What is known of a group's terms.
    pub fn terms(&self, group: &GroupId) -> Terms {
        let known = self.groups.get(group).map(|row| row.value.term());
        let closed = self.closed.get(group).copied();
        Terms { known: known.unwrap_or_default(), closed: closed.unwrap_or_default() }
    }

    /// Tells views with other rows apart, whenever they were read.
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

/// The place of a host: where it listens for others, and what else its row says of it.
pub fn place(peer: SocketAddr, domain: &FailureDomain, power: u32) -> u64 {
    xxh3::xxh3_64(format!("{peer} {domain} {power}").as_bytes())
}

/// The newest view that a host knows, and since when it may act on it.
#[derive(Debug)]
pub struct LocalView {
    me: HostId,
    /// Where this host stands, as in its row.
    place: u64,
    view: View,
    /// The view's stamp.
    stamp: u64,
    gone: RemovedHosts,
    /// A local time no later than the view's moment.
    shown: Option<Instant>,
}

impl LocalView {
    /// Nothing is known yet.
    pub fn new(me: HostId, place: u64) -> Self {
        Self {
            me,
            place,
            view: View::default(),
            stamp: 0,
            gone: RemovedHosts::default(),
            shown: None,
        }
    }

    /// The view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Takes a view that was the newest at the local time `asked` or later;
    /// false when a newer one is known.
    ///
    /// Rows taken by [`LocalView::take`] that are newer than the view stay: a host that
    /// has given its lease on a leader back must not fall back to an older row.
    pub fn learn(&mut self, mut view: View, asked: Instant) -> bool {
        if view.version < self.view.version {
            return false;
        }
        for (id, row) in &self.view.groups {
            if row.version > view.version {
                view.groups.insert(id.clone(), row.clone());
            }
        }
        self.gone.note(&self.view, &view);
        self.stamp = view.stamp();
        self.view = view;
        self.shown = self.shown.max(Some(asked));
        true
    }

    /// Takes one group's row, if it is newer than the known one.
    ///
    /// The lease stays as it was: it began no later than the row was written, so
    /// who changes that leader next waits for it.
    pub fn take(&mut self, group: &GroupId, row: Versioned<Leadership>) -> bool {
        if self.leadership(group).is_some_and(|known| known.version >= row.version) {
            return false;
        }
        self.view.groups.insert(group.clone(), row);
        self.stamp = self.view.stamp();
        true
    }

    /// What a host does not know that has the view of version `since`.
    pub fn changes(&self, since: u64) -> Changes {
        self.gone.changes(&self.view, since)
    }

    /// The view's stamp.
    pub fn stamp(&self) -> u64 {
        self.stamp
    }

    /// Notes that a view with that stamp was the newest when the store's clock
    /// showed `clock`, which was at the local time `shown` or later. Says nothing
    /// of a view with other rows.
    pub fn renew(&mut self, stamp: u64, clock: Duration, shown: Instant) {
        if stamp == self.stamp && clock > self.view.clock {
            self.view.clock = clock;
            self.shown = self.shown.max(Some(shown));
        }
    }

    /// How long ago the view was the newest for certain.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.shown.map(|shown| now.saturating_duration_since(shown))
    }

    /// A local time until which this host may use the leaders of the view.
    pub fn until(&self) -> Option<Instant> {
        self.shown.map(|shown| shown + LEASE_TTL)
    }

    /// Whether this host is counted in.
    ///
    /// A row that an earlier process of the host wrote counts as well: whoever changes a leader
    /// asks at the same address, and a process listens there before it reads the view. So a
    /// connection that is refused after the intent was written proves that no process of the
    /// host has read an older view.
    pub fn is_member(&self) -> bool {
        let own = self.view.members.get(&self.me);
        own.is_some_and(|own| own.value.place == self.place && own.value.left.is_none())
    }

    /// Whether this host may use leaders now.
    ///
    /// One that is not counted in may not: whoever changes a leader would not
    /// wait for it.
    pub fn leased(&self, now: Instant) -> bool {
        self.is_member() && self.age(now).is_some_and(|age| age < LEASE_TTL)
    }

    /// Who leads a group, by the view.
    pub fn leadership(&self, group: &GroupId) -> Option<&Versioned<Leadership>> {
        self.view.groups.get(group)
    }
}

/// The wait for all leases on a former leader to end.
#[derive(Debug)]
pub struct LeaseRelease {
    /// When the last lease has run out, whatever the hosts do.
    pub deadline: Instant,
    waiting: Vec<HostId>,
}

impl LeaseRelease {
    /// Begins at `now`, after the store took the intent; waits for all members
    /// of a view that is as new as the intent.
    pub fn new(view: &View, me: &HostId, now: Instant) -> Self {
        let members = view.members.iter();
        let waiting = members
            .filter(|(host, member)| *host != me && !member.value.is_over(view.clock))
            .map(|(host, _)| host.clone())
            .collect();
        Self { deadline: now + LEASE_TTL + LEASE_MARGIN, waiting }
    }

    /// Hosts that may still hold a lease.
    pub fn waiting(&self) -> &[HostId] {
        &self.waiting
    }

    /// Notes that a host holds none any more: it said so, or it runs no more.
    pub fn returned(&mut self, host: &HostId) {
        self.waiting.retain(|other| other != host);
    }

    /// Notes what the store says of hosts that could not be told.
    pub fn note(&mut self, view: &View, intent: u64) {
        self.waiting.retain(|host| match view.members.get(host) {
            Some(member) => member.value.released < intent && !member.value.is_over(view.clock),
            // A host that left took itself out after its last use of a leader.
            None => false,
        });
    }

    /// Whether no host holds one.
    pub fn is_over(&self, now: Instant) -> bool {
        self.waiting.is_empty() || now >= self.deadline
    }
}
