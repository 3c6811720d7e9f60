//! Home of a database group: connection pools, slots and queues of its backend servers, their
//! monitors, and promotion of a new primary.
//!
//! The home of a group is the host that serves its requests and monitors its servers.

pub mod backend;
pub mod batch;
pub mod execution;
pub mod group;
pub mod handover;
pub mod homes;
mod monitor;
pub mod outcome;
pub mod pool;
pub mod promotion;
pub mod protocol;
pub mod queue;
pub mod report;
pub mod route;
pub mod serve;
pub mod server;

pub use homes::Homes;
