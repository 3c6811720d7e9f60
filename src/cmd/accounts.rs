//! The client accounts: what they may do and how they fare.

use std::collections::BTreeMap;

use bergamottrack_contract::ClientAccount;
use bergamottrack_coordination::{AccountId, Reason};
use bergamottrack_metrics::{AccountReport, Spread};
use bergamottrack_operator::api::{ConfigPage, HostLine, StatusPage};
use serde::Serialize;

use crate::{cli::RemoteArgs, cmd::remote::Remote, failure::Failure, table::Table};

/// How an account fares over all hosts that answer, since each of them started.
#[derive(Default, Serialize)]
struct AccountTotals {
    served: u64,
    seconds: f64,
    spread: Spread,
    refused: BTreeMap<Reason, u64>,
}

/// An account and how it fares.
#[derive(Serialize)]
struct AccountRow {
    account: AccountId,
    rate: f64,
    burst: f64,
    weight: u32,
    /// Keys that stand.
    keys: usize,
    #[serde(flatten)]
    totals: AccountTotals,
}

/// Prints the client accounts.
pub fn run(args: &RemoteArgs) -> Result<(), Failure> {
    let mut remote = Remote::new(args)?;
    let page: ConfigPage = remote.get("/config")?;
    let status: StatusPage = remote.get("/status")?;
    let accounts = page.config.map(|config| config.accounts).unwrap_or_default();
    let lines: Vec<_> = accounts.iter().map(|account| line(account, &status.hosts)).collect();
    remote.print(&lines, |lines| print!("{}", table(lines)))
}

fn line(account: &ClientAccount, hosts: &[HostLine]) -> AccountRow {
    let reports = hosts.iter().filter_map(|line| line.report.as_ref());
    let own = reports.flat_map(|report| &report.accounts).filter(|r| r.account == account.id);
    AccountRow {
        account: account.id.clone(),
        rate: account.rate.0,
        burst: account.burst.0,
        weight: account.weight,
        keys: account.keys.iter().filter(|key| !key.withdrawn).count(),
        totals: own.fold(AccountTotals::default(), add),
    }
}

fn add(mut totals: AccountTotals, report: &AccountReport) -> AccountTotals {
    totals.served += report.served;
    totals.seconds += report.seconds;
    totals.spread.merge(&report.spread);
    for refused in &report.refused {
        *totals.refused.entry(refused.reason).or_default() += refused.count;
    }
    totals
}

fn table(lines: &[AccountRow]) -> Table {
    let headings =
        ["ACCOUNT", "RATE", "BURST", "WEIGHT", "KEYS", "SERVED", "MEAN", "P99", "REFUSED"];
    let mut table = Table::new(headings);
    for line in lines {
        let AccountTotals { served, seconds, spread, refused } = &line.totals;
        let mean = match served {
            0 => "-".to_owned(),
            served => format!("{:.1}ms", seconds * 1_000.0 / *served as f64),
        };
        let worst = match spread.within(0.99) {
            Some(time) => format!("{time:?}"),
            None if *served == 0 => "-".to_owned(),
            None => "long".to_owned(),
        };
        let refused: Vec<_> = refused.iter().map(|(why, count)| format!("{why} {count}")).collect();
        table.row([
            line.account.as_str(),
            &format!("{}/s", line.rate),
            &line.burst.to_string(),
            &line.weight.to_string(),
            &line.keys.to_string(),
            &served.to_string(),
            &mean,
            &worst,
            &if refused.is_empty() { "-".to_owned() } else { refused.join(", ") },
        ]);
    }
    table
}
