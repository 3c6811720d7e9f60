//! Backend servers that leave, and addresses that another server has taken.

mod hosts;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Instant,
};

use hosts::{PATIENCE, on_runtime, pause, system};
use lab::soak::world::World;

/// Leader and replicas of the first group, and a replica of the second.
const LEADER: usize = 0;
const REPLICA: usize = 1;
const STRANGER: usize = 4;

/// Callers of a system, until `stop` is set.
fn load(world: &Rc<RefCell<World>>) -> Rc<Cell<bool>> {
    // The reads by which the system was waited for are no caller's.
    world.borrow().groups.borrow_mut().broken.clear();
    let stop = Rc::new(Cell::new(false));
    for caller in world.borrow().make_callers(4) {
        monoio::spawn(caller.run(stop.clone()));
    }
    stop
}

/// Waits until so many more statements are answered with success.
async fn served(world: &Rc<RefCell<World>>, more: u64) {
    let served = world.borrow().served.clone();
    let (before, began) = (served.get(), Instant::now());
    while served.get() < before + more {
        assert!(began.elapsed() < PATIENCE, "callers are not served");
        pause(20).await;
    }
}

fn assert_kept(world: &Rc<RefCell<World>>) {
    let world = world.borrow();
    let groups = world.groups.borrow();
    assert!(groups.broken.is_empty(), "{:#?}", groups.broken);
    assert_eq!(groups.rolled_back, 0);
}

/// An operator takes a replica out. It says so and serves a few seconds more; reads
/// that went on being sent there would be cut off when it ends.
#[test]
fn a_replica_that_leaves_gets_no_new_statements() {
    on_runtime(async {
        let world = system(2).await;
        let stop = load(&world);
        while world.borrow().statements_run(REPLICA) < 20 {
            served(&world, 50).await;
        }
        world.borrow().start_draining(REPLICA);
        // What the hosts are told within this time, and what is open by then, may end there.
        pause(3000).await;
        let before = world.borrow().statements_run(REPLICA);
        served(&world, 400).await;
        stop.set(true);
        assert_eq!(world.borrow().statements_run(REPLICA), before);
        assert_kept(&world);
    });
}

/// An operator takes a leader out. Its successor must have received all that was
/// acknowledged before it leads, and the old one must get no statement any more.
#[test]
fn a_leader_that_leaves_hands_over_and_loses_nothing() {
    on_runtime(async {
        let world = system(2).await;
        let stop = load(&world);
        served(&world, 200).await;
        world.borrow().start_draining(LEADER);
        let began = Instant::now();
        while world.borrow().groups.borrow().promotions == 0 {
            assert!(began.elapsed() < PATIENCE, "nobody else leads");
            pause(20).await;
        }
        pause(3000).await;
        let before = world.borrow().statements_run(LEADER);
        served(&world, 400).await;
        stop.set(true);
        assert_eq!(world.borrow().statements_run(LEADER), before);
        assert_eq!(world.borrow().groups.borrow().promotions, 1);
        assert_kept(&world);
    });
}

/// A leader is cut off from its replicas and answers its callers as before. Bookings
/// that callers were told of were taken back when another server led in its place.
#[test]
fn a_leader_without_its_replicas_has_nothing_acknowledged_taken_back() {
    on_runtime(async {
        let world = system(2).await;
        let stop = load(&world);
        served(&world, 200).await;
        world.borrow().groups.borrow_mut().servers[LEADER].isolated = true;
        let began = Instant::now();
        while world.borrow().groups.borrow().promotions == 0 {
            assert!(began.elapsed() < PATIENCE, "nobody else leads");
            pause(20).await;
        }
        served(&world, 200).await;
        world.borrow().groups.borrow_mut().servers[LEADER].isolated = false;
        served(&world, 200).await;
        stop.set(true);
        assert_eq!(world.borrow().groups.borrow().promotions, 1);
        assert_kept(&world);
    });
}

/// A replica's address is taken by a server of another group while the list still
/// names it for the old one. A read that ran there would show another database.
#[test]
fn an_address_that_another_server_has_taken_runs_nothing() {
    on_runtime(async {
        let world = system(2).await;
        let stop = load(&world);
        served(&world, 200).await;
        world.borrow().retain_entries.set(true);
        world.borrow().standins[REPLICA].stop();
        world.borrow().advertise_address_of(REPLICA, STRANGER);
        let before = world.borrow().statements_run(REPLICA);
        served(&world, 400).await;
        stop.set(true);
        assert_eq!(world.borrow().statements_run(REPLICA), before);
        assert_kept(&world);
    });
}
