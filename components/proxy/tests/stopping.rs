//! Sessions of a host that is being stopped.

mod callers;
mod hosts;
mod server;

use std::time::Duration;

use bergamottrack_proxy::host::Phase;
use callers::Caller;

/// Guards against a connection that ends without an answer to a statement that the host has passed on to
/// a server: the process exits while the server works on it.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn statement_in_flight_is_answered_before_the_host_exits() {
    let (host, server) = callers::start();
    let mut caller = Caller::start(&host, "bookings", "-").await;
    caller.write("QUERY q1 READ k1").await;
    while server.received().is_empty() {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    host.phase.send_replace(Phase::Stopped);
    let answer = caller.read().await;
    assert!(answer.starts_with("ERROR UNCERTAIN "), "{answer:?}");
}

/// Guards against transactions that are still open when the process exits, so that their statements end
/// without an answer: they were begun after the signal, or their callers rest between statements.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn open_transaction_of_an_ending_host_is_aborted_at_its_next_statement() {
    let (host, server) = callers::start();
    server.allow_all();
    let mut caller = Caller::start(&host, "bookings", "-").await;
    caller.send("QUERY q1 BEGIN").await;
    let answer = caller.send("QUERY q2 READ k1").await;
    assert!(answer.starts_with("DONE "), "{answer:?}");
    host.phase.send_replace(Phase::Closing);
    host.phase.send_replace(Phase::Ending);
    let answer = caller.send("QUERY q3 READ k2").await;
    assert!(answer.starts_with("ERROR ABORTED "), "{answer:?}");
    assert!(!server.received().contains(&"READ k2".to_owned()));
}
