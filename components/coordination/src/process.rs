//! Process numbers, which identify callers' connections in cancel requests.
//!
//! A cancel request arrives on its own connection, which a load balancer may route to any host.
//! The number contains a tag of the host that assigned the number, so that the request is
//! forwarded only to hosts with that tag, normally one. Without the tag a flood of cancel
//! requests would be multiplied by the size of the fleet.

use xxhash_rust::xxh3::xxh3_64;

use crate::HostId;

/// Number of bits that count the connections of one host.
const COUNT_BITS: u32 = 19;

/// Number of bits of the host tag; with the count they fill a positive `i32`. Cancel requests
/// are forwarded to all hosts that share a tag, which is safe since the secret in the request is
/// checked too.
const TAG_BITS: u32 = 12;

fn tag(host: &HostId) -> u32 {
    xxh3_64(host.as_str().as_bytes()) as u32 % (1 << TAG_BITS)
}

/// Returns the process number of a host's `count`th connection. Numbers repeat after 2^19, half a
/// million, connections.
pub fn number(host: &HostId, count: u32) -> i32 {
    let number = (tag(host) << COUNT_BITS) | (count % (1 << COUNT_BITS));
    number as i32
}

/// Returns whether a process number may have been assigned by `host`; also true for numbers of
/// another host with the same tag.
pub fn belongs_to(number: i32, host: &HostId) -> bool {
    number >= 0 && number as u32 >> COUNT_BITS == tag(host)
}
