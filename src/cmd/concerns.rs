//! Problems of the fleet that an operator should check first.

use std::collections::{BTreeMap, BTreeSet};

use bergamottrack_coordination::leadership;
use bergamottrack_metrics::{GroupReport, HostReport};
use bergamottrack_operator::api::{HostLine, StatusPage};

/// Returns one line for each problem of a host or database group; empty if there is none.
pub fn concerns(page: &StatusPage) -> Vec<String> {
    let mut found: Vec<String> =
        page.hosts.iter().filter_map(|line| host_concern(line, page.revision.0)).collect();
    let mut reports: BTreeMap<_, Vec<&GroupReport>> = BTreeMap::new();
    for group in page.hosts.iter().flat_map(group_reports) {
        reports.entry(&group.group).or_default().push(group);
    }
    for id in &page.groups {
        match reports.get(id) {
            Some(reports) => found.extend(group_concerns(reports)),
            None => found.push(format!("group {id}: no host that answers is its home")),
        }
    }
    found
}

fn group_reports(line: &HostLine) -> &[GroupReport] {
    line.report.as_ref().map_or(&[], |report| &report.groups)
}

/// Returns the problem of one host. A host whose report has `acts` unset has not proven recently
/// enough, by the limit of its revision, that this revision is the newest.
fn host_concern(line: &HostLine, revision: u64) -> Option<String> {
    let HostLine { host, report, .. } = line;
    match report {
        None => Some(format!("host {host}: no answer")),
        Some(HostReport { draining: true, .. }) => Some(format!("host {host}: draining")),
        Some(HostReport { acts: false, .. }) => Some(format!(
            "host {host}: refuses all requests, it cannot show that its revision is the newest"
        )),
        Some(report) if report.revision.0 < revision => {
            Some(format!("host {host}: has revision {} in force still", report.revision))
        }
        Some(_) => None,
    }
}

/// Returns the problems of one database group.
///
/// A server counts as up if at least one home reports its role, because a network partition may
/// separate the other homes from it. Every report lists all servers that its home has configured,
/// so the first report gives their number and names.
fn group_concerns(reports: &[&GroupReport]) -> Vec<String> {
    let mut found = Vec::new();
    let Some(first) = reports.first() else { return found };
    let servers = reports.iter().flat_map(|report| &report.servers);
    let up: BTreeSet<_> = servers.filter(|s| s.role.is_some()).map(|s| &s.server).collect();
    if up.len() < leadership::majority(first.servers.len()) {
        let message = "no majority of its servers answers, so nothing is written";
        found.push(format!("group {}: {message}", first.group));
    } else if reports.iter().all(|report| report.primary.is_none()) {
        found.push(format!("group {}: no primary, so nothing is written", first.group));
    }
    for server in first.servers.iter().filter(|s| !up.contains(&s.server)) {
        found.push(format!("group {}: server {} does not answer", first.group, server.server));
    }
    found
}
