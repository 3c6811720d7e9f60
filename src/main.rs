//! bergamottrack: a database proxy with session consistency.

use std::process::ExitCode;

use clap::Parser;

mod cli;
mod cmd;
mod failure;
mod settings;
mod table;

use cli::{Command, ConfigCommand, KeyCommand};
use failure::Failure;

fn main() -> ExitCode {
    match run(cli::Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("bergamottrack: {:#}", failure.error());
            failure.code()
        }
    }
}

fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Serve(args) => cmd::serve::run(settings::Settings::read(&args)?)?,
        Command::Check(args) => cmd::check::run(&args)?,
        Command::Config(ConfigCommand::Show(args)) => cmd::check::show(&args)?,
        Command::Key(KeyCommand::New(args)) => cmd::key::new(&args)?,
        Command::Key(KeyCommand::List(args)) => cmd::key::list(&args)?,
        Command::Completions { shell } => cmd::pages::completions(shell),
        Command::Man => cmd::pages::man()?,
    }
    Ok(())
}
