//! Memory that callers' sessions may hold.

mod callers;
mod hosts;
mod server;

use std::time::Duration;

use callers::Caller;

/// Length of a value: almost the greatest length of a message.
const LARGE: usize = 1_000_000;

/// Sends a statement that sets a large value.
async fn set(caller: &mut Caller, name: &str) -> String {
    let value = "x".repeat(LARGE);
    caller.send(&format!("QUERY q1 SET {name} {value}")).await
}

/// Guards against a session that takes the host over its memory, so that the platform ends it: each value
/// is as long as a message may be, and only the number of names was limited.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn session_holds_values_of_one_message_at_most() {
    let (host, _server) = callers::start();
    let mut caller = Caller::start(&host, "bookings", "-").await;
    for _ in 0..3 {
        let answer = set(&mut caller, "a").await;
        assert!(answer.starts_with("DONE "), "{answer:?}");
    }
    let answer = set(&mut caller, "b").await;
    assert!(answer.starts_with("ERROR TOOBIG "), "{answer:?}");
}

/// Guards against many sessions that take the host over its memory together.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn sessions_together_hold_a_bounded_size_of_values() {
    let (host, _server) = callers::start();
    let mut callers = Vec::new();
    let refused = loop {
        let mut caller = Caller::start(&host, "bookings", "-").await;
        let answer = set(&mut caller, "a").await;
        if !answer.starts_with("DONE ") {
            break answer;
        }
        callers.push(caller);
        assert!(callers.len() < 100, "100 sessions hold a large value each");
    };
    assert!(refused.starts_with("ERROR BUSY "), "{refused:?}");
    // The memory of a session that has ended is free again.
    callers.pop();
    let mut answer = String::new();
    for _ in 0..100 {
        let mut caller = Caller::start(&host, "bookings", "-").await;
        answer = set(&mut caller, "a").await;
        if answer.starts_with("DONE ") {
            break;
        }
        monoio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    assert!(answer.starts_with("DONE "), "{answer:?}");
}

/// Guards against statements in progress that take the host over its memory: many sessions have one of the
/// greatest length each, which is held several times while it waits and runs.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn statements_in_progress_together_hold_a_bounded_size() {
    let (host, server) = callers::start();
    let large = format!("QUERY q1 WRITE k1 {}", "x".repeat(LARGE));
    // A quarter is kept for messages of the usual size.
    let limit = host.memory.limit() / 4 * 3;
    let is_free = |bytes: usize| host.memory.charge().set(bytes).is_ok();
    let mut running = Caller::start(&host, "bookings", "-").await;
    running.write(&large).await;
    let end = std::time::Instant::now() + Duration::from_secs(10);
    while is_free(limit - 3 * LARGE) {
        assert!(std::time::Instant::now() < end, "a statement in progress has no share");
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    server.allow_all();
    running.read().await;
    // The share of an answered statement is free again.
    let mut others = host.memory.charge();
    others.set(limit - 3 * LARGE).unwrap();
    let mut refused = Caller::start(&host, "bookings", "-").await;
    let answer = refused.send(&large).await;
    assert!(answer.starts_with("ERROR BUSY not run; the statements in progress"), "{answer:?}");
    let answer = refused.send("QUERY q2 WRITE k1 x").await;
    assert!(!answer.contains("statements in progress"), "{answer:?}");
}

/// Guards against incomplete messages that take the host over its memory: each connection may hold one of
/// the greatest length, and none of them ends.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn incomplete_messages_together_hold_a_bounded_size() {
    let (host, _server) = callers::start();
    let mut open = Vec::new();
    for _ in 0..100 {
        let mut caller = Caller::connect(&host).await;
        // Fails if the host closes the connection meanwhile.
        caller.try_write(&"x".repeat(LARGE)).await;
        open.push(caller);
        monoio::time::sleep(Duration::from_millis(2)).await;
        assert!(host.memory.used() <= host.memory.limit(), "{} bytes are held", host.memory.used());
    }
    let held = host.clients.count();
    assert!(held * LARGE <= host.memory.limit(), "{held} connections hold a large message each");
}
