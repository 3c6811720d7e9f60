//! A planned stop: the host serves what it has, takes nothing new, and hands on.

use std::{
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use bergamottrack_entry::{Entry, tls::Tls};
use bergamottrack_fleet::Fleet;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    flag,
};
use tracing::{info, warn};

/// How often signals and what still runs are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long nothing must have run for other hosts. Longer than it takes them to
/// hear that this host leaves, so nothing more is on its way here.
const QUIET_PERIOD: Duration = Duration::from_millis(400);

/// How long the host waits for its way out of the roster.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// The exit code of a second signal: what ran is cut.
const FORCED_EXIT: i32 = 130;

/// The signals that ask for a stop.
pub struct Signals {
    stop_requested: Arc<AtomicBool>,
}

impl Signals {
    /// From now on SIGTERM or SIGINT asks for a stop; a second one ends the process at once.
    pub fn register() -> anyhow::Result<Self> {
        let stop_requested = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            // Looked at before the flag is raised, so only the second signal ends the process.
            flag::register_conditional_shutdown(signal, FORCED_EXIT, stop_requested.clone())
                .and_then(|_| flag::register(signal, stop_requested.clone()))
                .with_context(|| format!("catching signal {signal}"))?;
        }
        Ok(Self { stop_requested })
    }

    /// Waits for the first signal.
    pub async fn stop_requested(&self) {
        while !self.stop_requested.load(Ordering::Relaxed) {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Reads the certificate for callers again at each SIGHUP, until the process ends.
pub async fn reload(tls: Rc<Tls>) -> anyhow::Result<()> {
    let stop_requested = Arc::new(AtomicBool::new(false));
    flag::register(SIGHUP, stop_requested.clone()).context("catching SIGHUP")?;
    loop {
        if stop_requested.swap(false, Ordering::Relaxed) {
            match tls.reload() {
                Ok(()) => info!("serve: the certificate for callers was read again."),
                Err(error) => warn!("serve: the old certificate stays: {error:#}."),
            }
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Serves what still runs here, for callers and for other hosts, to its end;
/// at most for `within`.
pub async fn drain(entry: &Rc<Entry>, fleet: &Rc<Fleet>, within: Duration) {
    info!("serve: stopping; {} callers are there.", entry.callers.count());
    let deadline = Instant::now() + within;
    fleet.begin_leaving();
    entry.callers.drain();
    let began = Instant::now();
    while !(entry.callers.is_idle()
        && entry.homes.is_idle(QUIET_PERIOD)
        && began.elapsed() > QUIET_PERIOD)
    {
        if Instant::now() > deadline {
            warn!("serve: some requests did not end in {within:?} and are cut.");
            break;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    match monoio::time::timeout(LEAVE_TIMEOUT, fleet.leave()).await {
        Ok(Ok(())) => info!("serve: stopped; this host has left the roster."),
        Ok(Err(error)) => info!("serve: stopped without leaving the roster: {error:#}."),
        Err(_) => info!("serve: stopped without leaving the roster."),
    }
}
