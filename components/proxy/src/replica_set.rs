//! Servers of a group that may have confirmed a commit.

use crate::{group::Group, host::Host};

/// Returns whether no server of the group may be promoted that may lack an acknowledged commit.
pub fn is_required(host: &Host, group: &Group) -> bool {
    let plan = host.plan();
    let limits = plan.as_ref().and_then(|plan| plan.groups.get(&group.id));
    limits.is_some_and(|limits| limits.sync_replicas > 0)
}
