//! Runs an entry host on the users' platform.

use std::path::PathBuf;

use anyhow::Context;
use bergamottrack_adapter::settings;
use bergamottrack_model::{Settings, settings::Mechanism};
use bergamottrack_proxy::serve::{self, Signals};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    flag,
};
use tracing::info;
use tracing_subscriber::EnvFilter;

use crate::{cli::EntryArgs, log::Log};

/// Runs an entry host until a signal stops it.
pub fn run(args: EntryArgs) -> anyhow::Result<()> {
    let path = args.settings.or_else(|| std::env::var_os(settings::PATH_VARIABLE).map(Into::into));
    let path: PathBuf = path.with_context(|| {
        format!("no settings file: give --settings or set {}", settings::PATH_VARIABLE)
    })?;
    let without: Vec<Mechanism> = args.without.iter().map(|arg| Mechanism::from(*arg)).collect();
    let initial = Settings { disabled: without, ..settings::read_file(&path)? };
    let filter = EnvFilter::try_new(&args.log).context("reading --log")?;
    let log = Log::start(filter)?;
    let signals = register_signals()?;
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .context("starting the runtime")?;
    let result = runtime.block_on(async {
        monoio::spawn(log.clone().run_writer());
        serve::run(initial, signals, || settings::read_file(&path)).await
    });
    info!("host: ended");
    log.write_buffered();
    result
}

/// Registers SIGTERM and SIGINT as the stop signals and SIGHUP as the reload signal.
fn register_signals() -> anyhow::Result<Signals> {
    let signals = Signals::default();
    for (signal, requested) in
        [(SIGTERM, &signals.stop), (SIGINT, &signals.stop), (SIGHUP, &signals.reload)]
    {
        flag::register(signal, requested.clone())
            .with_context(|| format!("catching signal {signal}"))?;
    }
    Ok(signals)
}
