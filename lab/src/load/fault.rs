//! Faults that a run causes at set times.

use std::time::Duration;

use anyhow::Context;
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
    /// What happens.
    pub act: Act,
    /// To whom: a process such as `h2` or `g1s1`, `g1.primary` for the server
    /// that leads, or links such as `h1>*`.
    #[serde(default)]
    pub target: Box<str>,
    /// Its parameter: JSON of the platform's faults, the fault of a link as
    /// JSON, or a setting of the stand-in such as `standin.lag_ms = 100`.
    #[serde(default)]
    pub with: Box<str>,
}

/// What happens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Act {
    /// The process is killed.
    Kill,
    /// It is started again.
    Start,
    /// It stands still.
    Freeze,
    /// It goes on.
    Thaw,
    /// Links get a fault; none mends them.
    Link,
    /// Every server that `target` matches gets a setting.
    Server,
    /// The platform gets faults.
    Platform,
}

impl Fault {
    /// Causes the fault.
    pub async fn cause(&self, system: &mut System) -> anyhow::Result<()> {
        match self.act {
            Act::Link => {
                let fault = match &*self.with {
                    "" => link::Fault::default(),
                    json => serde_json::from_str(json).context("the fault of a link")?,
                };
                return system.fault(&self.target, fault).await;
            }
            Act::Platform => return system.platform_faults(&self.with).await,
            Act::Server => return self.set_servers(system).await,
            _ => {}
        }
        let name = match self.target.strip_suffix(".primary") {
            Some(group) => primary(system, group).await?,
            None => self.target.to_string(),
        };
        let process = system.process(&name)?;
        match self.act {
            Act::Kill => process.kill(),
            Act::Start => process.start()?,
            Act::Freeze => process.signal(libc::SIGSTOP)?,
            _ => process.signal(libc::SIGCONT)?,
        }
        Ok(())
    }

    async fn set_servers(&self, system: &System) -> anyhow::Result<()> {
        let names = system.servers.keys().filter(|name| link::matches(&self.target, name));
        for name in names {
            let client = system.connect_server(name).await?;
            client.batch_execute(&format!("SET {}", self.with)).await?;
        }
        Ok(())
    }
}

/// The server that leads a group, asked of the servers themselves.
pub async fn primary(system: &System, group: &str) -> anyhow::Result<String> {
    let mut best = None;
    for name in system.servers.keys().filter(|name| name.starts_with(&format!("{group}s"))) {
        let status = tokio::time::timeout(Duration::from_secs(1), status(system, name)).await;
        if let Ok(Ok(status)) = status
            && status.leads()
        {
            best = best.max(Some((status.term, name.clone())));
        }
    }
    best.map(|(_, name)| name).with_context(|| format!("{group} has no primary"))
}

async fn status(
    system: &System,
    name: &str,
) -> anyhow::Result<bergamottrack_coordination::leadership::Status> {
    let client = system.connect_server(name).await?;
    let rows = system::rows(&client, "SHOW group_status").await?;
    Ok(rows.first().context("a server without a status")?.parse()?)
}
