//! Client of the platform: table service, object store and host list.

pub mod chain;
pub mod client;
pub mod http;

pub use chain::Chain;
pub use client::{Check, Commit, Outcome, Platform, Put, Row};
