//! The operator's HTTP interface: the pages that a host serves and their client.

pub mod api;
pub mod client;
pub mod operator;
pub mod pages;
pub mod serve;

pub use client::{Client, ClientError};
pub use operator::Operator;
pub use serve::{Reply, Request, serve};
