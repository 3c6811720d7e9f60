//! Backoff of many hosts while the queue for a server is full.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    congestion,
    gate::{Admission, Gate, QueueKey},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const MS: Duration = Duration::from_millis(1);
const QUEUE_TIMEOUT: Duration = Duration::from_millis(200);
const SLOTS: usize = 5;
const EXECUTION_MS: u64 = 25;

#[derive(Default)]
struct Outcome {
    served: usize,
    /// Statements sent to the host that holds the queue.
    forwarded: usize,
    refused: usize,
}

/// Simulates one queue for five seconds; each host has `rate` statements a second.
fn run(hosts: usize, rate: f64) -> Outcome {
    let mut random = StdRng::seed_from_u64(3);
    let mut gate = Gate::new(SLOTS);
    gate.set_bounds(SLOTS, SLOTS);
    let mut backoffs = vec![congestion::Backoff::default(); hosts];
    let mut running: Vec<(Instant, usize)> = Vec::new();
    let mut waiting: Vec<(QueueKey, usize)> = Vec::new();
    let (start, mut outcome) = (Instant::now(), Outcome::default());
    for tick in 0..5000 {
        let now = start + tick * MS;
        let done: Vec<_> = running.iter().filter(|(end, _)| *end <= now).copied().collect();
        running.retain(|(end, _)| *end > now);
        for (_, host) in done {
            gate.end(Some(Duration::from_millis(EXECUTION_MS)));
            backoffs[host].served(1, now);
            outcome.served += 1;
        }
        while let Some(key) = gate.next(now) {
            let at = waiting.iter().position(|(other, _)| *other == key).unwrap();
            let (_, host) = waiting.swap_remove(at);
            running.push((now + EXECUTION_MS as u32 * MS, host));
        }
        for host in (0..hosts).filter(|_| random.random_bool(rate / 1000.0)).collect::<Vec<_>>() {
            if backoffs[host].remaining(1, QUEUE_TIMEOUT, now).is_some() {
                outcome.refused += 1;
                continue;
            }
            outcome.forwarded += 1;
            match gate.enter(1, QUEUE_TIMEOUT, now) {
                Admission::Admitted => running.push((now + EXECUTION_MS as u32 * MS, host)),
                Admission::Queued(key) => waiting.push((key, host)),
                Admission::Refused(wait) => {
                    backoffs[host].refused(1, QUEUE_TIMEOUT, wait, now);
                    outcome.refused += 1;
                }
            }
        }
    }
    outcome
}

/// Guards against a holder that spends its time on refusals, and against a queue that runs
/// empty while all hosts back off: one server runs 1,000 statements in five seconds.
#[test]
fn overload_keeps_the_server_busy_and_most_refusals_local() {
    // Hosts, statements per second of each, and the maximum part of the refused statements that
    // were forwarded to the holder.
    for (hosts, rate, max_part) in
        [(1, 500.0, 0.5), (9, 220.0, 0.5), (87, 23.0, 0.5), (87, 230.0, 0.1), (300, 60.0, 0.1)]
    {
        let outcome = run(hosts, rate);
        assert!(outcome.served >= 900, "{hosts} hosts, {rate}/s each: served {}", outcome.served);
        let part = (outcome.forwarded - outcome.served) as f64 / outcome.refused as f64;
        assert!(
            part < max_part,
            "{hosts} hosts, {rate}/s each: {part:.2} of the refused were forwarded"
        );
    }
}

/// Guards against refused statements although the queue has room.
#[test]
fn no_statement_is_refused_without_overload() {
    let outcome = run(87, 1.5);
    assert_eq!(outcome.refused, 0);
}

/// Guards against statements that are refused because of a refusal of less urgent ones, or of
/// ones with a shorter queue timeout.
#[test]
fn refusal_does_not_cover_more_urgent_statements_or_longer_queue_timeouts() {
    let now = Instant::now();
    let mut backoff = congestion::Backoff::default();
    backoff.refused(2, QUEUE_TIMEOUT, QUEUE_TIMEOUT + 50 * MS, now);
    assert_eq!(backoff.remaining(2, QUEUE_TIMEOUT, now), Some(50 * MS));
    assert_eq!(backoff.remaining(2, QUEUE_TIMEOUT - MS, now), Some(50 * MS));
    assert!(
        backoff.remaining(3, QUEUE_TIMEOUT, now).is_some(),
        "less urgent statements are refused too"
    );
    assert_eq!(backoff.remaining(1, QUEUE_TIMEOUT, now), None);
    assert_eq!(backoff.remaining(2, QUEUE_TIMEOUT + MS, now), None);
    assert_eq!(backoff.remaining(2, QUEUE_TIMEOUT, now + 50 * MS), None);
    backoff.served(1, now);
    assert!(backoff.remaining(2, QUEUE_TIMEOUT, now).is_some());
    backoff.served(2, now);
    assert_eq!(backoff.remaining(2, QUEUE_TIMEOUT, now), None);
}
