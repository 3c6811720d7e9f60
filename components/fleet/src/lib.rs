//! The fleet: membership, the revision in force and its changes.

pub mod condition;
pub mod fleet;
mod freshness;
pub mod limits;
mod roster;
mod rounds;
pub mod submit;

pub use fleet::Fleet;
pub use limits::Limits;
pub use submit::{Accepted, SubmitError};
