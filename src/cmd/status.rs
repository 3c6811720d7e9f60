//! Shows the hosts and database groups of the fleet.

use std::time::Duration;

use bergamottrack_metrics::{GroupReport, HostReport, ServerReport};
use bergamottrack_operator::api::{HostLine, StatusPage};

use serde::Serialize;

use crate::{
    cli::{RemoteArgs, StatusArgs},
    cmd::{
        concerns,
        remote::{self, Remote},
    },
    failure::Failure,
    table::Table,
};

/// Interval between updates of `status --watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);

/// Escape sequence that moves the cursor to the top of the terminal and clears it.
const CLEAR: &str = "\x1b[H\x1b[2J";

/// Prints the whole fleet, once or every [`WATCH_INTERVAL`].
pub fn run(args: &StatusArgs) -> Result<(), Failure> {
    let mut remote = Remote::new(&args.remote)?;
    loop {
        let shown = remote.get("/status").and_then(|page: StatusPage| {
            let page = Fleet { concerns: concerns::concerns(&page), page };
            if args.watch && !args.remote.json {
                print!("{CLEAR}");
            }
            remote.print(&page, show)
        });
        match shown {
            Err(failure) if args.watch => println!("{:#}", failure.error()),
            shown if !args.watch => return shown,
            _ => {}
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

/// Prints the hosts.
pub fn hosts(args: &RemoteArgs) -> Result<(), Failure> {
    let mut remote = Remote::new(args)?;
    let page: StatusPage = remote.get("/status")?;
    remote.print(&page.hosts, |hosts| print!("{}", host_table(hosts)))
}

/// Prints the database groups.
pub fn groups(args: &RemoteArgs) -> Result<(), Failure> {
    let mut remote = Remote::new(args)?;
    let page: StatusPage = remote.get("/status")?;
    let homes: Vec<_> = group_homes(&page.hosts).collect();
    remote.print(&homes, |_| print!("{}", group_table(&page.hosts)))
}

/// The status page and the problems found in it.
#[derive(Serialize)]
struct Fleet {
    concerns: Vec<String>,
    #[serde(flatten)]
    page: StatusPage,
}

fn show(fleet: &Fleet) {
    let Fleet { concerns, page } = fleet;
    let site = page.site.as_deref().unwrap_or("without a configuration");
    println!(
        "site {site}: revision {} (by {}, {}), configuration of revision {}, seen from {}",
        page.revision,
        page.author,
        remote::ago(page.at),
        page.config_revision,
        page.from
    );
    concerns.iter().for_each(|concern| println!("! {concern}"));
    if concerns.is_empty() {
        println!("all is well");
    }
    print!("\n{}\n{}", host_table(&page.hosts), group_table(&page.hosts));
}

fn host_table(hosts: &[HostLine]) -> Table {
    let headings = ["HOST", "DOMAIN", "REVISION", "STATE", "FRESH", "CALLERS", "HOME OF"];
    let mut table = Table::new(headings);
    for line in hosts {
        let (host, domain) = (line.host.as_str(), line.domain.as_str());
        let Some(report) = &line.report else {
            table.row([host, domain, "-", "no answer", "-", "-", "-"]);
            continue;
        };
        let groups: Vec<_> = report.groups.iter().map(|g| g.group.to_string()).collect();
        table.row([
            host,
            domain,
            &report.revision.to_string(),
            state(report),
            &age(report.fresh),
            &report.callers.to_string(),
            &groups.join(", "),
        ]);
    }
    table
}

fn state(report: &HostReport) -> &'static str {
    match (report.draining, report.acts) {
        (true, _) => "draining",
        (false, true) => "serves",
        (false, false) => "serves nobody: not fresh",
    }
}

fn age(age: Option<Duration>) -> String {
    age.map_or("never".to_owned(), |age| format!("{:.1}s", age.as_secs_f64()))
}

/// Returns each database group with the hosts that are its homes.
fn group_homes(hosts: &[HostLine]) -> impl Iterator<Item = (&HostLine, &GroupReport)> {
    let reports = hosts.iter().filter_map(|line| Some((line, line.report.as_ref()?)));
    reports.flat_map(|(line, report)| report.groups.iter().map(move |group| (line, group)))
}

fn group_table(hosts: &[HostLine]) -> Table {
    let headings = [
        "GROUP",
        "SERVER",
        "DOMAIN",
        "ROLE",
        "TERM",
        "POSITION",
        "LAG",
        "BUSY",
        "QUEUE",
        "CONNECTIONS",
        "HOME",
    ];
    let mut table = Table::new(headings);
    for (line, group) in group_homes(hosts) {
        let newest = group.servers.iter().map(|server| server.applied.position.0).max();
        for server in &group.servers {
            table.row([
                group.group.as_str(),
                server.server.as_str(),
                server.domain.as_str(),
                &role(group, server),
                &server.applied.term.to_string(),
                &server.applied.position.to_string(),
                &newest.unwrap_or_default().saturating_sub(server.applied.position.0).to_string(),
                &format!("{}/{}", server.busy, server.slots),
                &group.queue.to_string(),
                &server.connections.to_string(),
                line.host.as_str(),
            ]);
        }
    }
    table
}

/// Returns the role of a server in words. A server that still reports itself as primary
/// after another one has replaced it is shown as `replaced`.
fn role(group: &GroupReport, server: &ServerReport) -> String {
    let leads = group.primary.as_ref() == Some(&server.server);
    let role = match server.role {
        Some(_) if leads => "primary",
        Some(bergamottrack_coordination::leadership::Role::Primary) => "replaced",
        Some(bergamottrack_coordination::leadership::Role::Replica) => "replica",
        None => "no answer",
    };
    if server.leaving { format!("{role}, leaving") } else { role.to_owned() }
}
