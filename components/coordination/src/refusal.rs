//! Refusals: what was not served, whether it ran, and when to come back.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Reason {
    /// The account is over its rate and burst.
    Rate,
    /// The queue is too long for the request's deadline.
    Overload,
    /// No server can serve it now.
    Unavailable,
    /// No majority of the group's servers is reachable, so no primary can be trusted.
    NoMajority,
    /// The host cannot show that its revision is the newest.
    Stale,
    /// The deadline passed.
    Deadline,
    /// The host is stopping.
    Draining,
    /// The server or link was lost while the request ran.
    Lost,
    /// No server can show the age or point asked for.
    TooOld,
    /// The account, key or group is not known, or the key was withdrawn.
    Denied,
    /// The request id is in use by an attempt that still runs.
    Busy,
    /// The caller asked for something that is not carried.
    Unsupported,
    /// The request id has been answered before.
    Done,
}

/// Every reason, in order.
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

/// What became of a refused request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fate {
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran before, under the same request id.
    Done,
}

/// The final answer to a request that was not served.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether it ran.
    pub fate: Fate,
    /// When to come back; `None` when coming back does not help.
    pub retry: Option<Duration>,
    /// What a person should know.
    pub message: Box<str>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason, retry: Option<Duration>, message: impl Into<Box<str>>) -> Self {
        Self { reason, fate: Fate::NotRun, retry, message: message.into() }
    }

    /// A refusal of a request that may have run.
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
