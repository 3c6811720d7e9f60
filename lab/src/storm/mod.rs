//! Storm test: several concurrent faults, generated from a seed, against a running system under
//! load. Afterwards the guarantees are checked from outside.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use clap::Args;

use crate::system::{self, Plan, System, WAIT_TIMEOUT};

pub mod callers;
pub mod checks;
pub mod schedule;

use callers::{WriteResult, Writer};
use schedule::Step;

/// Settings of a storm.
#[derive(Args, Clone, Debug)]
pub struct StormArgs {
    /// Where the draw starts; the same seed gives the same schedule.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How long faults are made, in seconds.
    #[arg(long, default_value_t = 20)]
    pub secs: u64,
    /// Callers that write.
    #[arg(long, default_value_t = 6)]
    pub writers: usize,
    /// Only print the schedule.
    #[arg(long)]
    pub dry: bool,
}

/// Number of entry hosts of the system under test.
pub const HOSTS: usize = 4;

/// Results of a storm.
#[derive(Debug)]
pub struct Outcome {
    /// Number of writes reported as done, not run and unknown.
    pub writes: [usize; 3],
    /// Violated guarantees, one description each.
    pub broken: Vec<String>,
}

/// Returns the plan of the system under test.
pub fn plan() -> Plan {
    Plan {
        hosts: HOSTS,
        links: true,
        accounts: vec![("baobab".into(), 400.0, 400.0), ("hartwell".into(), 400.0, 400.0)],
        policy: "request_ms = 4000".into(),
        ..Plan::default()
    }
}

/// Runs a storm and prints the results. Returns an error if a guarantee was violated.
pub async fn run(args: StormArgs) -> anyhow::Result<()> {
    let steps = schedule::generate(args.seed, Duration::from_secs(args.secs), HOSTS);
    println!("seed {}: {} steps in {} s", args.seed, steps.len(), args.secs);
    if args.dry {
        steps.iter().for_each(|step| println!("{step}"));
        return Ok(());
    }
    let outcome = storm(&steps, args.writers, true).await?;
    let [done, not_run, unknown] = outcome.writes;
    println!("told done {done}, not run {not_run}, unknown {unknown}");
    for story in &outcome.broken {
        println!("BROKEN: {story}");
    }
    anyhow::ensure!(outcome.broken.is_empty(), "{} guarantees violated", outcome.broken.len());
    println!("every promise checked was kept");
    Ok(())
}

/// Applies the steps to a new system under load and checks it afterwards. `verbose` prints each
/// step.
pub async fn storm(steps: &[Step], writers: usize, verbose: bool) -> anyhow::Result<Outcome> {
    let mut system = System::start(plan()).await.context("starting the system")?;
    let setup = system.connect(0, "baobab", "g1").await?;
    for sql in callers::TABLES {
        system::run_until_ok(&setup, sql).await?;
    }
    let writes: Arc<Mutex<Vec<WriteResult>>> = Arc::default();
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for number in 0..writers {
        let writer = Writer::new(&system, number, writes.clone(), broken.clone());
        tasks.push(tokio::spawn(writer.run(stop.clone())));
    }
    let started = Instant::now();
    for step in steps {
        tokio::time::sleep_until((started + step.at).into()).await;
        if verbose {
            println!("{step}");
        }
        step.fault.apply(&mut system).await.with_context(|| step.to_string())?;
    }
    schedule::clear_all(&mut system).await?;
    // Keep the load on for a while after the last fault, so that recovery happens under load too.
    tokio::time::sleep(Duration::from_secs(2)).await;
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        tokio::time::timeout(WAIT_TIMEOUT, task).await.context("writer did not stop in time")??;
    }
    let writes = std::mem::take(&mut *writes.lock().expect("no writer panicked"));
    let mut broken = std::mem::take(&mut *broken.lock().expect("no writer panicked"));
    match checks::bookings(&system, &writes).await {
        Ok(found) => broken.extend(found),
        // A system that does not recover after all faults have ended violates a guarantee too.
        Err(error) => broken.push(format!("the checks cannot be made: {error:#}")),
    }
    let count = |status| writes.iter().filter(|t| t.status == status).count();
    let writes =
        [callers::WriteStatus::Done, callers::WriteStatus::NotRun, callers::WriteStatus::Unknown]
            .map(count);
    if !broken.is_empty() {
        let kept = system.keep_logs()?;
        broken.push(format!("logs are kept in {}", kept.display()));
    }
    Ok(Outcome { writes, broken })
}
