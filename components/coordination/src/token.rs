//! Session token: the log positions that a session has seen, carried by the caller.
//!
//! Hosts share no session state, so a session can continue at any host.

use std::collections::BTreeMap;

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::{AccountId, GroupId, Point};

/// Maximum number of groups in a token.
pub const MAX_GROUPS: usize = 64;

/// Length of a token's signature, a truncated keyed hash, in bytes.
const TAG_LEN: usize = 16;

/// Reason why a token is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TokenError {
    /// The text is not a token.
    #[error("the session token is damaged")]
    Malformed,
    /// The token was signed with another secret, modified, or issued to another account.
    #[error("the session token was not given to this account")]
    Forged,
}

/// Secret shared by all hosts of a fleet.
#[derive(Clone)]
pub struct Secret(Box<[u8]>);

impl Secret {
    /// Creates the secret from the given bytes.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }

    /// Returns the keyed hash (HMAC-SHA-256) of the parts, in order, each with its length.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; 32] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Returns whether `tag` is a prefix, of at least `TAG_LEN` bytes, of the keyed hash of
    /// the parts. Compares in constant time.
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        tag.len() >= TAG_LEN && self.mac(parts).verify_truncated_left(tag).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Last point that a session has seen in the log of each group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SessionToken {
    points: BTreeMap<GroupId, Point>,
}

impl SessionToken {
    /// Returns the session's required position in `group`; `None` if the session has seen no
    /// point of the group.
    pub fn floor(&self, group: &GroupId) -> Option<Point> {
        self.points.get(group).copied()
    }

    /// Returns whether the session has seen no points.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// Records a point that the session has seen; the required position never decreases.
    /// Beyond [`MAX_GROUPS`] groups, the groups that are first by id are dropped.
    pub fn raise(&mut self, group: &GroupId, point: Point) {
        let floor = self.points.entry(group.clone()).or_default();
        *floor = (*floor).max(point);
        while self.points.len() > MAX_GROUPS {
            self.points.pop_first();
        }
    }

    /// Records all points of another token, as by [`SessionToken::raise`].
    pub fn merge(&mut self, other: &Self) {
        for (group, point) in &other.points {
            self.raise(group, *point);
        }
    }

    /// Returns the token as text, signed for the account.
    pub fn seal(&self, account: &AccountId, secret: &Secret) -> String {
        let body = self.body();
        let tag = secret.sign(&[b"session", account.as_str().as_bytes(), body.as_bytes()]);
        format!("{body}.{}", URL_SAFE_NO_PAD.encode(&tag[..TAG_LEN]))
    }

    /// Parses a token that was issued to `account` and checks its signature.
    pub fn open(text: &str, account: &AccountId, secret: &Secret) -> Result<Self, TokenError> {
        let (body, tag) = text.rsplit_once('.').ok_or(TokenError::Malformed)?;
        let tag = URL_SAFE_NO_PAD.decode(tag).map_err(|_| TokenError::Malformed)?;
        let parts: [&[u8]; 3] = [b"session", account.as_str().as_bytes(), body.as_bytes()];
        if !secret.verify(&parts, &tag) {
            return Err(TokenError::Forged);
        }
        Self::parse_body(body).ok_or(TokenError::Malformed)
    }

    fn body(&self) -> String {
        let parts: Vec<_> =
            self.points.iter().map(|(group, point)| format!("{group}={point}")).collect();
        parts.join(",")
    }

    fn parse_body(body: &str) -> Option<Self> {
        let mut token = Self::default();
        for part in body.split(',').filter(|part| !part.is_empty()) {
            let (group, point) = part.split_once('=')?;
            token.raise(&group.parse().ok()?, point.parse().ok()?);
        }
        Some(token)
    }
}
