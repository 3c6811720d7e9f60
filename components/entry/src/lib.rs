//! Entry of a host: callers' connections, authentication, session tokens, rate limits and
//! answers.

pub mod admit;
pub mod caller;
pub mod callers;
pub mod context;
pub mod extended;
pub mod local;
pub mod login;
pub mod relay;
pub mod replies;
pub mod session;
pub mod settings;
pub mod sql;
pub mod statements;
pub mod tls;
pub mod tokens;

pub use context::Entry;
