//! Evidence by which a failover selects a complete successor.

use std::collections::BTreeSet;

use bergamottrack_coordination::{
    Point, ServerId, coverage, evacuation,
    succession::{Completeness, Evidence, ReplicaSet, Standing},
};

use super::Failover;
use crate::{group::Group, host::Host, monitor, placement, release, replica_set};

impl Failover {
    /// Returns the last record that a replica is known to have confirmed.
    pub(super) fn confirmed(&self, group: &Group) -> Option<Point> {
        self.confirmed.get().max(group.receipts.confirmed())
    }

    /// Returns the evidence for the selection of a successor.
    pub(super) fn evidence(
        &self,
        host: &Host,
        group: &Group,
        standings: &[Standing],
        all: bool,
    ) -> Evidence {
        let required = replica_set::is_required(host, group);
        let completeness = match (required, all && host.now() >= self.replicas_until) {
            (true, _) => Completeness::Required,
            (false, false) => Completeness::Awaited,
            (false, true) => Completeness::Waived,
        };
        let recorded = required && !self.recorded.servers.is_empty();
        let mut servers = if recorded {
            self.recorded.servers.keys().cloned().collect()
        } else if required {
            let catalog = host.backends.catalog.borrow();
            catalog.group(&group.id).map(|listed| listed.id.clone()).collect()
        } else {
            listed_candidates(host, group, standings)
        };
        servers.extend(self.from.clone());
        let exhaustive = !required || recorded && self.recorded.exhaustive;
        let replica_set = ReplicaSet { servers, exhaustive };
        let terms = self.terms.get();
        let (confirmed, coverage) = (self.confirmed(group), self.coverage(host, group));
        Evidence { terms, replica_set, confirmed, coverage, completeness }
    }

    /// Returns the position that covers every acknowledged commit by the reports of all hosts; `None` if
    /// they show none.
    fn coverage(&self, host: &Host, group: &Group) -> Option<Point> {
        let mut reports = self.acknowledged.borrow().clone();
        reports.insert(host.settings.host.clone(), release::acknowledged(host, group)?);
        let departed = host.member_lost.get().unwrap_or(host.started).max(host.started);
        let elapsed = host.now().saturating_duration_since(departed);
        let departed = monitor::store_now(host).saturating_sub(elapsed);
        coverage::position(&self.view.borrow(), &reports, departed)
    }
}

/// Returns the servers that may have confirmed a commit and may not lead, since their failure domain is
/// evacuated.
pub(super) fn evacuated(host: &Host, group: &Group, evidence: &Evidence) -> Vec<ServerId> {
    let mut pools = host.servers(&group.id);
    pools.retain(|pool| placement::of(host, pool) != evacuation::Placement::Allowed);
    let ids = pools.iter().map(|pool| pool.listed.borrow().id.clone());
    ids.filter(|id| evidence.replica_set.servers.contains(id)).collect()
}

/// Returns the servers of a group that have an entry and may be promoted, or may be once they report.
fn listed_candidates(host: &Host, group: &Group, standings: &[Standing]) -> BTreeSet<ServerId> {
    let is_evacuated = |id: &ServerId| {
        let state = standings.iter().find(|state| state.id == *id);
        state.is_some_and(|state| state.evacuated)
    };
    let mut pools = host.servers(&group.id);
    pools.retain(|pool| !placement::is_forbidden(host, pool));
    let ids = pools.iter().map(|pool| pool.listed.borrow().id.clone());
    let catalog = host.backends.catalog.borrow();
    ids.filter(|id| catalog.is_present(id) && !is_evacuated(id)).collect()
}
