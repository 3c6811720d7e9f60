//! Several faults at a time over a running system under load, drawn from a
//! seed; afterwards the promises are checked from outside.

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

use callers::{Told, Writer};
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

/// Entry hosts of the system under the storm.
pub const HOSTS: usize = 4;

/// What a storm showed.
#[derive(Debug)]
pub struct Outcome {
    /// Writes that were told done, not run and unknown.
    pub told: [usize; 3],
    /// Promises that were broken, each with its story.
    pub broken: Vec<String>,
}

/// The system that a storm runs over.
pub fn plan() -> Plan {
    Plan {
        hosts: HOSTS,
        links: true,
        accounts: vec![("baobab".into(), 400.0, 400.0), ("hartwell".into(), 400.0, 400.0)],
        policy: "request_ms = 4000".into(),
        ..Plan::default()
    }
}

/// Runs a storm and prints its story; an error when a promise was broken.
pub async fn run(args: StormArgs) -> anyhow::Result<()> {
    let steps = schedule::draw(args.seed, Duration::from_secs(args.secs), HOSTS);
    println!("seed {}: {} steps in {} s", args.seed, steps.len(), args.secs);
    if args.dry {
        steps.iter().for_each(|step| println!("{step}"));
        return Ok(());
    }
    let outcome = storm(&steps, args.writers, true).await?;
    let [done, not_run, unknown] = outcome.told;
    println!("told done {done}, not run {not_run}, unknown {unknown}");
    for story in &outcome.broken {
        println!("BROKEN: {story}");
    }
    anyhow::ensure!(outcome.broken.is_empty(), "{} promises broken", outcome.broken.len());
    println!("every promise checked was kept");
    Ok(())
}

/// Runs the steps over a new system under load and checks it afterwards.
pub async fn storm(steps: &[Step], writers: usize, talk: bool) -> anyhow::Result<Outcome> {
    let mut system = System::start(plan()).await.context("starting the system")?;
    let setup = system.connect(0, "baobab", "g1").await?;
    for sql in callers::TABLES {
        system::run_until_ok(&setup, sql).await?;
    }
    let told: Arc<Mutex<Vec<Told>>> = Arc::default();
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for number in 0..writers {
        let writer = Writer::new(&system, number, told.clone(), broken.clone());
        tasks.push(tokio::spawn(writer.run(stop.clone())));
    }
    let started = Instant::now();
    for step in steps {
        tokio::time::sleep_until((started + step.at).into()).await;
        if talk {
            println!("{step}");
        }
        step.fault.apply(&mut system).await.with_context(|| step.to_string())?;
    }
    schedule::mend_all(&mut system).await?;
    // Some load after the last fault, so that the way back is under it too.
    tokio::time::sleep(Duration::from_secs(2)).await;
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        tokio::time::timeout(WAIT_TIMEOUT, task).await.context("a writer hangs")??;
    }
    let told = std::mem::take(&mut *told.lock().expect("no writer panicked"));
    let mut broken = std::mem::take(&mut *broken.lock().expect("no writer panicked"));
    match checks::bookings(&system, &told).await {
        Ok(found) => broken.extend(found),
        // A system that does not come back once all is mended breaks a promise too.
        Err(error) => broken.push(format!("the checks cannot be made: {error:#}")),
    }
    let count = |fate| told.iter().filter(|t| t.fate == fate).count();
    let told = [callers::Fate::Done, callers::Fate::NotRun, callers::Fate::Unknown].map(count);
    if !broken.is_empty() {
        let kept = system.keep_logs()?;
        broken.push(format!("logs are kept in {}", kept.display()));
    }
    Ok(Outcome { told, broken })
}
