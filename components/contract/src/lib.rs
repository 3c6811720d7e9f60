//! The configuration: groups, backend servers, client accounts, keys and rates.

pub mod config;
pub mod revision;
pub mod routes;
pub mod verifier;

pub use config::{BackendServer, ClientAccount, Config, Group, Key, Policy};
pub use revision::{Current, Host, RevisionDoc};
pub use routes::{Route, Routes};
pub use verifier::{Verifier, VerifierError};
