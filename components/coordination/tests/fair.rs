//! Weighted fair queueing of accounts.

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

/// Serves `rounds` requests of 1 ms each in one slot, and returns how many carry `name`.
fn served(queue: &mut FairQueue<&'static str>, rounds: usize, name: &str) -> usize {
    let mut count = 0;
    for _ in 0..rounds {
        let Some(granted) = queue.pop() else { break };
        count += usize::from(granted.item == name);
        queue.release(&granted.account, granted.cost, MS);
    }
    count
}

/// Guards against an account that sends twenty times as many requests as the others and delays
/// theirs: its requests queue behind its own, and those of the other account are served in
/// alternation.
#[test]
fn large_account_does_not_delay_a_small_one() {
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

/// Guards against slots of a busy server that are divided in another ratio than the weights of
/// the accounts, here 3 to 1.
#[test]
fn busy_server_is_shared_by_weight() {
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

/// Guards against an account that gets more slot time because its requests are long: if they take
/// ten times as long, a tenth as many are granted.
#[test]
fn accounts_share_slot_time_rather_than_requests() {
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

/// Guards against a queue that grows beyond the deadline of its requests: under overload, a
/// request that would be late is refused on arrival, with a retry delay.
#[test]
fn request_that_would_miss_its_deadline_is_refused_on_arrival() {
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
    assert!(queue.len() <= 50, "{} requests wait", queue.len());
    let retry = refused.unwrap();
    assert!(retry >= 10 * MS && retry < Duration::from_secs(1), "{retry:?}");
}

/// Guards against requests that wait until their deadline in vain after a server has become ten
/// times slower: they are rejected at once.
#[test]
fn requests_that_will_be_late_are_shed_when_the_server_slows_down() {
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

/// Guards against an open transaction that holds its connection, and possibly locks, while its
/// next statement waits behind other requests of its account.
#[test]
fn urgent_request_precedes_other_requests_of_its_account() {
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

/// Guards against a deadlock: all slots run statements that wait for a lock of an open
/// transaction. Its next statement runs above the limit, and nothing else is granted until the
/// number of running statements is within the limit again.
#[test]
fn statement_of_an_open_transaction_runs_above_the_limit() {
    let now = Instant::now();
    let far = now + Duration::from_secs(60);
    let mut queue = FairQueue::new(1, MS);
    queue.push(&ticket("a", 1, far), now, "a").unwrap();
    queue.push(&ticket("a", 1, far), now, "a").unwrap();
    let first = queue.pop().unwrap();
    let cost = queue.force(&account("b"));
    queue.release(&first.account, first.cost, MS);
    assert!(queue.pop().is_none(), "the transaction holds the only slot");
    queue.release(&account("b"), cost, MS);
    assert!(queue.pop().is_some());
}
