//! Faults that a run causes at set times.

use std::{collections::BTreeMap, time::Duration};

use anyhow::Context;
use bergamottrack_coordination::leadership::Status;
use serde::{Deserialize, Serialize};

use crate::{
    link,
    system::{self, System},
};

/// A fault and its time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds after the load began.
    pub at: f64,
    /// Seconds from one time to the next.
    #[serde(default)]
    pub every: f64,
    /// How many times it comes.
    #[serde(default = "default_times")]
    pub times: u32,
    /// What happens.
    pub act: Action,
    /// To whom: a process such as `h2` or `g1s1`, `g1.primary` for the server
    /// that leads, names with a `*` for settings, or links such as `h1>*`.
    #[serde(default)]
    pub target: Box<str>,
    /// Its parameter: JSON of the platform's faults, the fault of a link as
    /// JSON, or a setting of the stand-in such as `standin.lag_ms = 100`.
    #[serde(default)]
    pub with: Box<str>,
}

fn default_times() -> u32 {
    1
}

/// What happens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// The process is killed.
    Kill,
    /// It stands still.
    Freeze,
    /// No byte reaches or leaves it; needs links.
    Cut,
    /// What was last done to the target is undone.
    Heal,
    /// Links get a fault; none mends them.
    Link,
    /// Every server that `target` matches gets a setting.
    Server,
    /// The platform gets faults.
    Platform,
}

impl Fault {
    /// When it comes.
    pub fn schedule(&self) -> impl Iterator<Item = f64> {
        (0..self.times).map(|i| self.at + f64::from(i) * self.every)
    }

    /// The group whose primary it strikes.
    pub fn group(&self) -> Option<&str> {
        let strikes = matches!(self.act, Action::Kill | Action::Freeze | Action::Cut);
        self.target.strip_suffix(".primary").filter(|_| strikes)
    }
}

/// What is broken at the moment, by the target that was named.
#[derive(Debug, Default)]
pub struct ActiveFaults(BTreeMap<Box<str>, (Action, String)>);

impl ActiveFaults {
    /// Causes a fault.
    pub async fn inject(&mut self, fault: &Fault, system: &mut System) -> anyhow::Result<()> {
        match fault.act {
            Action::Link => {
                let what = match &*fault.with {
                    "" => link::Fault::default(),
                    json => serde_json::from_str(json).context("the fault of a link")?,
                };
                return system.fault(&fault.target, what).await;
            }
            Action::Platform => return system.platform_faults(&fault.with).await,
            Action::Server => return set_servers(fault, system).await,
            Action::Heal => return self.heal(&fault.target, system).await,
            Action::Kill | Action::Freeze | Action::Cut => {}
        }
        let name = match fault.target.strip_suffix(".primary") {
            Some(group) => primary(system, group).await?,
            None => fault.target.to_string(),
        };
        match fault.act {
            Action::Kill => system.process(&name)?.kill(),
            Action::Freeze => system.process(&name)?.signal(libc::SIGSTOP)?,
            _ => {
                system.cut(&format!("*>{name}")).await?;
                system.cut(&format!("{name}>*")).await?;
            }
        }
        self.0.insert(fault.target.clone(), (fault.act, name));
        Ok(())
    }

    async fn heal(&mut self, target: &str, system: &mut System) -> anyhow::Result<()> {
        let Some((act, name)) = self.0.remove(target) else { return Ok(()) };
        match act {
            Action::Kill => system.process(&name)?.start(),
            Action::Freeze => system.process(&name)?.signal(libc::SIGCONT),
            _ => {
                system.mend(&format!("*>{name}")).await?;
                system.mend(&format!("{name}>*")).await
            }
        }
    }
}

async fn set_servers(fault: &Fault, system: &System) -> anyhow::Result<()> {
    let names = system.servers.keys().filter(|name| link::matches(&fault.target, name));
    for name in names {
        let client = system.connect_server(name).await?;
        client.batch_execute(&format!("SET {}", fault.with)).await?;
    }
    Ok(())
}

/// The server that leads a group, asked of the servers themselves.
pub async fn primary(system: &System, group: &str) -> anyhow::Result<String> {
    let statuses = statuses(system, group).await.into_iter();
    let leading = statuses.filter(|(_, status)| status.leads());
    let newest = leading.max_by_key(|(_, status)| status.term);
    newest.map(|(name, _)| name).with_context(|| format!("{group} has no primary"))
}

/// The newest term that a server of the group is in; 0 when none answers.
pub async fn newest_term(system: &System, group: &str) -> u64 {
    let statuses = statuses(system, group).await;
    statuses.into_iter().map(|(_, status)| status.term.0).max().unwrap_or_default()
}

/// What the servers of a group that answer say of themselves.
async fn statuses(system: &System, group: &str) -> Vec<(String, Status)> {
    let mut found = Vec::new();
    for name in system.servers.keys().filter(|name| name.starts_with(&format!("{group}s"))) {
        let status = tokio::time::timeout(Duration::from_millis(500), status(system, name)).await;
        if let Ok(Ok(status)) = status {
            found.push((name.clone(), status));
        }
    }
    found
}

async fn status(system: &System, name: &str) -> anyhow::Result<Status> {
    let client = system.connect_server(name).await?;
    let rows = system::rows(&client, "SHOW group_status").await?;
    Ok(rows.first().context("a server without a status")?.parse()?)
}
