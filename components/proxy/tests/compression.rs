//! Compression of configurations for transfer between hosts.

use bergamottrack_proxy::compression::{compress, decompress};
use serde_json::json;

/// Returns a configuration like those that a host sends to its whole failure domain, with
/// pseudo-random names.
fn configuration(databases: u32) -> Vec<u8> {
    let kinds = ["primary", "bounded_staleness", "read_own_writes"];
    let route = |n: u32| {
        let (name, host) = (n.wrapping_mul(2_654_435_761), n.wrapping_mul(0x9E37_79B1) ^ 0x5bd1);
        json!({"name": format!("r-{name:x}"), "host": format!("{host:x}"), "prefix": "/",
            "kind": kinds[n as usize % 3], "timeoutMs": 1000, "targetLatencyMs": 400, "priority": 2,
            "service": format!("g{}", n % 8), "maxStalenessMs": 2500, "public": false})
    };
    let routes: Vec<_> = (0..databases).map(route).collect();
    json!({"version": 7, "routes": routes}).to_string().into_bytes()
}

#[test]
fn compression_shrinks_to_a_sixth_and_is_lossless() {
    let raw = configuration(4000);
    let compressed = compress(&raw);
    assert!(compressed.len() < raw.len() / 6, "{} of {}", compressed.len(), raw.len());
    assert_eq!(decompress(&compressed).unwrap(), raw);
    assert_eq!(decompress(&compress(b"")).unwrap(), b"");
}

#[test]
fn corrupt_input_is_refused() {
    let compressed = compress(&configuration(100));
    assert!(decompress(&compressed[..compressed.len() / 2]).is_err());
    let mut damaged = compressed.to_vec();
    let middle = damaged.len() / 2;
    damaged[middle] ^= 0xff;
    assert!(decompress(&damaged).is_err());
    assert!(decompress(b"{\"version\":7}").is_err());
}

/// Guards against input of a few hundred KB whose output would exhaust a small host's memory.
#[test]
fn input_that_exceeds_the_maximum_size_is_refused() {
    let compressed = compress(&vec![b' '; (64 << 20) + 1]);
    assert!(compressed.len() < 1 << 20);
    assert!(decompress(&compressed).is_err());
}
