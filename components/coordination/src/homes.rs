//! Regions in which the requests of a database or a client account may run.
//!
//! The load it answers: a fleet and its servers span several regions, and the operator binds
//! some databases or accounts to some of these. Where both are bound, both bindings hold.

use std::collections::BTreeSet;

use crate::ids;

/// The regions in which requests may run: any, or just these.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Homes(Option<BTreeSet<ids::Region>>);

impl Homes {
    /// Just these regions; any where there are none.
    pub fn new(regions: impl IntoIterator<Item = ids::Region>) -> Self {
        let regions: BTreeSet<_> = regions.into_iter().collect();
        Self(Some(regions).filter(|regions| !regions.is_empty()))
    }

    /// Whether requests may run in any region.
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_none()
    }

    /// Whether requests may run in that region; an unknown one is no home.
    pub fn allow(&self, region: Option<&ids::Region>) -> bool {
        let Some(regions) = &self.0 else { return true };
        region.is_some_and(|region| regions.contains(region))
    }

    /// Regions that both allow; may be none.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(own), Some(others)) => Self(Some(own & others)),
            (Some(_), None) => self.clone(),
            (None, _) => other.clone(),
        }
    }
}

/// How many of a group's databases a server in that region may serve.
pub fn served<'a>(
    databases: impl Iterator<Item = &'a Homes>,
    region: Option<&ids::Region>,
) -> usize {
    databases.filter(|homes| homes.allow(region)).count()
}
