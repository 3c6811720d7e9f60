//! Reports of the homes on this host.

use std::time::Duration;

use bergamottrack_metrics::{GroupReport, ServerReport};

use crate::{group::GroupHome, homes::Homes, server::Server};

impl Homes {
    /// Returns the reports of groups whose home is on this host, sorted by group: of homes that
    /// rank first or are in use.
    pub fn reports(&self) -> Vec<GroupReport> {
        let homes = self.all();
        let active =
            homes.iter().filter(|home| home.ranks_first.get() || !home.is_idle(Duration::ZERO));
        let mut reports: Vec<_> = active.map(|home| home.report()).collect();
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
            heard: server.last_seen.get().map(|last_seen| now.saturating_duration_since(last_seen)),
            busy: server.load().1 as u64,
            slots: server.contract.slots.into(),
            connections: server.pool.len() as u64,
            leaving: server.leaving.get(),
        }
    }
}
