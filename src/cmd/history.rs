//! The last revisions.

use bergamottrack_platform::chain;

use crate::{
    cli::HistoryArgs,
    cmd::remote::{self, Remote},
    failure::Failure,
    table::Table,
};

/// Prints the last revisions, newest first.
pub fn run(args: &HistoryArgs) -> Result<(), Failure> {
    let mut remote = Remote::new(&args.remote)?;
    let entries: Vec<chain::Entry> = remote.get(&format!("/history?n={}", args.number))?;
    remote.print(&entries, |entries| {
        let mut table = Table::new(["REVISION", "WHEN", "BY", "CHANGED", "SUBMIT"]);
        for entry in entries {
            let changed = match entry.config_revision == entry.number {
                true => "configuration",
                false => "hosts",
            };
            let (number, when) = (entry.number.to_string(), remote::ago(entry.at));
            table.row([&number, &when, &entry.author, changed, entry.submit.as_str()]);
        }
        print!("{table}");
    })
}
