//! SCRAM-SHA-256 verifiers of keys (RFC 5803).

use std::{fmt, str::FromStr};

use base64::{Engine, engine::general_purpose::STANDARD};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of rounds of the salted hash in new verifiers.
pub const DEFAULT_ROUNDS: u32 = 4096;

/// Error for a text that is not a verifier.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a SCRAM-SHA-256 verifier; make one with `bergamottrack key new`")]
pub struct VerifierError;

/// Verifies that a caller has a key, without containing the key.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct Verifier {
    /// Number of rounds of the salted hash.
    pub rounds: u32,
    /// Salt of the hash.
    pub salt: Box<[u8]>,
    /// `StoredKey` of SCRAM: hash of the client key.
    pub stored_key: [u8; 32],
    /// `ServerKey` of SCRAM.
    pub server_key: [u8; 32],
}

/// Computes the HMAC-SHA-256 used by SCRAM.
pub fn hmac(key: &[u8], data: &[u8]) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(data);
    mac.finalize().into_bytes().into()
}

/// Computes the salted hash of a key (`SaltedPassword` of SCRAM).
pub fn salted_password(key: &str, salt: &[u8], rounds: u32) -> [u8; 32] {
    let mut out = [0; 32];
    pbkdf2::pbkdf2::<Hmac<Sha256>>(key.as_bytes(), salt, rounds, &mut out)
        .expect("HMAC accepts keys of any length");
    out
}

impl Verifier {
    /// Creates the verifier of `key` with the given salt.
    pub fn new(key: &str, salt: &[u8]) -> Self {
        let salted = salted_password(key, salt, DEFAULT_ROUNDS);
        Self {
            rounds: DEFAULT_ROUNDS,
            salt: salt.into(),
            stored_key: Sha256::digest(hmac(&salted, b"Client Key")).into(),
            server_key: hmac(&salted, b"Server Key"),
        }
    }
}

impl Verifier {
    /// Returns six hexadecimal digits by which people can tell verifiers apart; they prove nothing.
    pub fn fingerprint(&self) -> String {
        let digest = Sha256::digest(self.stored_key);
        digest.iter().take(3).map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Debug for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Verifier(..)")
    }
}

impl fmt::Display for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let encode = |bytes: &[u8]| STANDARD.encode(bytes);
        write!(
            f,
            "SCRAM-SHA-256${}:{}${}:{}",
            self.rounds,
            encode(&self.salt),
            encode(&self.stored_key),
            encode(&self.server_key)
        )
    }
}

impl FromStr for Verifier {
    type Err = VerifierError;

    fn from_str(text: &str) -> Result<Self, VerifierError> {
        Self::parse(text).ok_or(VerifierError)
    }
}

impl Verifier {
    fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix("SCRAM-SHA-256$")?;
        let (head, keys) = rest.split_once('$')?;
        let (rounds, salt) = head.split_once(':')?;
        let (stored_key, server_key) = keys.split_once(':')?;
        let decode = |part: &str| STANDARD.decode(part).ok();
        Some(Self {
            rounds: rounds.parse().ok().filter(|n| (1..=1_000_000).contains(n))?,
            salt: decode(salt)?.into(),
            stored_key: decode(stored_key)?.try_into().ok()?,
            server_key: decode(server_key)?.try_into().ok()?,
        })
    }
}

impl TryFrom<Box<str>> for Verifier {
    type Error = VerifierError;

    fn try_from(text: Box<str>) -> Result<Self, VerifierError> {
        text.parse()
    }
}

impl From<Verifier> for Box<str> {
    fn from(verifier: Verifier) -> Self {
        verifier.to_string().into()
    }
}
