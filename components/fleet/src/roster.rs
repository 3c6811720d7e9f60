//! Membership of the fleet: hosts join, leave and are removed by new revisions.

use anyhow::Context;
use bergamottrack_contract::Host;
use bergamottrack_coordination::HostId;
use bergamottrack_platform::chain::AppendOutcome;
use tracing::info;

use crate::fleet::{Fleet, new_submit_id};

impl Fleet {
    /// Adds this host to the roster if it is missing, otherwise removes unreachable hosts.
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
            info!("fleet: removing {unreachable:?}, which a majority cannot reach.");
            self.change_roster(|roster| roster.retain(|host| !unreachable.contains(&host.id)))
                .await?;
        }
        Ok(())
    }

    /// Returns whether this host is leaving and accepts no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Marks this host as leaving; it reports this to other hosts, which send it no new work.
    pub fn begin_leaving(&self) {
        self.leaving.set(true);
    }

    /// Determines which hosts without recent contact are no longer listed by the platform.
    ///
    /// A list without this host is ignored, since an empty or partial list proves nothing. The
    /// list lags behind, so a host that is missing from it stopped some time ago.
    pub(crate) async fn update_dead(&self) -> anyhow::Result<()> {
        let mut dead = self.hosts_without_contact();
        if !dead.is_empty() {
            let list = self.chain.listed().await?;
            let is_listed =
                |host: &HostId| list.iter().any(|machine| *machine.id == *host.as_str());
            dead.retain(|host| is_listed(&self.me.id) && !is_listed(host));
        }
        *self.dead.borrow_mut() = dead;
        Ok(())
    }

    /// Removes this host from the roster permanently, before it stops.
    pub async fn leave(&self) -> anyhow::Result<()> {
        self.begin_leaving();
        while self.is_member() {
            self.change_roster(|roster| roster.retain(|host| host.id != self.me.id)).await?;
        }
        Ok(())
    }

    /// Appends a revision with an edited roster to the chain.
    ///
    /// A conflict with another change is not an error; the caller checks again.
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

    /// Ensures that the revision in force on this host was propagated to the majorities.
    ///
    /// Only such a revision may get a successor: a host that is two revisions behind asks only the
    /// roster of its own revision, and must learn of the first successor there.
    pub(crate) async fn ensure_propagated(&self) -> anyhow::Result<()> {
        let number = self.current.number();
        if self.propagated.get() >= number || self.propagate().await.propagated {
            return Ok(());
        }
        None.with_context(|| format!("no majority of the hosts can be told of revision {number}"))
    }
}
