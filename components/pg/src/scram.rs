//! Server side of SCRAM-SHA-256 (RFC 5802, RFC 7677).
//!
//! The key itself is never sent, and the configuration holds only verifiers.

use anyhow::{Context, ensure};
use base64::{Engine, engine::general_purpose::STANDARD};
use bergamottrack_contract::{Verifier, verifier};
use sha2::{Digest, Sha256};

/// Name of the SASL mechanism.
pub const MECHANISM: &str = "SCRAM-SHA-256";

/// SCRAM exchange after the client's first message.
#[derive(Debug)]
pub struct Exchange {
    verifier: Verifier,
    nonce: Box<str>,
    /// First message of the client, without its GS2 header.
    first: Box<str>,
    /// GS2 header of the client, which its final message must repeat.
    header: Box<str>,
    /// First message of the server.
    challenge: Box<str>,
}

/// Returns the value of the attribute `part`, whose required prefix is `name`.
fn attribute<'a>(part: Option<&'a str>, name: &str) -> anyhow::Result<&'a str> {
    part.and_then(|text| text.strip_prefix(name))
        .with_context(|| format!("the key exchange lacks the part {name:?}"))
}

impl Exchange {
    /// Starts an exchange with the client's first message; `nonce` is the server's part of the
    /// nonce.
    pub fn begin(message: &[u8], verifier: Verifier, nonce: &str) -> anyhow::Result<Self> {
        let text = std::str::from_utf8(message).context("the key exchange is not text")?;
        let mut parts = text.splitn(3, ',');
        let binding = parts.next().unwrap_or_default();
        ensure!(binding == "n" || binding == "y", "channel binding is not offered");
        let identity = parts.next().unwrap_or_default();
        let first = parts.next().context("the key exchange ended early")?;
        let mut fields = first.split(',');
        attribute(fields.next(), "n=")?;
        let theirs = attribute(fields.next(), "r=")?;
        let nonce = format!("{theirs}{nonce}");
        let salt = STANDARD.encode(&verifier.salt);
        let challenge = format!("r={nonce},s={salt},i={}", verifier.rounds);
        Ok(Self {
            verifier,
            nonce: nonce.into(),
            first: first.into(),
            header: format!("{binding},{identity},").into(),
            challenge: challenge.into(),
        })
    }

    /// Returns the answer to the client's first message.
    pub fn challenge(&self) -> &str {
        &self.challenge
    }

    /// Verifies the client's final message and returns the server's final message. A proof that
    /// does not match the key is an error.
    pub fn finish(&self, message: &[u8]) -> anyhow::Result<String> {
        let text = std::str::from_utf8(message).context("the key exchange is not text")?;
        let (bare, proof) = text.rsplit_once(",p=").context("the key exchange has no proof")?;
        let mut fields = bare.split(',');
        let header = STANDARD.decode(attribute(fields.next(), "c=")?).context("bad header")?;
        ensure!(header == self.header.as_bytes(), "the key exchange changed its header");
        ensure!(attribute(fields.next(), "r=")? == &*self.nonce, "the nonce was changed");
        let auth_message = format!("{},{},{bare}", self.first, self.challenge);
        let proof: [u8; 32] = STANDARD
            .decode(proof)
            .ok()
            .and_then(|bytes| bytes.try_into().ok())
            .context("the proof is damaged")?;
        let mask = verifier::hmac(&self.verifier.stored_key, auth_message.as_bytes());
        let mut client = proof;
        client.iter_mut().zip(mask).for_each(|(byte, m)| *byte ^= m);
        let stored: [u8; 32] = Sha256::digest(client).into();
        // Both sides are hashes of secrets, so the duration of the comparison reveals nothing.
        ensure!(stored == self.verifier.stored_key, "the key does not match");
        let answer = verifier::hmac(&self.verifier.server_key, auth_message.as_bytes());
        Ok(format!("v={}", STANDARD.encode(answer)))
    }
}
