//! Revisions: a configuration together with the roster of hosts that act on it.

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
    /// Id of the host.
    pub id: HostId,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Address for connections from other hosts.
    pub peer: SocketAddr,
}

/// A revision in the chain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RevisionDoc {
    /// Number of the revision; one more than its predecessor's.
    pub number: Revision,
    /// Submit that created the revision.
    pub submit: SubmitId,
    /// Author of the revision.
    pub author: Box<str>,
    /// Time of creation in seconds since 1970; for display only.
    pub at: u64,
    /// Configuration; `None` before the first submit.
    pub config: Option<Config>,
    /// Revision that introduced the configuration; later ones changed only the roster.
    pub config_revision: Revision,
    /// Hosts that act on the revision, without duplicates.
    pub roster: Vec<Host>,
    /// Roster of the preceding revision.
    pub before: Vec<Host>,
}

impl RevisionDoc {
    /// Returns the host with the given id, if it is in the roster.
    pub fn host(&self, id: &HostId) -> Option<&Host> {
        self.roster.iter().find(|h| h.id == *id)
    }

    /// Returns the maximum age of the last freshness proof with which a host may act on the
    /// revision: `fresh_ms` of its policy, or the default before the first configuration.
    pub fn fresh_limit(&self) -> Duration {
        let policy = self.config.as_ref().map(|config| config.policy.fresh_ms);
        Duration::from_millis(policy.unwrap_or(Policy::default().fresh_ms))
    }
}

/// The revision on which this host acts; its number never decreases.
#[derive(Debug, Default)]
pub struct Current {
    doc: RefCell<Option<Rc<RevisionDoc>>>,
    freshness: RefCell<Freshness>,
    changed: Notify,
}

impl Current {
    /// Returns the revision in force on this host; `None` before the first one is known.
    pub fn get(&self) -> Option<Rc<RevisionDoc>> {
        self.doc.borrow().clone()
    }

    /// Returns the number of the revision in force; 0 before the first one is known.
    pub fn number(&self) -> Revision {
        self.doc.borrow().as_ref().map(|doc| doc.number).unwrap_or_default()
    }

    /// Puts a revision into force unless it or a newer one already is; returns whether it did.
    ///
    /// Guards against a withdrawn key that becomes valid again because an older revision is read
    /// from the store or arrives in a delayed message. Only the number is compared, regardless of
    /// the source.
    pub fn advance(&self, doc: RevisionDoc) -> bool {
        if doc.number <= self.number() {
            return false;
        }
        self.freshness.borrow_mut().raise(doc.number);
        *self.doc.borrow_mut() = Some(Rc::new(doc));
        self.changed.notify_waiters();
        true
    }

    /// Records a proof that no revision newer than `newest` had been accepted at `sent_at`. Has no
    /// effect while `newest` is newer than the revision in force on this host.
    pub fn confirm(&self, newest: Revision, sent_at: Instant) {
        self.freshness.borrow_mut().confirm(newest, sent_at);
    }

    /// Returns whether this host's vote counts in freshness rounds, which requires a proof recorded
    /// since the start of the process.
    pub fn may_vote(&self) -> bool {
        self.freshness.borrow().may_vote()
    }

    /// Returns the time since the revision in force was last proven to be the newest; `None`
    /// before the first proof since the start of the process.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.freshness.borrow().age(now)
    }

    /// Returns whether this host may act on its revision: the last proof is more recent than
    /// [`RevisionDoc::fresh_limit`]. False before the first revision or proof.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let limit = self.get().map(|doc| doc.fresh_limit());
        limit.is_some_and(|limit| self.freshness.borrow().is_fresh(now, limit))
    }

    /// Waits until the next revision is in force. Changes before the first poll are missed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
