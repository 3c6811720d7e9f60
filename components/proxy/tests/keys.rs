//! Keys that are removed while their callers are connected.

mod callers;
mod hosts;
mod server;

use bergamottrack_adapter::configuration;
use bergamottrack_proxy::Host;
use callers::{CONFIGURATION, Caller};

fn activate(host: &Host, text: String) {
    let plan = configuration::decode(text.as_bytes()).unwrap();
    host.set_plan(plan, text.into());
}

/// Guards against a caller that goes on writing in its open transaction, and commits it, for as long as it
/// keeps sending statements after its key was removed.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn open_transaction_of_a_removed_key_is_rolled_back_at_its_next_statement() {
    let (host, server) = callers::start();
    server.allow_all();
    let mut caller = Caller::start(&host, "rounds", "k1").await;
    caller.send("QUERY q1 BEGIN").await;
    let answer = caller.send("QUERY q2 READ v1").await;
    assert!(answer.starts_with("DONE "), "{answer:?}");
    let text = CONFIGURATION.replace("\"version\":7", "\"version\":8").replace("k1", "k2");
    activate(&host, text);
    let answer = caller.send("QUERY q3 READ v2").await;
    assert!(answer.starts_with("ERROR FORBIDDEN "), "{answer:?}");
    assert!(answer.ends_with("READY E -\r\n"), "{answer:?}");
    assert!(!server.received().contains(&"READ v2".to_owned()));
}

/// Guards against a transaction that is rolled back although its key is still held by its account.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn open_transaction_goes_on_under_a_new_configuration() {
    let (host, server) = callers::start();
    server.allow_all();
    let mut caller = Caller::start(&host, "rounds", "k1").await;
    caller.send("QUERY q1 BEGIN").await;
    let text = CONFIGURATION.replace("\"version\":7", "\"version\":8");
    activate(&host, text);
    let answer = caller.send("QUERY q2 READ v1").await;
    assert!(answer.starts_with("DONE "), "{answer:?}");
}
