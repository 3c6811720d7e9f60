//! Demonstration of the guarantees in under a minute.

use std::{
    process::Command,
    time::{Duration, Instant},
};

use anyhow::Context;
use tokio_postgres::Client;

use crate::{
    load::primary,
    site::Site,
    system::{self, OPERATOR_KEY, System, WAIT_TIMEOUT},
};

const ACCOUNT: &str = "front-desk";
const GROUP: &str = "appointments-1";
const REQUEST: &str = "visit-1";
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Shows that an acknowledged booking is kept over a failover.
pub async fn run() -> anyhow::Result<()> {
    let start = Instant::now();
    println!("Starting the platform, three groups of three servers and three entry hosts.");
    let mut system = System::start(Site::Hartwell.plan(3)?).await?;
    let h1 = system.connect(0, ACCOUNT, GROUP).await?;
    let table = "CREATE TABLE IF NOT EXISTS visit (place TEXT PRIMARY KEY, day TEXT)";
    system::run_until_ok(&h1, table).await?;

    println!("A customer books a visit through host h1, under the request id {REQUEST}.");
    h1.batch_execute(&format!("SET bergamottrack.request = '{REQUEST}'")).await?;
    h1.batch_execute("INSERT INTO visit VALUES ('chapel', 'tuesday')").await?;
    let token = first_row(&h1, "SHOW bergamottrack.session").await?;
    println!("  acknowledged; session token {token}");

    let h2 = system.connect(1, ACCOUNT, GROUP).await?;
    h2.batch_execute(&format!("SET bergamottrack.session = '{token}'")).await?;
    println!("The session moves to host h2 and reads: {}.", read_visit(&h2).await?);

    let name = primary(&system, "g1").await?;
    let killed = Instant::now();
    system.process(&name)?.kill();
    println!("The primary {name} is killed.");
    let h3 = system.connect(2, ACCOUNT, GROUP).await?;
    wait_for_write(&h3).await?;
    println!("  writes were away for {} ms", killed.elapsed().as_millis());
    println!("  the new primary is {}", primary(&system, "g1").await?);
    println!("The booking is kept, read through host h3: {}.", read_visit(&h3).await?);

    println!("Did request {REQUEST} go through? Asked at host h2:");
    print!("  {}", query_outcome(&system)?);
    println!("All this took {:.1} s.", start.elapsed().as_secs_f64());
    Ok(())
}

async fn first_row(client: &Client, sql: &str) -> anyhow::Result<String> {
    let rows = system::rows(client, sql).await?;
    rows.into_iter().next().with_context(|| format!("{sql} returned no rows"))
}

async fn read_visit(client: &Client) -> anyhow::Result<String> {
    first_row(client, "SELECT place, day FROM visit WHERE place = 'chapel'").await
}

async fn wait_for_write(client: &Client) -> anyhow::Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let sql = "INSERT INTO visit VALUES ('school', 'friday') ON CONFLICT (place) DO NOTHING";
    while let Err(error) = client.batch_execute(sql).await {
        anyhow::ensure!(Instant::now() < deadline, "writes did not resume: {error}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Returns the output of the command `outcome` for the request, run with the operator key.
fn query_outcome(system: &System) -> anyhow::Result<String> {
    let at = system.addresses[1].operator.to_string();
    let output = Command::new(system::program("bergamottrack")?)
        .args(["outcome", REQUEST, "--account", ACCOUNT, "--group", GROUP, "--at", &at])
        .env("BERGAMOTTRACK_OPERATOR_KEY", OPERATOR_KEY)
        .output()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let error = String::from_utf8_lossy(&output.stderr);
    anyhow::ensure!(output.status.success(), "outcome command failed: {error}{text}");
    Ok(text)
}
