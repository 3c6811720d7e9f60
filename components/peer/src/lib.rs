//! Messages and links between hosts.

pub mod accept;
mod activity;
pub mod exchange;
pub mod forward;
pub mod link;
pub mod mesh;
pub mod message;
pub mod newest;
pub mod peer_clock;
mod socket;

pub use exchange::{Exchange, HomeSide, open_local};
pub use forward::{ForwardResult, ForwardedStatement, NotSent, TransactionId};
pub use link::Link;
pub use mesh::Mesh;
pub use message::{Answer, Intent, Message, Open, OutcomeQuery, Question, ToEntry, ToHome};
