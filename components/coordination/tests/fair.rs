//! The fair queue.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    AccountId,
    fair::{FairQueue, Ticket},
};

const MS: Duration = Duration::from_millis(1);

fn account(name: &str) -> AccountId {
    name.parse().unwrap()
}

fn ticket(name: &str, weight: u32, deadline: Instant) -> Ticket {
    Ticket { account: account(name), weight, deadline, urgent: false }
}

/// Serves `rounds` requests of 1 ms each, one slot, and counts them by account.
fn served(queue: &mut FairQueue<&'static str>, rounds: usize, name: &str) -> usize {
    let mut count = 0;
    for _ in 0..rounds {
        let Some(granted) = queue.pop() else { break };
        count += usize::from(granted.item == name);
        queue.release(&granted.account, granted.cost, MS);
    }
    count
}

/// A studio that asks twenty times as often as the others waits behind itself;
/// the other one's requests are served one for one.
#[test]
fn a_large_account_does_not_crowd_out_a_small_one() {
    let now = Instant::now();
    let far = now + Duration::from_secs(60);
    let mut queue = FairQueue::new(1, MS);
    for _ in 0..200 {
        queue.push(&ticket("large", 1, far), now, "large").unwrap();
    }
    for _ in 0..10 {
        queue.push(&ticket("small", 1, far), now, "small").unwrap();
    }
    let count = served(&mut queue, 21, "small");
    assert!((9..=10).contains(&count), "{count} of 10 in the first 21");
}

#[test]
fn weights_divide_a_busy_server() {
    let now = Instant::now();
    let far = now + Duration::from_secs(60);
    let mut queue = FairQueue::new(1, MS);
    for _ in 0..300 {
        queue.push(&ticket("a", 3, far), now, "a").unwrap();
        queue.push(&ticket("b", 1, far), now, "b").unwrap();
    }
    let count = served(&mut queue, 200, "a");
    assert!((148..=152).contains(&count), "{count} of 200");
}

/// An account whose requests take ten times as long gets a tenth of the turns.
#[test]
fn time_used_is_what_is_shared() {
    let now = Instant::now();
    let far = now + Duration::from_secs(600);
    let mut queue = FairQueue::new(1, MS);
    for _ in 0..500 {
        queue.push(&ticket("long", 1, far), now, "long").unwrap();
        queue.push(&ticket("short", 1, far), now, "short").unwrap();
    }
    let mut used = [Duration::ZERO; 2];
    for _ in 0..300 {
        let granted = queue.pop().unwrap();
        let long = granted.item == "long";
        let took = if long { 10 * MS } else { MS };
        used[usize::from(long)] += took;
        queue.release(&granted.account, granted.cost, took);
    }
    let ratio = used[1].as_secs_f64() / used[0].as_secs_f64();
    assert!((0.8..1.25).contains(&ratio), "{ratio}");
}

/// Beyond saturation a request that would be late is refused when it comes,
/// with a time to come back, and the queue stays as short as the deadline.
#[test]
fn a_queue_is_no_longer_than_the_deadline_allows() {
    let now = Instant::now();
    let mut queue = FairQueue::new(5, 10 * MS);
    let soon = now + 100 * MS;
    let mut refused = None;
    for _ in 0..1000 {
        if let Err((infeasible, _)) = queue.push(&ticket("a", 1, soon), now, "a") {
            refused.get_or_insert(infeasible.retry);
        }
        queue.pop();
    }
    assert!(queue.len() <= 50, "{} wait", queue.len());
    let retry = refused.unwrap();
    assert!(retry >= 10 * MS && retry < Duration::from_secs(1), "{retry:?}");
}

/// A server slows down tenfold: those who wait in vain are told at once.
#[test]
fn a_slow_server_sheds_those_who_wait_in_vain() {
    let now = Instant::now();
    let mut queue = FairQueue::new(1, MS);
    for _ in 0..50 {
        queue.push(&ticket("a", 1, now + 100 * MS), now, "a").unwrap();
    }
    for _ in 0..40 {
        let granted = queue.pop().unwrap();
        queue.release(&granted.account, granted.cost, 50 * MS);
        queue.push(&ticket("a", 1, now + Duration::from_secs(60)), now, "late").unwrap();
    }
    let shed = queue.shed(now + 50 * MS);
    assert!(shed.iter().filter(|(_, item)| *item == "a").count() >= 8, "{}", shed.len());
    assert!(shed.iter().all(|(infeasible, _)| infeasible.retry > Duration::ZERO));
}

#[test]
fn an_urgent_request_goes_before_its_own_account_only() {
    let now = Instant::now();
    let far = now + Duration::from_secs(60);
    let mut queue = FairQueue::new(1, MS);
    for _ in 0..10 {
        queue.push(&ticket("a", 1, far), now, "a").unwrap();
    }
    let urgent = Ticket { urgent: true, ..ticket("a", 1, far) };
    queue.push(&urgent, now, "urgent").unwrap();
    assert_eq!(queue.pop().unwrap().item, "urgent");
}

/// All slots run statements that wait for a lock of an open transaction. Its next
/// statement runs beyond the limit; nothing else comes until the limit holds again.
#[test]
fn an_open_transaction_runs_beyond_the_limit() {
    let now = Instant::now();
    let far = now + Duration::from_secs(60);
    let mut queue = FairQueue::new(1, MS);
    queue.push(&ticket("a", 1, far), now, "a").unwrap();
    queue.push(&ticket("a", 1, far), now, "a").unwrap();
    let first = queue.pop().unwrap();
    let cost = queue.force(&account("b"));
    queue.release(&first.account, first.cost, MS);
    assert!(queue.pop().is_none(), "the transaction has the only slot");
    queue.release(&account("b"), cost, MS);
    assert!(queue.pop().is_some());
}
