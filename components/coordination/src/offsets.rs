//! Transfer of points in time between hosts without synchronized clocks.
//!
//! A time is sent as an offset from a base event for which each host has a local time. In an
//! answer, the receiver's base is the time at which it sent the request, which precedes the
//! creation of the answer. In a request, the receiver's base is a time of its own clock that the
//! sender received earlier, which precedes the sender's base. The time computed by the receiver
//! may therefore be too early, but never too late, however long a message is delayed.

use std::time::{Duration, Instant};

/// Maximum drift between two steady clocks over the few seconds for which offsets are used.
const MAX_DRIFT: Duration = Duration::from_millis(2);

/// Returns the milliseconds from `base` to `time`, less the maximum clock drift of 2 ms and
/// rounded down; negative if `time` is earlier.
pub fn offset_ms(time: Instant, base: Instant) -> i64 {
    let after = time.saturating_duration_since(base).as_millis() as i64;
    let before = base.saturating_duration_since(time) + MAX_DRIFT;
    after - before.as_micros().div_ceil(1000) as i64
}

/// Returns the local time `offset_ms` milliseconds after the receiver's `base`, or `None` if that
/// time is out of range.
pub fn instant(base: Instant, offset_ms: i64) -> Option<Instant> {
    let distance = Duration::from_millis(offset_ms.unsigned_abs());
    if offset_ms < 0 { base.checked_sub(distance) } else { base.checked_add(distance) }
}
