//! Sessions over pooled connections to backend servers, and failover of group leaders.

pub mod backend;
pub mod caller;
pub mod catalog;
pub mod clock;
pub mod compression;
pub mod confirm;
pub mod conn;
pub mod eviction;
pub mod failover;
pub mod fetch;
pub mod fleet;
pub mod follow;
pub mod forward;
pub mod gossip;
pub mod group;
pub mod host;
pub mod join;
pub mod metrics;
pub mod monitor;
pub mod operation;
pub mod placement;
pub mod pool;
pub mod positions;
pub mod probe;
pub mod release;
pub mod replica_set;
pub mod serve;
pub mod servers;
pub mod session;
pub mod target;
pub mod timing;
pub mod tokens;

pub use clock::BootClock;
pub use host::Host;
