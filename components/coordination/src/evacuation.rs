//! Failure domains that the operator has evacuated.
//!
//! The load it answers: before work on a failure domain the operator evacuates it, and within
//! a stated bound no statement may reach a backend server there, while hosts learn of it at
//! different times, some from the store and some from other hosts. Every host keeps the whole
//! set as of one version of the store, so that sets from several sources can be ordered, and
//! works out by itself when the bound is near.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{ids, store_clock};

/// The part of the bound in which work that only an evacuated server can run goes on. The
/// rest is for statements that are queued or sent then.
const ENDING_PART: f64 = 0.5;

/// What may run at the servers of a failure domain.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Placement {
    /// Everything.
    Allowed,
    /// Open transactions, and what only the leader can run; no new reads.
    Draining,
    /// Nothing.
    Forbidden,
}

/// An evacuated failure domain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// The change of the store that evacuated it.
    #[serde(rename = "v")]
    pub version: u64,
    /// The store's clock at a moment at which it was not evacuated yet; zero if unknown.
    #[serde(rename = "a")]
    pub after: Duration,
}

/// All evacuated failure domains as of one version of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Set {
    /// The newest change of the store then; 0 before the first read.
    #[serde(rename = "v")]
    version: u64,
    /// The store's clock at which they were the newest for certain.
    #[serde(rename = "c")]
    clock: Duration,
    #[serde(rename = "d", default, skip_serializing_if = "BTreeMap::is_empty")]
    domains: BTreeMap<ids::FailureDomain, Evacuation>,
}

/// A row of the store: a failure domain and the change that evacuated it, or none where the
/// evacuation was taken back.
pub type Row = (ids::FailureDomain, Option<u64>);

impl Set {
    /// Whether they were read at least once.
    pub fn is_known(&self) -> bool {
        self.version > 0
    }

    /// The store's clock at which they were the newest for certain.
    pub fn clock(&self) -> Duration {
        self.clock
    }

    /// The evacuated failure domains.
    pub fn domains(&self) -> impl Iterator<Item = (&ids::FailureDomain, &Evacuation)> {
        self.domains.iter()
    }

    /// Takes rows of the store as of `version`, read at `clock` of its clock: all of them if
    /// `whole`, otherwise those that changed. An answer older than what is known changes
    /// nothing, since what is known has its changes already.
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

    /// Takes what another host knows, if it is newer.
    pub fn adopt(&mut self, other: &Self) {
        if (other.version, other.clock) <= (self.version, self.clock) {
            return;
        }
        let before = std::mem::replace(self, other.clone());
        for (domain, evacuation) in &mut self.domains {
            // Either host's bound holds; the later one is closer.
            let known = before.domains.get(domain);
            let after = known.filter(|known| known.version == evacuation.version);
            let own = after.map_or(before.clock, |known| known.after);
            evacuation.after = evacuation.after.max(own);
        }
    }

    /// What may run at servers of the failure domain at `now`, where an evacuation has to be
    /// complete within `bound`.
    pub fn placement(
        &self,
        domain: &ids::FailureDomain,
        store: &store_clock::StoreClock,
        bound: Duration,
        now: Instant,
    ) -> Placement {
        let Some(evacuation) = self.domains.get(domain) else { return Placement::Allowed };
        let began = store.local(evacuation.after).filter(|_| !evacuation.after.is_zero());
        let ends = began.map(|began| began + bound.mul_f64(ENDING_PART));
        if ends.is_some_and(|ends| now < ends) { Placement::Draining } else { Placement::Forbidden }
    }
}
