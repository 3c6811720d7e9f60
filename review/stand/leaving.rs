//! The primary crashes while one replica is being replaced and the other one has received nothing for a
//! while; `syncReplicas` is 1.

use std::{
    io,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    failover,
    world::{Setting, World},
};

/// Sessions that write.
const WRITERS: usize = 6;

/// Pause of a writer between two writes.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Time for which the other replica receives nothing.
const DEAF: Duration = Duration::from_millis(6000);

/// Time from its last record to the crash of the primary.
const CRASH_AFTER: Duration = Duration::from_millis(3000);

/// Time for which the primary is down.
const DOWN: Duration = Duration::from_secs(7);

/// Runs the case; returns whether the rule held.
pub fn run(setting: &Setting) -> io::Result<bool> {
    let times = (Duration::from_millis(33), Duration::from_millis(11));
    let world = World::start(setting, 3, times, true)?;
    let record = &setting.record;
    let (stop, acknowledged) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    let service = &world.service;
    thread::scope(|scope| {
        for n in 0..WRITERS {
            let front = world.hosts[n % world.hosts.len()].front;
            let (stop, acknowledged) = (&stop, &acknowledged);
            scope.spawn(move || failover::write(n, front, WRITE_PAUSE, record, stop, acknowledged));
        }
        thread::sleep(Duration::from_secs(3));
        if setting.trouble {
            world.enlist(1, "draining");
            record.line("i-appointments-1 reports that it is draining and goes on serving");
            service.set_receives(2, false);
            record.line("i-appointments-2 receives nothing from now on");
            thread::sleep(CRASH_AFTER);
            service.crash(0);
            record.line("i-appointments-0, the primary, crashes");
            thread::sleep(DEAF - CRASH_AFTER);
            service.set_receives(2, true);
            record.line("i-appointments-2 receives again");
            thread::sleep(CRASH_AFTER + DOWN - DEAF);
            service.clone().raise(0).expect("the address is still free");
            record.line("i-appointments-0 runs again");
        } else {
            thread::sleep(CRASH_AFTER + DOWN);
        }
        thread::sleep(Duration::from_secs(2));
        stop.store(true, Ordering::Relaxed);
    });
    Ok(failover::judge(&world, record, &acknowledged.into_inner().expect("no writer failed")))
}
