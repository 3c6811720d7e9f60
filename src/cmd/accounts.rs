//! Lists the client accounts with their limits and request totals.

use std::collections::BTreeMap;

use bergamottrack_contract::ClientAccount;
use bergamottrack_coordination::{AccountId, Reason};
use bergamottrack_metrics::{AccountReport, LatencyHistogram};
use bergamottrack_operator::api::{ConfigPage, HostLine, StatusPage};
use serde::Serialize;

use crate::{cli::RemoteArgs, cmd::remote::Remote, failure::Failure, table::Table};

/// Request totals of an account, summed over all responding hosts since each one started.
#[derive(Default, Serialize)]
struct AccountTotals {
    served: u64,
    seconds: f64,
    spread: LatencyHistogram,
    refused: BTreeMap<Reason, u64>,
}

/// A client account with its limits and request totals.
#[derive(Serialize)]
struct AccountRow {
    account: AccountId,
    rate: f64,
    burst: f64,
    weight: u32,
    /// Number of keys that are not withdrawn.
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
    let lines: Vec<_> =
        accounts.iter().map(|account| account_row(account, &status.hosts)).collect();
    remote.print(&lines, |lines| print!("{}", table(lines)))
}

fn account_row(account: &ClientAccount, hosts: &[HostLine]) -> AccountRow {
    let reports = hosts.iter().filter_map(|line| line.report.as_ref());
    let account_reports =
        reports.flat_map(|report| &report.accounts).filter(|r| r.account == account.id);
    AccountRow {
        account: account.id.clone(),
        rate: account.rate.0,
        burst: account.burst.0,
        weight: account.weight,
        keys: account.keys.iter().filter(|key| !key.withdrawn).count(),
        totals: account_reports.fold(AccountTotals::default(), add_report),
    }
}

fn add_report(mut totals: AccountTotals, report: &AccountReport) -> AccountTotals {
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
        let p99 = match spread.quantile(0.99) {
            Some(time) => format!("{time:?}"),
            None if *served == 0 => "-".to_owned(),
            None => "long".to_owned(),
        };
        let refused: Vec<_> =
            refused.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
        table.row([
            line.account.as_str(),
            &format!("{}/s", line.rate),
            &line.burst.to_string(),
            &line.weight.to_string(),
            &line.keys.to_string(),
            &served.to_string(),
            &mean,
            &p99,
            &if refused.is_empty() { "-".to_owned() } else { refused.join(", ") },
        ]);
    }
    table
}
