//! The operator's HTTP interface.

pub mod serve;

pub use serve::{Reply, Request, serve};
