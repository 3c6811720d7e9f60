//! Stand-ins, faults, load and experiments for bergamottrack; not shipped.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use lab::{
    cost, demo, experiment, fault, lateness::Lateness, link, load, platform, product, server,
    slopes, soak, storm, up,
};
use tracing_subscriber::{EnvFilter, filter::LevelFilter};

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
    /// Cut, delay, reset or mend links of a system that is held up.
    Fault(fault::FaultArgs),
    /// Set the faults of the platform of a system that is held up.
    Outage(fault::OutageArgs),
    /// Run faults drawn from a seed over a system under load, then check the promises.
    Storm(storm::StormArgs),
    /// Run faults drawn from seeds over real hosts on the users' platform's stand-ins.
    Soak(soak::SoakArgs),
    /// Measure how long a group is without an acknowledged write when its leader fails.
    Gaps(soak::gaps::GapsArgs),
    /// Run a stand-in for the platform.
    Platform(platform::PlatformArgs),
    /// Show the promises in under a minute: a booking kept over a failover.
    Demo,
    /// Run an experiment of `lab/experiments/`.
    Experiment(experiment::ExperimentArgs),
    /// Measure what idle hosts use as something grows.
    Slopes(slopes::SlopesArgs),
    /// Hold a whole system up for use by hand.
    Up(up::UpArgs),
    /// Offer load to a system of its own and report what it got.
    Load(LoadArgs),
    /// Measure what a statement costs: direct, through its home, with the hop.
    Cost(cost::CostArgs),
}

/// Settings of `load`.
#[derive(Args, Debug)]
struct LoadArgs {
    /// Settings of the load such as `seconds=20`, each a line of TOML.
    settings: Vec<String>,
    /// Writes the report as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Draws each request as SVG.
    #[arg(long)]
    svg: Option<PathBuf>,
}

fn main() -> anyhow::Result<()> {
    let cli = Cli::parse();
    let filter = EnvFilter::builder().with_env_var("LAB_LOG");
    let filter = filter.with_default_directive(LevelFilter::WARN.into()).from_env_lossy();
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    match cli.command {
        Command::Server(args) => run_standin("the server", server::run(args)),
        Command::Soak(args) => run_on_monoio(soak::run(args)),
        Command::Gaps(args) => run_on_monoio(soak::gaps::run(args)),
        Command::Link(args) => run_standin("the links", link::run(args)),
        Command::Platform(args) => run_standin("the platform", platform::run(args)),
        Command::Fault(args) => tokio::runtime::Runtime::new()?.block_on(fault::run(args)),
        Command::Outage(args) => tokio::runtime::Runtime::new()?.block_on(fault::outage(args)),
        Command::Storm(args) => {
            product::build()?;
            tokio::runtime::Runtime::new()?.block_on(storm::run(args))
        }
        Command::Demo => run_with_product(demo::run()),
        Command::Experiment(args) => run_with_product(experiment::run(args)),
        Command::Slopes(args) => run_with_product(slopes::run(args)),
        Command::Up(args) => run_with_product(up::run(args)),
        Command::Load(args) => run_with_product(run_load(args)),
        Command::Cost(args) => run_with_product(async {
            print!("{}", cost::run(args).await?);
            Ok(())
        }),
    }
}

/// Runs a command on the runtime of the hosts, monoio.
fn run_on_monoio(work: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(work)
}

/// Runs a stand-in that is a process of its own, and logs how late its timers fire.
fn run_standin(name: &str, work: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    run_on_monoio(async {
        Lateness::start(name);
        work.await
    })
}

/// Builds the product, then runs a command on a single-threaded tokio runtime.
fn run_with_product(work: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    product::build()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, work)
}

async fn run_load(args: LoadArgs) -> anyhow::Result<()> {
    let report = load::run(load::Load::parse(&args.settings)?).await?;
    print!("{report}");
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_vec_pretty(&report)?)?;
    }
    args.svg.as_deref().map_or(Ok(()), |path| load::plot::draw(&report, path))
}
