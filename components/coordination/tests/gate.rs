//! Concurrency limits of several hosts at one server.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use bergamottrack_coordination::gate::{Admission, Gate, QueueKey};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SLOTS: usize = 5;
const EXECUTION_SECS: f64 = 0.033;
const TICK: Duration = Duration::from_millis(1);

/// A statement: its host, the times at which it arrived and was sent, and whether it is urgent.
#[derive(Clone, Copy)]
struct Statement {
    host: usize,
    arrived: Instant,
    sent: Instant,
    urgent: bool,
}

#[derive(Default)]
struct Outcome {
    served: usize,
    in_time: usize,
    refused: usize,
    urgent_late: usize,
}

/// Simulates ten seconds of hosts that have `rates` statements per second each; counts from the
/// third second.
fn run(rates: &[f64], max_limit: usize) -> Outcome {
    let mut random = StdRng::seed_from_u64(7);
    let mut gates: Vec<Gate> = rates.iter().map(|_| Gate::new(max_limit)).collect();
    let mut waiting: Vec<Vec<(QueueKey, Statement)>> = vec![Vec::new(); rates.len()];
    let mut queue: VecDeque<Statement> = VecDeque::new();
    let mut slots: Vec<(Instant, Statement)> = Vec::new();
    let mut outcome = Outcome::default();
    let start = Instant::now();
    let mut now = start;
    while now < start + Duration::from_secs(10) {
        now += TICK;
        let warm = now > start + Duration::from_secs(2);
        for (host, rate) in rates.iter().enumerate() {
            if random.random_bool(rate * TICK.as_secs_f64()) {
                let urgent = random.random_bool(0.15);
                let statement = Statement { host, arrived: now, sent: now, urgent };
                let (priority, timeout_ms) = if urgent { (1, 100) } else { (2, 200) };
                match gates[host].enter(priority, Duration::from_millis(timeout_ms), now) {
                    Admission::Admitted => queue.push_back(statement),
                    Admission::Queued(key) => waiting[host].push((key, statement)),
                    Admission::Refused(_) => outcome.refused += usize::from(warm),
                }
            }
        }
        let done: Vec<_> = slots.iter().filter(|(end, _)| *end <= now).map(|(_, s)| *s).collect();
        slots.retain(|(end, _)| *end > now);
        for statement in done {
            gates[statement.host].end(Some(now - statement.sent));
            if warm {
                let late = now - statement.arrived > Duration::from_millis(400);
                outcome.served += 1;
                outcome.in_time += usize::from(!late);
                outcome.urgent_late += usize::from(late && statement.urgent);
            }
        }
        for (host, gate) in gates.iter_mut().enumerate() {
            while let Some(key) = gate.next(now) {
                let at = waiting[host].iter().position(|(other, _)| *other == key).unwrap();
                let (_, statement) = waiting[host].remove(at);
                queue.push_back(Statement { sent: now, ..statement });
            }
        }
        while slots.len() < SLOTS
            && let Some(statement) = queue.pop_front()
        {
            let execution_secs = EXECUTION_SECS * (0.3 + 1.4 * random.random::<f64>());
            slots.push((now + Duration::from_secs_f64(execution_secs), statement));
        }
    }
    outcome
}

/// Guards against answers that are all late: the replicas lag by seconds, so the leader gets all
/// reads, a third more than it can run, and the connections of all hosts waited in its queue.
/// Statements that run must end in time, and the slots must stay full.
#[test]
fn overloaded_server_answers_in_time_with_full_slots() {
    let outcome = run(&[33.0; 6], 48);
    assert!(
        outcome.in_time * 100 >= outcome.served * 97,
        "{} of {} in time",
        outcome.in_time,
        outcome.served
    );
    let capacity = (8.0 * SLOTS as f64 / EXECUTION_SECS) as usize;
    assert!(outcome.served * 100 >= capacity * 85, "{} of {capacity} served", outcome.served);
    assert_eq!(outcome.urgent_late, 0);
}

/// Guards against refusals at a host that has a third of all callers but gets only an equal share
/// of the server.
#[test]
fn busy_host_gets_more_than_an_equal_share() {
    let outcome = run(&[60.0, 15.0, 15.0, 15.0, 15.0, 15.0], 48);
    assert!(outcome.refused * 100 <= outcome.served * 5, "{} refused", outcome.refused);
}

/// Guards against statements that wait or are refused at a server with free slots.
#[test]
fn server_below_capacity_refuses_no_statement() {
    let outcome = run(&[12.0; 6], 8);
    assert_eq!(outcome.refused, 0);
    assert!(outcome.in_time * 1000 >= outcome.served * 999);
}

/// Guards against refusal of short reads at a leader that runs all reads of its group: long reads
/// with a queue timeout of half a second were queued before short ones with a quarter, although
/// the short ones could have run first without making any other late.
#[test]
fn earliest_queue_deadline_goes_first_within_a_priority() {
    let mut gate = Gate::new(4);
    let (now, ms) = (Instant::now(), Duration::from_millis(1));
    for _ in 0..4 {
        assert_eq!(gate.enter(2, 100 * ms, now), Admission::Admitted);
    }
    let mut long = Vec::new();
    for _ in 0..12 {
        let Admission::Queued(key) = gate.enter(2, 250 * ms, now) else { panic!("not queued") };
        long.push(key);
    }
    let Admission::Queued(short) = gate.enter(2, 100 * ms, now + ms) else { panic!("not queued") };
    let Admission::Queued(urgent) = gate.enter(1, 400 * ms, now + ms) else { panic!("not queued") };
    let mut order = Vec::new();
    for _ in 0..4 {
        gate.end(Some(35 * ms));
        order.push(gate.next(now + 2 * ms).unwrap());
    }
    assert_eq!(order, [urgent, short, long[0], long[1]]);
}

/// Guards against idle slots at a server with a single holder: on slow answers the holder reduced
/// its limit to one statement in flight, and refused callers while two of three slots were idle.
#[test]
fn limit_of_a_single_holder_keeps_the_slots_filled() {
    let mut gate = Gate::new(23);
    gate.set_bounds(4, 23);
    for n in 0..400_u32 {
        while gate.running() < gate.limit() {
            gate.force();
        }
        gate.end(Some(Duration::from_millis(20 + u64::from(n))));
    }
    assert_eq!(gate.limit(), 4);
}
