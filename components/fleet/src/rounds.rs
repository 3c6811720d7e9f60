//! Polls the other hosts for newer revisions and propagates the revision of this host.
//!
//! Each host polls each other host once per second: a request of 17 bytes and an answer of 58,
//! before framing. This is designed for some tens of hosts; with 1,800 it would be 135 KB per
//! second and host. At that size the roster would name a panel of about 20 hosts over all failure
//! domains, whose majority votes and receives revisions. The other hosts would form a tree below
//! the panel. Each would adopt the freshness proof of its parent, dated to the time of the request
//! minus the age of the proof at the parent. With a fan-out of 16 a host would send one request
//! and 16 answers per second, about 1 KB. The proof and its validity would stay the same; only the
//! polled hosts would change.

use std::{rc::Rc, time::Duration};

use bergamottrack_contract::RevisionDoc;
use bergamottrack_coordination::{
    HostId, Revision,
    freshness::{self, FreshnessVote, Tally},
};
use bergamottrack_peer::{Answer, Question};
use futures_util::future;
use tracing::{debug, info, warn};

use crate::fleet::Fleet;

/// Interval at which the other hosts are polled.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before the next round while freshness is not proven or propagation is not complete.
const ROUND_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout of a request to another host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an unsuccessful round ends the propagation of a revision.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without contact after which this host reports another one as unreachable. A host that a
/// majority of the roster reports may be removed from it.
///
/// Far longer than a restart or a stall: the removal of a host moves its share of the rates to
/// others, and after its return the host must wait for its share.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);

impl Fleet {
    /// Polls the other hosts until the process ends.
    pub(crate) async fn run_rounds(self: Rc<Self>) {
        loop {
            let tally = self.run_round().await;
            let complete = tally.is_some_and(|tally| tally.newest && tally.propagated);
            monoio::time::sleep(if complete { ROUND_INTERVAL } else { ROUND_RETRY_DELAY }).await;
        }
    }

    /// Polls all hosts of the roster and of the previous roster once and evaluates their votes.
    ///
    /// Returns `None` before the first revision is known.
    pub(crate) async fn run_round(&self) -> Option<Tally> {
        let doc = self.current.get()?;
        let sent_at = self.clock.now();
        let others = voters(&doc).into_iter().filter(|host| *host != self.me.id);
        let votes = others.map(|host| self.request_vote(host, &doc));
        let answers = future::join_all(votes).await;
        let mut answers: Vec<(HostId, FreshnessVote)> = answers.into_iter().flatten().collect();
        self.record_contacts(&doc, &answers);
        let dead = self.dead.borrow().clone();
        answers.push((self.me.id.clone(), FreshnessVote { known: doc.number, ..self.vote() }));
        let tally = freshness::tally(
            doc.number,
            &host_ids(&doc.roster),
            &host_ids(&doc.before),
            &dead,
            &answers,
        );
        if tally.newest {
            self.current.confirm(doc.number, sent_at);
        }
        self.record_propagation(&doc, &tally, &answers);
        self.update_unreachable(&doc, &answers);
        if let Some((host, number)) = &tally.newer {
            self.fetch_revision(host, *number).await;
        }
        Some(tally)
    }

    /// Requests the vote of one host, and sends `doc` to the host if its revision is older.
    ///
    /// Returns `None` if the host cannot be reached or does not answer within [`ANSWER_TIMEOUT`].
    async fn request_vote(
        &self,
        host: HostId,
        doc: &RevisionDoc,
    ) -> Option<(HostId, FreshnessVote)> {
        let link = self.mesh.link(&host)?;
        let Ok(Answer::Freshness(mut vote)) = link.query(Question::Freshness, ANSWER_TIMEOUT).await
        else {
            return None;
        };
        if vote.known < doc.number {
            let adopt = Question::Adopt(Box::new(doc.clone()));
            if let Ok(Answer::Adopted(number)) = link.query(adopt, ANSWER_TIMEOUT).await {
                vote.known = number;
            }
        }
        Some((host, vote))
    }

    async fn fetch_revision(&self, host: &HostId, number: Revision) {
        let Some(link) = self.mesh.link(host) else { return };
        match link.query(Question::Revision, ANSWER_TIMEOUT).await {
            Ok(Answer::Revision(Some(doc))) => self.adopt(*doc),
            Ok(_) => {}
            Err(error) => debug!("fleet: revision {number} could not be fetched: {error:#}."),
        }
    }

