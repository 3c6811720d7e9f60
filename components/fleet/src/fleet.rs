//! Keeps this host's revision up to date and proves that it is the newest.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant, UNIX_EPOCH},
};

use bergamottrack_contract::{Config, Current, Host, RevisionDoc};
use bergamottrack_coordination::{Clock, HostId, Revision, SubmitId, freshness::FreshnessVote};
use bergamottrack_metrics::Metrics;
use bergamottrack_peer::{Answer, Mesh, Question, message::Hello};
use bergamottrack_platform::{Chain, chain};
use tracing::{debug, info, warn};

use crate::{
    condition::{Condition, Transition},
    limits::Limits,
};

/// Interval at which the head of the chain is read from the table service.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before the next read while this host is not in the roster.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// State of the fleet as seen by this host.
pub struct Fleet {
    /// This host.
    pub me: Host,
    /// Revision in force on this host.
    pub current: Rc<Current>,
    /// Links to the other hosts.
    pub mesh: Rc<Mesh>,
    /// Rate limits of all accounts.
    pub limits: Rc<Limits>,
    pub(crate) chain: Chain,
    pub(crate) clock: Rc<dyn Clock>,
    /// Newest revision known to have been propagated to the majorities.
    pub(crate) propagated: Cell<Revision>,
    /// Newest revision known to be marked as propagated in the table service.
    pub(crate) marked: Cell<Revision>,
    /// Last contact with each other host of both rosters; before the first contact, the time at
    /// which it was first expected.
    pub(crate) last_contact: RefCell<HashMap<HostId, Instant>>,
    /// Hosts without recent contact that the platform no longer lists.
    pub(crate) dead: RefCell<Vec<HostId>>,
    /// Hosts without recent contact to a majority of the roster; they are removed from it.
    pub(crate) unreachable: RefCell<Vec<HostId>>,
    /// Whether this host is leaving the roster permanently.
    pub(crate) leaving: Cell<bool>,
}

impl Fleet {
    /// Creates the state of a host that has no revision yet.
    pub fn new(
        me: Host,
        current: Rc<Current>,
        mesh: Rc<Mesh>,
        chain: Chain,
        clock: Rc<dyn Clock>,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let limits = Limits::new(current.clone(), mesh.clone(), clock.clone(), metrics);
        Rc::new(Self {
            me,
            limits,
            current,
            mesh,
            chain,
            clock,
            propagated: Cell::default(),
            marked: Cell::default(),
            last_contact: RefCell::default(),
            dead: RefCell::default(),
            unreachable: RefCell::default(),
            leaving: Cell::default(),
        })
    }

    /// Polls the chain until the process ends.
    ///
    /// The platform and the peers are polled in separate tasks, so that a slow platform does not
    /// delay the answers of peers, nor a frozen peer those of the platform.
    pub async fn run(self: Rc<Self>) {
        monoio::spawn(self.clone().run_rounds());
        monoio::spawn(self.clone().log_freshness());
        let outage = Condition::default();
        loop {
            let result = self.poll_chain().await;
            let transition = outage.update(result.is_err(), self.clock.now());
            match (transition, result) {
                (Transition::Started, Err(error)) => warn!(
                    "fleet: the platform cannot be used; changes are refused, and callers are \
                     still served: {error:#}."
                ),
                (Transition::Ended(duration), _) => {
                    info!("fleet: the platform can be used again after {} s.", duration.as_secs())
                }
                (_, Err(error)) => debug!("fleet: the platform cannot be used: {error:#}."),
                _ => {}
            }
            let pause = if self.is_member() { POLL_INTERVAL } else { JOIN_RETRY_DELAY };
            monoio::time::sleep(pause).await;
        }
    }

    async fn poll_chain(&self) -> anyhow::Result<()> {
        self.refresh().await?;
        self.update_dead().await?;
        self.update_roster().await?;
        self.sync_propagated().await
    }

    /// Reads the head of the chain and puts a newer revision into force on this host; returns the
    /// revision in force.
    ///
    /// Guards against an outdated row: a head older than this host's revision proves nothing and
    /// must not count as a proof of freshness.
    pub async fn refresh(&self) -> anyhow::Result<Option<Rc<RevisionDoc>>> {
        let sent_at = self.clock.now();
        let head = self.chain.head().await?;
        let number = head.as_ref().map(|head| head.number).unwrap_or_default();
        if number < self.current.number() {
            anyhow::bail!(
                "the table service showed revision {number} after {}",
                self.current.number()
            );
        }
        if let Some(head) = head
            && head.number > self.current.number()
        {
            self.adopt(self.chain.load(&head).await?);
        }
        self.current.confirm(number, sent_at);
        Ok(self.current.get())
    }

