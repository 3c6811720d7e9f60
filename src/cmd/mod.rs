//! The commands, a file each.

pub mod key;
pub mod serve;
