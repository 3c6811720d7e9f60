//! The fleet: membership, the revision in force and its changes.

pub mod fleet;
pub mod submit;

pub use fleet::Fleet;
pub use submit::SubmitError;
