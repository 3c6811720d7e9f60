//! Page with the metrics for a scraper.

use hyper::StatusCode;

use crate::{api::Verdict, operator::Operator, serve::Reply};

/// Shows all metrics in the OpenMetrics text format.
pub fn show(operator: &Operator) -> Reply {
    match operator.metrics.render(&operator.report()) {
        Ok(text) => Reply {
            kind: "application/openmetrics-text; version=1.0.0; charset=utf-8",
            ..Reply::text(StatusCode::OK, text)
        },
        Err(error) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            Reply::error(status, Verdict::Unknown, format!("writing the metrics: {error}"))
        }
    }
}
