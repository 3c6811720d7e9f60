//! A few storms of fixed seeds: two and three faults at a time over a system
//! under load, then what callers were told against what the tables hold. Any
//! other seed: `cargo run --release -p lab -- storm --seed N --secs S`.

use std::time::Duration;

use lab::storm::{self, schedule};

const WRITERS: usize = 6;

async fn play(seed: u64, secs: u64) {
    let steps = schedule::generate(seed, Duration::from_secs(secs), storm::HOSTS);
    let outcome = storm::storm(&steps, WRITERS, false).await.unwrap();
    assert!(outcome.broken.is_empty(), "seed {seed}: {:#?}", outcome.broken);
    assert!(outcome.writes[0] > 0, "seed {seed}: nothing was done");
}

/// Bookings go in through four hosts while servers and hosts are killed and
/// frozen and links are cut, and go on when all is mended.
#[tokio::test]
async fn no_promise_is_broken_in_storm_1() {
    play(1, 10).await;
}

/// Once all was mended no write went through for 30 s: statements that waited
/// for an open transaction's lock had all slots, and the transaction got none.
#[tokio::test]
async fn no_promise_is_broken_in_storm_2() {
    play(2, 20).await;
}
