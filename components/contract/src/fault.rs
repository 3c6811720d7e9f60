//! Faults in a configuration, all reported together.

use std::fmt;

use crate::source::Origin;

/// One fault in a configuration.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fault {
    /// File and line of the fault.
    pub origin: Origin,
    /// Path of the object or field, such as `account baobab, rate`.
    pub path: Box<str>,
    /// Value that was found; never a key or a verifier.
    pub found: Box<str>,
    /// Description of an acceptable value.
    pub expected: Box<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { origin, path, found, expected } = self;
        write!(f, "{origin}: {path}: given {found}, wanted {expected}")
    }
}

/// All faults of a configuration; as an error, at least one.
#[derive(Clone, Debug, Default, Eq, PartialEq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "faults in the configuration ({}):", self.0.len())?;
        self.0.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
    }
}
