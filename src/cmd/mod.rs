//! The commands, one module each.

pub mod accounts;
pub mod check;
mod concerns;
pub mod drain;
pub mod entry;
pub mod files;
pub mod history;
pub mod key;
pub mod outcome;
pub mod pages;
pub mod remote;
pub mod serve;
pub mod status;
mod stop;
pub mod submit;
