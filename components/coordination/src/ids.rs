//! Names of the things that the hosts speak about.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// The longest name accepted, in bytes.
pub const MAX_ID_LEN: usize = 64;

/// Why a text is not a valid name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum IdError {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_ID_LEN`] bytes.
    #[error("a name has at most {MAX_ID_LEN} bytes, this one has {0}")]
    TooLong(usize),
    /// The text holds a character outside `a-z A-Z 0-9 - _ :`.
    #[error("a name holds letters, digits, '-', '_' and ':', not {0:?}")]
    BadChar(char),
}

fn check(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_LEN {
        return Err(IdError::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | ':');
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(IdError::BadChar(c)),
        None => Ok(()),
    }
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// Holds 1 to [`MAX_ID_LEN`] bytes of letters, digits, `-`, `_` and `:`.
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = IdError;

            fn try_from(text: Box<str>) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for Box<str> {
            fn from(id: $name) -> Self {
                Self::from(&*id.0)
            }
        }
    };
}

id! {
    /// A client account.
    AccountId
}
id! {
    /// A failure domain: machines that tend to fail together.
    FailureDomain
}
id! {
    /// A database group.
    GroupId
}
id! {
    /// An entry host.
    HostId
}
id! {
    /// A key of a client account.
    KeyId
}
id! {
    /// An operator, as the history names who made a change.
    OperatorId
}
id! {
    /// A region: failure domains that are near each other.
    Region
}
id! {
    /// A caller's own name for a request that runs at most once.
    RequestId
}
id! {
    /// A backend server.
    ServerId
}
id! {
    /// An operator's submit, so that a lost answer can be settled later.
    SubmitId
}
