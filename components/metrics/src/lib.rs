//! Measurements of a host and its reports.

mod gauges;
mod label;
pub mod latency;
pub mod metrics;
pub mod report;

pub use latency::LatencyHistogram;
pub use metrics::{Caller, Metrics, Phase, Timing};
pub use report::{AccountReport, GroupReport, HostReport, ServerReport};
