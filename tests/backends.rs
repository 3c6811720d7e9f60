//! Backend servers that leave or lose contact with their group, and addresses reused by a server of
//! another group.

mod hosts;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Instant,
};

use hosts::{WAIT_TIMEOUT, block_on, sleep_ms, start_system};
use lab::soak::world::World;

/// Indexes of the first group's leader, one of its replicas, and a replica of the second group.
const LEADER: usize = 0;
const REPLICA: usize = 1;
const OTHER_REPLICA: usize = 4;

/// Starts callers of the system. They run until the returned flag is set.
fn start_callers(world: &Rc<RefCell<World>>) -> Rc<Cell<bool>> {
    // The reads of `await_serving` belong to no recorded caller and are reported as violations.
    world.borrow().groups.borrow_mut().broken.clear();
    let stop = Rc::new(Cell::new(false));
    for caller in world.borrow().make_callers(4) {
        monoio::spawn(caller.run(stop.clone()));
    }
    stop
}

/// Waits until `more` further statements have succeeded.
async fn await_served(world: &Rc<RefCell<World>>, more: u64) {
    let served = world.borrow().served.clone();
    let (before, start) = (served.get(), Instant::now());
    while served.get() < before + more {
        assert!(start.elapsed() < WAIT_TIMEOUT, "callers are not served");
        sleep_ms(20).await;
    }
}

/// Checks that no guarantee was broken and no acknowledged commit was rolled back.
fn assert_no_violations(world: &Rc<RefCell<World>>) {
    let world = world.borrow();
    let groups = world.groups.borrow();
    assert!(groups.broken.is_empty(), "{:#?}", groups.broken);
    assert_eq!(groups.rolled_back, 0);
}

/// Guards against reads that are cut off when a replica ends. An operator removes the replica: it
/// reports that it leaves and serves a few seconds more; reads still sent to it then would fail.
#[test]
fn leaving_replica_receives_no_new_statements() {
    block_on(async {
        let world = start_system(2).await;
        let stop = start_callers(&world);
        while world.borrow().statements_run(REPLICA) < 20 {
            await_served(&world, 50).await;
        }
        world.borrow().start_draining(REPLICA);
        // Hosts may still send statements there until they are notified, and what is open by then
        // may finish there.
        sleep_ms(3000).await;
        let before = world.borrow().statements_run(REPLICA);
        await_served(&world, 400).await;
        stop.set(true);
        assert_eq!(world.borrow().statements_run(REPLICA), before);
        assert_no_violations(&world);
    });
}

/// Guards against lost commits when an operator removes a leader: the successor must have received
/// every acknowledged commit before it leads. The old leader must receive no further statements.
#[test]
fn leaving_leader_hands_over_without_losing_commits() {
    block_on(async {
        let world = start_system(2).await;
        let stop = start_callers(&world);
        await_served(&world, 200).await;
        world.borrow().start_draining(LEADER);
        let start = Instant::now();
        while world.borrow().groups.borrow().promotions == 0 {
            assert!(start.elapsed() < WAIT_TIMEOUT, "no other server was promoted");
            sleep_ms(20).await;
        }
        sleep_ms(3000).await;
        let before = world.borrow().statements_run(LEADER);
        await_served(&world, 400).await;
        stop.set(true);
        assert_eq!(world.borrow().statements_run(LEADER), before);
        assert_eq!(world.borrow().groups.borrow().promotions, 1);
        assert_no_violations(&world);
    });
}

/// Guards against acknowledged bookings that are rolled back. A leader is cut off from its replicas
/// but still answers its callers; its commits were lost when another server led in its place.
#[test]
fn failover_of_leader_cut_off_from_replicas_rolls_back_no_acknowledged_commit() {
    block_on(async {
        let world = start_system(2).await;
        let stop = start_callers(&world);
        await_served(&world, 200).await;
        world.borrow().groups.borrow_mut().servers[LEADER].isolated = true;
        let start = Instant::now();
        while world.borrow().groups.borrow().promotions == 0 {
            assert!(start.elapsed() < WAIT_TIMEOUT, "no other server was promoted");
            sleep_ms(20).await;
        }
        await_served(&world, 200).await;
        world.borrow().groups.borrow_mut().servers[LEADER].isolated = false;
        await_served(&world, 200).await;
        stop.set(true);
        assert_eq!(world.borrow().groups.borrow().promotions, 1);
        assert_no_violations(&world);
    });
}

/// Guards against reads that return rows of another database. A server of another group takes over
/// a replica's address while the server list still has the address under the old replica.
#[test]
fn address_reused_by_another_group_receives_no_statements() {
    block_on(async {
        let world = start_system(2).await;
        let stop = start_callers(&world);
        await_served(&world, 200).await;
        world.borrow().retain_entries.set(true);
        world.borrow().standins[REPLICA].stop();
        world.borrow().advertise_address_of(REPLICA, OTHER_REPLICA);
        let before = world.borrow().statements_run(REPLICA);
        await_served(&world, 400).await;
        stop.set(true);
        assert_eq!(world.borrow().statements_run(REPLICA), before);
        assert_no_violations(&world);
    });
}
