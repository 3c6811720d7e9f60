//! A primary that is to leave hands over: a promotion without a failure.

use std::time::{Duration, Instant};

use bergamottrack_coordination::leadership::Cause;
use tracing::{info, warn};

use crate::{group::GroupHome, promotion, server::Server};

/// How long new work waits for what runs at the primary to end. Longer work
/// would make callers feel it: then they go on, and it is tried again.
const HOLD: Duration = Duration::from_millis(500);

/// Pause between two tries.
const PAUSE: Duration = Duration::from_secs(1);

/// After this time a transaction that does not end is rolled back.
const FORCE_AFTER: Duration = Duration::from_secs(15);

/// The wish that a primary hands over.
#[derive(Debug, Default)]
pub struct Handover {
    /// When it was first seen to leave.
    since: Option<Instant>,
    /// When it may be tried again.
    resume: Option<Instant>,
}

impl Handover {
    /// Hands over when the primary is to leave and another server can take over.
    pub async fn look(&mut self, home: &GroupHome) {
        let now = home.clock.now();
        let primary = home.primary().filter(|(server, _)| server.leaving.get());
        let Some((leaver, _)) = primary else {
            *self = Self::default();
            return;
        };
        let since = *self.since.get_or_insert(now);
        if self.resume.is_some_and(|resume| now < resume) || !has_heir(home, &leaver) {
            return;
        }
        home.handing.set(true);
        let force = now > since + FORCE_AFTER;
        if settled(home, &leaver, now + HOLD).await || force {
            let detect = Duration::ZERO;
            if let Err(error) = promotion::promote(home, Cause::Leaving, detect).await {
                warn!("home: group {}: the handing over failed: {error:#}.", home.id);
            }
        } else {
            info!("home: group {}: {} is still at work.", home.id, leaver.contract.id);
        }
        home.handing.set(false);
        home.changed.notify_waiters();
        self.resume = Some(home.clock.now() + PAUSE);
    }
}

/// Whether a server that stays answers.
fn has_heir(home: &GroupHome, leaver: &Server) -> bool {
    home.statuses().any(|(s, _)| s.contract.id != leaver.contract.id && !s.leaving.get())
}

/// Waits until nothing runs at the primary and a server that stays has all of its log.
async fn settled(home: &GroupHome, leaver: &Server, until: Instant) -> bool {
    let is_settled = || {
        let held = leaver.last.get().map(|status| status.held)?;
        let has_all = home.statuses().any(|(server, status)| {
            server.contract.id != leaver.contract.id && !server.leaving.get() && status.held >= held
        });
        (leaver.pool.taken() == 0 && has_all).then_some(())
    };
    while home.clock.now() < until {
        let soon = until.min(home.clock.now() + Duration::from_millis(10));
        if home.until(soon, is_settled).await.is_some() {
            return true;
        }
    }
    false
}
