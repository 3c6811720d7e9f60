//! What became of a request that runs at most once.

use std::time::Duration;

use bergamottrack_peer::OutcomeQuery;
use hyper::StatusCode;

use crate::{
    api::OutcomePage,
    operator::Operator,
    pages::{Shown, needed, unknown},
    serve::{Reply, Request},
};

/// How long an answer is waited for: longer than a failover takes.
const WITHIN: Duration = Duration::from_secs(3);

/// Asks the home of the group.
pub async fn show(operator: &Operator, request: &Request) -> Shown {
    let of = OutcomeQuery {
        group: needed(request, "group")?,
        account: needed(request, "account")?,
        request: needed(request, "id")?,
        timeout: WITHIN,
    };
    let doc = operator.fleet.current.get();
    let config = doc.as_ref().and_then(|doc| doc.config.as_ref());
    let config = config.ok_or_else(|| unknown("this host has no configuration yet"))?;
    // Mistyped, nothing would be found, and a caller would hear "not run" of what ran.
    if config.group(&of.group).is_none() {
        return Err(super::faulty(format!("there is no group {}", of.group)));
    }
    if config.account(&of.account).is_none() {
        return Err(super::faulty(format!("there is no client account {}", of.account)));
    }
    let outcome = operator.homes.outcome(config, &operator.fleet.mesh, of.clone()).await;
    let page = OutcomePage { group: of.group, account: of.account, request: of.request, outcome };
    Ok(Reply::json(StatusCode::OK, &page))
}
