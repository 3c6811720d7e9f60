//! Failure domains that the operator has evacuated.
//!
//! The operator evacuates a failure domain before maintenance, and within a stated bound no
//! statement may reach a backend server there. Hosts receive the evacuation at different
//! times, from the store or from other hosts. Every host therefore keeps the whole set of
//! evacuated failure domains as of one version of the store, so that sets from several sources
//! can be ordered, and computes the end of the bound independently.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{ids, store_clock};

/// Drain phase of an evacuation as a fraction of the bound. Work that only an evacuated server
/// can run continues in this phase; the rest of the bound is for statements that are queued or
/// sent at its end.
const DRAIN_FRACTION: f64 = 0.5;

/// Statements that may run on the servers of a failure domain.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Placement {
    /// All statements.
    Allowed,
    /// Open transactions and statements that only the leader can run; no new reads.
    Draining,
    /// No statements.
    Forbidden,
}

/// An evacuated failure domain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// Version of the store change that evacuated the failure domain.
    #[serde(rename = "v")]
    pub version: u64,
    /// Time of the store's clock at which the failure domain was not evacuated yet; zero if
    /// unknown.
    #[serde(rename = "a")]
    pub after: Duration,
}

/// All evacuated failure domains as of one version of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Set {
    /// Version of the newest store change; 0 before the first read.
    #[serde(rename = "v")]
    version: u64,
    /// Latest time of the store's clock at which the set is proven to have been the newest.
    #[serde(rename = "c")]
    clock: Duration,
    #[serde(rename = "d", default, skip_serializing_if = "BTreeMap::is_empty")]
    domains: BTreeMap<ids::FailureDomain, Evacuation>,
}

/// A row of the store: a failure domain and the version of the change that evacuated it, or
/// none if the evacuation was cancelled.
pub type Row = (ids::FailureDomain, Option<u64>);

impl Set {
    /// Returns whether the set has been read at least once.
    pub fn is_known(&self) -> bool {
        self.version > 0
    }

    /// Latest time of the store's clock at which the set is proven to have been the newest.
    pub fn clock(&self) -> Duration {
        self.clock
    }

    /// Evacuated failure domains, sorted by name.
    pub fn domains(&self) -> impl Iterator<Item = (&ids::FailureDomain, &Evacuation)> {
        self.domains.iter()
    }

    /// Applies rows of the store at `version`, read at the store time `clock`: all rows if
    /// `whole`, otherwise the changed ones. The rows are ignored if `version` is older than the
    /// set, which already contains their changes.
    pub fn read(&mut self, rows: &[Row], whole: bool, version: u64, clock: Duration) {
        if version < self.version {
            return;
        }
        let after = self.clock;
        let mut domains = if whole { BTreeMap::new() } else { self.domains.clone() };
        for (domain, change) in rows {
            match change {
                Some(version) => {
                    let known = self.domains.get(domain).filter(|known| known.version == *version);
                    let new = Evacuation { version: *version, after };
                    domains.insert(domain.clone(), known.copied().unwrap_or(new));
                }
                None => drop(domains.remove(domain)),
            }
        }
        let clock = clock.max(self.clock);
        *self = Self { version, clock, domains };
    }

    /// Replaces the set by the set `other` of another host if `other` is newer.
    pub fn adopt(&mut self, other: &Self) {
        if (other.version, other.clock) <= (self.version, self.clock) {
            return;
        }
        let before = std::mem::replace(self, other.clone());
        for (domain, evacuation) in &mut self.domains {
            // The times of both hosts precede the evacuation; the later time is more precise.
            let known = before.domains.get(domain);
            let after = known.filter(|known| known.version == evacuation.version);
            let own = after.map_or(before.clock, |known| known.after);
            evacuation.after = evacuation.after.max(own);
        }
    }

    /// Returns the statements that may run on servers of the failure domain at `now`, where an
    /// evacuation must be complete within `bound`. Evacuations that began at an unknown time
    /// have no drain phase.
    pub fn placement(
        &self,
        domain: &ids::FailureDomain,
        store: &store_clock::StoreClock,
        bound: Duration,
        now: Instant,
    ) -> Placement {
        let Some(evacuation) = self.domains.get(domain) else { return Placement::Allowed };
        let began = store.local(evacuation.after).filter(|_| !evacuation.after.is_zero());
        let drain_end = began.map(|began| began + bound.mul_f64(DRAIN_FRACTION));
        if drain_end.is_some_and(|drain_end| now < drain_end) {
            Placement::Draining
        } else {
            Placement::Forbidden
        }
    }
}
