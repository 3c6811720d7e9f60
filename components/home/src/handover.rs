//! A primary that is to leave hands over: a promotion without a failure.

use std::time::{Duration, Instant};

use bergamottrack_coordination::leadership::Cause;
use tracing::{info, warn};

use crate::{group::GroupHome, promotion, server::Server};

/// How long new work waits for what runs at the primary to end. Longer work
/// would make callers feel it: then they go on, and it is tried again.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two tries.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// After this time a transaction that does not end is rolled back.
const FORCE_TIMEOUT: Duration = Duration::from_secs(15);

/// The wish that a primary hands over.
#[derive(Debug, Default)]
pub struct HandoverState {
    /// When it was first seen to leave.
    since: Option<Instant>,
    /// When it may be tried again.
    retry_at: Option<Instant>,
}

impl HandoverState {
    /// Hands over when the primary is to leave and another server can take over.
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
                warn!("home: group {}: the handing over failed: {error:#}.", home.id);
            }
        } else {
            info!("home: group {}: {} is still at work.", home.id, primary.contract.id);
        }
        home.handing_over.set(false);
        home.changed.notify_waiters();
        self.retry_at = Some(home.clock.now() + RETRY_DELAY);
    }
}

/// Whether a server that stays answers.
fn has_successor(home: &GroupHome, primary: &Server) -> bool {
    home.statuses().any(|(s, _)| s.contract.id != primary.contract.id && !s.leaving.get())
}

/// Waits until nothing runs at the primary and a server that stays has all of its log.
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
