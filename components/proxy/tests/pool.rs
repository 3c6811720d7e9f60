//! The pool of connections to a server.

mod hosts;

use std::{rc::Rc, time::Duration};

use bergamottrack_coordination::{budget::Budget, connections};
use bergamottrack_model::{ListedServer, Role};
use bergamottrack_proxy::pool::{Permit, Pool};

/// Slots of the server.
const SLOTS: usize = 5;

/// Connections that the server accepts.
const MAX_CONNECTIONS: usize = 34;

fn pool() -> Rc<Pool> {
    let listed = ListedServer {
        id: hosts::server(),
        group: hosts::group(),
        address: hosts::NO_ADDRESS.parse().unwrap(),
        domain: "d1".parse().unwrap(),
        slots: SLOTS,
        leaving: false,
        role: Role::Replica,
        started_ms: 1,
        cold: Duration::ZERO,
    };
    Pool::new(listed, std::time::Instant::now(), Budget::new(1 << 20, 0))
}

/// Returns permits for as many statements as may be in flight.
async fn fill(pool: &Rc<Pool>) -> Vec<Permit> {
    let mut permits = Vec::new();
    let queue_timeout = Duration::from_millis(50);
    while let Ok(permit) = pool.enter(0, queue_timeout, std::time::Instant::now()).await {
        permits.push(permit);
    }
    permits
}

/// Guards against a failover that waits for seconds for the position of a replica: reads of the holder
/// take each slot as it becomes free, so that the replica has none for a request for its status.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn holder_leaves_a_slot_to_status_requests_during_a_failover() {
    let pool = pool();
    let set_bounds = |in_failover| {
        pool.set_bounds(34, 3, connections::Role::Holder, in_failover);
    };
    set_bounds(false);
    let before = fill(&pool).await;
    assert!(before.len() > SLOTS, "{} in flight", before.len());
    set_bounds(true);
    drop(before);
    assert_eq!(fill(&pool).await.len(), SLOTS - 1);
    set_bounds(false);
    assert!(fill(&pool).await.len() > SLOTS);
}

/// Guards against an account whose open transactions hold all connections to a server, so that the
/// statements of others wait for them.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn transactions_of_one_account_leave_connections_to_others() {
    let pool = pool();
    pool.set_bounds(MAX_CONNECTIONS, 3, connections::Role::Holder, false);
    let cap = connections::bounds(MAX_CONNECTIONS, SLOTS, 3, connections::Role::Holder).cap;
    let (crowd, other) = ("crowd".parse().unwrap(), "church".parse().unwrap());
    let soon = || monoio::time::Instant::now() + Duration::from_millis(20);
    let mut open = Vec::new();
    while let Some(place) = pool.enter_transaction(&crowd, soon()).await {
        open.push(place);
        assert!(open.len() < cap, "one account holds all connections");
    }
    assert!(open.len() * 2 > cap, "{} of {cap}", open.len());
    let later = || monoio::time::Instant::now() + Duration::from_secs(10);
    assert!(pool.enter_transaction(&other, later()).await.is_some());
    // A transaction that ends makes room for the next one of its account.
    let waiting = pool.enter_transaction(&crowd, later());
    let end = async { drop(open.pop()) };
    let (next, _) = monoio::join!(waiting, end);
    assert!(next.is_some());
}
