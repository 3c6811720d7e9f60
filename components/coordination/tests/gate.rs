//! Several hosts before one server that is asked for more than it can run.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use bergamottrack_coordination::gate::{Admission, Gate, QueueKey};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SLOTS: usize = 5;
const WORK: f64 = 0.033;
const TICK: Duration = Duration::from_millis(1);

/// A statement: its host, when it came, when it was sent, and how urgent it is.
#[derive(Clone, Copy)]
struct Statement {
    host: usize,
    came: Instant,
    sent: Instant,
    urgent: bool,
}

#[derive(Default)]
struct Seen {
    served: usize,
    in_time: usize,
    refused: usize,
    urgent_late: usize,
}

/// Runs hosts with `asks` statements a second each for ten seconds.
fn run(asks: &[f64], most: usize) -> Seen {
    let mut random = StdRng::seed_from_u64(7);
    let mut gates: Vec<Gate> = asks.iter().map(|_| Gate::new(most)).collect();
    let mut waiting: Vec<Vec<(QueueKey, Statement)>> = vec![Vec::new(); asks.len()];
    let mut queue: VecDeque<Statement> = VecDeque::new();
    let mut slots: Vec<(Instant, Statement)> = Vec::new();
    let mut seen = Seen::default();
    let start = Instant::now();
    let mut now = start;
    while now < start + Duration::from_secs(10) {
        now += TICK;
        let warm = now > start + Duration::from_secs(2);
        for (host, asks) in asks.iter().enumerate() {
            if random.random_bool(asks * TICK.as_secs_f64()) {
                let urgent = random.random_bool(0.15);
                let statement = Statement { host, came: now, sent: now, urgent };
                let (priority, patience) = if urgent { (1, 100) } else { (2, 200) };
                match gates[host].enter(priority, Duration::from_millis(patience), now) {
                    Admission::Admitted => queue.push_back(statement),
                    Admission::Queued(place) => waiting[host].push((place, statement)),
                    Admission::Refused(_) => seen.refused += usize::from(warm),
                }
            }
        }
        let done: Vec<_> = slots.iter().filter(|(end, _)| *end <= now).map(|(_, s)| *s).collect();
        slots.retain(|(end, _)| *end > now);
        for statement in done {
            gates[statement.host].end(Some(now - statement.sent));
            if warm {
                let late = now - statement.came > Duration::from_millis(400);
                seen.served += 1;
                seen.in_time += usize::from(!late);
                seen.urgent_late += usize::from(late && statement.urgent);
            }
        }
        for (host, gate) in gates.iter_mut().enumerate() {
            while let Some(place) = gate.next(now) {
                let at = waiting[host].iter().position(|(other, _)| *other == place).unwrap();
                let (_, statement) = waiting[host].remove(at);
                queue.push_back(Statement { sent: now, ..statement });
            }
        }
        while slots.len() < SLOTS
            && let Some(statement) = queue.pop_front()
        {
            let work = WORK * (0.3 + 1.4 * random.random::<f64>());
            slots.push((now + Duration::from_secs_f64(work), statement));
        }
    }
    seen
}

/// Replicas are seconds behind and all reads come to the leader, a third more than
/// it can run. All hosts' connections stood in its queue, and each answer was late.
/// Now what it runs is in time, and its slots stay full.
#[test]
fn an_overloaded_server_still_answers_in_time() {
    let seen = run(&[33.0; 6], 48);
    assert!(seen.in_time * 100 >= seen.served * 97, "{} of {}", seen.in_time, seen.served);
    let capacity = (8.0 * SLOTS as f64 / WORK) as usize;
    assert!(seen.served * 100 >= capacity * 85, "{} of {capacity}", seen.served);
    assert_eq!(seen.urgent_late, 0);
}

/// One host has a third of all callers. It must get its part of the server too.
#[test]
fn a_busy_host_is_not_held_to_an_equal_part() {
    let seen = run(&[60.0, 15.0, 15.0, 15.0, 15.0, 15.0], 48);
    assert!(seen.refused * 100 <= seen.served * 5, "{} refused", seen.refused);
}

/// A server with room: nobody waits and nobody is refused.
#[test]
fn a_calm_server_refuses_nobody() {
    let seen = run(&[12.0; 6], 8);
    assert_eq!(seen.refused, 0);
    assert!(seen.in_time * 1000 >= seen.served * 999);
}

/// A leader runs all reads of its group. Long reads whose callers wait for half a second
/// stood before short ones whose callers wait for a quarter; those were refused for the
/// length of the queue, though they could have gone first without making anyone late.
#[test]
fn what_has_the_least_time_left_goes_first() {
    let mut gate = Gate::new(4);
    let (now, ms) = (Instant::now(), Duration::from_millis(1));
    for _ in 0..4 {
        assert_eq!(gate.enter(2, 100 * ms, now), Admission::Admitted);
    }
    let mut patient = Vec::new();
    for _ in 0..12 {
        let Admission::Queued(place) = gate.enter(2, 250 * ms, now) else { panic!("not to wait") };
        patient.push(place);
    }
    let Admission::Queued(hurried) = gate.enter(2, 100 * ms, now + ms) else { panic!("refused") };
    let Admission::Queued(urgent) = gate.enter(1, 400 * ms, now + ms) else { panic!("refused") };
    let mut order = Vec::new();
    for _ in 0..4 {
        gate.end(Some(35 * ms));
        order.push(gate.next(now + 2 * ms).unwrap());
    }
    assert_eq!(order, [urgent, hurried, patient[0], patient[1]]);
}

/// A host that alone holds a server's connections saw long answers, shrank to one
/// statement under way and refused callers while two of three slots stood idle.
#[test]
fn the_only_sender_keeps_the_slots_filled() {
    let mut gate = Gate::new(23);
    gate.set_bounds(4, 23);
    for n in 0..400_u32 {
        while gate.running() < gate.limit() {
            gate.go_on();
        }
        gate.end(Some(Duration::from_millis(20 + u64::from(n))));
    }
    assert_eq!(gate.limit(), 4);
}
