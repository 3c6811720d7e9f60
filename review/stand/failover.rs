//! The primary crashes while one replica applies late and the other one has received nothing for a
//! while; `syncReplicas` is 1.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::Client,
    world::{KEY, OTHER_KEY, Record, Setting, World},
};

/// Sessions that read.
const READERS: usize = 44;

/// Pause of a reader between two reads.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Sessions that write.
const WRITERS: usize = 6;

/// Pause of a writer between two writes.
const WRITE_PAUSE: Duration = Duration::from_millis(60);

/// Time that the late replica takes to apply: 27 times the usual.
const LATE: Duration = Duration::from_millis(1600);

/// Time for which the other replica receives nothing before the primary crashes.
const DEAF: Duration = Duration::from_millis(900);

/// Time for which the primary is down.
const DOWN: Duration = Duration::from_secs(7);

/// Runs the case; returns whether the rule held.
pub fn run(setting: &Setting) -> io::Result<bool> {
    let times = (Duration::from_millis(33), Duration::from_millis(11));
    let world = World::start(setting, 3, times, true)?;
    let record = &setting.record;
    let fronts: Vec<_> = world.hosts.iter().map(|host| host.front).collect();
    let (stop, acknowledged) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    let service = &world.service;
    thread::scope(|scope| {
        for n in 0..READERS {
            let (front, stop) = (fronts[n % fronts.len()], &stop);
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut client) = Client::start(front, "moves", OTHER_KEY) else {
                        thread::sleep(READ_PAUSE);
                        continue;
                    };
                    let mut k = 0;
                    while !stop.load(Ordering::Relaxed)
                        && client.query(&format!("r{n}k{k}"), &format!("READ w{n}")).is_ok()
                    {
                        k += 1;
                        thread::sleep(READ_PAUSE);
                    }
                }
            });
        }
        for n in 0..WRITERS {
            let (front, stop, acknowledged) = (fronts[n % fronts.len()], &stop, &acknowledged);
            scope.spawn(move || write(n, front, WRITE_PAUSE, record, stop, acknowledged));
        }
        thread::sleep(Duration::from_secs(3));
        if setting.trouble {
            service.state.lock().unwrap().instances[1].lag = LATE;
            record.line("i-appointments-1 applies late from now on");
            thread::sleep(2 * LATE);
            service.set_receives(2, false);
            record.line("i-appointments-2 receives nothing from now on");
            thread::sleep(DEAF);
            service.crash(0);
            record.line("i-appointments-0, the primary, crashes");
            thread::sleep(DOWN);
            service.set_receives(2, true);
            service.clone().raise(0).expect("the address is still free");
            record.line("i-appointments-0 runs again, i-appointments-2 receives again");
        } else {
            thread::sleep(2 * LATE + DEAF + DOWN);
        }
        thread::sleep(Duration::from_secs(2));
        stop.store(true, Ordering::Relaxed);
    });
    Ok(judge(&world, record, &acknowledged.into_inner().expect("no writer failed")))
}

/// Writes until `stop`, and notes the ids of acknowledged writes with the time of the answer.
pub fn write(
    n: usize,
    front: SocketAddr,
    pause: Duration,
    record: &Record,
    stop: &AtomicBool,
    acknowledged: &Mutex<Vec<(String, Instant)>>,
) {
    let mut k = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::start(front, "bookings", KEY) else {
            thread::sleep(pause);
            continue;
        };
        while !stop.load(Ordering::Relaxed) {
            let id = format!("w{n}k{k}");
            k += 1;
            record.line(&format!("client sends {id}: WRITE w{n} {k}"));
            let Ok(answer) = client.query(&id, &format!("WRITE w{n} {k}")) else { break };
            record.line(&format!("{id} is answered: {}", answer.outcome));
            if answer.is_done() {
                acknowledged.lock().unwrap().push((id, Instant::now()));
            }
            thread::sleep(pause);
        }
    }
}

/// Compares the commits that were acknowledged before each promotion with the log of the promoted
/// instance; returns whether none is missing.
pub fn judge(world: &World, record: &Record, acknowledged: &[(String, Instant)]) -> bool {
    let state = world.service.state.lock().unwrap();
    let mut held = true;
    for (at, id, term, kept) in &state.promotions {
        record.line_at(*at, &format!("{id} leads term {term}, with {} commits", kept.len()));
        let before = acknowledged.iter().filter(|(_, when)| when < at);
        let lost: Vec<&str> =
            before.filter(|(id, _)| !kept.contains(id)).map(|(id, _)| id.as_str()).collect();
        held &= lost.is_empty();
        let verdict = if lost.is_empty() { "none is missing" } else { "BROKEN" };
        let count = lost.len();
        record.line(&format!("{count} acknowledged commits that {id} lacks: {lost:?} ({verdict})"));
    }
    record.line(&format!("{} commits were acknowledged", acknowledged.len()));
    held
}
