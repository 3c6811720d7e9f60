//! What is wrong with a configuration: all of it at once.

use std::fmt;

use crate::source::Origin;

/// One thing that is wrong.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fault {
    /// Where it was written.
    pub origin: Origin,
    /// What it belongs to, such as `account baobab, rate`.
    pub path: Box<str>,
    /// What was given; never a key or a verifier.
    pub found: Box<str>,
    /// What is wanted.
    pub expected: Box<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { origin, path, found, expected } = self;
        write!(f, "{origin}: {path}: given {found}, wanted {expected}")
    }
}

/// Everything that is wrong with a configuration; at least one fault.
#[derive(Clone, Debug, Default, Eq, PartialEq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "faults in the configuration ({}):", self.0.len())?;
        self.0.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
    }
}
