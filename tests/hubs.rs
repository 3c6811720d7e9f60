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
