//! Refusals of requests: the reason, whether the request ran, and when to retry.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Reason why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Reason {
    /// The account exceeds its rate and burst.
    Rate,
    /// The queue is too long for the request's deadline.
    Overload,
    /// No server can serve the request now.
    Unavailable,
    /// No majority of the group's servers is reachable, so the primary cannot be confirmed.
    NoMajority,
    /// The host cannot prove that its revision is the newest.
    Stale,
    /// The deadline passed.
    Deadline,
    /// The host is shutting down.
    Draining,
    /// The server or the link to it was lost while the request ran.
    Lost,
    /// No server can prove the freshness or position that the request requires.
    TooOld,
    /// The account, key or group is unknown, or the key was revoked.
    Denied,
    /// The request id is in use by an attempt that is still running.
    Busy,
    /// The caller used a feature that is not supported.
    Unsupported,
    /// The request with this id was already answered.
    Done,
}

/// All reasons, in declaration order.
pub const REASONS: [Reason; 13] = [
    Reason::Rate,
    Reason::Overload,
    Reason::Unavailable,
    Reason::NoMajority,
    Reason::Stale,
    Reason::Deadline,
    Reason::Draining,
    Reason::Lost,
    Reason::TooOld,
    Reason::Denied,
    Reason::Busy,
    Reason::Unsupported,
    Reason::Done,
];

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Rate => "rate",
            Self::Overload => "overload",
            Self::Unavailable => "unavailable",
            Self::NoMajority => "no-majority",
            Self::Stale => "stale",
            Self::Deadline => "deadline",
            Self::Draining => "draining",
            Self::Lost => "lost",
            Self::TooOld => "too-old",
            Self::Denied => "denied",
            Self::Busy => "busy",
            Self::Unsupported => "unsupported",
            Self::Done => "done",
        })
    }
}

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fate {
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran before, under the same request id.
    Done,
}

/// Final answer to a request that was not served.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Whether the request ran.
    pub fate: Fate,
    /// Delay before a retry; `None` if a retry does not help.
    pub retry: Option<Duration>,
    /// Human-readable message.
    pub message: Box<str>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: Reason, retry: Option<Duration>, message: impl Into<Box<str>>) -> Self {
        Self { reason, fate: Fate::NotRun, retry, message: message.into() }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: Reason, retry: Option<Duration>, message: impl Into<Box<str>>) -> Self {
        Self { reason, fate: Fate::Unknown, retry, message: message.into() }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message, self.reason)
    }
}

impl std::error::Error for Refusal {}
