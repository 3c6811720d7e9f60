//! Page with the state of the fleet as seen by this host.

use std::time::Duration;

use bergamottrack_contract::Host;
use bergamottrack_metrics::HostReport;
use bergamottrack_peer::{Answer, Question};
use futures_util::future;
use hyper::StatusCode;

use crate::{
    api::{HostLine, StatusPage},
    operator::Operator,
    serve::Reply,
};

/// Timeout of a request for a host's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);

/// Requests the reports of all hosts of the roster.
pub async fn show(operator: &Operator) -> Reply {
    let fleet = &operator.fleet;
    let doc = fleet.current.get();
    let roster = doc.as_ref().map(|doc| doc.roster.clone()).unwrap_or_default();
    let lines =
        roster.iter().map(async |host| HostLine::new(host, request_report(operator, host).await));
    let mut hosts = future::join_all(lines).await;
    hosts.sort_by(|a, b| a.host.cmp(&b.host));
    let config = doc.as_ref().and_then(|doc| doc.config.as_ref());
    let page = StatusPage {
        from: fleet.me.id.clone(),
        site: config.map(|config| config.site.clone()),
        revision: fleet.current.number(),
        config_revision: doc.as_ref().map(|doc| doc.config_revision).unwrap_or_default(),
        author: doc.as_ref().map(|doc| doc.author.clone()).unwrap_or_default(),
        at: doc.as_ref().map_or(0, |doc| doc.at),
        groups: config.into_iter().flat_map(|c| &c.groups).map(|g| g.id.clone()).collect(),
        hosts,
    };
    Reply::json(StatusCode::OK, &page)
}

/// Returns the report of a host; `None` if it does not answer.
async fn request_report(operator: &Operator, host: &Host) -> Option<HostReport> {
    if host.id == operator.fleet.me.id {
        return Some(operator.report());
    }
    let link = operator.fleet.mesh.link(&host.id)?;
    match link.query(Question::Report, REPORT_TIMEOUT).await {
        Ok(Answer::Report(report)) => Some(*report),
        _ => None,
    }
}
