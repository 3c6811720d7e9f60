//! Messages and links between the hosts.

pub mod accept;
pub mod errand;
pub mod exchange;
mod heard;
pub mod link;
pub mod mesh;
pub mod message;
mod socket;

pub use errand::{Errand, NotSent, Relayed, WorkNo};
pub use exchange::{Exchange, HomeSide, open_local};
pub use link::Link;
pub use mesh::Mesh;
pub use message::{Answer, Intent, Message, Open, OutcomeOf, Question, ToEntry, ToHome};
