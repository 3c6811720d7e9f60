//! Page that drains this host.

use hyper::StatusCode;
use tracing::info;

use crate::{operator::Operator, serve::Reply};

/// Starts to drain this host; its process ends when the running work has ended.
pub fn start(operator: &Operator) -> Reply {
    info!("operator: this host was requested to drain.");
    operator.drain.notify_one();
    Reply::json(StatusCode::OK, &operator.fleet.me.id)
}
