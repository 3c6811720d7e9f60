//! Forwarded statements, which run on connections held by another host.

mod hosts;

use std::{cell::RefCell, rc::Rc, time::Instant};

use hosts::{Connection, WAIT_TIMEOUT, block_on, sleep_ms, start_system};
use lab::soak::world::World;

const DATABASES: [&str; 3] = ["db0", "db1", "db2"];

async fn line(world: &Rc<RefCell<World>>, host: usize, database: &str) -> Connection {
    let address = world.borrow().callers[host];
    Connection::start(address, database, "key-b").await.unwrap()
}

/// Waits until a statement is served through a host.
async fn until_served(world: &Rc<RefCell<World>>, host: usize, database: &str, text: &str) {
    let address = world.borrow().callers[host];
    let began = Instant::now();
    loop {
        if let Ok(mut line) = Connection::start(address, database, "key-b").await
            && line
                .query(text)
                .await
                .is_ok_and(|answer| answer[answer.len() - 2].starts_with("DONE"))
        {
            return;
        }
        assert!(began.elapsed() < WAIT_TIMEOUT, "host {host} does not serve {text} on {database}");
        sleep_ms(50).await;
    }
}

/// Checks that the stand-ins recorded no violation. Violations because a statement was not
/// registered before are ignored: statements of these tests never are.
fn check_no_violation(world: &Rc<RefCell<World>>) {
    let world = world.borrow();
    let groups = world.groups.borrow();
    let violations = groups.broken.iter().filter(|text| !text.contains("never asked"));
    let violations: Vec<_> = violations.collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Callers of every host write within transactions, with their own session values and named
/// statements, and only one host has connections to the leader. Guards against a transaction that
/// changes its connection, and against values or statements of another session.
#[test]
fn forwarded_transactions_keep_their_connection_and_session_values() {
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
        check_no_violation(&world);
    });
}

/// A host dies while its caller's transaction is open on a connection held by another host, which
/// stays up. Guards against writes of it that are kept, and against a transaction that is never
/// ended on the holder's connection.
#[test]
fn a_forwarded_transaction_of_a_dead_host_is_rolled_back() {
    block_on(async {
        let world = start_system(3).await;
        for host in 0..3 {
            let mut line = line(&world, host, "db0").await;
            assert_eq!(line.query_outcome("BEGIN").await, "DONE T");
            assert_eq!(line.query_outcome(&format!("WRITE lost{host} never")).await, "DONE T");
            world.borrow_mut().hosts[host].kill();
            let other = (host + 1) % 3;
            until_served(&world, other, "db0", &format!("WRITE lost{host} kept")).await;
            let mut line = self::line(&world, other, "db0").await;
            assert_eq!(line.query(&format!("READ lost{host}")).await.unwrap()[0], "ROW kept");
            world.borrow_mut().hosts[host].start().unwrap();
            until_served(&world, host, "db0", "READ k1").await;
        }
        check_no_violation(&world);
    });
}

/// Each host in turn dies or is suspended, among them the holder of the leader's connections.
/// Guards against hosts that wait for the failed one to return instead of using another holder or
/// their own connections.
#[test]
fn statements_are_served_without_a_dead_or_suspended_holder() {
    block_on(async {
        let world = start_system(3).await;
        for host in 0..3 {
            for suspend in [false, true] {
                if suspend {
                    world.borrow().hosts[host].signal(libc::SIGSTOP).unwrap();
                } else {
                    world.borrow_mut().hosts[host].kill();
                }
                for other in (0..3).filter(|other| *other != host) {
                    for database in DATABASES {
                        until_served(&world, other, database, "READ k1").await;
                        until_served(&world, other, database, &format!("WRITE w{host} x")).await;
                    }
                }
                if suspend {
                    world.borrow().hosts[host].signal(libc::SIGCONT).unwrap();
                } else {
                    world.borrow_mut().hosts[host].start().unwrap();
                }
                until_served(&world, host, "db0", "READ k1").await;
            }
        }
        check_no_violation(&world);
    });
}
