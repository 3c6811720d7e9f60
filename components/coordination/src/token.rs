//! The session token: what a caller has been told, carried by the caller.
//!
//! It needs no state shared between hosts, so a session may move to any host.

use std::collections::BTreeMap;

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::{AccountId, GroupId, Point};

/// The most groups that one token tells about.
pub const MAX_GROUPS: usize = 64;

const TAG_LEN: usize = 16;

/// Why a token is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TokenError {
    /// Not a token at all.
    #[error("the session token is damaged")]
    Malformed,
    /// Signed with another secret, changed, or given to another account.
    #[error("the session token was not given to this account")]
    Forged,
}

/// The secret that all hosts of a fleet share.
#[derive(Clone)]
pub struct Secret(Box<[u8]>);

impl Secret {
    /// The secret made of the given bytes.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }

    /// The keyed hash of the parts, in order, with their lengths.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; 32] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Whether `tag` starts the keyed hash of the parts; takes the same time either way.
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        tag.len() >= TAG_LEN && self.mac(parts).verify_truncated_left(tag).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("a key of any length");
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

/// The points that a session has been told of, a group each.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SessionToken {
    points: BTreeMap<GroupId, Point>,
}

impl SessionToken {
    /// What the session must see in `group`.
    pub fn floor(&self, group: &GroupId) -> Option<Point> {
        self.points.get(group).copied()
    }

    /// Whether the session has been told nothing.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// Notes a point that the session has been told of; never moves back.
    pub fn raise(&mut self, group: &GroupId, point: Point) {
        let floor = self.points.entry(group.clone()).or_default();
        *floor = (*floor).max(point);
        while self.points.len() > MAX_GROUPS {
            self.points.pop_first();
        }
    }

    /// Notes all that another token tells.
    pub fn merge(&mut self, other: &Self) {
        for (group, point) in &other.points {
            self.raise(group, *point);
        }
    }

    /// The token as text, bound to the account.
    pub fn seal(&self, account: &AccountId, secret: &Secret) -> String {
        let body = self.body();
        let tag = secret.sign(&[b"session", account.as_str().as_bytes(), body.as_bytes()]);
        format!("{body}.{}", URL_SAFE_NO_PAD.encode(&tag[..TAG_LEN]))
    }

    /// Reads a token that was given to `account`.
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
