//! Configurations that are large for the links that carry them.

mod hosts;

use std::time::{Duration, Instant};

use hosts::{Connection, await_serving, block_on, sleep_ms, soak_args};
use lab::{
    link::Fault,
    soak::{
        self, SoakArgs,
        caller::serves_database,
        world::{LARGE_HOSTS, World},
    },
};

/// Maximum time, by the settings, until an acknowledged configuration is in force.
const APPLY_TIMEOUT: Duration = Duration::from_millis(3000);

/// Maximum time, by the settings, until a leaving server gets no new work.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(7000);

/// Index of a server that is a replica.
const REPLICA: usize = 1;

/// Bytes per second of a link over which the list of servers takes 0.6 s.
const VERY_SLOW_RATE: u64 = 2_500;

/// Maximum time until hosts serve again after all of them were down.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Bytes per second of a link of 2 Mbit/s, and the share of it that is left for the store.
const SLOW_RATE: u64 = 250_000;
const STORE_RATE: u64 = 100_000;

/// Bytes per second of a link over which the configurations here take twice the bound.
const INSUFFICIENT_RATE: u64 = 5_000;

/// Number of databases whose description has 320 KB, which take 1.3 s on a link of 2 Mbit/s.
const ADDED_DATABASES: usize = 2000;

/// Time in ms after which hosts leave reading the store to their hubs. Before that, a call
/// that a host began before its links were up may still return a change.
const SETTLE_MS: u64 = 2500;

fn rate_limit(bytes_per_sec: u64) -> Fault {
    Fault { bytes_per_sec, ..Fault::default() }
}

/// An operator adds many databases at once. Callers of small hosts were told for the rest of
/// the day that there are no databases, and most other statements failed as well. The new
/// version came in one answer that took longer than its timeout. It was dropped and requested
/// again while the first copy was still in transit, so that copies filled the link and blocked
/// everything else. From the change on, the log reported each request as not answered within
/// 400 ms. Fetched in pieces, the version arrives in the time that its bytes take.
#[test]
fn large_configuration_is_in_force_in_time_over_slow_links() {
    block_on(async {
        let world = await_serving(World::start_sized(4, LARGE_HOSTS).unwrap()).await;
        sleep_ms(SETTLE_MS).await;
        world.borrow().links.set("peer*", &rate_limit(SLOW_RATE));
        for store in ["store2", "store3"] {
            world.borrow().links.set(store, &rate_limit(STORE_RATE));
        }
        let added = world.borrow().add_databases(ADDED_DATABASES);
        let began = Instant::now();
        let callers = world.borrow().callers.clone();
        for address in callers {
            while !serves_database(address, &added).await {
                assert!(began.elapsed() < APPLY_TIMEOUT, "{added} is unknown at {address}");
                sleep_ms(50).await;
            }
        }
    });
}

/// A key is withdrawn together with a change that is too large for the links of a small host.
/// Its callers kept using the withdrawn key for seconds after the bound: the host was notified
/// of a newer version, but treated its own as current because it was in contact with most
/// hosts. Statements ran under the old version 5.6 s after the next one was acknowledged.
#[test]
fn host_that_cannot_fetch_a_newer_version_refuses_requests() {
    block_on(async {
        let world = await_serving(World::start_sized(4, LARGE_HOSTS).unwrap()).await;
        sleep_ms(SETTLE_MS).await;
        let small = world.borrow().callers[2];
        let mut line = Connection::start(small, "db0", "key-h").await.unwrap();
        world.borrow().links.set("peer*", &rate_limit(INSUFFICIENT_RATE));
        for store in ["store2", "store3"] {
            world.borrow().links.set(store, &rate_limit(INSUFFICIENT_RATE));
        }
        world.borrow().add_databases(ADDED_DATABASES);
        world.borrow().withdraw_key();
        let began = Instant::now();
        assert_eq!(
            line.query_outcome("READ k1").await,
            "DONE I",
            "the host serves within the bound"
        );
        let until = APPLY_TIMEOUT + Duration::from_secs(5);
        while began.elapsed() < until {
            let sent = began.elapsed();
            let outcome = line.query_outcome("READ k1").await;
            let allowed = sent <= APPLY_TIMEOUT || outcome != "DONE I";
            assert!(allowed, "{outcome} for a withdrawn key, {sent:?} after its withdrawal");
            sleep_ms(50).await;
        }
    });
}

/// A server leaves, and over the link of a small host the list of servers takes longer than
/// the timeout of an answer. The host kept sending work to the server after it had ended: the
/// list was requested again every 0.4 s while earlier copies were still in transit.
#[test]
fn list_of_servers_arrives_over_a_slow_link() {
    block_on(async {
        let world = await_serving(World::start_sized(4, LARGE_HOSTS).unwrap()).await;
        sleep_ms(SETTLE_MS).await;
        world.borrow().links.set("peer*", &rate_limit(VERY_SLOW_RATE));
        for store in ["store2", "store3"] {
            world.borrow().links.set(store, &Fault { cut_up: true, ..Fault::default() });
        }
        world.borrow().start_draining(REPLICA);
        let began = Instant::now();
        while !world.borrow().hosts[2].log().contains(r#""role":"Replica","leaving":true"#) {
            assert!(
                began.elapsed() < DRAIN_TIMEOUT,
                "the host has not learned that the server leaves"
            );
            sleep_ms(50).await;
        }
    });
}

/// A host starts with a configuration that is large for its link, and no other host can
/// provide it. The host never became ready: each read of the store took longer than its
/// timeout of one second and was started again from the beginning.
#[test]
fn starting_host_reads_a_large_configuration_over_a_slow_link() {
    block_on(async {
        let world = await_serving(World::start(1).unwrap()).await;
        let added = world.borrow().add_databases(ADDED_DATABASES);
        let address = world.borrow().callers[0];
        while !serves_database(address, &added).await {
            sleep_ms(50).await;
        }
        world.borrow().links.set("store0", &rate_limit(SLOW_RATE));
        world.borrow_mut().hosts[0].kill();
        world.borrow_mut().hosts[0].start().unwrap();
        let began = Instant::now();
        while !serves_database(address, &added).await {
            assert!(began.elapsed() < RECOVERY_TIMEOUT, "the host does not serve");
            sleep_ms(50).await;
        }
    });
}

/// The configuration grows repeatedly over slow links, so that a host has the second newest
/// version most of the time. Its callers were refused for seconds: the host measured the age
/// of its version from the last time that it was known to be the newest, which is before the
/// first of the newer versions.
#[test]
fn versions_that_come_faster_than_they_travel_are_in_force_in_time() {
    for seed in [9407, 9410] {
        let soak_args = SoakArgs { grow: true, ..soak_args(4, 8, 12) };
        let outcome = block_on(soak::soak(seed, &soak_args)).unwrap();
        assert!(outcome.broken.is_empty(), "seed {seed}: {:#?}", outcome.broken);
    }
}
