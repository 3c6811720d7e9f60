//! Takes this host out of work.

use hyper::StatusCode;
use tracing::info;

use crate::{operator::Operator, serve::Reply};

/// Starts to drain this host; its process ends when what runs has ended.
pub fn start(operator: &Operator) -> Reply {
    info!("operator: this host is told to drain.");
    operator.drain.notify_one();
    Reply::json(StatusCode::OK, &operator.fleet.me.id)
}
