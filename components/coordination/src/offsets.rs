//! Moments of one host's clock as another host may count them, without comparing clocks.
//!
//! A moment is sent as an offset from a base that both hosts know. For an answer the receiver
//! takes the time at which it sent the question, which was before the answer was made; for a
//! question the receiver takes its own clock as the sender received it earlier, which was
//! before the sender's base. So a moment may be taken for earlier than it was, never for
//! later, however long a message is delayed.

use std::time::{Duration, Instant};

/// What two steady clocks may drift apart over the few seconds that offsets are used for.
const DRIFT: Duration = Duration::from_millis(2);

/// Milliseconds from `base` to a moment, rounded down.
pub fn offset_ms(at: Instant, base: Instant) -> i64 {
    let after = at.saturating_duration_since(base).as_millis() as i64;
    let before = base.saturating_duration_since(at) + DRIFT;
    after - before.as_micros().div_ceil(1000) as i64
}

/// The moment of an offset from the receiver's base.
pub fn instant(base: Instant, offset_ms: i64) -> Option<Instant> {
    let distance = Duration::from_millis(offset_ms.unsigned_abs());
    if offset_ms < 0 { base.checked_sub(distance) } else { base.checked_add(distance) }
}
