//! Builds the product together with the lab, so that a single command is enough to run the lab.

use std::process::{Command, Stdio};

use anyhow::Context;

/// Builds the product with the profile of the lab when run by cargo, as in `cargo run`. Otherwise
/// nothing is built, and the program beside the lab is used.
pub fn build() -> anyhow::Result<()> {
    let Some(cargo) = std::env::var_os("CARGO") else { return Ok(()) };
    let mut command = Command::new(cargo);
    eprintln!("lab: building the product, which takes a minute on a new machine");
    command.args(["build", "--locked", "--package", "bergamottrack"]);
    command.arg("--manifest-path").arg(concat!(env!("CARGO_MANIFEST_DIR"), "/../Cargo.toml"));
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let status = command.stdin(Stdio::null()).status().context("building the product")?;
    anyhow::ensure!(status.success(), "building the product failed");
    Ok(())
}
