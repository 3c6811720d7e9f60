//! Hosts that run behind links which refuse connections.

mod hosts;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use hosts::{Connection, WAIT_TIMEOUT, block_on, sleep_ms, soak_args, start_system};
use lab::{
    link::Fault,
    soak::{self, SoakArgs},
};

/// Numbers of the hosts that reach neither the other hosts nor the store, but the leader.
const CUT_HOSTS: [usize; 2] = [0, 2];

/// Number of the host that reaches the store, but not the leader.
const OTHER_HOST: usize = 1;

/// Maximum time until a write is confirmed, many times the usual one.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads through one host, repeated until the test ends.
#[derive(Default)]
struct Reads {
    /// Whether the write of `after` has been acknowledged.
    acknowledged: Cell<bool>,
    /// Number of reads that have ended.
    ended: Cell<usize>,
    /// Row of the last read; none if it was not answered with a row.
    row: RefCell<Option<Box<str>>>,
    /// Answers that lack an acknowledged write.
    stale: RefCell<Vec<String>>,
}

impl Reads {
    /// Starts reads through a host.
    fn start(host: usize, address: SocketAddr) -> Rc<Self> {
        let reads = Rc::new(Self::default());
        monoio::spawn(reads.clone().run(host, address));
        reads
    }

    async fn run(self: Rc<Self>, host: usize, address: SocketAddr) {
        let mut connection = None;
        loop {
            if connection.is_none() {
                connection = Connection::start(address, "db0", "key-b").await.ok();
            }
            let acknowledged = self.acknowledged.get();
            let answer = match &mut connection {
                Some(open) => open.query("READ k1").await.ok(),
                None => None,
            };
            let row = answer.as_ref().and_then(|lines| lines[0].strip_prefix("ROW "));
            if acknowledged && row == Some("before") {
                self.stale.borrow_mut().push(format!("host {host}: {answer:?}"));
            }
            *self.row.borrow_mut() = row.map(Box::from);
            if answer.is_none() {
                connection = None;
            }
            self.ended.set(self.ended.get() + 1);
            sleep_ms(10).await;
        }
    }

    /// Waits until a read that has not begun yet satisfies the condition.
    async fn wait_until(&self, what: &str, condition: impl Fn(Option<&str>) -> bool) {
        // The read in progress began earlier.
        let (first, began) = (self.ended.get() + 2, Instant::now());
        while self.ended.get() < first || !condition(self.row.borrow().as_deref()) {
            assert!(began.elapsed() < WAIT_TIMEOUT, "not in time: {what}");
            sleep_ms(5).await;
        }
    }

    /// Checks that no answer lacked an acknowledged write.
    fn check(&self) {
        let stale = self.stale.borrow();
        assert!(stale.is_empty(), "reads lack a write acknowledged before they began: {stale:#?}");
    }
}

/// Guards against a failover that takes a refused connection to a host as proof that its process
/// has ended, and does not wait for its lease: the host still reads at the former leader.
#[test]
fn hosts_behind_refusing_links_read_no_log_that_lacks_an_acknowledged_write() {
    block_on(async {
        let world = start_system(3).await;
        let callers = world.borrow().callers.clone();
        let mut writer = Connection::start(callers[OTHER_HOST], "db0", "key-b").await.unwrap();
        assert_eq!(writer.query_outcome("WRITE k1 before").await, "DONE I");
        let reads = CUT_HOSTS.map(|host| Reads::start(host, callers[host]));

        let refuse = Fault { refuse: true, ..Fault::default() };
        let reset = Fault { reset: true, ..refuse.clone() };
        world.borrow().links.set("peer*", &reset);
        CUT_HOSTS.iter().for_each(|host| world.borrow().links.set(&format!("store{host}"), &reset));
        for reads in &reads {
            // A host that is cut off reads on connections of its own.
            reads.wait_until("a cut host reads", |row| row == Some("before")).await;
        }
        // Open connections to the leader remain, so that only a host that starts is refused.
        world.borrow().links.set("s0", &refuse);
        world.borrow().groups.borrow_mut().servers[0].isolated = true;
        world.borrow_mut().hosts[OTHER_HOST].kill();
        world.borrow_mut().hosts[OTHER_HOST].start().unwrap();

        let began = Instant::now();
        loop {
            if let Ok(mut writer) = Connection::start(callers[OTHER_HOST], "db0", "key-b").await
                && writer
                    .query("WRITE k1 after")
                    .await
                    .is_ok_and(|lines| lines[0].starts_with("DONE"))
            {
                break;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "no other server leads");
            sleep_ms(20).await;
        }
        reads.iter().for_each(|reads| reads.acknowledged.set(true));
        for reads in &reads {
            let ended = |row: Option<&str>| row.is_none() || !reads.stale.borrow().is_empty();
            reads.wait_until("a cut host reads no more", ended).await;
            reads.check();
        }

        world.borrow().links.set("*", &Fault::default());
        world.borrow().groups.borrow_mut().servers[0].isolated = false;
        for reads in &reads {
            reads.wait_until("a host reads the new log", |row| row == Some("after")).await;
            reads.check();
        }
    });
}

/// Guards against guarantees that hold only while cut links are silent. All hosts refuse each other,
/// one alone reaches the store, and a replaced leader serves again without its successor's log.
#[test]
fn refusing_links_of_a_fixed_seed_break_no_guarantee() {
    let soak_args = SoakArgs { refusals: true, ..soak_args(4, 8, 5) };
    let outcome = block_on(soak::soak(3, &soak_args)).unwrap();
    assert!(outcome.broken.is_empty(), "{:#?}", outcome.broken);
}

/// Guards against a replica that refuses connections and so keeps the other one from being polled:
/// no commit is confirmed, and writes are refused.
#[test]
fn a_write_is_confirmed_by_one_replica_while_the_other_refuses() {
    block_on(async {
        let world = start_system(1).await;
        let address = world.borrow().callers[0];
        let mut line = Connection::start(address, "db0", "key-b").await.unwrap();
        let refuse = Fault { refuse: true, reset: true, ..Fault::default() };
        // The replica in the host's failure domain, which is polled first.
        world.borrow().links.set("s2", &refuse);
        let began = Instant::now();
        while line.query_outcome("WRITE k1 value").await != "DONE I" {
            assert!(began.elapsed() < CONFIRMATION_TIMEOUT, "no write is confirmed");
            sleep_ms(20).await;
        }
    });
}
