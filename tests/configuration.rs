//! Configurations that are large for the links that they travel over.

mod hosts;

use std::time::{Duration, Instant};

use hosts::{Line, args, on_runtime, pause, serving};
use lab::{
    link::Fault,
    soak::{
        self, SoakArgs,
        caller::serves_database,
        world::{LARGE_HOSTS, World},
    },
};

/// The bound of the settings: how soon an acknowledged configuration is in force.
const APPLY: Duration = Duration::from_millis(3000);

/// The bound of the settings: how soon a leaving server gets no new work.
const DRAIN: Duration = Duration::from_millis(7000);

/// A server that does not lead.
const REPLICA: usize = 1;

/// Bytes a second of a link over which the list of servers here takes 0.6 s.
const CRAWLING: u64 = 2_500;

/// How soon hosts serve again that were all down.
const RECOVERY: Duration = Duration::from_secs(12);

/// Bytes a second of a link of 2 Mbit/s, and what it leaves for the store.
const SLOW: u64 = 250_000;
const LEFT: u64 = 100_000;

/// Bytes a second of a link over which the configurations here need twice the bound.
const HOPELESS: u64 = 5_000;

/// Databases whose description has 320 KB: 1.3 s of such a link.
const MANY: usize = 2000;

/// How long hosts take to leave reading the store to others: a call that one began before
/// its links were up may still bring it a change.
const SETTLED: u64 = 2500;

fn at_most(bytes_per_sec: u64) -> Fault {
    Fault { bytes_per_sec, ..Fault::default() }
}

/// An operator adds many databases at once. Callers of small hosts were told for the rest of
/// the day that there are none, and most of all other statements failed too. The new version
/// came in one answer that took longer than it was waited for; it was dropped and asked for
/// again while the first copy was still under way, so that the link was full of copies and
/// nothing else came through. Proved by lines of questions not answered in 400 ms, each of
/// them, from the moment of the change on; fetched in pieces, it comes in the time of its bytes.
#[test]
fn a_large_configuration_comes_in_time_over_slow_links() {
    on_runtime(async {
        let world = serving(World::start_sized(4, LARGE_HOSTS).unwrap()).await;
        pause(SETTLED).await;
        world.borrow().links.set("peer*", &at_most(SLOW));
        for store in ["store2", "store3"] {
            world.borrow().links.set(store, &at_most(LEFT));
        }
        let added = world.borrow().add_databases(MANY);
        let began = Instant::now();
        let callers = world.borrow().callers.clone();
        for address in callers {
            while !serves_database(address, &added).await {
                assert!(began.elapsed() < APPLY, "{added} is not known at {address}");
                pause(50).await;
            }
        }
    });
}

/// A key is withdrawn together with a change that is too large for the links of a small host.
/// Its callers went on with the withdrawn key for seconds after the bound: the host was told
/// that there is a newer version and, hearing most hosts, took its own for good enough. Seen
/// in the version that statements were served by, 5.6 s after the next was acknowledged.
#[test]
fn a_host_that_cannot_fetch_what_is_newer_serves_nobody() {
    on_runtime(async {
        let world = serving(World::start_sized(4, LARGE_HOSTS).unwrap()).await;
        pause(SETTLED).await;
        let small = world.borrow().callers[2];
        let mut line = Line::start(small, "db0", "key-h").await.unwrap();
        world.borrow().links.set("peer*", &at_most(HOPELESS));
        for store in ["store2", "store3"] {
            world.borrow().links.set(store, &at_most(HOPELESS));
        }
        world.borrow().add_databases(MANY);
        world.borrow().withdraw_key();
        let began = Instant::now();
        assert_eq!(line.short("READ k1").await, "DONE I", "it serves as long as it may");
        let until = APPLY + Duration::from_secs(5);
        while began.elapsed() < until {
            let asked = began.elapsed();
            let told = line.short("READ k1").await;
            let may = asked <= APPLY || told != "DONE I";
            assert!(may, "{told} for a withdrawn key, {asked:?} after its withdrawal");
            pause(50).await;
        }
    });
}

/// A server leaves, and the list of servers is too large for the link of a small host to come
/// in the time that an answer is waited for. The host went on sending work to the server after
/// it had ended: the list was asked for again each 0.4 s, while copies were under way.
#[test]
fn a_list_of_servers_comes_over_a_slow_link() {
    on_runtime(async {
        let world = serving(World::start_sized(4, LARGE_HOSTS).unwrap()).await;
        pause(SETTLED).await;
        world.borrow().links.set("peer*", &at_most(CRAWLING));
        for store in ["store2", "store3"] {
            world.borrow().links.set(store, &Fault { cut_up: true, ..Fault::default() });
        }
        world.borrow().start_draining(REPLICA);
        let began = Instant::now();
        while !world.borrow().hosts[2].log().contains(r#""role":"Replica","leaving":true"#) {
            assert!(began.elapsed() < DRAIN, "the host does not know that the server leaves");
            pause(50).await;
        }
    });
}

/// A host starts while the configuration is large for its link, and no other host is there to
/// tell it. It was never ready: each read of the store was given up after a second, begun anew,
/// and took longer than that.
#[test]
fn a_host_reads_a_large_configuration_over_a_slow_link() {
    on_runtime(async {
        let world = serving(World::start(1).unwrap()).await;
        let added = world.borrow().add_databases(MANY);
        let address = world.borrow().callers[0];
        while !serves_database(address, &added).await {
            pause(50).await;
        }
        world.borrow().links.set("store0", &at_most(SLOW));
        world.borrow_mut().hosts[0].kill();
        world.borrow_mut().hosts[0].start().unwrap();
        let began = Instant::now();
        while !serves_database(address, &added).await {
            assert!(began.elapsed() < RECOVERY, "the host does not serve");
            pause(50).await;
        }
    });
}

/// The configuration grows again and again over slow links, so that a host has the last
/// version but one most of the time. Its callers were refused for seconds: it counted from when
/// its own version had been the newest as it knew, which is before the first of them.
#[test]
fn versions_that_come_faster_than_they_travel_are_in_force_in_time() {
    for seed in [9407, 9410] {
        let args = SoakArgs { grow: true, ..args(4, 8, 12) };
        let outcome = on_runtime(soak::soak(seed, &args)).unwrap();
        assert!(outcome.broken.is_empty(), "seed {seed}: {:#?}", outcome.broken);
    }
}
