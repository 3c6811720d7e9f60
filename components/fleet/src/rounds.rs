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
const ROUND_EVERY: Duration = Duration::from_secs(1);

/// How soon they are asked again while something is not settled.
const ROUND_AGAIN: Duration = Duration::from_millis(100);

/// How long a host may take to answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);

/// How long the telling of a revision is tried before it is given up.
const TELL_WITHIN: Duration = Duration::from_secs(3);

/// How long a host must have been silent to be taken out of the roster.
///
/// Far above a restart or a stall: taking a host out moves its share of the
/// rates to others, and it must wait for its share when it comes back.
const GONE_AFTER: Duration = Duration::from_secs(30);

impl Fleet {
    pub(crate) async fn run_rounds(self: Rc<Self>) {
        loop {
            let tally = self.round().await;
            let settled = tally.is_some_and(|tally| tally.newest && tally.propagated);
            monoio::time::sleep(if settled { ROUND_EVERY } else { ROUND_AGAIN }).await;
        }
    }

    /// Asks all hosts of the roster, and of the one before, once.
    ///
    /// `None` before any revision is known.
    pub(crate) async fn round(&self) -> Option<Tally> {
        let doc = self.current.get()?;
        let asked = self.clock.now();
        let others = voters(&doc).into_iter().filter(|host| *host != self.me.id);
        let questions = others.map(|host| self.question(host, &doc));
        let answers = future::join_all(questions).await;
        let mut answers: Vec<(HostId, FreshnessVote)> = answers.into_iter().flatten().collect();
        self.note_heard(&doc, &answers);
        let dead = self.dead.borrow().clone();
        answers.push((self.me.id.clone(), FreshnessVote { known: doc.number, ..self.vouch() }));
        let tally =
            freshness::tally(doc.number, &ids(&doc.roster), &ids(&doc.before), &dead, &answers);
        if tally.newest {
            self.current.show(doc.number, asked);
        }
        self.note_told(&doc, &tally, &answers);
        self.note_gone(&doc, &answers);
        if let Some((host, number)) = &tally.newer {
            self.fetch(host, *number).await;
        }
        Some(tally)
    }

    /// Asks one host; one that is behind is told the revision.
    async fn question(&self, host: HostId, doc: &RevisionDoc) -> Option<(HostId, FreshnessVote)> {
        let link = self.mesh.link(&host)?;
        let Ok(Answer::Freshness(mut vouch)) = link.query(Question::Freshness, ANSWER_WITHIN).await
        else {
            return None;
        };
        if vouch.known < doc.number {
            let adopt = Question::Adopt(Box::new(doc.clone()));
            if let Ok(Answer::Adopted(number)) = link.query(adopt, ANSWER_WITHIN).await {
                vouch.known = number;
            }
        }
        Some((host, vouch))
    }

    async fn fetch(&self, host: &HostId, number: Revision) {
        let Some(link) = self.mesh.link(host) else { return };
        match link.query(Question::Revision, ANSWER_WITHIN).await {
            Ok(Answer::Revision(Some(doc))) => self.adopt(*doc),
            Ok(_) => {}
            Err(error) => debug!("fleet: revision {number} was not fetched: {error:#}."),
        }
    }

    fn note_told(&self, doc: &RevisionDoc, tally: &Tally, answers: &[(HostId, FreshnessVote)]) {
        let others = answers.iter().map(|(_, vouch)| vouch.propagated).max().unwrap_or_default();
        let own = if tally.propagated { doc.number } else { Revision::default() };
        self.learn_told(others.max(own));
    }

    fn learn_told(&self, told: Revision) {
        if told > self.told.get() {
            self.told.set(told);
            info!("fleet: revision {told} is known to a majority.");
        }
        self.limits.told(self.told.get());
    }

    /// Marks what was told in the table service, or learns it from there.
    pub(crate) async fn keep_told(&self) -> anyhow::Result<()> {
        let told = self.told.get();
        if told < self.current.number() {
            let marked = self.chain.propagated().await?;
            self.marked.set(marked.max(self.marked.get()));
            self.learn_told(marked);
        } else if self.marked.get() < told {
            self.chain.mark_propagated(told).await?;
            self.marked.set(told);
        }
        Ok(())
    }

    fn note_heard(&self, doc: &RevisionDoc, answers: &[(HostId, FreshnessVote)]) {
        let now = self.clock.now();
        let mut heard = self.heard.borrow_mut();
        let others: Vec<_> = voters(doc).into_iter().filter(|id| *id != self.me.id).collect();
        heard.retain(|id, _| others.contains(id));
        for id in others {
            heard.entry(id).or_insert(now);
        }
        for (id, _) in answers {
            if let Some(at) = heard.get_mut(id) {
                *at = now;
            }
        }
    }

    /// Hosts of the roster that this host has not heard for long.
    pub(crate) fn silent(&self) -> Vec<HostId> {
        let now = self.clock.now();
        let heard = self.heard.borrow();
        let silent = heard.iter().filter(|(_, at)| now >= **at + GONE_AFTER);
        silent.map(|(id, _)| id.clone()).collect()
    }

    /// A host is gone when a majority of the roster has not heard it for long:
    /// a link that is broken between two hosts only takes out neither.
    fn note_gone(&self, doc: &RevisionDoc, answers: &[(HostId, FreshnessVote)]) {
        let dead = self.dead.borrow();
        let roster = ids(&doc.roster);
        let alive: Vec<_> = roster.iter().filter(|host| !dead.contains(host)).cloned().collect();
        let misses = |host: &HostId, by: &HostId| {
            answers.iter().any(|(id, vouch)| id == by && vouch.unreachable.contains(host))
        };
        let gone =
            roster.iter().filter(|host| freshness::has_majority(&alive, |by| misses(host, by)));
        *self.gone.borrow_mut() = gone.cloned().collect();
    }

    /// Tells all hosts the revision in force here until majorities have it.
    ///
    /// The tally of the last round; its `told` says whether that was reached.
    pub(crate) async fn tell(&self) -> Tally {
        let until = self.clock.now() + TELL_WITHIN;
        loop {
            let tally = self.round().await.unwrap_or_default();
            let number = self.current.number();
            if self.told.get() >= number {
                return Tally { propagated: true, ..tally };
            }
            if self.clock.now() >= until {
                warn!("fleet: revision {number} could not be told to a majority.");
                return tally;
            }
            monoio::time::sleep(ROUND_AGAIN).await;
        }
    }
}

/// The hosts whose word counts for a revision.
fn voters(doc: &RevisionDoc) -> Vec<HostId> {
    let mut ids = ids(&doc.roster);
    let before = doc.before.iter().filter(|host| doc.host(&host.id).is_none());
    ids.extend(before.map(|host| host.id.clone()));
    ids
}

pub(crate) fn ids(hosts: &[bergamottrack_contract::Host]) -> Vec<HostId> {
    hosts.iter().map(|host| host.id.clone()).collect()
}
