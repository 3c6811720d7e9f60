//! Arguments. Each flag of `serve` has an environment variable.

use std::net::SocketAddr;

use bergamottrack_contract::Route;
use bergamottrack_coordination::{FailureDomain, HostId};
use clap::{Args, Parser, Subcommand};

/// A database proxy with session consistency.
#[derive(Debug, Parser)]
#[command(name = "bergamottrack", version)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an entry host.
    Serve(Box<ServeArgs>),
    /// Make a key: prints the key and the verifier for the configuration.
    Key(KeyArgs),
}

/// Settings of an entry host.
#[derive(Args, Debug)]
pub struct ServeArgs {
    /// Name of this host.
    #[arg(long, env = "BERGAMOTTRACK_HOST")]
    pub host: HostId,
    /// Failure domain this host stands in.
    #[arg(long, env = "BERGAMOTTRACK_DOMAIN")]
    pub domain: FailureDomain,
    /// Address for callers.
    #[arg(long, env = "BERGAMOTTRACK_LISTEN")]
    pub listen: SocketAddr,
    /// Address for the other hosts.
    #[arg(long, env = "BERGAMOTTRACK_PEER")]
    pub peer: SocketAddr,
    /// Address for operators.
    #[arg(long, env = "BERGAMOTTRACK_OPERATOR")]
    pub operator: SocketAddr,
    /// Address of the platform.
    #[arg(long, env = "BERGAMOTTRACK_PLATFORM")]
    pub platform: SocketAddr,
    /// Secret that all hosts of the fleet share.
    #[arg(long, env = "BERGAMOTTRACK_SECRET", hide_env_values = true)]
    pub secret: String,
    /// Key that operators must show; without one the operator interface is closed.
    #[arg(long, env = "BERGAMOTTRACK_OPERATOR_KEY", hide_env_values = true)]
    pub operator_key: Option<String>,
    /// Address that this host reaches under another one: ADDRESS=OTHER, several by commas.
    #[arg(long, env = "BERGAMOTTRACK_VIA", value_delimiter = ',')]
    pub via: Vec<Route>,
    /// What is logged.
    #[arg(long, env = "BERGAMOTTRACK_LOG", default_value = "info")]
    pub log: String,
}

/// Settings of `key`.
#[derive(Args, Debug)]
pub struct KeyArgs {
    /// Make the verifier of this key instead of a new one.
    #[arg(long, env = "BERGAMOTTRACK_KEY", hide_env_values = true)]
    pub key: Option<String>,
}
