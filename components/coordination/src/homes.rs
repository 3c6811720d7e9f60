//! Regions in which the requests of a database or a client account may run.
//!
//! A fleet and its servers may span several regions, and the operator binds databases or
//! accounts to some regions. If both the database and the account of a request are bound, both
//! bindings apply.

use std::collections::BTreeSet;

use crate::ids;

/// Regions in which requests may run: a set of regions, or any region.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Homes(Option<BTreeSet<ids::Region>>);

impl Homes {
    /// Restricts requests to the given regions; no restriction if none are given.
    pub fn new(regions: impl IntoIterator<Item = ids::Region>) -> Self {
        let regions: BTreeSet<_> = regions.into_iter().collect();
        Self(Some(regions).filter(|regions| !regions.is_empty()))
    }

    /// Returns whether requests may run in any region.
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_none()
    }

    /// Returns whether requests may run in `region`. A server without a region, `None`, is
    /// allowed only if there is no restriction.
    pub fn allow(&self, region: Option<&ids::Region>) -> bool {
        let Some(regions) = &self.0 else { return true };
        region.is_some_and(|region| regions.contains(region))
    }

    /// Returns the regions that both bindings allow, possibly no region.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(own), Some(others)) => Self(Some(own & others)),
            (Some(_), None) => self.clone(),
            (None, _) => other.clone(),
        }
    }
}

/// Returns the number of databases whose bindings allow a server in `region`.
pub fn served<'a>(
    databases: impl Iterator<Item = &'a Homes>,
    region: Option<&ids::Region>,
) -> usize {
    databases.filter(|homes| homes.allow(region)).count()
}
