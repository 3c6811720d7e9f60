//! Turns in which the messages of clients are processed.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    AccountId,
    turns::{MESSAGE_COST, Turn, Turns, Usage},
};

/// Work that may be done in a second: that of 1,000 messages.
const RATE: f64 = 1000.0 * MESSAGE_COST as f64;

fn account(name: &str) -> AccountId {
    name.parse().unwrap()
}

/// Guards against a client whose messages are processed one after the other for as long as they last.
#[test]
fn client_with_many_messages_waits_for_turns() {
    let (crowd, now) = (account("crowd"), Instant::now());
    let (mut turns, mut usage) = (Turns::new(RATE, now), Usage::new(now));
    let granted = (0..100)
        .take_while(|_| turns.request(Some(&crowd), &mut usage, MESSAGE_COST, now) == Turn::Granted)
        .count();
    assert!((1..=8).contains(&granted), "{granted} messages in a row");
}

/// Guards against an ordinary client that waits behind the messages of a crowd, and against a crowd that
/// takes more than the work that may be done.
#[test]
fn client_of_a_quiet_account_comes_before_a_crowd() {
    let (crowd, quiet, start) = (account("crowd"), account("quiet"), Instant::now());
    let mut turns = Turns::new(RATE, start);
    let mut usages: Vec<_> = (0..300).map(|_| Usage::new(start)).collect();
    let mut ordinary = Usage::new(start);
    let (mut waiting, mut done) = (0, 0);
    for ms in 0..2000 {
        let now = start + Duration::from_millis(ms);
        // Each client of the crowd sends its next message as soon as one is processed.
        for usage in usages.iter_mut().skip(waiting) {
            match turns.request(Some(&crowd), usage, MESSAGE_COST, now) {
                Turn::Granted => done += 1,
                Turn::Queued(_) => waiting += 1,
            }
        }
        turns.begin_pass();
        while turns.next(now).is_some() {
            waiting -= 1;
            done += 1;
        }
        if ms % 20 == 0 {
            let turn = turns.request(Some(&quiet), &mut ordinary, MESSAGE_COST, now);
            assert_eq!(turn, Turn::Granted, "after {ms} ms");
        }
    }
    // Those without a turn and those of the ordinary client are part of the work.
    assert!(done <= 2000 + 400, "{done} messages of the crowd in 2 s");
    assert!(done >= 1500, "{done} messages of the crowd in 2 s");
}

/// Guards against a client that stops to wait and takes a turn.
#[test]
fn client_that_has_left_gets_no_turn() {
    let (crowd, now) = (account("crowd"), Instant::now());
    let (mut turns, mut usage) = (Turns::new(RATE, now), Usage::new(now));
    let key = loop {
        if let Turn::Queued(key) = turns.request(Some(&crowd), &mut usage, MESSAGE_COST, now) {
            break key;
        }
    };
    turns.leave(key);
    assert!(turns.is_idle());
    assert_eq!(turns.next(now + Duration::from_secs(1)), None);
}
