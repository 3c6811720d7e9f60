//! A fleet of more hosts than speak to each other directly, with hubs.

mod hosts;

use std::time::{Duration, Instant};

use hosts::{Connection, await_serving, block_on, sleep_ms};
use lab::soak::world::{LARGE_HOSTS, World};

/// More hosts than all speak to each other.
const HOSTS: usize = 18;

/// The strongest host of its failure domain, which has the even numbers.
const HUB: usize = 0;

/// Longer than a silent hub counts as there.
const FROZEN_FOR: Duration = Duration::from_secs(4);

/// Guards against refusals of a failure domain whose hub is frozen while other candidates run.
#[test]
fn hosts_of_a_frozen_hub_ask_the_next_candidate() {
    block_on(async {
        let world = await_serving(World::start_sized(HOSTS, LARGE_HOSTS).unwrap()).await;
        let of_hub: Vec<usize> = (2..HOSTS).step_by(2).collect();
        world.borrow().hosts[HUB].signal(libc::SIGSTOP).unwrap();
        let began = Instant::now();
        while began.elapsed() < FROZEN_FOR {
            for host in &of_hub {
                let address = world.borrow().callers[*host];
                let mut line = Connection::start(address, "db0", "key-b").await.unwrap();
                line.query("READ k1").await.unwrap();
            }
            sleep_ms(20).await;
        }
        world.borrow().hosts[HUB].signal(libc::SIGCONT).unwrap();
        let logs: Vec<_> = of_hub.iter().map(|host| world.borrow().hosts[*host].log()).collect();
        let asked = logs.iter().filter(|log| log.contains("asking the next host")).count();
        assert!(asked > 0, "no host noticed the frozen hub");
        for (host, log) in of_hub.iter().zip(&logs) {
            let refused = log.matches("its rate cannot be checked").count();
            assert_eq!(refused, 0, "host {host} refused statements for want of its hub");
        }
    });
}
