//! Why a command failed, as its exit code tells.

use std::process::ExitCode;

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// Refused or not accepted: nothing was changed. Exit code 1.
    Refused(anyhow::Error),
    /// Faulty use, settings or files. Exit code 2.
    Faulty(anyhow::Error),
    /// Not known yet: run the command again. Exit code 3.
    Unknown(anyhow::Error),
}

impl Failure {
    /// What a person should know.
    pub fn error(&self) -> &anyhow::Error {
        match self {
            Self::Refused(error) | Self::Faulty(error) | Self::Unknown(error) => error,
        }
    }

    /// The process's exit code.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) => 1,
            Self::Faulty(_) => 2,
            Self::Unknown(_) => 3,
        })
    }
}

/// What is wrong before anything was tried is faulty use.
impl<E: Into<anyhow::Error>> From<E> for Failure {
    fn from(error: E) -> Self {
        Self::Faulty(error.into())
    }
}
