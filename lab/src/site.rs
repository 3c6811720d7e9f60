//! Sites of `examples/`, run on one machine.

use std::{fmt, str::FromStr};

use anyhow::Context;
use bergamottrack_contract::Config;
use serde::{Deserialize, Serialize};

use crate::system::Plan;

/// Site of `examples/`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Site {
    /// Atelier Baobab Images.
    #[default]
    Baobab,
    /// Hartwell & Sons Piano Tuners.
    Hartwell,
}

impl fmt::Display for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Baobab => "baobab",
            Self::Hartwell => "hartwell",
        })
    }
}

impl FromStr for Site {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        match text {
            "baobab" => Ok(Self::Baobab),
            "hartwell" => Ok(Self::Hartwell),
            _ => anyhow::bail!("{text:?} is not a site: baobab or hartwell"),
        }
    }
}

impl Site {
    /// Returns the configuration of the site.
    pub fn config(self) -> anyhow::Result<Config> {
        let text = match self {
            Self::Baobab => include_str!("../../examples/baobab.toml"),
            Self::Hartwell => include_str!("../../examples/hartwell.toml"),
        };
        Config::parse(text).with_context(|| format!("parsing the configuration of site {self}"))
    }

    /// Returns a plan with the groups and accounts of the site, and the server sizes of its first
    /// server, for the given number of hosts.
    pub fn plan(self, hosts: usize) -> anyhow::Result<Plan> {
        let config = self.config()?;
        let server = config.groups.first().and_then(|group| group.servers.first());
        let server = server.context("site has no servers")?;
        let server_args = vec![
            format!("--slots={}", server.slots),
            format!("--connections={}", server.connections),
        ];
        let groups = config.groups.len();
        Ok(Plan { groups, hosts, server_args, site: Some(config), ..Plan::default() })
    }
}