    /// Puts a revision into force on this host, unless it or a newer one already is.
    pub fn adopt(&self, doc: RevisionDoc) {
        let number = doc.number;
        if !self.current.advance(doc) {
            return;
        }
        info!("fleet: revision {number} is in force on this host.");
        if let Some(doc) = self.current.get() {
            self.mesh.set_roster(&doc.roster, &doc.before);
            self.limits.advance(&doc);
        }
    }

    /// Answers a peer's request; `None` if it does not concern the fleet.
    pub fn answer(&self, peer: &Hello, question: Question) -> Option<Answer> {
        Some(match question {
            Question::Ping | Question::Clock if self.leaving.get() => Answer::Draining,
            Question::Ping | Question::Clock => Answer::Pong,
            Question::Freshness => Answer::Freshness(self.vote()),
            Question::Revision => {
                Answer::Revision(self.current.get().map(|doc| Box::new((*doc).clone())))
            }
            Question::Adopt(doc) => {
                self.adopt(*doc);
                Answer::Adopted(self.current.number())
            }
            Question::Lend(lend) => self.limits.lend(&peer.host, &lend),
            Question::Cancel { .. } | Question::Outcome(_) | Question::Report => return None,
            Question::ApplyLeadership { .. }
            | Question::Heartbeat(_)
            | Question::Updates(_)
            | Question::Piece(_)
            | Question::Forward(_)
            | Question::CancelTransaction(_)
            | Question::LastContact(_)
            | Question::Register(_)
            | Question::TakeToken { .. } => {
                return None;
            }
        })
    }

    pub(crate) fn vote(&self) -> FreshnessVote {
        FreshnessVote {
            known: self.current.number(),
            confirmed: self.current.may_vote(),
            propagated: self.propagated.get(),
            unreachable: self.hosts_without_contact(),
        }
    }

    /// Returns whether the roster contains this host with its present address.
    pub fn is_member(&self) -> bool {
        self.current.get().is_some_and(|doc| doc.roster.contains(&self.me))
    }

    /// Returns the history entries of the last `n` revisions, newest first.
    pub async fn history(&self, n: usize) -> anyhow::Result<Vec<chain::Entry>> {
        let mut number = self.chain.head().await?.map(|head| head.number).unwrap_or_default();
        let mut entries = Vec::new();
        while number > Revision::default() && entries.len() < n {
            entries.extend(self.chain.entry(number).await?);
            number = Revision(number.0 - 1);
        }
        Ok(entries)
    }

    /// Loads the revision with the given number; `None` if there is none.
    pub async fn load(&self, number: Revision) -> anyhow::Result<Option<RevisionDoc>> {
        let Some(entry) = self.chain.entry(number).await? else { return Ok(None) };
        let head = chain::Head { number, object: entry.object };
        self.chain.load(&head).await.map(Some)
    }

    /// Returns the successor of `before` with the same configuration and roster.
    pub(crate) fn draft(
        &self,
        before: Option<&RevisionDoc>,
        submit: SubmitId,
        author: &str,
    ) -> RevisionDoc {
        let wall = self.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let roster = before.map(|doc| doc.roster.clone()).unwrap_or_default();
        RevisionDoc {
            number: before.map(|doc| doc.number).unwrap_or_default().next(),
            submit,
            author: author.into(),
            at: wall.as_secs(),
            config: before.and_then(|doc| doc.config.clone()),
            config_revision: before.map(|doc| doc.config_revision).unwrap_or_default(),
            before: roster.clone(),
            roster,
        }
    }

    /// Returns the successor of `before` with a new configuration.
    pub(crate) fn draft_config(
        &self,
        before: Option<&RevisionDoc>,
        submit: SubmitId,
        author: &str,
        config: Config,
    ) -> RevisionDoc {
        let mut doc = self.draft(before, submit, author);
        doc.config = Some(config);
        doc.config_revision = doc.number;
        doc
    }
}

/// Returns a random submit id.
pub fn new_submit_id() -> SubmitId {
    format!("{:016x}", rand::random::<u64>()).parse().expect("hexadecimal digits form a valid id")
}
