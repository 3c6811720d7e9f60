//! The fleet: membership, the revision in force and its changes.

pub mod fleet;
mod roster;
mod rounds;
pub mod submit;

pub use fleet::Fleet;
pub use submit::{Accepted, SubmitError};
