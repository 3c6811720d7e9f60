//! Shell completions and the manual page.

use clap::CommandFactory;

use crate::{cli::Cli, failure::Failure};

/// Prints completions for a shell.
pub fn completions(shell: clap_complete::Shell) {
    clap_complete::generate(shell, &mut Cli::command(), "bergamottrack", &mut std::io::stdout());
}

/// Prints the manual page.
pub fn man() -> Result<(), Failure> {
    Ok(clap_mangen::Man::new(Cli::command()).render(&mut std::io::stdout())?)
}
