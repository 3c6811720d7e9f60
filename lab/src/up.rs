//! Complete system that runs until interrupted, for manual use.

use clap::Args;

use crate::{
    site::Site,
    system::{self, OPERATOR_KEY, System},
};

/// Settings of `up`.
#[derive(Args, Clone, Debug)]
pub struct UpArgs {
    /// The site: baobab or hartwell.
    #[arg(long, default_value = "baobab")]
    pub site: Site,
    /// Entry hosts.
    #[arg(long, default_value_t = 3)]
    pub hosts: usize,
    /// Entry host `i` listens for callers on this port and `i`.
    #[arg(long, default_value_t = 6430)]
    pub port: u16,
    /// Put links that `lab fault` can cut between all processes.
    #[arg(long)]
    pub links: bool,
    /// What the hosts log.
    #[arg(long, default_value = "info")]
    pub log: String,
}

/// Starts the system, prints its addresses and keys, and runs it until Ctrl-C.
pub async fn run(args: UpArgs) -> anyhow::Result<()> {
    let mut plan = args.site.plan(args.hosts)?;
    (plan.port, plan.log, plan.links) = (args.port, args.log, args.links);
    let system = System::start(plan).await?;
    let config = args.site.config()?;
    let account = config.accounts.first().map_or("", |a| a.id.as_str());
    let group = config.groups.first().map_or("", |g| g.id.as_str());
    drop(system.connect(0, account, group).await?);
    for (i, addresses) in system.addresses.iter().enumerate() {
        let (callers, operator) = (addresses.callers, addresses.operator);
        println!("h{} callers {callers} operators {operator}", i + 1);
    }
    println!("platform {}", system.platform_address);
    if args.links {
        println!("links {}", system.control);
    }
    println!("operator key {OPERATOR_KEY}");
    for account in &config.accounts {
        println!("account {} user {0}.k1 key {}", account.id, system::key_of(account.id.as_str()));
    }
    for group in &config.groups {
        println!("group {}", group.id);
    }
    let key = system::key_of(account);
    let address = system.addresses[0].callers;
    println!("connect postgresql://{account}.k1:{key}@{address}/{group}");
    println!("logs {}", system.dir().display());
    println!("Ctrl-C stops all.");
    tokio::signal::ctrl_c().await?;
    Ok(())
}
