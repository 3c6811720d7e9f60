//! Stand-ins, faults, load and experiments for bergamottrack; not shipped.

use clap::{Parser, Subcommand};
use lab::{link, platform, server, storm};

/// Stand-ins, faults, load and experiments for bergamottrack.
#[derive(Debug, Parser)]
#[command(name = "lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

/// What to run.
#[derive(Debug, Subcommand)]
enum Command {
    /// Run a stand-in for a backend server.
    Server(server::ServerArgs),
    /// Run links between processes that can be cut, delayed and reset.
    Link(link::LinkArgs),
    /// Run faults drawn from a seed over a system under load, then check the promises.
    Storm(storm::StormArgs),
    /// Run a stand-in for the platform.
    Platform(platform::PlatformArgs),
}

fn main() -> anyhow::Result<()> {
    let cli = Cli::parse();
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_env("LAB_LOG"))
        .with_writer(std::io::stderr)
        .init();
    if let Command::Storm(args) = cli.command {
        return tokio::runtime::Runtime::new()?.block_on(storm::run(args));
    }
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    match cli.command {
        Command::Server(args) => runtime.block_on(server::run(args)),
        Command::Link(args) => runtime.block_on(link::run(args)),
        Command::Storm(_) => Ok(()),
        Command::Platform(args) => runtime.block_on(platform::run(args)),
    }
}
