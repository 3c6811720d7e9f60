//! A revision: the configuration and the hosts that act on it.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{FailureDomain, Freshness, HostId, Revision, SubmitId};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::config::{Config, Policy};

/// An entry host of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Its name.
    pub id: HostId,
    /// The failure domain it stands in.
    pub domain: FailureDomain,
    /// Where other hosts reach it.
    pub peer: SocketAddr,
}

/// One link of the chain of revisions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RevisionDoc {
    /// Its number; each revision is one more than the one it was made from.
    pub number: Revision,
    /// The submit that made it.
    pub submit: SubmitId,
    /// Who made it.
    pub author: Box<str>,
    /// When it was made, in seconds since 1970, for people to read.
    pub at: u64,
    /// What the operator describes; none before the first submit.
    pub config: Option<Config>,
    /// The revision that brought this configuration; later ones only changed the roster.
    pub config_revision: Revision,
    /// The hosts that act on it; none twice.
    pub roster: Vec<Host>,
    /// The roster of the revision before.
    pub before: Vec<Host>,
}

impl RevisionDoc {
    /// The host of that name, if it is of the roster.
    pub fn host(&self, id: &HostId) -> Option<&Host> {
        self.roster.iter().find(|h| h.id == *id)
    }

    /// How long a host may act on it without showing that it is the newest.
    pub fn fresh_limit(&self) -> Duration {
        let policy = self.config.as_ref().map(|config| config.policy.fresh_ms);
        Duration::from_millis(policy.unwrap_or(Policy::default().fresh_ms))
    }
}

/// The revision that this host acts on; it never goes down.
#[derive(Debug, Default)]
pub struct Current {
    doc: RefCell<Option<Rc<RevisionDoc>>>,
    freshness: RefCell<Freshness>,
    changed: Notify,
}

impl Current {
    /// The revision in force here; `None` before the first one is known.
    pub fn get(&self) -> Option<Rc<RevisionDoc>> {
        self.doc.borrow().clone()
    }

    /// The number of the revision in force; 0 before the first one is known.
    pub fn number(&self) -> Revision {
        self.doc.borrow().as_ref().map(|doc| doc.number).unwrap_or_default()
    }

    /// Puts a revision in force unless a newer one, or the same, already is.
    ///
    /// Guards against an old object or a late message: without it a withdrawn
    /// key would work again. The number alone decides, whatever the source.
    pub fn advance(&self, doc: RevisionDoc) -> bool {
        if doc.number <= self.number() {
            return false;
        }
        self.freshness.borrow_mut().raise(doc.number);
        *self.doc.borrow_mut() = Some(Rc::new(doc));
        self.changed.notify_waiters();
        true
    }

    /// Notes that nothing newer than `newest` had been accepted at `sent_at`.
    pub fn confirm(&self, newest: Revision, sent_at: Instant) {
        self.freshness.borrow_mut().confirm(newest, sent_at);
    }

    /// Whether this host may vouch for others.
    pub fn may_vote(&self) -> bool {
        self.freshness.borrow().may_vote()
    }

    /// How long ago the revision in force here was the newest for certain.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.freshness.borrow().age(now)
    }

    /// Whether this host may act on its revision.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let limit = self.get().map(|doc| doc.fresh_limit());
        limit.is_some_and(|limit| self.freshness.borrow().is_fresh(now, limit))
    }

    /// Waits for the next revision.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
