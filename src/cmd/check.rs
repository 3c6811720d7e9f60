//! Checks configuration files and shows what they merge to.

use bergamottrack_contract::show;

use crate::{cli::FileArgs, cmd::files, failure::Failure};

/// Checks a configuration.
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

/// Prints the merged text with the file and line of each value.
pub fn show(args: &FileArgs) -> Result<(), Failure> {
    print!("{}", show::with_origins(&files::read(args)?.node));
    Ok(())
}