    fn record_propagation(
        &self,
        doc: &RevisionDoc,
        tally: &Tally,
        answers: &[(HostId, FreshnessVote)],
    ) {
        let others = answers.iter().map(|(_, vote)| vote.propagated).max().unwrap_or_default();
        let own = if tally.propagated { doc.number } else { Revision::default() };
        self.raise_propagated(others.max(own));
    }

    fn raise_propagated(&self, propagated: Revision) {
        if propagated > self.propagated.get() {
            self.propagated.set(propagated);
            info!("fleet: revision {propagated} was propagated to majorities of both rosters.");
        }
        self.limits.propagated(self.propagated.get());
    }

    /// Marks the newest propagated revision in the table service, or reads the mark from there
    /// while this host's revision is not known to be propagated.
    pub(crate) async fn sync_propagated(&self) -> anyhow::Result<()> {
        let propagated = self.propagated.get();
        if propagated < self.current.number() {
            let marked = self.chain.propagated().await?;
            self.marked.set(marked.max(self.marked.get()));
            self.raise_propagated(marked);
        } else if self.marked.get() < propagated {
            self.chain.mark_propagated(propagated).await?;
            self.marked.set(propagated);
        }
        Ok(())
    }

    fn record_contacts(&self, doc: &RevisionDoc, answers: &[(HostId, FreshnessVote)]) {
        let now = self.clock.now();
        let mut last_contact = self.last_contact.borrow_mut();
        let others: Vec<_> = voters(doc).into_iter().filter(|id| *id != self.me.id).collect();
        last_contact.retain(|id, _| others.contains(id));
        for id in others {
            last_contact.entry(id).or_insert(now);
        }
        for (id, _) in answers {
            if let Some(at) = last_contact.get_mut(id) {
                *at = now;
            }
        }
    }

    /// Returns the hosts of both rosters with which this host had no contact for
    /// [`REMOVAL_TIMEOUT`] or longer.
    pub(crate) fn hosts_without_contact(&self) -> Vec<HostId> {
        let now = self.clock.now();
        let last_contact = self.last_contact.borrow();
        let silent = last_contact.iter().filter(|(_, at)| now >= **at + REMOVAL_TIMEOUT);
        silent.map(|(id, _)| id.clone()).collect()
    }

    /// Determines the hosts of the roster that a majority of its hosts reports as unreachable,
    /// not counting dead hosts. A broken link between only two hosts thus removes neither of them.
    fn update_unreachable(&self, doc: &RevisionDoc, answers: &[(HostId, FreshnessVote)]) {
        let roster = host_ids(&doc.roster);
        let alive = freshness::alive(&roster, &self.dead.borrow(), answers);
        let cannot_reach = |host: &HostId, by: &HostId| {
            answers.iter().any(|(id, vote)| id == by && vote.unreachable.contains(host))
        };
        let unreachable = roster
            .iter()
            .filter(|host| freshness::has_majority(&alive, |by| cannot_reach(host, by)));
        *self.unreachable.borrow_mut() = unreachable.cloned().collect();
    }

    /// Sends the revision in force on this host to all hosts until a majority of its roster and one
    /// of the previous roster have it, or until a round fails after
    /// [`PROPAGATION_TIMEOUT`].
    ///
    /// Returns the tally of the last round, with `propagated` set if both majorities have it.
    pub(crate) async fn propagate(&self) -> Tally {
        let deadline = self.clock.now() + PROPAGATION_TIMEOUT;
        loop {
            let tally = self.run_round().await.unwrap_or_default();
            let number = self.current.number();
            if self.propagated.get() >= number {
                return Tally { propagated: true, ..tally };
            }
            if self.clock.now() >= deadline {
                warn!(
                    "fleet: revision {number} could not be propagated to majorities of both rosters."
                );
                return tally;
            }
            monoio::time::sleep(ROUND_RETRY_DELAY).await;
        }
    }
}

/// Returns the hosts whose votes count for a revision: the members of its roster and of the
/// previous one, without duplicates.
fn voters(doc: &RevisionDoc) -> Vec<HostId> {
    let mut ids = host_ids(&doc.roster);
    let before = doc.before.iter().filter(|host| doc.host(&host.id).is_none());
    ids.extend(before.map(|host| host.id.clone()));
    ids
}

pub(crate) fn host_ids(hosts: &[bergamottrack_contract::Host]) -> Vec<HostId> {
    hosts.iter().map(|host| host.id.clone()).collect()
}
