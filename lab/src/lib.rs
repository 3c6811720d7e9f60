//! Stand-ins, faults, load and experiments for bergamottrack; not shipped.

pub mod client;
pub mod cost;
pub mod demo;
pub mod experiment;
pub mod fault;
pub mod lateness;
pub mod link;
pub mod load;
pub mod platform;
pub mod ports;
pub mod process;
pub mod product;
pub mod raw;
pub mod server;
pub mod site;
pub mod slopes;
pub mod soak;
pub mod storm;
pub mod system;
pub mod up;
pub mod usage;
