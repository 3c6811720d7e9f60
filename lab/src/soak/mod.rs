//! Soak test: faults generated from a seed against real hosts under load. Guarantees are checked
//! from the statements of callers and their executions on stand-in servers.
//!
//! Setting a clock needs privileges, so clocks are disturbed only by pausing a host.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context;
use clap::Args;

pub mod caller;
mod crowd;
pub mod gaps;
pub mod group;
pub mod schedule;
pub mod server;
pub mod store;
pub mod world;

use schedule::{Action, Step};
use world::World;

use crate::lateness::Lateness;

/// Settings of a soak.
#[derive(Args, Clone, Debug)]
pub struct SoakArgs {
    /// The first seed; the same seed gives the same schedule.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many seeds are run, one after the other.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// How long faults are made for each, in seconds.
    #[arg(long, default_value_t = 12)]
    pub secs: u64,
    /// Hosts.
    #[arg(long, default_value_t = 4)]
    pub hosts: usize,
    /// Callers of each account.
    #[arg(long, default_value_t = 8)]
    pub callers: usize,
    /// Disturb links between hosts too, and have servers leave. Drawn apart, so that
    /// the other faults of a seed stay as they are.
    #[arg(long)]
    pub links: bool,
    /// Have the configuration grow by hundreds of databases at a time while links of hosts
    /// are slow and reset, in place of the other drawn faults: it must be in force in time.
    #[arg(long)]
    pub grow: bool,
    /// Have all hosts die together, twice, while leaders die too and replicas show late
    /// what they receive, in place of drawn faults.
    #[arg(long)]
    pub herd: bool,
    /// Have links between hosts, to the store and to servers refuse and reset connections, while
    /// hosts are paused and the store answers nothing, in place of drawn faults.
    #[arg(long)]
    pub refusals: bool,
    /// Have crowds of callers that do not behave connect to hosts too. Drawn apart, as with `--links`.
    #[arg(long)]
    pub crowds: bool,
    /// Configure that a replica has each commit before it is acknowledged: no promotion may discard one.
    #[arg(long)]
    pub sync: bool,
    /// Make no faults: the load alone, to measure what a host uses for it.
    #[arg(long)]
    pub calm: bool,
    /// Only print the schedules.
    #[arg(long)]
    pub dry: bool,
}

/// Maximum time until hosts serve, at the start and again after the last fault.
const SERVING_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum time after the withdrawal of a key during which operations may still run for it: the
/// bound of the settings, and one second for operations in flight.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_millis(4500);

/// Maximum time until all hosts apply a configuration: the bound of the settings.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(3000);

/// Results of a soak.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Number of statements answered with success.
    pub served: u64,
    /// Number of statements answered with an error.
    pub refused: u64,
    /// Number of completed promotions.
    pub promotions: usize,
    /// Number of acknowledged commits that promotions discarded.
    pub rolled_back: usize,
    /// Violated guarantees, one description each.
    pub broken: Vec<String>,
}

/// Runs a soak for each seed and prints the results. Returns an error if a guarantee was violated.
pub async fn run(args: SoakArgs) -> anyhow::Result<()> {
    let mut failed = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        if args.dry {
            let steps = schedule_for(seed, &args);
            steps.iter().for_each(|step| println!("{step}"));
            continue;
        }
        let outcome = soak(seed, &args).await.with_context(|| format!("seed {seed}"))?;
        println!(
            "seed {seed}: served {}, refused {}, promotions {}, rolled back {}, broken {}",
            outcome.served,
            outcome.refused,
            outcome.promotions,
            outcome.rolled_back,
            outcome.broken.len()
        );
        outcome.broken.iter().take(8).for_each(|story| println!("  BROKEN: {story}"));
        if !outcome.broken.is_empty() {
            failed.push(seed);
        }
    }
    anyhow::ensure!(failed.is_empty(), "guarantees violated with the seeds {failed:?}");
    Ok(())
}

/// Runs the soak of one seed.
pub async fn soak(seed: u64, args: &SoakArgs) -> anyhow::Result<Outcome> {
    run_steps(seed, &schedule_for(seed, args), args).await
}

