//! Keeps this host's revision up to date and this host in the roster.

use std::{
    rc::Rc,
    time::{Duration, UNIX_EPOCH},
};

use bergamottrack_contract::{Current, Host, RevisionDoc};
use bergamottrack_coordination::{Clock, SubmitId};
use bergamottrack_peer::Mesh;
use bergamottrack_platform::{Chain, chain::Appended};
use tracing::{info, warn};

/// How often the table service is asked for the newest revision.
const POLL_EVERY: Duration = Duration::from_secs(1);

/// What a host knows of the fleet.
pub struct Fleet {
    /// This host.
    pub me: Host,
    /// The revision in force here.
    pub current: Rc<Current>,
    /// Links to the other hosts.
    pub mesh: Rc<Mesh>,
    pub(crate) chain: Chain,
    pub(crate) clock: Rc<dyn Clock>,
}

impl Fleet {
    /// A host that knows nothing yet.
    pub fn new(
        me: Host,
        current: Rc<Current>,
        mesh: Rc<Mesh>,
        chain: Chain,
        clock: Rc<dyn Clock>,
    ) -> Rc<Self> {
        Rc::new(Self { me, current, mesh, chain, clock })
    }

    /// Follows the chain until the process ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            if let Err(error) = self.follow().await {
                warn!("fleet: the platform cannot be used: {error:#}.");
            }
            monoio::time::sleep(POLL_EVERY).await;
        }
    }

    async fn follow(&self) -> anyhow::Result<()> {
        if let Some(head) = self.chain.head().await?
            && head.number > self.current.number()
        {
            self.adopt(self.chain.load(&head).await?);
        }
        let doc = self.current.get();
        if !doc.as_ref().is_some_and(|doc| doc.roster.contains(&self.me)) {
            self.join(doc.as_deref()).await?;
        }
        Ok(())
    }

    /// Puts a revision in force here, unless a newer one is.
    pub fn adopt(&self, doc: RevisionDoc) {
        let number = doc.number;
        let roster = doc.roster.clone();
        if self.current.advance(doc) {
            info!("fleet: revision {number} is in force here.");
            self.mesh.set_roster(&roster);
        }
    }

    async fn join(&self, before: Option<&RevisionDoc>) -> anyhow::Result<()> {
        let mut roster = before.map(|doc| doc.roster.clone()).unwrap_or_default();
        roster.retain(|host| host.id != self.me.id);
        roster.push(self.me.clone());
        let config = before.and_then(|doc| doc.config.clone());
        let author = format!("host {}", self.me.id);
        let doc = RevisionDoc { roster, ..self.draft(before, new_submit(), &author, config) };
        if self.chain.append(&doc).await? == Appended::Yes {
            self.adopt(doc);
        }
        Ok(())
    }

    pub(crate) fn draft(
        &self,
        before: Option<&RevisionDoc>,
        submit: SubmitId,
        author: &str,
        config: Option<bergamottrack_contract::Config>,
    ) -> RevisionDoc {
        let wall = self.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        RevisionDoc {
            number: before.map(|doc| doc.number).unwrap_or_default().next(),
            submit,
            author: author.into(),
            at: wall.as_secs(),
            config,
            roster: before.map(|doc| doc.roster.clone()).unwrap_or_default(),
        }
    }
}

/// A fresh submit id.
pub fn new_submit() -> SubmitId {
    format!("{:016x}", rand::random::<u64>()).parse().expect("hexadecimal digits are a name")
}
