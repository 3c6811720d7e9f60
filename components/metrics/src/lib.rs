//! What a host measures and what it reports of itself.

mod gauges;
mod label;
pub mod metrics;
pub mod report;
pub mod spread;

pub use metrics::{Caller, Metrics, Phase, Timing};
pub use report::{AccountReport, GroupReport, HostReport, ServerReport};
pub use spread::Spread;
