//! Identifiers of accounts, hosts, servers and other entities shared between hosts.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Maximum length of an identifier in bytes.
pub const MAX_ID_LEN: usize = 64;

/// Error: a text is not a valid identifier.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum IdError {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_ID_LEN`] bytes; contains its length.
    #[error("a name has at most {MAX_ID_LEN} bytes, this one has {0}")]
    TooLong(usize),
    /// The text contains a character outside `a-z A-Z 0-9 - _ :`.
    #[error("a name holds letters, digits, '-', '_' and ':', not {0:?}")]
    BadChar(char),
}

fn validate(text: &str) -> Result<(), IdError> {
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
        /// Consists of 1 to [`MAX_ID_LEN`] bytes of letters, digits, `-`, `_` and `:`.
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
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
                validate(text)?;
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
    /// Id of a client account.
    AccountId
}
id! {
    /// Id of a failure domain: machines that tend to fail together.
    FailureDomain
}
id! {
    /// Id of a database group.
    GroupId
}
id! {
    /// Id of an entry host.
    HostId
}
id! {
    /// Id of a key of a client account.
    KeyId
}
id! {
    /// Id of an operator, recorded in the history as the author of a change.
    OperatorId
}
id! {
    /// Id of a region: failure domains that are close to each other.
    Region
}
id! {
    /// Id chosen by a caller for a request that runs at most once.
    RequestId
}
id! {
    /// Id of a backend server.
    ServerId
}
id! {
    /// Id of an operator's submission, used to look up its result when the answer was lost.
    SubmitId
}
