//! Statements that run on connections which another host holds.

mod hosts;

use std::{cell::RefCell, rc::Rc, time::Instant};

use hosts::{Connection, WAIT_TIMEOUT, block_on, sleep_ms, start_system};
use lab::soak::world::World;

const DATABASES: [&str; 3] = ["db0", "db1", "db2"];

async fn line(world: &Rc<RefCell<World>>, host: usize, database: &str) -> Connection {
    let address = world.borrow().callers[host];
    Connection::start(address, database, "key-b").await.unwrap()
}

/// Waits until a host serves a statement.
async fn serves(world: &Rc<RefCell<World>>, host: usize, database: &str, text: &str) {
    let address = world.borrow().callers[host];
    let began = Instant::now();
    loop {
        if let Ok(mut line) = Connection::start(address, database, "key-b").await
            && line.query(text).await.is_ok_and(|told| told[told.len() - 2].starts_with("DONE"))
        {
            return;
        }
        assert!(began.elapsed() < WAIT_TIMEOUT, "host {host} does not serve {text} on {database}");
        sleep_ms(50).await;
    }
}

/// What the servers saw must be in order, but for statements of these lines, of which
/// they were not told before.
fn unbroken(world: &Rc<RefCell<World>>) {
    let world = world.borrow();
    let groups = world.groups.borrow();
    let broken = groups.broken.iter().filter(|story| !story.contains("never asked"));
    let broken: Vec<_> = broken.collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Callers of every host write within transactions, with values and named statements of
/// their own. Only one host has connections to the leader: all run there, each on one
/// connection from its start to its end and with the values of its own session.
#[test]
fn transactions_of_all_hosts_keep_to_their_connection_and_values() {
    block_on(async {
        let world = start_system(3).await;
        for database in DATABASES {
            let mut open = Vec::new();
            for host in 0..3 {
                let mut line = line(&world, host, database).await;
                assert_eq!(line.query_outcome(&format!("SET zone z{host}")).await, "DONE I");
                assert_eq!(line.query_outcome("PREPARE s1 WRITE q1").await, "DONE I");
                assert_eq!(line.query_outcome("BEGIN").await, "DONE T");
                assert_eq!(
                    line.query_outcome(&format!("EXECUTE s1 r{host} v{host}")).await,
                    "DONE T"
                );
                open.push(line);
            }
            for (host, line) in open.iter_mut().enumerate() {
                assert_eq!(
                    line.query(&format!("READ r{host}")).await.unwrap()[0],
                    format!("ROW v{host}")
                );
                assert_eq!(line.query_outcome("COMMIT").await, "DONE I");
                assert_eq!(
                    line.query(&format!("READ r{host}")).await.unwrap()[0],
                    format!("ROW v{host}")
                );
            }
        }
        unbroken(&world);
    });
}

/// A host dies while its caller's transaction is open on a connection of another host,
/// which lives on. Nothing of it is kept, and the connection does not stay open for ever.
#[test]
fn a_transaction_whose_host_dies_keeps_nothing() {
    block_on(async {
        let world = start_system(3).await;
        for host in 0..3 {
            let mut line = line(&world, host, "db0").await;
            assert_eq!(line.query_outcome("BEGIN").await, "DONE T");
            assert_eq!(line.query_outcome(&format!("WRITE lost{host} never")).await, "DONE T");
            world.borrow_mut().hosts[host].kill();
            let other = (host + 1) % 3;
            serves(&world, other, "db0", &format!("WRITE lost{host} kept")).await;
            let mut line = self::line(&world, other, "db0").await;
            assert_eq!(line.query(&format!("READ lost{host}")).await.unwrap()[0], "ROW kept");
            world.borrow_mut().hosts[host].start().unwrap();
            serves(&world, host, "db0", "READ k1").await;
        }
        unbroken(&world);
    });
}

/// Each host in turn dies or freezes, the one that holds the leader's connections among
/// them. The others go on by another holder or by connections of their own, long before
/// the dead one is back.
#[test]
fn a_holder_that_dies_or_freezes_is_passed_over() {
    block_on(async {
        let world = start_system(3).await;
        for host in 0..3 {
            for freezes in [false, true] {
                if freezes {
                    world.borrow().hosts[host].signal(libc::SIGSTOP).unwrap();
                } else {
                    world.borrow_mut().hosts[host].kill();
                }
                for other in (0..3).filter(|other| *other != host) {
                    for database in DATABASES {
                        serves(&world, other, database, "READ k1").await;
                        serves(&world, other, database, &format!("WRITE w{host} x")).await;
                    }
                }
                if freezes {
                    world.borrow().hosts[host].signal(libc::SIGCONT).unwrap();
                } else {
                    world.borrow_mut().hosts[host].start().unwrap();
                }
                serves(&world, host, "db0", "READ k1").await;
            }
        }
        unbroken(&world);
    });
}
