//! Who is of the fleet: hosts join, leave and are taken out by new revisions.

use anyhow::Context;
use bergamottrack_contract::Host;
use bergamottrack_coordination::HostId;
use bergamottrack_platform::chain::AppendOutcome;
use tracing::info;

use crate::fleet::{Fleet, new_submit_id};

impl Fleet {
    /// Brings this host into the roster, and takes hosts out that are gone.
    pub(crate) async fn update_roster(&self) -> anyhow::Result<()> {
        if self.leaving.get() {
            return Ok(());
        }
        if !self.is_member() {
            let me = self.me.clone();
            return self
                .change_roster(|roster| {
                    roster.retain(|host| host.id != me.id);
                    roster.push(me.clone());
                })
                .await;
        }
        let unreachable = self.unreachable.borrow().clone();
        if !unreachable.is_empty() {
            info!("fleet: taking out {unreachable:?}, silent to a majority.");
            self.change_roster(|roster| roster.retain(|host| !unreachable.contains(&host.id)))
                .await?;
        }
        Ok(())
    }

    /// Whether this host takes nothing new and leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Tells the other hosts that this one is to get nothing new.
    pub fn begin_leaving(&self) {
        self.leaving.set(true);
    }

    /// Notes which silent hosts the platform does not list any more.
    ///
    /// The list must name this host, so that an empty or partial one proves
    /// nothing; it lags, so a host that it lacks has been gone for a while.
    pub(crate) async fn update_dead(&self) -> anyhow::Result<()> {
        let mut dead = self.silent_hosts();
        if !dead.is_empty() {
            let list = self.chain.listed().await?;
            let lists = |host: &HostId| list.iter().any(|machine| *machine.id == *host.as_str());
            dead.retain(|host| lists(&self.me.id) && !lists(host));
        }
        *self.dead.borrow_mut() = dead;
        Ok(())
    }

    /// Takes this host out of the roster for good, before it stops.
    pub async fn leave(&self) -> anyhow::Result<()> {
        self.begin_leaving();
        while self.is_member() {
            self.change_roster(|roster| roster.retain(|host| host.id != self.me.id)).await?;
        }
        Ok(())
    }

    /// Moves the chain on to a revision with another roster.
    ///
    /// Losing the race to another change is no error: the caller looks again.
    async fn change_roster(&self, edit: impl Fn(&mut Vec<Host>)) -> anyhow::Result<()> {
        let before = self.refresh().await?;
        self.ensure_propagated().await?;
        let author = format!("host {}", self.me.id);
        let mut doc = self.draft(before.as_deref(), new_submit_id(), &author);
        edit(&mut doc.roster);
        if doc.roster == doc.before {
            return Ok(());
        }
        if self.chain.append(&doc).await? == AppendOutcome::Accepted {
            if doc.before.is_empty() && before.is_none() {
                self.limits.begin();
            }
            self.adopt(doc);
            self.propagate().await;
        }
        Ok(())
    }

    /// Makes sure that the revision in force here was told to majorities.
    ///
    /// No step is made from one that was not: a host two steps behind asks the
    /// roster of its own revision only, and must hear of the first step there.
    pub(crate) async fn ensure_propagated(&self) -> anyhow::Result<()> {
        let number = self.current.number();
        if self.propagated.get() >= number || self.propagate().await.propagated {
            return Ok(());
        }
        None.with_context(|| format!("no majority of the hosts can be told of revision {number}"))
    }
}
