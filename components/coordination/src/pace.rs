//! How long a large answer may take on its way to a slow caller.

use std::time::Duration;

/// Bytes a second that a caller must take of an answer, once its request's own
/// time is used up.
///
/// A caller holds one of a server's few slots while its answer is on the way.
/// One that takes less than this would keep the slot from all others.
pub const MIN_THROUGHPUT: u64 = 256 * 1024;

/// The time that a caller is given, beside its request's own, for the bytes it
/// has taken so far.
///
/// It grows with what is taken and not with what is offered, so a caller that
/// stops taking is given up, however large its answer is.
pub fn transfer_time(bytes: u64) -> Duration {
    Duration::from_millis(bytes.saturating_mul(1000) / MIN_THROUGHPUT)
}
