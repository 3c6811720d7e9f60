//! bergamottrack: a database proxy with session consistency.

use std::process::ExitCode;

use clap::Parser;

mod cli;
mod cmd;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    let result = match cli.command {
        cli::Command::Serve(args) => cmd::serve::run(*args),
        cli::Command::Key(args) => cmd::key::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bergamottrack: {error:#}");
            ExitCode::from(2)
        }
    }
}
