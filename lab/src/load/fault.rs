//! Faults that are injected at scheduled times of a run.

use std::{collections::BTreeMap, time::Duration};

use anyhow::Context;
use bergamottrack_coordination::leadership::Status;
use serde::{Deserialize, Serialize};

use crate::{
    link,
    system::{self, System},
};

/// Scheduled fault.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time of the first injection, in seconds after the start of the load.
    pub at: f64,
    /// Interval between injections, in seconds.
    #[serde(default)]
    pub every: f64,
    /// Number of injections.
    #[serde(default = "default_times")]
    pub times: u32,
    /// Action of the fault.
    pub act: Action,
    /// Target of the action: a process such as `h2` or `g1s1`, `g1.primary` for the
    /// current primary of a group, a pattern with `*` for server settings, or links
    /// such as `h1>*`.
    #[serde(default)]
    pub target: Box<str>,
    /// Parameter of the action: platform faults as JSON, a link fault as JSON, or a
    /// setting of the stand-in server such as `standin.lag_ms = 100`.
    #[serde(default)]
    pub with: Box<str>,
}

fn default_times() -> u32 {
    1
}

/// Action of a fault.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Kills the process.
    Kill,
    /// Suspends the process with `SIGSTOP`.
    Freeze,
    /// Blocks all traffic to and from the process; requires links.
    Cut,
    /// Reverts the last action on the same target.
    Heal,
    /// Sets a fault on links; without a parameter, repairs them.
    Link,
    /// Changes a setting on every server that matches `target`.
    Server,
    /// Sets faults on the platform.
    Platform,
}

impl Fault {
    /// Returns the injection times, in seconds after the start of the load.
    pub fn schedule(&self) -> impl Iterator<Item = f64> {
        (0..self.times).map(|i| self.at + f64::from(i) * self.every)
    }

    /// Returns the group whose primary is killed, suspended or cut off, if any.
    pub fn group(&self) -> Option<&str> {
        let stops_target = matches!(self.act, Action::Kill | Action::Freeze | Action::Cut);
        self.target.strip_suffix(".primary").filter(|_| stops_target)
    }
}

/// Active faults by target as written in the load: action and resolved process name.
#[derive(Debug, Default)]
pub struct ActiveFaults(BTreeMap<Box<str>, (Action, String)>);

impl ActiveFaults {
    /// Injects a fault.
    pub async fn inject(&mut self, fault: &Fault, system: &mut System) -> anyhow::Result<()> {
        match fault.act {
            Action::Link => {
                let link_fault = match &*fault.with {
                    "" => link::Fault::default(),
                    json => serde_json::from_str(json).context("parsing the link fault")?,
                };
                return system.fault(&fault.target, link_fault).await;
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

/// Returns the primary of a group with the newest term, from the statuses that its servers
/// report.
pub async fn primary(system: &System, group: &str) -> anyhow::Result<String> {
    let statuses = statuses(system, group).await.into_iter();
    let primaries = statuses.filter(|(_, status)| status.leads());
    let newest = primaries.max_by_key(|(_, status)| status.term);
    newest.map(|(name, _)| name).with_context(|| format!("{group} has no primary"))
}

/// Returns the newest term that a server of the group reports, or 0 if none answers.
pub async fn newest_term(system: &System, group: &str) -> u64 {
    let statuses = statuses(system, group).await;
    statuses.into_iter().map(|(_, status)| status.term.0).max().unwrap_or_default()
}

/// Returns the statuses of the servers of a group that answer within 500 ms.
async fn statuses(system: &System, group: &str) -> Vec<(String, Status)> {
    let mut answered = Vec::new();
    for name in system.servers.keys().filter(|name| name.starts_with(&format!("{group}s"))) {
        let status = tokio::time::timeout(Duration::from_millis(500), status(system, name)).await;
        if let Ok(Ok(status)) = status {
            answered.push((name.clone(), status));
        }
    }
    answered
}

async fn status(system: &System, name: &str) -> anyhow::Result<Status> {
    let client = system.connect_server(name).await?;
    let rows = system::rows(&client, "SHOW group_status").await?;
    Ok(rows.first().context("server returned no status")?.parse()?)
}