/// Generates the steps for a seed.
fn schedule_for(seed: u64, args: &SoakArgs) -> Vec<Step> {
    if args.calm {
        return Vec::new();
    }
    let (length, servers) = (Duration::from_secs(args.secs), world::GROUPS * 3);
    let mut steps = match (args.herd, args.grow, args.refusals) {
        (true, ..) => schedule::mass_restarts(length, servers),
        (_, true, _) => schedule::generate_growth(seed, length, args.hosts),
        (.., true) => schedule::generate_refusals(seed, length, args.hosts, servers),
        _ => schedule::generate(seed, length, args.hosts, servers),
    };
    if args.links {
        steps.extend(schedule::generate_link_faults(seed, length, args.hosts, servers));
    }
    if args.crowds {
        steps.extend(schedule::generate_crowds(seed, length, args.hosts));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Starts a system with callers, runs the steps over it and collects the results.
async fn run_steps(seed: u64, steps: &[Step], args: &SoakArgs) -> anyhow::Result<Outcome> {
    let large = if args.grow { world::LARGE_HOSTS } else { 0 };
    let world = Rc::new(RefCell::new(World::start_sized(args.hosts, large)?));
    if args.sync {
        world.borrow().groups.borrow_mut().sync_replicas = 1;
        world.borrow().configure();
    }
    monoio::spawn(World::maintain(world.clone()));
    let stop = Rc::new(Cell::new(false));
    let lateness = Lateness::start("");
    for caller in world.borrow().make_callers(args.callers) {
        monoio::spawn(caller.run(stop.clone()));
    }
    until_served(&world).await.context("before the first fault")?;
    if steps.is_empty() {
        monoio::time::sleep(Duration::from_secs(args.secs)).await;
    }
    apply_steps(&world, steps).await?;
    let mut outcome = Outcome::default();
    if let Err(error) = until_served(&world).await {
        outcome.broken.push(format!("after the last fault: {error:#}"));
    }
    stop.set(true);
    let world = world.borrow();
    let mut groups = world.groups.borrow_mut();
    outcome.broken.append(&mut groups.broken);
    (outcome.promotions, outcome.rolled_back) = (groups.promotions, groups.rolled_back);
    drop(groups);
    (outcome.served, outcome.refused) = (world.served.get(), world.refused.get());
    outcome.broken.extend(world.rate_violations());
    let stale = world.store.borrow().lower_tokens;
    if stale > 0 {
        outcome.broken.push(format!("{stale} promotions with a token lower than one before"));
    }
    if !outcome.broken.is_empty() {
        let kept = world.keep_logs(seed)?;
        outcome.broken.push(format!("logs are kept in {}", kept.display()));
        outcome.broken.push(format!("stand-ins, links and callers: {}", lateness.borrow()));
    }
    Ok(outcome)
}

/// Applies each step at its time and reverts it at its end.
async fn apply_steps(world: &Rc<RefCell<World>>, steps: &[Step]) -> anyhow::Result<()> {
    let began = Instant::now();
    let mut active: Vec<(Duration, Step)> = Vec::new();
    let mut withdrawn_at: Option<Instant> = None;
    let mut next = steps.iter().peekable();
    while next.peek().is_some() || !active.is_empty() {
        monoio::time::sleep(Duration::from_millis(20)).await;
        let now = began.elapsed();
        let shared = world.clone();
        let mut world = world.borrow_mut();
        while let Some(step) = next.next_if(|step| step.at <= now) {
            step.apply(&mut world)?;
            if let (Action::Grow(_), Some(database)) = (step.action, world.newest_database()) {
                monoio::spawn(check_database_served(shared.clone(), database));
            }
            active.push((step.at + step.duration, *step));
        }
        let due: Vec<Step> =
            active.iter().filter(|(at, _)| *at <= now).map(|(_, step)| *step).collect();
        active.retain(|(at, _)| *at > now);
        due.iter().try_for_each(|step| step.revert(&mut world))?;
        world.restart_ended()?;
        world.check_memory();
        check_withdrawn(&world, &mut withdrawn_at);
    }
    Ok(())
}

/// Checks that no operation runs for a withdrawn key after [`WITHDRAWAL_TIMEOUT`].
fn check_withdrawn(world: &World, since: &mut Option<Instant>) {
    if !world.is_withdrawn() {
        *since = None;
        return;
    }
    let end = *since.get_or_insert_with(Instant::now) + WITHDRAWAL_TIMEOUT;
    let mut groups = world.groups.borrow_mut();
    let late = groups.operations.values();
    let late = late.filter(|(at, account)| &**account == "hartwell" && *at > end).count();
    if late > 0 {
        groups.broken.push(format!("{late} operations ran with a withdrawn key"));
    }
}

/// Checks that all hosts serve a database within [`CONFIGURATION_TIMEOUT`] after its addition.
async fn check_database_served(world: Rc<RefCell<World>>, database: String) {
    monoio::time::sleep(CONFIGURATION_TIMEOUT).await;
    let (hosts, groups) = (world.borrow().callers.clone(), world.borrow().groups.clone());
    for host in hosts {
        if !caller::serves_database(host, &database).await {
            let story =
                format!("{database} is not known at {host} after {CONFIGURATION_TIMEOUT:?}");
            groups.borrow_mut().broken.push(story);
        }
    }
}

/// Waits until another 100 statements were answered with success.
async fn until_served(world: &Rc<RefCell<World>>) -> anyhow::Result<()> {
    let served = world.borrow().served.clone();
    let (before, began) = (served.get(), Instant::now());
    while served.get() < before + 100 {
        let late = began.elapsed() > SERVING_TIMEOUT;
        anyhow::ensure!(!late, "{} statements in {SERVING_TIMEOUT:?}", served.get() - before);
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}
