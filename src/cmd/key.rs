//! Generates, lists and withdraws keys.

use bergamottrack_contract::Verifier;

use crate::{
    cli::{FileArgs, NewKeyArgs, WithdrawArgs},
    cmd::{files, remote::Remote},
    failure::Failure,
    table::Table,
};

/// Generates a key and prints it with its verifier for the configuration.
///
/// The key is shown only this once.
pub fn new(args: &NewKeyArgs) -> Result<(), Failure> {
    let generate = || format!("{:032x}", rand::random::<u128>());
    let key = args.key.clone().unwrap_or_else(generate);
    let salt: [u8; 16] = rand::random();
    let account = args.account.as_ref().map_or("ACCOUNT", |account| account.as_str());
    println!("# For the caller, shown this once: user {account}.{}, password", args.id);
    println!("# {key}");
    println!("# For the configuration, under [[account]] with id = {account:?}:");
    println!("[[account.key]]");
    println!("id = {:?}", args.id.as_str());
    println!("verifier = {:?}", Verifier::new(&key, &salt).to_string());
    Ok(())
}

/// Prints the keys of a configuration.
pub fn list(args: &FileArgs) -> Result<(), Failure> {
    let mut table = Table::new(["ACCOUNT", "KEY", "STANDING", "VERIFIER"]);
    for account in &files::read(args)?.config.accounts {
        for key in &account.keys {
            let standing = if key.withdrawn { "withdrawn" } else { "stands" };
            let row = [account.id.as_str(), key.id.as_str(), standing, &key.verifier.fingerprint()];
            table.row(row);
        }
    }
    print!("{table}");
    Ok(())
}

/// Withdraws a key in the configuration in force, which leaves the files as they are.
pub fn withdraw(args: &WithdrawArgs) -> Result<(), Failure> {
    let WithdrawArgs { account, id, author, remote } = args;
    Remote::new(remote)?
        .change(&format!("/withdraw?account={account}&key={id}&author={author}"), "")?;
    if !remote.json {
        println!("set withdrawn = true for key {id} of account {account} in the files too");
    }
    Ok(())
}
