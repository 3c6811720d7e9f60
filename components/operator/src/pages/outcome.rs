//! Page with the outcome of a request that runs at most once.

use std::time::Duration;

use bergamottrack_peer::OutcomeQuery;
use hyper::StatusCode;

use crate::{
    api::OutcomePage,
    operator::Operator,
    pages::{PageResult, required_param, unknown},
    serve::{Reply, Request},
};

/// Timeout of the request to the group's home; longer than a failover.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(3);

/// Requests the outcome from the home of the group.
pub async fn show(operator: &Operator, request: &Request) -> PageResult {
    let of = OutcomeQuery {
        group: required_param(request, "group")?,
        account: required_param(request, "account")?,
        request: required_param(request, "id")?,
        timeout: OUTCOME_TIMEOUT,
    };
    let doc = operator.fleet.current.get();
    let config = doc.as_ref().and_then(|doc| doc.config.as_ref());
    let config = config.ok_or_else(|| unknown("this host has no configuration yet"))?;
    // A mistyped id is not found, so a request that ran would be reported as "not run".
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
