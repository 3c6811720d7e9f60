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
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// How long nothing must have run for other hosts. Longer than it takes them to
/// hear that this host leaves, so nothing more is on its way here.
const QUIET: Duration = Duration::from_millis(400);

/// How long the host waits for its way out of the roster.
const LEAVE_WITHIN: Duration = Duration::from_secs(2);

/// The exit code of a second signal: what ran is cut.
const CUT: i32 = 130;

/// The signals that ask for a stop.
pub struct Signals {
    asked: Arc<AtomicBool>,
}

impl Signals {
    /// From now on SIGTERM or SIGINT asks for a stop; a second one ends the process at once.
    pub fn register() -> anyhow::Result<Self> {
        let asked = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            // Looked at before the flag is raised, so only the second signal ends the process.
            flag::register_conditional_shutdown(signal, CUT, asked.clone())
                .and_then(|_| flag::register(signal, asked.clone()))
                .with_context(|| format!("catching signal {signal}"))?;
        }
        Ok(Self { asked })
    }

    /// Waits for the first signal.
    pub async fn asked(&self) {
        while !self.asked.load(Ordering::Relaxed) {
            monoio::time::sleep(LOOK_EVERY).await;
        }
    }
}

/// Reads the certificate for callers again at each SIGHUP, until the process ends.
pub async fn reload(tls: Rc<Tls>) -> anyhow::Result<()> {
    let asked = Arc::new(AtomicBool::new(false));
    flag::register(SIGHUP, asked.clone()).context("catching SIGHUP")?;
    loop {
        if asked.swap(false, Ordering::Relaxed) {
            match tls.reload() {
                Ok(()) => info!("serve: the certificate for callers was read again."),
                Err(error) => warn!("serve: the old certificate stays: {error:#}."),
            }
        }
        monoio::time::sleep(LOOK_EVERY).await;
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
    while !(entry.callers.is_idle() && entry.homes.is_idle(QUIET) && began.elapsed() > QUIET) {
        if Instant::now() > deadline {
            warn!("serve: some requests did not end in {within:?} and are cut.");
            break;
        }
        monoio::time::sleep(LOOK_EVERY).await;
    }
    match monoio::time::timeout(LEAVE_WITHIN, fleet.leave()).await {
        Ok(Ok(())) => info!("serve: stopped; this host has left the roster."),
        Ok(Err(error)) => info!("serve: stopped without leaving the roster: {error:#}."),
        Err(_) => info!("serve: stopped without leaving the roster."),
    }
}
