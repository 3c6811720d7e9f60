//! The configuration in force and how it came about.

use bergamottrack_coordination::Revision;
use hyper::StatusCode;

use super::Shown;
use crate::{
    api::ConfigPage,
    operator::Operator,
    serve::{Reply, Request},
};

/// Revisions that the history shows when nothing is asked.
const SHOWN: usize = 20;

/// The most revisions that the history shows.
const MOST: usize = 200;

/// Shows the revision in force here.
pub fn show(operator: &Operator) -> Shown {
    let doc = operator.fleet.current.get();
    let doc = doc.ok_or_else(|| super::refused("this host knows no revision yet"))?;
    Ok(Reply::json(StatusCode::OK, &ConfigPage::from(&*doc)))
}

/// Shows a revision of the history.
pub async fn revision(operator: &Operator, request: &Request) -> Shown {
    let number: Revision = super::needed(request, "number")?;
    let doc = operator.fleet.load(number).await.map_err(unusable)?;
    let doc = doc.ok_or_else(|| super::faulty(format!("there is no revision {number}")))?;
    Ok(Reply::json(StatusCode::OK, &ConfigPage::from(&doc)))
}

fn unusable(error: anyhow::Error) -> Reply {
    super::refused(format!("the platform cannot be used: {error:#}"))
}

/// Shows the last revisions, newest first.
pub async fn history(operator: &Operator, request: &Request) -> Shown {
    let n = super::setting(request, "n")?.unwrap_or(SHOWN).min(MOST);
    let entries = operator.fleet.history(n).await.map_err(unusable)?;
    Ok(Reply::json(StatusCode::OK, &entries))
}
