//! Failure domains that the operator evacuates while callers are connected.

mod hosts;

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use hosts::{Line, PATIENCE, on_runtime, pause, system};
use lab::soak::world::World;

/// The bound of the system's settings.
const BOUND: Duration = Duration::from_millis(3000);

/// Databases of all kinds of reads, one group after the other.
const DATABASES: usize = 9;

async fn start(world: &Rc<RefCell<World>>, host: usize, database: usize) -> std::io::Result<Line> {
    let address = world.borrow().callers[host];
    Line::start(address, &format!("db{database}"), "key-b").await
}

async fn line(world: &Rc<RefCell<World>>, host: usize, database: usize) -> Line {
    start(world, host, database).await.unwrap()
}

/// Reads and writes at every database; how many of the statements were served.
async fn round(world: &Rc<RefCell<World>>, host: usize) -> usize {
    let mut served = 0;
    for database in 0..DATABASES {
        // A host that has just started serves nobody yet.
        let Ok(mut line) = start(world, host, database).await else { continue };
        for text in ["READ k1", "WRITE k2 x", "READ k2"] {
            served += usize::from(line.short(text).await.starts_with("DONE"));
        }
    }
    served
}

/// Waits until every statement of a round is served.
async fn serves_all(world: &Rc<RefCell<World>>, hosts: usize) {
    let began = Instant::now();
    for host in 0..hosts {
        while round(world, host).await < 3 * DATABASES {
            assert!(began.elapsed() < PATIENCE, "host {host} does not serve all");
            pause(100).await;
        }
    }
}

/// Waits until the servers of a failure domain run statements again.
async fn is_used(world: &Rc<RefCell<World>>, domain: usize) {
    let (began, before) = (Instant::now(), world.borrow().statements_run_in(domain));
    while world.borrow().statements_run_in(domain) == before {
        assert!(began.elapsed() < PATIENCE, "nothing runs in failure domain {domain}");
        // Its own hosts prefer servers that are near.
        round(world, domain).await;
    }
}

/// Guards against statements at servers of an evacuated failure domain, leaders among them,
/// and against one that stays out of use when the evacuation is taken back.
#[test]
fn an_evacuated_domain_runs_nothing_after_the_bound() {
    on_runtime(async {
        let world = system(3).await;
        for domain in [0, 1] {
            serves_all(&world, 3).await;
            let mut open = Vec::new();
            for database in 0..DATABASES {
                let mut line = line(&world, 0, database).await;
                assert_eq!(line.short("BEGIN READ").await, "DONE T");
                assert_eq!(line.short("READ k1").await, "DONE T");
                open.push(line);
            }
            world.borrow().evacuate(domain);
            let evacuated = Instant::now();
            while evacuated.elapsed() < BOUND {
                round(&world, 1).await;
            }
            serves_all(&world, 3).await;
            let ran = world.borrow().statements_run_in(domain);
            for mut line in open {
                // Ended as told, or at a server elsewhere.
                let told = line.short("READ k1").await;
                assert!(told == "ABORTED E" || told == "DONE T", "{told}");
            }
            serves_all(&world, 3).await;
            assert_eq!(
                world.borrow().statements_run_in(domain),
                ran,
                "statements reached the domain"
            );
            world.borrow().end_evacuation(domain);
            is_used(&world, domain).await;
        }
    });
}

/// Guards against statements that wait for a server that will not come.
#[test]
fn with_all_domains_evacuated_statements_are_refused_at_once() {
    on_runtime(async {
        let world = system(3).await;
        serves_all(&world, 3).await;
        world.borrow().evacuate(0);
        world.borrow().evacuate(1);
        let evacuated = Instant::now();
        while evacuated.elapsed() < BOUND {
            round(&world, 0).await;
        }
        let ran = world.borrow().statements_run_in(0) + world.borrow().statements_run_in(1);
        for text in ["READ k1", "WRITE k1 x"] {
            let mut line = line(&world, 2, 0).await;
            let told = line.ask(text).await.unwrap();
            assert!(told[0].contains("evacuated"), "{told:?}");
        }
        assert_eq!(world.borrow().statements_run_in(0) + world.borrow().statements_run_in(1), ran);
        world.borrow().end_evacuation(0);
        world.borrow().end_evacuation(1);
        serves_all(&world, 3).await;
    });
}

/// Guards against an outage of the store in which an evacuation is forgotten, and against
/// hosts that start during one and do not hear of it.
#[test]
fn an_evacuation_outlives_restarts_and_outages() {
    on_runtime(async {
        let world = system(3).await;
        serves_all(&world, 3).await;
        world.borrow().evacuate(0);
        let evacuated = Instant::now();
        while evacuated.elapsed() < BOUND {
            round(&world, 0).await;
        }
        world.borrow_mut().hosts[1].kill();
        world.borrow_mut().hosts[1].start().unwrap();
        world.borrow().store.borrow_mut().faults.down = true;
        pause(1500).await;
        world.borrow().store.borrow_mut().faults.down = false;
        serves_all(&world, 1).await;
        let ran = world.borrow().statements_run_in(0);
        serves_all(&world, 3).await;
        assert_eq!(world.borrow().statements_run_in(0), ran, "statements reached the domain");
    });
}
