//! Lists the last revisions.

use std::fmt::Write;

use bergamottrack_contract::{Change, Config, diff};
use bergamottrack_coordination::Revision;
use bergamottrack_operator::api::ConfigPage;
use bergamottrack_platform::chain;
use serde::Serialize;

use crate::{
    cli::HistoryArgs,
    cmd::remote::{self, Remote},
    failure::Failure,
    table::Table,
};

/// A revision and its changes of the configuration.
#[derive(Serialize)]
struct RevisionRow {
    #[serde(flatten)]
    entry: chain::Entry,
    /// Changes against the previous revision; `None` if they were not requested.
    changes: Option<Vec<Change>>,
}

/// Prints the last revisions, newest first.
pub fn run(args: &HistoryArgs) -> Result<(), Failure> {
    let mut remote = Remote::new(&args.remote)?;
    let entries: Vec<chain::Entry> = remote.get(&format!("/history?n={}", args.number))?;
    let mut lines = Vec::new();
    for entry in entries {
        let changes = args.changes.then(|| changes_of(&mut remote, &entry)).transpose()?;
        lines.push(RevisionRow { entry, changes });
    }
    remote.print(&lines, |lines| print!("{}", render(lines)))
}

/// Reads both configurations and compares them; empty if the revision left the
/// configuration as it was.
fn changes_of(remote: &mut Remote, entry: &chain::Entry) -> Result<Vec<Change>, Failure> {
    if entry.config_revision != entry.number {
        return Ok(Vec::new());
    }
    let before = match entry.number.0 {
        0 | 1 => None,
        number => config_at(remote, Revision(number - 1))?,
    };
    let after = config_at(remote, entry.number)?;
    Ok(after.map(|after| diff::diff(before.as_ref(), &after)).unwrap_or_default())
}

fn config_at(remote: &mut Remote, number: Revision) -> Result<Option<Config>, Failure> {
    let page: ConfigPage = remote.get(&format!("/revision?number={number}"))?;
    Ok(page.config)
}

/// Renders the table, with the changes of each revision below its row.
fn render(lines: &[RevisionRow]) -> String {
    let mut table = Table::new(["REVISION", "WHEN", "BY", "CHANGED", "SUBMIT"]);
    for RevisionRow { entry, .. } in lines {
        let changed = match entry.config_revision == entry.number {
            true => "configuration",
            false => "hosts",
        };
        let (number, when) = (entry.number.to_string(), remote::ago(entry.at));
        table.row([&number, &when, &entry.author, changed, entry.submit.as_str()]);
    }
    let table = table.to_string();
    let mut out = String::new();
    // The first row holds the headings.
    let changes = [None].into_iter().chain(lines.iter().map(|line| line.changes.as_ref()));
    for (row, changes) in table.lines().zip(changes) {
        let _ = writeln!(out, "{row}");
        for change in changes.into_iter().flatten() {
            let _ = writeln!(out, "    {change}");
        }
    }
    out
}
