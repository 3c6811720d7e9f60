//! The last revisions.

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

/// A revision and what it changed.
#[derive(Serialize)]
struct RevisionRow {
    #[serde(flatten)]
    entry: chain::Entry,
    /// What differs from the revision before; `None` when it was not asked for.
    changes: Option<Vec<Change>>,
}

/// Prints the last revisions, newest first.
pub fn run(args: &HistoryArgs) -> Result<(), Failure> {
    let mut remote = Remote::new(&args.remote)?;
    let entries: Vec<chain::Entry> = remote.get(&format!("/history?n={}", args.number))?;
    let mut lines = Vec::new();
    for entry in entries {
        let changes = args.changes.then(|| changes(&mut remote, &entry)).transpose()?;
        lines.push(RevisionRow { entry, changes });
    }
    remote.print(&lines, |lines| print!("{}", text(lines)))
}

fn changes(remote: &mut Remote, entry: &chain::Entry) -> Result<Vec<Change>, Failure> {
    if entry.config_revision != entry.number {
        return Ok(Vec::new());
    }
    let before = match entry.number.0 {
        0 | 1 => None,
        number => config(remote, Revision(number - 1))?,
    };
    let after = config(remote, entry.number)?;
    Ok(after.map(|after| diff::diff(before.as_ref(), &after)).unwrap_or_default())
}

fn config(remote: &mut Remote, number: Revision) -> Result<Option<Config>, Failure> {
    let page: ConfigPage = remote.get(&format!("/revision?number={number}"))?;
    Ok(page.config)
}

/// The table, each row followed by what it changed.
fn text(lines: &[RevisionRow]) -> String {
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
