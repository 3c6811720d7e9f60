//! The process numbers that callers are given, by which they cancel.
//!
//! A cancel comes over a connection of its own, which a balancer may send to
//! any host. The number tells whose it is, so the cancel goes on to that host
//! alone and a flood of cancels is not multiplied by the size of the fleet.

use xxhash_rust::xxh3::xxh3_64;

use crate::HostId;

/// Bits that count the connections of one host.
const COUNT_BITS: u32 = 19;

/// Bits that tell the host; with the count they fill a positive number. Hosts
/// that share a mark are all asked, which the secret beside the number allows.
const MARK_BITS: u32 = 12;

fn mark(host: &HostId) -> u32 {
    xxh3_64(host.as_str().as_bytes()) as u32 % (1 << MARK_BITS)
}

/// The number of a host's `count`th connection; it comes again after half a million.
pub fn number(host: &HostId, count: u32) -> i32 {
    let number = (mark(host) << COUNT_BITS) | (count % (1 << COUNT_BITS));
    number as i32
}

/// Whether a number may be one of the host's.
pub fn belongs_to(number: i32, host: &HostId) -> bool {
    number >= 0 && number as u32 >> COUNT_BITS == mark(host)
}
