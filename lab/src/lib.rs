//! Stand-ins, faults, load and experiments for bergamottrack; not shipped.

pub mod link;
pub mod platform;
pub mod ports;
pub mod process;
pub mod raw;
pub mod server;
pub mod storm;
pub mod system;
