//! Time limit for the transfer of a large answer to a slow caller.

use std::time::Duration;

/// Minimum throughput, in bytes per second, at which a caller must receive an answer once
/// its request's own timeout has passed.
///
/// A caller occupies one of a server's few slots while its answer is being sent. A slower
/// caller would block the slot for all other callers.
pub const MIN_THROUGHPUT: u64 = 256 * 1024;

/// Returns the time allowed, in addition to the request's own timeout, when the caller has
/// received `bytes` of the answer.
///
/// The time grows with the bytes received and not with the size of the answer, so an
/// answer is abandoned when its caller stops receiving, however large it is.
pub fn transfer_time(bytes: u64) -> Duration {
    Duration::from_millis(bytes.saturating_mul(1000) / MIN_THROUGHPUT)
}
