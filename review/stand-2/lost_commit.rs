//! A service with `syncReplicas` 1: one replica receives nothing for a while, the primary crashes
//! meanwhile, and so does the other replica, which has each acknowledged commit. Both come back with
//! their logs, the primary at the end of that time or soon after its crash.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    hosts::{Client, wait_until},
    record::Record,
    servers::Groups,
    world::{KEY, PRIMARY, World},
};

/// Clients that write.
const CLIENTS: usize = 8;

/// Time for which a replica receives nothing; the primary, which crashes meanwhile, is back at its end
/// (`replica_lag`, `deaf crash`).
const DEAF: Duration = Duration::from_millis(6500);

/// Time from its begin until the crashes.
const CRASH_AFTER: Duration = Duration::from_millis(1500);

/// Time for which a primary that is soon back is down (`srv_crash`).
const SHORT: Duration = Duration::from_millis(2000);

/// Time for which the other replica is down (`srv_crash`).
const DOWN: Duration = Duration::from_millis(7000);

/// Runs the case in which the primary is back when the other replica receives again.
pub fn run(trouble: bool, record: &Record) -> Result<(), String> {
    run_with(DEAF, trouble, record)
}

/// Runs the case in which the primary is back long before a successor is chosen.
pub fn run_short(trouble: bool, record: &Record) -> Result<(), String> {
    run_with(CRASH_AFTER + SHORT, trouble, record)
}

/// Runs the case with a primary that is back at the time `back`.
fn run_with(back: Duration, trouble: bool, record: &Record) -> Result<(), String> {
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
    let began = Instant::now();
    let at =
        |time: Duration| thread::sleep((began + time).saturating_duration_since(Instant::now()));
    let leader = world.groups.leader().unwrap_or(0);
    let (with, without) = ((leader + 1) % 3, (leader + 2) % 3);
    if trouble {
        world.groups.set_deaf(without, true);
        at(CRASH_AFTER);
        world.groups.crash(leader);
        world.groups.crash(with);
        at(back);
        world.groups.restart(leader);
        at(DEAF);
        world.groups.set_deaf(without, false);
        at(CRASH_AFTER + DOWN);
        world.groups.restart(with);
    }
    at(CRASH_AFTER + DOWN);
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

/// Writes in one session until it breaks or the run ends.
pub fn write_on(
    host: std::net::SocketAddr,
    number: usize,
    groups: &Groups,
    record: &Record,
    stop: &AtomicBool,
    count: &AtomicUsize,
) -> std::io::Result<()> {
    let mut client = Client::open(host, PRIMARY, KEY)?;
    while !stop.load(Ordering::Relaxed) {
        let serial = unique();
        let id = format!("c{number}n{serial}");
        let answer = client.query(&id, &format!("WRITE item{number} data{serial}"))?;
        if answer.is_done() {
            groups.acknowledge(&id);
            count.fetch_add(1, Ordering::Relaxed);
            record.line(&format!(
                "client {number}: WRITE {id} answered {}",
                answer.lines.join(" / ")
            ));
        } else {
            record
                .line(&format!("client {number}: WRITE {id} refused {}", answer.lines.join(" / ")));
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Returns another number at each call.
fn unique() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}
