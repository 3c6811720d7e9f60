//! Statements on connections of the host that received them.

mod hosts;
mod server;

use std::{rc::Rc, time::Duration};

use bergamottrack_coordination::{ManualClock, cold, units, view::LEASE_TTL};
use bergamottrack_model::{Access, Consistency, Session};
use bergamottrack_proxy::{
    operation::Operation,
    target::{self, ExchangeError, Target},
    timing::Timing,
};
use server::Server;

/// Limit of a cold server that allows one request of the holder within a window.
const LIMIT: cold::Limit = cold::Limit { rate: units::Rate(3.0), duration: Duration::from_secs(6) };

/// Guards against a read at a replaced leader: the lease of the host expires while a statement of a
/// transaction waits for the host's share of the request limit of a cold server.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn delayed_statement_is_not_sent_to_the_leader_after_the_lease() {
    let clock = Rc::new(ManualClock::new());
    let host = hosts::start(hosts::NO_ADDRESS.parse().unwrap(), clock.clone());
    let server = Server::start(&host);
    server.allow_all();
    let group = host.group(&hosts::group());
    let pool = host.server(&hosts::server()).unwrap();
    let timeout = Duration::from_secs(5);
    let operation = Operation {
        id: "q1".into(),
        account: "a1".parse().unwrap(),
        contract: None,
        group: group.clone(),
        consistency: Consistency::Current,
        access: Access::Read,
        homes: Default::default(),
        last_write: None,
        deadline: monoio::time::Instant::now() + timeout,
        priority: 0,
        queue_timeout: timeout,
        timing: Rc::new(Timing::default()),
    };
    let session = Session::default();
    let usage = host.begin(&group);
    assert!(usage.is_some(), "the host has no lease");
    let target = Target { pool: pool.clone(), required_position: None, usage };
    let mut execution =
        target::connect(&host, &operation, &session, target, false).await.ok().unwrap();
    let put = |execution: &mut target::Execution, text: &str| {
        let line = format!("QUERY q1 {text}\r\n");
        execution.conn.put(&session, None, |out| out.extend_from_slice(line.as_bytes()));
    };
    put(&mut execution, "BEGIN READ");
    assert!(target::exchange(&host, &operation, &mut execution, timeout).await.is_ok());
    pool.set_cold(Some(LIMIT), cold::Tolerance::default());
    pool.record_disconnect();
    put(&mut execution, "READ k1");
    let expire = async {
        monoio::time::sleep(Duration::from_millis(50)).await;
        clock.advance(LEASE_TTL);
    };
    let exchange = target::exchange(&host, &operation, &mut execution, timeout);
    let (answer, ()) = monoio::join!(exchange, expire);
    assert!(matches!(answer, Err(ExchangeError::NotSent(_))));
    assert_eq!(server.received(), ["BEGIN READ"]);
}
