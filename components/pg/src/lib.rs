//! PostgreSQL messages and message streams, on top of the `pgwire` codec.

pub mod answer;
pub mod frame;
pub mod scram;
pub mod stream;

pub use frame::Frame;
pub use stream::{PgReader, PgWriter, split};
