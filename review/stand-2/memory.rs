//! Many sessions of two hosts send statements of almost the greatest length. The stand-in for the platform
//! kills a process that exceeds `memoryMb` and starts it again.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    hosts::{Client, Host},
    record::Record,
    world::{ACCOUNTS, PRIMARY, World, key},
};

/// Hosts that the sessions are connected to.
const HOSTS: usize = 2;

/// Sessions at each of them; the deployment has about 292 in all.
const SESSIONS: usize = 140;

/// Length of a write's data in bytes; a message has at most 1 MiB.
const LONG: usize = 1_000_000;

/// Length of a write's data without the long ones.
const USUAL: usize = 200;

/// `limits.memoryMb` of the settings.
const MEMORY_MB: u64 = 260;

/// Ends of a process for which the day counts nothing.
const ENDS: usize = 3;

/// Time from the end of a process to its next start.
const RESTART: Duration = Duration::from_millis(500);

/// Maximum duration of the load.
const LOAD: Duration = Duration::from_secs(60);

/// Pause of a session after a refusal, or before it is opened again.
const PAUSE: Duration = Duration::from_millis(250);

/// Runs the case.
pub fn run(trouble: bool, record: &Record) -> Result<(), String> {
    let mut world = World::start(0, record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let (done, refused) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let length = if trouble { LONG } else { USUAL };
    for number in 0..HOSTS * SESSIONS {
        let host = world.hosts[number % HOSTS].front;
        let (stop, done, refused) = (stop.clone(), done.clone(), refused.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let _ = write_on(host, number, length, &stop, &done, &refused);
                thread::sleep(PAUSE);
            }
        });
    }
    let began = Instant::now();
    let (mut ends, mut peaks) = ([0; HOSTS], [0; HOSTS]);
    let mut down: [Option<Instant>; HOSTS] = [None; HOSTS];
    while began.elapsed() < LOAD && ends.iter().any(|ends| *ends < ENDS) {
        thread::sleep(Duration::from_millis(20));
        for (number, host) in world.hosts.iter_mut().take(HOSTS).enumerate() {
            if let Some(since) = down[number] {
                if since.elapsed() >= RESTART {
                    down[number] = None;
                    host.start();
                }
                continue;
            }
            let memory = memory_mb(host);
            peaks[number] = memory.max(peaks[number]);
            if memory > MEMORY_MB {
                host.kill();
                ends[number] += 1;
                down[number] = Some(Instant::now());
                record.line(&format!(
                    "{} has {memory} MB, {MEMORY_MB} are allowed: ended by the platform, time {}",
                    host.name, ends[number]
                ));
            }
        }
    }
    stop.store(true, Ordering::Relaxed);
    let (done, refused) = (done.load(Ordering::Relaxed), refused.load(Ordering::Relaxed));
    record.line(&format!(
        "{done} writes done, {refused} refused; ends {ends:?}; peaks in MB {peaks:?}"
    ));
    if done == 0 {
        return Err("no write was done".into());
    }
    if ends.iter().all(|ends| *ends >= ENDS) {
        let story =
            format!("processes of {HOSTS} of 8 machines ended {ENDS} times, over {MEMORY_MB} MB");
        record.broken("Fault", &story);
    }
    Ok(())
}

/// Resident memory of a host's process.
fn memory_mb(host: &Host) -> u64 {
    let status =
        host.pid().and_then(|pid| std::fs::read_to_string(format!("/proc/{pid}/status")).ok());
    let status = status.unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes =
        line.and_then(|line| line.split_whitespace().nth(1)).and_then(|n| n.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1024
}

/// Writes in one session until it breaks or the run ends.
fn write_on(
    host: SocketAddr,
    number: usize,
    length: usize,
    stop: &AtomicBool,
    done: &AtomicUsize,
    refused: &AtomicUsize,
) -> std::io::Result<()> {
    let mut client = Client::open(host, PRIMARY, &key(number / HOSTS % ACCOUNTS))?;
    let data = "x".repeat(length);
    for serial in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let answer =
            client.query(&format!("m{number}x{serial}"), &format!("WRITE item{number} {data}"))?;
        if answer.is_done() {
            done.fetch_add(1, Ordering::Relaxed);
        } else {
            refused.fetch_add(1, Ordering::Relaxed);
            thread::sleep(PAUSE);
        }
    }
    Ok(())
}
