//! Checks configuration files and prints the merged configuration.

use bergamottrack_contract::show;

use crate::{cli::FileArgs, cmd::files, failure::Failure};

/// Checks a configuration and prints how many groups, accounts and keys it has.
pub fn run(args: &FileArgs) -> Result<(), Failure> {
    let config = files::read(args)?.config;
    let keys: usize = config.accounts.iter().map(|account| account.keys.len()).sum();
    println!(
        "site {}: no fault; {} database groups, {} client accounts, {keys} keys",
        config.site,
        config.groups.len(),
        config.accounts.len()
    );
    Ok(())
}

/// Prints the merged configuration with the source file and line of each value.
pub fn show(args: &FileArgs) -> Result<(), Failure> {
    print!("{}", show::with_origins(&files::read(args)?.node));
    Ok(())
}
