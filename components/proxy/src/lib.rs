//! Sessions over pooled connections to backend servers, and who leads each group.

pub mod backend;
pub mod caller;
pub mod clock;
pub mod confirm;
pub mod conn;
pub mod eviction;
pub mod failover;
pub mod fetch;
pub mod fleet;
pub mod follow;
pub mod gossip;
pub mod group;
pub mod host;
pub mod job;
pub mod measure;
pub mod monitor;
pub mod packed;
pub mod place;
pub mod placement;
pub mod pool;
pub mod positions;
pub mod relay;
pub mod serve;
pub mod talk;
pub mod tokens;

pub use clock::BootClock;
pub use host::Host;
