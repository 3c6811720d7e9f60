//! bergamottrack: a database proxy with session consistency.

use std::process::ExitCode;

use clap::Parser;

mod cli;
mod cmd;
mod failure;
mod heap;
mod log;
mod settings;
mod table;

use cli::{Command, ConfigCommand, KeyCommand};
use failure::Failure;

fn main() -> ExitCode {
    heap::return_large_blocks();
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
        Command::Entry(args) => cmd::entry::run(args)?,
        Command::Check(args) => cmd::check::run(&args)?,
        Command::Config(ConfigCommand::Show(args)) => cmd::check::show(&args)?,
        Command::Diff(args) => cmd::submit::diff(&args)?,
        Command::Submit(args) => cmd::submit::run(&args)?,
        Command::History(args) => cmd::history::run(&args)?,
        Command::Rollback(args) => cmd::submit::rollback(&args)?,
        Command::Status(args) => cmd::status::run(&args)?,
        Command::Hosts(args) => cmd::status::hosts(&args)?,
        Command::Groups(args) => cmd::status::groups(&args)?,
        Command::Accounts(args) => cmd::accounts::run(&args)?,
        Command::Outcome(args) => cmd::outcome::run(&args)?,
        Command::Drain(args) => cmd::drain::run(&args)?,
        Command::Key(KeyCommand::Withdraw(args)) => cmd::key::withdraw(&args)?,
        Command::Key(KeyCommand::New(args)) => cmd::key::new(&args)?,
        Command::Key(KeyCommand::List(args)) => cmd::key::list(&args)?,
        Command::Completions { shell } => cmd::pages::completions(shell),
        Command::Man => cmd::pages::man()?,
    }
    Ok(())
}
