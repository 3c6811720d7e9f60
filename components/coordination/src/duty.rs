//! Who may call for a promotion, one host at a time over all groups.
//!
//! The platform checks nothing, so two hosts that replace leaders of two groups
//! at the same moment could send their tokens in the wrong order: a token drawn
//! first is not a call sent first. So the duty is taken for one call and given
//! back after its answer. Its token is the version of the store at which it was
//! taken, which only grows. A holder that froze makes no call when it wakes,
//! since its time is over by its own clock, and another host takes the duty only
//! when that time and the call's own are over by the store's clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::HostId;

/// How long the platform's call may take before it is given up.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long after it began to take the duty a holder may begin its call. Taking
/// it is one call of the store, on its slowest days 300 ms.
pub const CALL_DEADLINE: Duration = Duration::from_millis(1000);

/// How long after a holder took the duty another host may take it without having
/// been told that it is free: a call begun and given up as late as allowed, and
/// again as long for what was still on its way.
const FREE_AFTER: Duration = Duration::from_millis(4500);

/// The duty as the store holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Duty {
    /// The host that took it last.
    pub holder: HostId,
    /// The store's clock when it did, or later.
    pub since: Duration,
    /// Whether it was given back.
    pub free: bool,
}

impl Duty {
    /// Whether another host may take it at that time of the store's clock.
    pub fn is_free(&self, clock: Duration) -> bool {
        self.free || clock > self.since + FREE_AFTER
    }
}
