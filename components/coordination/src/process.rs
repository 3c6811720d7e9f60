//! Process numbers of callers' connections, which identify them in cancel requests.
//!
//! A cancel request arrives on its own connection, which a load balancer may route to any host.
//! The number contains a tag of the host that assigned it, so that the request is forwarded to
//! that host only. Without the tag a flood of cancel requests would be multiplied by the size
//! of the fleet.

use xxhash_rust::xxh3::xxh3_64;

use crate::HostId;

/// Number of bits that count the connections of one host.
const COUNT_BITS: u32 = 19;

/// Number of bits of the host tag; with the count they fill a positive `i32`. Requests go to
/// all hosts that share a tag, which is safe since the secret that comes with the number is
/// checked too.
const TAG_BITS: u32 = 12;

fn tag(host: &HostId) -> u32 {
    xxh3_64(host.as_str().as_bytes()) as u32 % (1 << TAG_BITS)
}

/// Returns the number of a host's `count`th connection. Numbers repeat after half a million.
pub fn number(host: &HostId, count: u32) -> i32 {
    let number = (tag(host) << COUNT_BITS) | (count % (1 << COUNT_BITS));
    number as i32
}

/// Returns whether a number may have been assigned by the host.
pub fn belongs_to(number: i32, host: &HostId) -> bool {
    number >= 0 && number as u32 >> COUNT_BITS == tag(host)
}
