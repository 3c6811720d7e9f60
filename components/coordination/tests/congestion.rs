//! Many hosts before queues that have no room.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    congestion,
    gate::{Admission, Gate, QueueKey},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const MS: Duration = Duration::from_millis(1);
const PATIENCE: Duration = Duration::from_millis(200);
const SLOTS: usize = 5;
const WORK_MS: u64 = 25;

#[derive(Default)]
struct Seen {
    served: usize,
    /// Questions to the host that holds the queue.
    asked: usize,
    refused: usize,
}

/// Runs hosts with `each` statements a second for five seconds before one queue.
fn run(hosts: usize, each: f64) -> Seen {
    let mut random = StdRng::seed_from_u64(3);
    let mut gate = Gate::new(SLOTS);
    gate.set_bounds(SLOTS, SLOTS);
    let mut memory = vec![congestion::Backoff::default(); hosts];
    let mut running: Vec<(Instant, usize)> = Vec::new();
    let mut waiting: Vec<(QueueKey, usize)> = Vec::new();
    let (start, mut seen) = (Instant::now(), Seen::default());
    for tick in 0..5000 {
        let now = start + tick * MS;
        let done: Vec<_> = running.iter().filter(|(end, _)| *end <= now).copied().collect();
        running.retain(|(end, _)| *end > now);
        for (_, host) in done {
            gate.end(Some(Duration::from_millis(WORK_MS)));
            memory[host].served(1, now);
            seen.served += 1;
        }
        while let Some(place) = gate.next(now) {
            let at = waiting.iter().position(|(waits, _)| *waits == place).unwrap();
            let (_, host) = waiting.swap_remove(at);
            running.push((now + WORK_MS as u32 * MS, host));
        }
        for host in (0..hosts).filter(|_| random.random_bool(each / 1000.0)).collect::<Vec<_>>() {
            if memory[host].remaining(1, PATIENCE, now).is_some() {
                seen.refused += 1;
                continue;
            }
            seen.asked += 1;
            match gate.enter(1, PATIENCE, now) {
                Admission::Admitted => running.push((now + WORK_MS as u32 * MS, host)),
                Admission::Queued(place) => waiting.push((place, host)),
                Admission::Refused(wait) => {
                    memory[host].refused(1, PATIENCE, wait, now);
                    seen.refused += 1;
                }
            }
        }
    }
    seen
}

/// Guards against a holder that spends its time on refusals, and against a queue that runs
/// empty while every host waits: one server runs 1,000 statements in five seconds.
#[test]
fn overload_leaves_the_server_busy_and_its_holder_in_peace() {
    // Hosts, statements a second of each, and how many of the refused may ask the holder.
    for (hosts, each, part) in
        [(1, 500.0, 0.5), (9, 220.0, 0.5), (87, 23.0, 0.5), (87, 230.0, 0.1), (300, 60.0, 0.1)]
    {
        let seen = run(hosts, each);
        assert!(seen.served >= 900, "{hosts} hosts, {each}: served {}", seen.served);
        let in_vain = (seen.asked - seen.served) as f64 / seen.refused as f64;
        assert!(in_vain < part, "{hosts} hosts, {each}: {in_vain:.2} of the refused asked");
    }
}

/// Guards against statements that are refused though nothing is in their way.
#[test]
fn without_overload_nothing_is_refused() {
    let seen = run(87, 1.5);
    assert_eq!(seen.refused, 0);
}

/// Guards against urgent statements, or patient ones, that are refused for what others met.
#[test]
fn a_refusal_speaks_for_no_more_than_its_kind() {
    let now = Instant::now();
    let mut memory = congestion::Backoff::default();
    memory.refused(2, PATIENCE, PATIENCE + 50 * MS, now);
    assert_eq!(memory.remaining(2, PATIENCE, now), Some(50 * MS));
    assert_eq!(memory.remaining(2, PATIENCE - MS, now), Some(50 * MS));
    assert!(memory.remaining(3, PATIENCE, now).is_some(), "what is less urgent waits longer");
    assert_eq!(memory.remaining(1, PATIENCE, now), None);
    assert_eq!(memory.remaining(2, PATIENCE + MS, now), None);
    assert_eq!(memory.remaining(2, PATIENCE, now + 50 * MS), None);
    memory.served(1, now);
    assert!(memory.remaining(2, PATIENCE, now).is_some());
    memory.served(2, now);
    assert_eq!(memory.remaining(2, PATIENCE, now), None);
}
