//! Pages with the configuration in force and its history.

use bergamottrack_coordination::Revision;
use hyper::StatusCode;

use super::PageResult;
use crate::{
    api::ConfigPage,
    operator::Operator,
    serve::{Reply, Request},
};

/// Default number of revisions in the history.
const DEFAULT_ENTRIES: usize = 20;

/// Maximum number of revisions in the history.
const MAX_ENTRIES: usize = 200;

/// Shows the revision in force on this host.
pub fn show(operator: &Operator) -> PageResult {
    let doc = operator.fleet.current.get();
    let doc = doc.ok_or_else(|| super::refused("this host knows no revision yet"))?;
    Ok(Reply::json(StatusCode::OK, &ConfigPage::from(&*doc)))
}

/// Shows the revision with a given number.
pub async fn revision(operator: &Operator, request: &Request) -> PageResult {
    let number: Revision = super::required_param(request, "number")?;
    let doc = operator.fleet.load(number).await.map_err(platform_error)?;
    let doc = doc.ok_or_else(|| super::faulty(format!("there is no revision {number}")))?;
    Ok(Reply::json(StatusCode::OK, &ConfigPage::from(&doc)))
}

fn platform_error(error: anyhow::Error) -> Reply {
    super::refused(format!("the platform cannot be used: {error:#}"))
}

/// Shows the last revisions, newest first.
pub async fn history(operator: &Operator, request: &Request) -> PageResult {
    let n = super::query_param(request, "n")?.unwrap_or(DEFAULT_ENTRIES).min(MAX_ENTRIES);
    let entries = operator.fleet.history(n).await.map_err(platform_error)?;
    Ok(Reply::json(StatusCode::OK, &entries))
}
