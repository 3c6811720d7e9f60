//! A fleet with hubs, larger than a full mesh of hosts may be.

mod hosts;

use std::time::{Duration, Instant};

use hosts::{Connection, await_serving, block_on, sleep_ms};
use lab::soak::world::{LARGE_HOSTS, World};

/// Number of hosts, above the maximum size of a full mesh.
const HOSTS: usize = 18;

/// Hub of the failure domain of the hosts with even numbers: its host with the most power.
const HUB: usize = 0;

/// Duration of the freeze, longer than a silent hub counts as reachable.
const FREEZE_DURATION: Duration = Duration::from_secs(4);

/// Guards against refused statements in a failure domain whose hub is frozen while other hub
/// candidates run: the hosts cannot check rate limits through the hub.
#[test]
fn hosts_whose_hub_is_frozen_use_the_next_candidate() {
    block_on(async {
        let world = await_serving(World::start_sized(HOSTS, LARGE_HOSTS).unwrap()).await;
        let members: Vec<usize> = (2..HOSTS).step_by(2).collect();
        world.borrow().hosts[HUB].signal(libc::SIGSTOP).unwrap();
        let start = Instant::now();
        while start.elapsed() < FREEZE_DURATION {
            for host in &members {
                let address = world.borrow().callers[*host];
                let mut conn = Connection::start(address, "db0", "key-b").await.unwrap();
                conn.query("READ k1").await.unwrap();
            }
            sleep_ms(20).await;
        }
        world.borrow().hosts[HUB].signal(libc::SIGCONT).unwrap();
        let logs: Vec<_> = members.iter().map(|host| world.borrow().hosts[*host].log()).collect();
        let retries = logs.iter().filter(|log| log.contains("asking the next host")).count();
        assert!(retries > 0, "no host noticed the frozen hub");
        for (host, log) in members.iter().zip(&logs) {
            let refused = log.matches("its rate cannot be checked").count();
            assert_eq!(refused, 0, "host {host} refused statements because its hub is frozen");
        }
    });
}

/// Number of hub candidates in the two failure domains.
const CANDIDATES: usize = 6;

/// Time in which hosts that start together are to serve.
const START_TIME: Duration = Duration::from_secs(3);

/// Guards against a store that is overrun when all hosts start together: each of a thousand hosts
/// read the view, the servers and the configuration itself.
#[test]
fn hosts_that_start_together_read_whole_tables_only_at_hub_candidates() {
    block_on(async {
        let world = await_serving(World::start_sized(HOSTS, LARGE_HOSTS).unwrap()).await;
        let hubs_written = async {
            while world.borrow().store.borrow().count("fleet", "hubs/") < 2 {
                sleep_ms(20).await;
            }
        };
        monoio::time::timeout(hosts::WAIT_TIMEOUT, hubs_written).await.expect("hubs are published");
        for host in 0..HOSTS {
            world.borrow_mut().hosts[host].kill();
        }
        world.borrow().store.borrow_mut().whole_reads.clear();
        let log = |host: usize| world.borrow().hosts[host].log();
        let before: Vec<usize> = (0..HOSTS).map(|host| log(host).len()).collect();
        for host in 0..HOSTS {
            world.borrow_mut().hosts[host].start().unwrap();
        }
        let start = Instant::now();
        for host in 0..HOSTS {
            let address = world.borrow().callers[host];
            loop {
                if let Ok(mut conn) = Connection::start(address, "db0", "key-b").await
                    && conn.query("READ k1").await.is_ok_and(|lines| lines[0].starts_with("DONE"))
                {
                    break;
                }
                assert!(start.elapsed() < START_TIME, "host {host} does not serve");
                sleep_ms(20).await;
            }
        }
        let reads = world.borrow().store.borrow().whole_reads.clone();
        for table in ["op", "servers"] {
            let count = reads.get(table).copied().unwrap_or_default();
            assert!(count <= CANDIDATES, "{table} was read {count} times");
        }
        // Hubs read the view again for each batch of starting hosts.
        let views = reads.get("fleet").copied().unwrap_or_default();
        assert!(views < HOSTS, "the view was read {views} times");
        let readers = (0..HOSTS).filter(|host| {
            let log = &log(*host)[before[*host]..];
            log.contains("start: view read\"") || log.contains("store: whole table read")
        });
        let readers: Vec<usize> = readers.collect();
        assert!(readers.len() <= CANDIDATES, "hosts {readers:?} read whole tables");
    });
}
