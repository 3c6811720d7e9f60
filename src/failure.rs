//! Why a command failed, as its exit code tells.

use std::process::ExitCode;

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// Faulty use, settings or files. Exit code 2.
    Faulty(anyhow::Error),
}

impl Failure {
    /// What a person should know.
    pub fn error(&self) -> &anyhow::Error {
        match self {
            Self::Faulty(error) => error,
        }
    }

    /// The process's exit code.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Faulty(_) => 2,
        })
    }
}

/// What is wrong before anything was tried is faulty use.
impl<E: Into<anyhow::Error>> From<E> for Failure {
    fn from(error: E) -> Self {
        Self::Faulty(error.into())
    }
}
