//! The commands, a file each.

pub mod check;
pub mod files;
pub mod key;
pub mod pages;
pub mod serve;
mod stop;
