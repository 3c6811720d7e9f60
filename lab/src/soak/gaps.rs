//! Measurement of the interval without an acknowledged write when a group's leader fails.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use clap::{Args, ValueEnum};

use super::{until_served, world::World};
use crate::link::Fault;

/// Settings of the measurement.
#[derive(Args, Clone, Debug)]
pub struct GapsArgs {
    /// What happens to the leader.
    #[arg(long, value_enum)]
    cause: Cause,
    /// How often.
    #[arg(long, default_value_t = 20)]
    times: usize,
    /// Hosts.
    #[arg(long, default_value_t = 4)]
    hosts: usize,
    /// Callers of each account.
    #[arg(long, default_value_t = 20)]
    callers: usize,
}

/// Fault of a leader. Variants are printed under their own names.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Cause {
    /// Its process ends and comes back.
    Killed,
    /// Nothing passes between it and any host or server.
    Silent,
    /// Nothing passes between it and its replicas.
    Cut,
    /// It says that it leaves.
    Leaves,
    /// Nothing passes between it and the hosts for 0.3 s.
    Stalled,
}

/// Duration of a leader's fault.
const FAILURE_DURATION: Duration = Duration::from_secs(4);

/// Duration of the fault of a leader that stalls.
const STALL_DURATION: Duration = Duration::from_millis(300);

/// Time without faults before the next fault.
const RECOVERY_PAUSE: Duration = Duration::from_millis(1500);

/// Maximum time from the fault until the group takes writes again.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the measurement and prints the results.
pub async fn run(args: GapsArgs) -> anyhow::Result<()> {
    let world = Rc::new(RefCell::new(World::start(args.hosts)?));
    monoio::spawn(World::maintain(world.clone()));
    let stop = Rc::new(Cell::new(false));
    for caller in world.borrow().make_callers(args.callers) {
        monoio::spawn(caller.run(stop.clone()));
    }
    until_served(&world).await?;
    let mut gaps = Vec::new();
    for round in 0..args.times {
        monoio::time::sleep(RECOVERY_PAUSE).await;
        gaps.push(measure_gap(&world, round % super::world::GROUPS, args.cause).await?);
        until_served(&world).await?;
    }
    stop.set(true);
    gaps.sort();
    let quantile = |part: f64| gaps[((gaps.len() - 1) as f64 * part) as usize].as_millis();
    let world = world.borrow();
    let groups = world.groups.borrow();
    println!(
        "{:?}: p50 {} ms, p90 {} ms, longest {} ms without an acknowledged write; {} promotions, \
        {} acknowledged commits rolled back, {} promises broken",
        args.cause,
        quantile(0.5),
        quantile(0.9),
        quantile(1.0),
        groups.promotions,
        groups.rolled_back,
        groups.broken.len()
    );
    anyhow::ensure!(groups.broken.is_empty(), "{:#?}", groups.broken);
    Ok(())
}

/// Makes the leader of a group fail and restores it. Returns the longest interval without an
/// acknowledged write since the fault.
async fn measure_gap(
    world: &Rc<RefCell<World>>,
    group: usize,
    cause: Cause,
) -> anyhow::Result<Duration> {
    let leader = world.borrow().groups.borrow().leader(group);
    let index = leader.ok_or_else(|| anyhow::anyhow!("group {group} has no leader"))?;
    let began = Instant::now();
    fail_leader(&world.borrow(), index, cause);
    monoio::time::sleep(if matches!(cause, Cause::Stalled) {
        STALL_DURATION
    } else {
        FAILURE_DURATION
    })
    .await;
    restore_leader(&world.borrow(), index, cause);
    loop {
        monoio::time::sleep(Duration::from_millis(50)).await;
        let world = world.borrow();
        let groups = world.groups.borrow();
        let gap = groups.longest_gap(group, began.elapsed());
        // The gap has ended once a write was acknowledged within the last interval of its length.
        if groups.longest_gap(group, gap) < gap && began.elapsed() > gap {
            return Ok(gap);
        }
        anyhow::ensure!(
            began.elapsed() < FAILOVER_TIMEOUT,
            "group {group} acknowledged no write in {FAILOVER_TIMEOUT:?}"
        );
    }
}

/// Injects the fault into a leader.
fn fail_leader(world: &World, index: usize, cause: Cause) {
    let blocked = Fault { cut_up: true, cut_down: true, ..Fault::default() };
    match cause {
        Cause::Killed => world.standins[index].stop(),
        Cause::Silent => {
            world.links.set(&format!("s{index}"), &blocked);
            world.groups.borrow_mut().servers[index].isolated = true;
        }
        Cause::Cut => world.groups.borrow_mut().servers[index].isolated = true,
        Cause::Leaves => world.start_draining(index),
        Cause::Stalled => world.links.set(&format!("s{index}"), &blocked),
    }
}

/// Ends the fault of a leader.
fn restore_leader(world: &World, index: usize, cause: Cause) {
    match cause {
        Cause::Killed => world.groups.borrow_mut().servers[index].up = true,
        Cause::Leaves => world.stop_draining(index),
        Cause::Silent | Cause::Cut | Cause::Stalled => {
            world.links.set(&format!("s{index}"), &Fault::default());
            world.groups.borrow_mut().servers[index].isolated = false;
        }
    }
}
