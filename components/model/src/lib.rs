//! Statements of callers, answers of backend servers and the operator's configuration, independent
//! of any protocol.

pub mod plan;
pub mod server;
pub mod session;
pub mod settings;
pub mod statement;

pub use plan::{Account, Consistency, Plan, Route};
pub use server::{ListedServer, Role, Status};
pub use session::Session;
pub use settings::Settings;
pub use statement::{Access, Failure, Outcome, Request, ServerAnswer, State, Statement};
