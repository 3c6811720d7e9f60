//! Commands that set faults of the links and of the platform of a system started by `lab up`.

use std::net::SocketAddr;

use clap::{Args, ValueEnum};

use crate::{
    client,
    link::{Fault, SetFault},
};

/// Direction in which a link is cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Direction {
    /// From the side that connects.
    Up,
    /// Towards the side that connects.
    Down,
    /// Both.
    Both,
}

/// Settings of `fault`; without any fault the links are mended.
#[derive(Args, Clone, Debug)]
pub struct FaultArgs {
    /// Control address of the links, as `up --links` prints it.
    #[arg(long)]
    pub at: SocketAddr,
    /// The links: `h1>g1s1`, `h1>*`, `*>platform`; replication is `g1s2>g1s1`.
    pub names: Box<str>,
    /// What is sent this way waits until the links are mended.
    #[arg(long)]
    pub cut: Option<Direction>,
    /// Milliseconds by which each byte is late.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
    /// Bytes a second, each way; 0 for no limit.
    #[arg(long, default_value_t = 0)]
    pub bytes_per_sec: u64,
    /// New connections are refused.
    #[arg(long)]
    pub refuse: bool,
    /// Only reset the connections there are.
    #[arg(long)]
    pub reset: bool,
}

/// Settings of `outage`.
#[derive(Args, Clone, Debug)]
pub struct OutageArgs {
    /// Address of the platform, as `up --links` prints it.
    #[arg(long)]
    pub at: SocketAddr,
    /// Its faults as JSON: `{"down":true}`, `{"slow_ms":2000}`, `{"lose_answers":1}`; `{}` mends it.
    pub faults: Box<str>,
}

/// Sets the fault of links, or resets their connections.
pub async fn run(args: FaultArgs) -> anyhow::Result<()> {
    let fault = Fault {
        cut_up: matches!(args.cut, Some(Direction::Up | Direction::Both)),
        cut_down: matches!(args.cut, Some(Direction::Down | Direction::Both)),
        refuse: args.refuse,
        delay_ms: args.delay_ms,
        bytes_per_sec: args.bytes_per_sec,
        ..Fault::default()
    };
    let path = if args.reset { "/reset" } else { "/set" };
    let set = SetFault { names: args.names, fault };
    post_command(args.at, path, &serde_json::to_string(&set)?).await
}

/// Sets the faults of the platform.
pub async fn outage(args: OutageArgs) -> anyhow::Result<()> {
    post_command(args.at, "/faults", &args.faults).await
}

/// Posts a command with the operator key; fails unless the answer is 200.
async fn post_command(at: SocketAddr, path: &str, body: &str) -> anyhow::Result<()> {
    let (status, text) = client::post(at, path, body).await?;
    anyhow::ensure!(status == 200, "command rejected: {}", text.trim());
    Ok(())
}
