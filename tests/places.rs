//! Evacuation of failure domains by the operator while callers are connected.

mod hosts;

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use hosts::{Connection, WAIT_TIMEOUT, block_on, sleep_ms, start_system};
use lab::soak::world::World;

/// Time by which an evacuation is in force (`configurationApplyMs` of the system).
const BOUND: Duration = Duration::from_millis(3000);

/// Number of databases, which cover all kinds of reads, one group after the other.
const DATABASES: usize = 9;

async fn try_line(
    world: &Rc<RefCell<World>>,
    host: usize,
    database: usize,
) -> std::io::Result<Connection> {
    let address = world.borrow().callers[host];
    Connection::start(address, &format!("db{database}"), "key-b").await
}

async fn line(world: &Rc<RefCell<World>>, host: usize, database: usize) -> Connection {
    try_line(world, host, database).await.unwrap()
}

/// Reads and writes at every database and returns the number of statements served.
async fn run_round(world: &Rc<RefCell<World>>, host: usize) -> usize {
    let mut served = 0;
    for database in 0..DATABASES {
        // A host that has just started does not serve callers yet.
        let Ok(mut line) = try_line(world, host, database).await else { continue };
        for text in ["READ k1", "WRITE k2 x", "READ k2"] {
            served += usize::from(line.query_outcome(text).await.starts_with("DONE"));
        }
    }
    served
}

/// Waits until every statement of a round through each host is served.
async fn until_all_served(world: &Rc<RefCell<World>>, hosts: usize) {
    let began = Instant::now();
    for host in 0..hosts {
        while run_round(world, host).await < 3 * DATABASES {
            assert!(began.elapsed() < WAIT_TIMEOUT, "host {host} does not serve every statement");
            sleep_ms(100).await;
        }
    }
}

/// Waits until the servers of a failure domain run statements again.
async fn until_used(world: &Rc<RefCell<World>>, domain: usize) {
    let (began, before) = (Instant::now(), world.borrow().statements_run_in(domain));
    while world.borrow().statements_run_in(domain) == before {
        assert!(began.elapsed() < WAIT_TIMEOUT, "nothing runs in failure domain {domain}");
        // Its own hosts prefer servers that are near.
        run_round(world, domain).await;
    }
}

/// Guards against statements that reach servers of an evacuated failure domain, leaders among
/// them, and against a domain that stays unused after its evacuation is cancelled.
#[test]
fn an_evacuated_domain_runs_no_statement_after_the_bound() {
    block_on(async {
        let world = start_system(3).await;
        for domain in [0, 1] {
            until_all_served(&world, 3).await;
            let mut open = Vec::new();
            for database in 0..DATABASES {
                let mut line = line(&world, 0, database).await;
                assert_eq!(line.query_outcome("BEGIN READ").await, "DONE T");
                assert_eq!(line.query_outcome("READ k1").await, "DONE T");
                open.push(line);
            }
            world.borrow().evacuate(domain);
            let evacuated = Instant::now();
            while evacuated.elapsed() < BOUND {
                run_round(&world, 1).await;
            }
            until_all_served(&world, 3).await;
            let ran = world.borrow().statements_run_in(domain);
            for mut line in open {
                // The transaction is aborted, or runs at a server of another failure domain.
                let answer = line.query_outcome("READ k1").await;
                assert!(answer == "ABORTED E" || answer == "DONE T", "{answer}");
            }
            until_all_served(&world, 3).await;
            assert_eq!(
                world.borrow().statements_run_in(domain),
                ran,
                "statements reached the domain"
            );
            world.borrow().end_evacuation(domain);
            until_used(&world, domain).await;
        }
    });
}

/// Guards against statements that wait for a server when no failure domain is left in use.
#[test]
fn with_all_domains_evacuated_statements_are_refused_at_once() {
    block_on(async {
        let world = start_system(3).await;
        until_all_served(&world, 3).await;
        world.borrow().evacuate(0);
        world.borrow().evacuate(1);
        let evacuated = Instant::now();
        while evacuated.elapsed() < BOUND {
            run_round(&world, 0).await;
        }
        let ran = world.borrow().statements_run_in(0) + world.borrow().statements_run_in(1);
        for text in ["READ k1", "WRITE k1 x"] {
            let mut line = line(&world, 2, 0).await;
            let answer = line.query(text).await.unwrap();
            assert!(answer[0].contains("evacuated"), "{answer:?}");
        }
        assert_eq!(world.borrow().statements_run_in(0) + world.borrow().statements_run_in(1), ran);
        world.borrow().end_evacuation(0);
        world.borrow().end_evacuation(1);
        until_all_served(&world, 3).await;
    });
}

/// Guards against an evacuation that is lost in an outage of the store, and against a host that is
/// restarted just before the outage and does not apply it.
#[test]
fn an_evacuation_holds_over_a_host_restart_and_a_store_outage() {
    block_on(async {
        let world = start_system(3).await;
        until_all_served(&world, 3).await;
        world.borrow().evacuate(0);
        let evacuated = Instant::now();
        while evacuated.elapsed() < BOUND {
            run_round(&world, 0).await;
        }
        world.borrow_mut().hosts[1].kill();
        world.borrow_mut().hosts[1].start().unwrap();
        world.borrow().store.borrow_mut().faults.down = true;
        sleep_ms(1500).await;
        world.borrow().store.borrow_mut().faults.down = false;
        until_all_served(&world, 1).await;
        let ran = world.borrow().statements_run_in(0);
        until_all_served(&world, 3).await;
        assert_eq!(world.borrow().statements_run_in(0), ran, "statements reached the domain");
    });
}
