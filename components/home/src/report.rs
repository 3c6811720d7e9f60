//! What the homes on this host report of their groups.

use std::time::Duration;

use bergamottrack_metrics::{GroupReport, ServerReport};

use crate::{group::GroupHome, homes::Homes, server::Server};

impl Homes {
    /// A report of each group whose home this host is, in order of their names.
    pub fn reports(&self) -> Vec<GroupReport> {
        let homes = self.all();
        let used =
            homes.iter().filter(|home| home.ranks_first.get() || !home.is_idle(Duration::ZERO));
        let mut reports: Vec<_> = used.map(|home| home.report()).collect();
        reports.sort_by(|a, b| a.group.cmp(&b.group));
        reports
    }
}

impl GroupHome {
    fn report(&self) -> GroupReport {
        let term = self.statuses().map(|(_, status)| status.promised).max();
        GroupReport {
            group: self.id.clone(),
            primary: self.primary().map(|(server, _)| server.contract.id.clone()),
            term: term.unwrap_or_default(),
            queue: self.servers.iter().map(|server| server.load().0 as u64).sum(),
            servers: self.servers.iter().map(|server| self.server_report(server)).collect(),
        }
    }

    fn server_report(&self, server: &Server) -> ServerReport {
        let now = self.clock.now();
        let status = server.status(now, self.silence_timeout());
        ServerReport {
            server: server.contract.id.clone(),
            domain: server.contract.domain.clone(),
            role: status.map(|status| status.role),
            applied: server.last_status.get().map(|status| status.applied).unwrap_or_default(),
            heard: server.last_seen.get().map(|heard| now.saturating_duration_since(heard)),
            busy: server.load().1 as u64,
            slots: server.contract.slots.into(),
            connections: server.pool.len() as u64,
            leaving: server.leaving.get(),
        }
    }
}
