//! The fleet: membership, the revision in force and its changes.

pub mod fleet;
pub mod limits;
mod roster;
mod rounds;
pub mod spell;
mod standing;
pub mod submit;

pub use fleet::Fleet;
pub use limits::Limits;
pub use submit::{Accepted, SubmitError};
