//! The client accounts: what they may do and how they fare.

use std::collections::BTreeMap;

use bergamottrack_contract::ClientAccount;
use bergamottrack_coordination::{AccountId, Reason};
use bergamottrack_metrics::{AccountReport, LatencyHistogram};
use bergamottrack_operator::api::{ConfigPage, HostLine, StatusPage};
use serde::Serialize;

use crate::{cli::RemoteArgs, cmd::remote::Remote, failure::Failure, table::Table};

/// How an account fares over all hosts that answer, since each of them started.
#[derive(Default, Serialize)]
struct Faring {
    served: u64,
    seconds: f64,
    spread: LatencyHistogram,
    refused: BTreeMap<Reason, u64>,
}

/// An account and how it fares.
#[derive(Serialize)]
struct Line {
    account: AccountId,
    rate: f64,
    burst: f64,
    weight: u32,
    /// Keys that stand.
    keys: usize,
    #[serde(flatten)]
    faring: Faring,
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

fn line(account: &ClientAccount, hosts: &[HostLine]) -> Line {
    let reports = hosts.iter().filter_map(|line| line.report.as_ref());
    let own = reports.flat_map(|report| &report.accounts).filter(|r| r.account == account.id);
    Line {
        account: account.id.clone(),
        rate: account.rate.0,
        burst: account.burst.0,
        weight: account.weight,
        keys: account.keys.iter().filter(|key| !key.withdrawn).count(),
        faring: own.fold(Faring::default(), add),
    }
}

fn add(mut faring: Faring, report: &AccountReport) -> Faring {
    faring.served += report.served;
    faring.seconds += report.seconds;
    faring.spread.merge(&report.spread);
    for refused in &report.refused {
        *faring.refused.entry(refused.reason).or_default() += refused.count;
    }
    faring
}

fn table(lines: &[Line]) -> Table {
    let headings =
        ["ACCOUNT", "RATE", "BURST", "WEIGHT", "KEYS", "SERVED", "MEAN", "P99", "REFUSED"];
    let mut table = Table::new(headings);
    for line in lines {
        let Faring { served, seconds, spread, refused } = &line.faring;
        let mean = match served {
            0 => "-".to_owned(),
            served => format!("{:.1}ms", seconds * 1_000.0 / *served as f64),
        };
        let worst = match spread.quantile(0.99) {
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
