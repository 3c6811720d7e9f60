//! The home of a database group: pool, slots, queue, watch and promotion.

pub mod backend;
pub mod batch;
pub mod border;
pub mod group;
pub mod handover;
pub mod homes;
pub mod outcome;
pub mod pool;
pub mod promotion;
pub mod queue;
pub mod report;
pub mod route;
pub mod serve;
pub mod server;
pub mod turn;
mod watch;

pub use homes::Homes;
