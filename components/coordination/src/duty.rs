//! Lock on promotion calls, held by one host at a time over all groups.
//!
//! The platform makes no check, so two hosts that replace the leaders of two groups at the same
//! time could send their tokens in the wrong order: the token acquired first is not necessarily
//! sent first. The lock, called the duty, is therefore acquired for one call and released after
//! the answer. The token is the version of the store at which the duty was acquired, which only
//! increases. A holder that resumes after a suspension makes no call, because the deadline has
//! passed by the holder's own clock. Another host acquires a duty that was not released only
//! when that deadline and the call's timeout have passed by the store's clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::HostId;

/// Timeout of the promotion call to the platform.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time after the start of the acquisition within which a holder may start its promotion call.
/// The acquisition is one call of the store, which takes up to 300 ms when the store is slow.
pub const CALL_DEADLINE: Duration = Duration::from_millis(1000);

/// Time after its acquisition at which a duty that was not released expires. The time covers a
/// promotion call that starts and times out as late as allowed, and 2 s for requests in flight.
pub const DUTY_TTL: Duration = Duration::from_millis(4500);

/// State of the duty in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Duty {
    /// Host that acquired the duty last.
    pub holder: HostId,
    /// Time of the store's clock at the acquisition or later.
    pub since: Duration,
    /// Whether the duty was released.
    pub free: bool,
}

impl Duty {
    /// Returns whether another host may acquire the duty at the store time `clock`.
    pub fn is_free(&self, clock: Duration) -> bool {
        self.free || clock > self.since + DUTY_TTL
    }
}
