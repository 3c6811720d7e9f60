//! Asks the other hosts whether a newer revision is known, and tells them this one.
//!
//! Each host asks each other host once a second: a question of 17 bytes and an
//! answer of 58, before framing. That is meant for some tens of hosts; with 1,800
//! it would be 135 KB a second and host. There the roster would name a panel of
//! some 20 hosts over all failure domains, who vouch by majority and are told;
//! the others would stand below them in a tree and take over their parent's proof
//! with its age (asked, less the parent's age). At a fan-out of 16 a host then
//! sends one question and 16 answers a second, about 1 KB. What is shown and how
//! long it lasts stays as it is; only whom a host asks would change.

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

/// How often the other hosts are asked.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// How soon they are asked again while something is not settled.
const ROUND_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a host may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the telling of a revision is tried before it is given up.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a host must have been silent to be taken out of the roster.
///
/// Far above a restart or a stall: taking a host out moves its share of the
/// rates to others, and it must wait for its share when it comes back.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);

impl Fleet {
    pub(crate) async fn run_rounds(self: Rc<Self>) {
        loop {
            let tally = self.run_round().await;
            let settled = tally.is_some_and(|tally| tally.newest && tally.propagated);
            monoio::time::sleep(if settled { ROUND_INTERVAL } else { ROUND_RETRY_DELAY }).await;
        }
    }

    /// Asks all hosts of the roster, and of the one before, once.
    ///
    /// `None` before any revision is known.
    pub(crate) async fn run_round(&self) -> Option<Tally> {
        let doc = self.current.get()?;
        let asked = self.clock.now();
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
            self.current.show(doc.number, asked);
        }
        self.record_propagation(&doc, &tally, &answers);
        self.update_unreachable(&doc, &answers);
        if let Some((host, number)) = &tally.newer {
            self.fetch_revision(host, *number).await;
        }
        Some(tally)
    }

    /// Asks one host; one that is behind is told the revision.
    async fn request_vote(
        &self,
        host: HostId,
        doc: &RevisionDoc,
    ) -> Option<(HostId, FreshnessVote)> {
        let link = self.mesh.link(&host)?;
        let Ok(Answer::Vouch(mut vote)) = link.ask(Question::Vouch, ANSWER_TIMEOUT).await else {
            return None;
        };
        if vote.known < doc.number {
            let adopt = Question::Adopt(Box::new(doc.clone()));
            if let Ok(Answer::Adopted(number)) = link.ask(adopt, ANSWER_TIMEOUT).await {
                vote.known = number;
            }
        }
        Some((host, vote))
    }

    async fn fetch_revision(&self, host: &HostId, number: Revision) {
        let Some(link) = self.mesh.link(host) else { return };
        match link.ask(Question::Revision, ANSWER_TIMEOUT).await {
            Ok(Answer::Revision(Some(doc))) => self.adopt(*doc),
            Ok(_) => {}
            Err(error) => debug!("fleet: revision {number} was not fetched: {error:#}."),
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
            info!("fleet: revision {propagated} is known to a majority.");
        }
        self.limits.propagated(self.propagated.get());
    }

    /// Marks what was told in the table service, or learns it from there.
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

    /// Hosts of the roster that this host has not heard for long.
    pub(crate) fn silent_hosts(&self) -> Vec<HostId> {
        let now = self.clock.now();
        let last_contact = self.last_contact.borrow();
        let silent = last_contact.iter().filter(|(_, at)| now >= **at + REMOVAL_TIMEOUT);
        silent.map(|(id, _)| id.clone()).collect()
    }

    /// A host is gone when a majority of the roster has not heard it for long:
    /// a link that is broken between two hosts only takes out neither.
    fn update_unreachable(&self, doc: &RevisionDoc, answers: &[(HostId, FreshnessVote)]) {
        let dead = self.dead.borrow();
        let roster = host_ids(&doc.roster);
        let alive: Vec<_> = roster.iter().filter(|host| !dead.contains(host)).cloned().collect();
        let misses = |host: &HostId, by: &HostId| {
            answers.iter().any(|(id, vote)| id == by && vote.unreachable.contains(host))
        };
        let unreachable =
            roster.iter().filter(|host| freshness::has_majority(&alive, |by| misses(host, by)));
        *self.unreachable.borrow_mut() = unreachable.cloned().collect();
    }

    /// Tells all hosts the revision in force here until majorities have it.
    ///
    /// The tally of the last round; its `propagated` says whether that was reached.
    pub(crate) async fn propagate(&self) -> Tally {
        let until = self.clock.now() + PROPAGATION_TIMEOUT;
        loop {
            let tally = self.run_round().await.unwrap_or_default();
            let number = self.current.number();
            if self.propagated.get() >= number {
                return Tally { propagated: true, ..tally };
            }
            if self.clock.now() >= until {
                warn!("fleet: revision {number} could not be told to a majority.");
                return tally;
            }
            monoio::time::sleep(ROUND_RETRY_DELAY).await;
        }
    }
}

/// The hosts whose word counts for a revision.
fn voters(doc: &RevisionDoc) -> Vec<HostId> {
    let mut ids = host_ids(&doc.roster);
    let before = doc.before.iter().filter(|host| doc.host(&host.id).is_none());
    ids.extend(before.map(|host| host.id.clone()));
    ids
}

pub(crate) fn host_ids(hosts: &[bergamottrack_contract::Host]) -> Vec<HostId> {
    hosts.iter().map(|host| host.id.clone()).collect()
}
