//! The sites of `examples/`, laid out on one machine.

use std::{fmt, str::FromStr};

use anyhow::Context;
use bergamottrack_contract::Config;
use serde::{Deserialize, Serialize};

use crate::system::Plan;

/// A site of `examples/`.
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
    /// Its configuration.
    pub fn config(self) -> anyhow::Result<Config> {
        let text = match self {
            Self::Baobab => include_str!("../../examples/baobab.toml"),
            Self::Hartwell => include_str!("../../examples/hartwell.toml"),
        };
        Config::parse(text).with_context(|| format!("the site {self}"))
    }

    /// A plan with its groups, accounts and sizes.
    pub fn plan(self, hosts: usize) -> anyhow::Result<Plan> {
        let config = self.config()?;
        let server = config.groups.first().and_then(|group| group.servers.first());
        let server = server.context("a site without servers")?;
        let server_args = vec![
            format!("--slots={}", server.slots),
            format!("--connections={}", server.connections),
        ];
        let groups = config.groups.len();
        Ok(Plan { groups, hosts, server_args, site: Some(config), ..Plan::default() })
    }
}
