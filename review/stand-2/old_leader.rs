//! A service with `syncReplicas` 1: the primary is to be replaced, while one replica receives nothing. The
//! other replica, which has each acknowledged commit, takes over as planned and crashes before the former
//! primary has stepped down. The former primary runs all the time, with each acknowledged commit.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{hosts::wait_until, lost_commit::write_on, record::Record, world::World};

/// Clients that write.
const CLIENTS: usize = 8;

/// Time without a disruption after the start.
const SETTLED: Duration = Duration::from_secs(12);

/// Time for which a replica receives nothing (`replica_lag`, `deaf`).
const DEAF: Duration = Duration::from_millis(6500);

/// Time from its begin until the primary reports that it is draining.
const DRAIN_AFTER: Duration = Duration::from_millis(1000);

/// Time from the begin of the new leader's lead until it crashes, and for how long (`srv_crash`, `primary`).
const CRASH: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(3000));

/// Runs the case.
pub fn run(trouble: bool, record: &Record) -> Result<(), String> {
    let world = World::start(1, record)?;
    let (stop, count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let host = world.hosts[number % world.hosts.len()].front;
            let (groups, record) = (world.groups.clone(), record.clone());
            let (stop, count) = (stop.clone(), count.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let _ = write_on(host, number, &groups, &record, &stop, &count);
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    let written = || count.load(Ordering::Relaxed);
    if !wait_until(Duration::from_secs(10), || written() > 100) {
        return Err("no 100 writes in 10 s".into());
    }
    thread::sleep(SETTLED);
    let began = Instant::now();
    let at =
        |time: Duration| thread::sleep((began + time).saturating_duration_since(Instant::now()));
    let leader = world.groups.leader().unwrap_or(0);
    let (with, without) = ((leader + 1) % 3, (leader + 2) % 3);
    if trouble {
        world.groups.set_deaf(without, true);
    }
    at(DRAIN_AFTER);
    world.groups.drain(leader);
    if !wait_until(Duration::from_secs(4), || world.groups.leader() != Some(leader)) {
        return Err("the draining primary is not replaced".into());
    }
    if trouble {
        if world.groups.leader() != Some(with) {
            return Err("another server than the one with all commits was promoted".into());
        }
        thread::sleep(CRASH.0);
        world.groups.crash(with);
        thread::sleep(CRASH.1);
        world.groups.restart(with);
        at(DEAF);
        world.groups.set_deaf(without, false);
    }
    at(DEAF);
    let before = written();
    let again = wait_until(Duration::from_secs(20), || written() > before + 50);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    world.record_logs(&["leader: failover scheduled", "leader: replaced", "promotion: "], record);
    world.record_last_log("leader: next step", record);
    let acknowledged = world.groups.check_lost();
    let promotions = world.groups.promotions();
    record.line(&format!("{acknowledged} acknowledged writes, {promotions} promotions, writes again at the end: {again}"));
    if !again {
        return Err("no writes after the disruption".into());
    }
    Ok(())
}
