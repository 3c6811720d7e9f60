//! Configuration of a site: database groups, backend servers, client accounts, keys and rates.

pub mod check;
pub mod config;
pub mod diff;
pub mod fault;
pub mod merge;
pub mod revision;
pub mod routes;
pub mod schema;
pub mod show;
pub mod source;
pub mod verifier;

pub use config::{BackendServer, ClientAccount, Config, Group, Key, Policy};
pub use diff::Change;
pub use fault::{Fault, Faults};
pub use revision::{Current, Host, RevisionDoc};
pub use routes::{Route, Routes};
pub use source::Node;
pub use verifier::{Verifier, VerifierError};
