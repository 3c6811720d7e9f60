//! Planned stop of an entry host: it accepts no new work, finishes running requests and
//! transactions, and leaves the roster.

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

/// Interval at which signals and running work are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Duration without activity for other hosts before the drain ends. It exceeds the time
/// in which other hosts learn that this host is leaving, so no more requests are in transit.
const QUIET_PERIOD: Duration = Duration::from_millis(400);

/// Timeout of the removal of this host from the roster.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Exit code after a second signal, which aborts running work.
const FORCED_EXIT: i32 = 130;

/// The signals that request a stop.
pub struct Signals {
    stop_requested: Arc<AtomicBool>,
}

impl Signals {
    /// Registers SIGTERM and SIGINT: the first signal requests a stop, a second one ends the
    /// process immediately.
    pub fn register() -> anyhow::Result<Self> {
        let stop_requested = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            // This handler is registered first and so runs before the flag is set: only the second
            // signal ends the process.
            flag::register_conditional_shutdown(signal, FORCED_EXIT, stop_requested.clone())
                .and_then(|_| flag::register(signal, stop_requested.clone()))
                .with_context(|| format!("catching signal {signal}"))?;
        }
        Ok(Self { stop_requested })
    }

    /// Waits until the first signal requests a stop.
    pub async fn stop_requested(&self) {
        while !self.stop_requested.load(Ordering::Relaxed) {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Reloads the certificate for callers on each SIGHUP; returns only if SIGHUP cannot be
/// registered.
pub async fn reload(tls: Rc<Tls>) -> anyhow::Result<()> {
    let reload_requested = Arc::new(AtomicBool::new(false));
    flag::register(SIGHUP, reload_requested.clone()).context("catching SIGHUP")?;
    loop {
        if reload_requested.swap(false, Ordering::Relaxed) {
            match tls.reload() {
                Ok(()) => info!("serve: certificate for callers reloaded"),
                Err(error) => warn!("serve: reload failed, the old certificate stays: {error:#}"),
            }
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Finishes running work of callers and of other hosts, for at most `timeout`, and leaves
/// the roster.
pub async fn drain(entry: &Rc<Entry>, fleet: &Rc<Fleet>, timeout: Duration) {
    info!("serve: stopping, {} callers connected", entry.callers.count());
    let deadline = Instant::now() + timeout;
    fleet.begin_leaving();
    entry.callers.drain();
    let began = Instant::now();
    while !(entry.callers.is_idle()
        && entry.homes.is_idle(QUIET_PERIOD)
        && began.elapsed() > QUIET_PERIOD)
    {
        if Instant::now() > deadline {
            warn!("serve: drain timed out after {timeout:?}, remaining requests are aborted");
            break;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    match monoio::time::timeout(LEAVE_TIMEOUT, fleet.leave()).await {
        Ok(Ok(())) => info!("serve: stopped and left the roster"),
        Ok(Err(error)) => info!("serve: stopped, leaving the roster failed: {error:#}"),
        Err(_) => info!("serve: stopped, leaving the roster timed out"),
    }
}
