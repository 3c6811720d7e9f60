//! Failures of commands and their exit codes.

use std::process::ExitCode;

/// A failed command, by the effect that it had.
#[derive(Debug)]
pub enum Failure {
    /// The request was refused or not accepted and changed nothing. Exit code 1.
    Refused(anyhow::Error),
    /// Arguments, settings or files are invalid. Exit code 2.
    Faulty(anyhow::Error),
    /// The outcome is not known yet; the command can be run again. Exit code 3.
    Unknown(anyhow::Error),
}

impl Failure {
    /// Returns the error to print.
    pub fn error(&self) -> &anyhow::Error {
        match self {
            Self::Refused(error) | Self::Faulty(error) | Self::Unknown(error) => error,
        }
    }

    /// Returns the exit code of the process.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) => 1,
            Self::Faulty(_) => 2,
            Self::Unknown(_) => 3,
        })
    }
}

/// Errors raised before anything is attempted count as faulty use.
impl<E: Into<anyhow::Error>> From<E> for Failure {
    fn from(error: E) -> Self {
        Self::Faulty(error.into())
    }
}
