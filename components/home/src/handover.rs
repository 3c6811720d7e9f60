//! Handover of a leaving primary: a promotion without a failure.

use std::time::{Duration, Instant};

use bergamottrack_coordination::leadership::Cause;
use tracing::{info, warn};

use crate::{group::GroupHome, promotion, server::Server};

/// Maximum time for which new work waits until running work at the primary has ended. If that
/// takes longer, new work proceeds, to limit its delay, and the handover is retried.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time after which the handover proceeds although transactions are running; they are rolled
/// back.
const FORCE_TIMEOUT: Duration = Duration::from_secs(15);

/// State of the handover of a leaving primary.
#[derive(Debug, Default)]
pub struct HandoverState {
    /// Time at which the primary was first observed to be leaving.
    since: Option<Instant>,
    /// Earliest time of the next attempt.
    retry_at: Option<Instant>,
}

impl HandoverState {
    /// Attempts a handover if the primary is leaving and another server can succeed it.
    pub async fn advance(&mut self, home: &GroupHome) {
        let now = home.clock.now();
        let leaving_primary = home.primary().filter(|(server, _)| server.leaving.get());
        let Some((primary, _)) = leaving_primary else {
            *self = Self::default();
            return;
        };
        let since = *self.since.get_or_insert(now);
        if self.retry_at.is_some_and(|retry_at| now < retry_at) || !has_successor(home, &primary) {
            return;
        }
        home.handing_over.set(true);
        let forced = now > since + FORCE_TIMEOUT;
        if drained(home, &primary, now + DRAIN_TIMEOUT).await || forced {
            let detect = Duration::ZERO;
            if let Err(error) = promotion::promote(home, Cause::Leaving, detect).await {
                warn!("home: group {}: handover failed: {error:#}.", home.id);
            }
        } else {
            info!(
                "home: group {}: handover of {} postponed: not drained within {DRAIN_TIMEOUT:?}.",
                home.id, primary.contract.id
            );
        }
        home.handing_over.set(false);
        home.changed.notify_waiters();
        self.retry_at = Some(home.clock.now() + RETRY_DELAY);
    }
}

/// Returns whether a server other than the primary is reachable and not leaving.
fn has_successor(home: &GroupHome, primary: &Server) -> bool {
    home.statuses().any(|(s, _)| s.contract.id != primary.contract.id && !s.leaving.get())
}

/// Waits until no connection to the primary is in use and a server that is not leaving has the
/// primary's whole log; returns false if `deadline` passes first.
async fn drained(home: &GroupHome, primary: &Server, deadline: Instant) -> bool {
    let is_drained = || {
        let held = primary.last_status.get().map(|status| status.held)?;
        let has_all = home.statuses().any(|(server, status)| {
            server.contract.id != primary.contract.id
                && !server.leaving.get()
                && status.held >= held
        });
        (primary.pool.in_use() == 0 && has_all).then_some(())
    };
    while home.clock.now() < deadline {
        let next_check = deadline.min(home.clock.now() + Duration::from_millis(10));
        if home.wait_until(next_check, is_drained).await.is_some() {
            return true;
        }
    }
    false
}
