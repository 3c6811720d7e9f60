//! Sessions over pooled connections to backend servers, and failover of group leaders.

pub mod backend;
pub mod caller;
pub mod change;
pub mod clock;
pub mod compression;
pub mod confirm;
pub mod conn;
pub mod fetch;
pub mod fleet;
pub mod follow;
pub mod gossip;
pub mod group;
pub mod host;
pub mod job;
pub mod lead;
pub mod metrics;
pub mod place;
pub mod placement;
pub mod pool;
pub mod positions;
pub mod relay;
pub mod serve;
pub mod silent;
pub mod talk;
pub mod tokens;

pub use clock::BootClock;
pub use host::Host;
