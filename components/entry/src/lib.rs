//! The entry: callers' connections, keys, session tokens, limits and answers.

pub mod admit;
pub mod caller;
pub mod context;
pub mod login;
pub mod relay;
pub mod sql;

pub use context::Entry;
