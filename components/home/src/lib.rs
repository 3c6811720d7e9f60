//! The home of a database group: pool, slots, queue, watch and promotion.

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
