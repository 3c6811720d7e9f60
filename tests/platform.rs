//! Real hosts with stand-ins for the users' platform: store, backend servers and operator.

mod hosts;

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use hosts::{Connection, WAIT_TIMEOUT, block_on, sleep_ms, soak_args, start_system};
use lab::soak::{self, SoakArgs};
use monoio::{io::IntoPollIo, net::TcpStream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Guards, without any faults on the path, against answers that belong to another statement,
/// reads behind their required position, and values or statement names of another session.
#[test]
fn a_system_without_faults_breaks_no_guarantee() {
    let outcome = block_on(soak::soak(1, &SoakArgs { calm: true, ..soak_args(2, 6, 3) })).unwrap();
    assert!(outcome.broken.is_empty(), "{:#?}", outcome.broken);
    assert!(outcome.served > 300, "{outcome:?}");
    assert_eq!(outcome.promotions, 0);
}

/// Guards against broken guarantees under drawn faults. The seeds are fixed, and each always
/// draws the same faults.
#[test]
fn faults_of_fixed_seeds_break_no_guarantee() {
    for seed in [3, 8] {
        let outcome = block_on(soak::soak(seed, &soak_args(3, 4, 5))).unwrap();
        assert!(outcome.broken.is_empty(), "seed {seed}: {:#?}", outcome.broken);
    }
}

/// Guards against acknowledged commits that a failover loses where the configuration requires that a
/// replica has each.
#[test]
fn faults_lose_no_acknowledged_commit_of_a_service_with_synchronous_replicas() {
    for (seed, links) in [(5, false), (11, true)] {
        let soak_args = SoakArgs { sync: true, links, ..soak_args(3, 4, 6) };
        let outcome = block_on(soak::soak(seed, &soak_args)).unwrap();
        assert!(outcome.broken.is_empty(), "seed {seed}: {:#?}", outcome.broken);
    }
}

/// A replaced leader comes back just when its successor dies. Guards against hosts that use it as
/// leader again although its term is over, so that reads miss acknowledged writes.
#[test]
fn a_replaced_leader_that_returns_breaks_no_guarantee() {
    let outcome = block_on(soak::soak(147, &soak_args(4, 8, 10))).unwrap();
    assert!(outcome.broken.is_empty(), "{:#?}", outcome.broken);
}

/// All hosts die together, twice within one window of the rate limit, while an account exceeds
/// its rate and leaders and their successors die. Guards against restarted hosts that each use
/// the whole rate, and against a replaced leader that is used as leader again.
#[test]
fn hosts_that_die_together_break_no_guarantee() {
    let soak_args = SoakArgs { herd: true, ..soak_args(4, 8, 9) };
    let outcome = block_on(soak::soak(1, &soak_args)).unwrap();
    assert!(outcome.broken.is_empty(), "{:#?}", outcome.broken);
}

/// Guards against a caller that cannot distinguish a wrong database name from a wrong key.
#[test]
fn an_unknown_database_and_a_wrong_key_give_different_errors() {
    block_on(async {
        let world = start_system(1).await;
        let address = world.borrow().callers[0];
        let error = |result: std::io::Result<Connection>| result.err().unwrap().to_string();
        let none = error(Connection::start(address, "nowhere", "key-b").await);
        assert!(none.starts_with("ERROR NODATABASE"), "{none}");
        let denied = error(Connection::start(address, "db0", "wrong").await);
        assert!(denied.starts_with("ERROR FORBIDDEN"), "{denied}");
    });
}

/// Callers send garbage, an endless line, several statements at once and half of one. Guards
/// against a connection that neither ends clearly nor gets its answers in order, and against
/// effects on another session.
#[test]
fn malformed_lines_are_refused_and_do_not_affect_other_sessions() {
    block_on(async {
        let world = start_system(1).await;
        let address = world.borrow().callers[0];
        let mut other = Connection::start(address, "db0", "key-b").await.unwrap();

        let mut garbage = Connection::connect(address).await.unwrap();
        garbage.send("GET / HTTP/1.1\r\n").await.unwrap();
        assert!(garbage.next().await.unwrap().starts_with("ERROR MALFORMED"));
        assert!(garbage.next().await.is_err(), "the connection was not closed");

        let mut long = Connection::start(address, "db0", "key-b").await.unwrap();
        // The host may close the connection before it has read the whole line.
        let _ = long.send(&"x".repeat((1 << 20) + 1)).await;
        let answer = long.next().await;
        assert!(answer.is_err() || answer.unwrap().starts_with("ERROR TOOBIG"));

        let mut pipelined = Connection::start(address, "db0", "key-b").await.unwrap();
        pipelined
            .send("QUERY a1 SET v 1\r\nQUERY a2 READ k1\r\nQUERY a3 nonsense\r\nQUERY a4 RE")
            .await
            .unwrap();
        for status in ["DONE", "DONE", "ERROR MALFORMED"] {
            let answer = pipelined.answer().await.unwrap();
            assert!(answer[answer.len() - 2].starts_with(status), "{answer:?}");
        }
        pipelined.send("AD k1\r\n").await.unwrap();
        assert!(pipelined.answer().await.unwrap()[0].starts_with("DONE"));

        assert_eq!(other.query_outcome("READ k1").await, "DONE I");
    });
}

/// A statement of a transaction fails and the caller ignores the error. Guards against further
/// statements that run before the transaction is ended.
#[test]
fn a_failed_transaction_runs_no_statement_until_it_ends() {
    block_on(async {
        let world = start_system(1).await;
        let address = world.borrow().callers[0];
        let mut line = Connection::start(address, "db0", "key-b").await.unwrap();
        assert_eq!(line.query_outcome("BEGIN").await, "DONE T");
        assert_eq!(line.query_outcome("WRITE k9 kept").await, "DONE T");
        assert_eq!(line.query_outcome("EXECUTE nothing k9").await, "UNKNOWN E");
        assert_eq!(line.query_outcome("WRITE k9 again").await, "MALFORMED E");
        assert_eq!(line.query_outcome("COMMIT").await, "ABORTED I");
        assert_eq!(line.query("READ k9").await.unwrap().len(), 2, "a row was kept");
    });
}

/// A caller disconnects after a write within a transaction. Guards against a write that is kept,
/// and against a backend connection that cannot be used by others afterwards.
#[test]
fn a_transaction_of_a_disconnected_caller_is_rolled_back() {
    block_on(async {
        let world = start_system(1).await;
        let address = world.borrow().callers[0];
        for _ in 0..20 {
            let mut line = Connection::start(address, "db0", "key-b").await.unwrap();
            assert_eq!(line.query_outcome("BEGIN").await, "DONE T");
            assert_eq!(line.query_outcome("WRITE k8 lost").await, "DONE T");
        }
        let mut other = Connection::start(address, "db0", "key-b").await.unwrap();
        assert_eq!(other.query("READ k8").await.unwrap().len(), 2, "a row was kept");
    });
}

/// Guards against an idle transaction that keeps a connection which others wait for: after the
/// idle timeout it is ended. The caller gets the error at its next statement, since nothing may
/// be sent unrequested.
#[test]
fn a_transaction_idle_beyond_the_timeout_is_ended() {
    block_on(async {
        let world = start_system(1).await;
        let address = world.borrow().callers[0];
        let mut line = Connection::start(address, "db0", "key-b").await.unwrap();
        assert_eq!(line.query_outcome("BEGIN").await, "DONE T");
        assert_eq!(line.query_outcome("WRITE k7 never").await, "DONE T");
        sleep_ms(3500).await;
        assert_eq!(line.query_outcome("READ k7").await, "ABORTED E");
        assert_eq!(line.query_outcome("ROLLBACK").await, "DONE I");
        assert_eq!(line.query("READ k7").await.unwrap().len(), 2, "a row was kept");
    });
}

/// An operator withdraws a key while its caller is connected and idle. Guards against an open
/// session that still runs statements after the bound.
#[test]
fn a_withdrawn_key_is_refused_on_an_open_session() {
    block_on(async {
        let world = start_system(1).await;
        let address = world.borrow().callers[0];
        let mut line = Connection::start(address, "db0", "key-h").await.unwrap();
        assert_eq!(line.query_outcome("READ k1").await, "DONE I");
        world.borrow().withdraw_key();
        let began = Instant::now();
        while line.query_outcome("READ k1").await != "FORBIDDEN I" {
            assert!(began.elapsed() < Duration::from_secs(3), "the key still works");
            sleep_ms(50).await;
        }
    });
}

async fn get(address: SocketAddr, path: &str) -> String {
    let mut io = TcpStream::connect(address).await.unwrap().into_poll_io().unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    io.write_all(request.as_bytes()).await.unwrap();
    let mut text = String::new();
    io.read_to_string(&mut text).await.unwrap();
    text
}

async fn readiness(address: SocketAddr) -> String {
    let text = get(address, "/-/readiness").await;
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// A host under load is stopped: it reports at once that it is not ready, still answers, closes
/// sessions between transactions only, and ends in time. Guards against a statement that was read
/// and not answered, or was in transit when its session was closed and has run.
#[test]
fn a_planned_stop_leaves_no_statement_run_but_unanswered() {
    block_on(async {
        let world = start_system(1).await;
        let (address, ready) = (world.borrow().callers[0], world.borrow().readiness[0]);
        assert_eq!(readiness(ready).await, "200");
        let statements_run =
            || (0..3).map(|place| world.borrow().statements_run(place)).sum::<usize>();
        let before = statements_run();
        let cut = Rc::new(Cell::new(0));
        let answered = Rc::new(Cell::new(0));
        let ended = Rc::new(Cell::new(0));
        // Half of them pause between statements; the others are closed within a statement.
        for wait_ms in [15, 15, 15, 15, 0, 0, 0, 0] {
            let (cut, answered, ended) = (cut.clone(), answered.clone(), ended.clone());
            monoio::spawn(async move {
                let mut line = Connection::start(address, "db0", "key-b").await.unwrap();
                loop {
                    // A close between statements is no failure, so it is checked for first.
                    let timeout = Duration::from_millis(wait_ms);
                    let idle = monoio::time::timeout(timeout, line.next()).await;
                    if idle.is_ok() {
                        break;
                    }
                    let Ok(answer) = line.query("READ k1").await else {
                        cut.set(cut.get() + 1);
                        break;
                    };
                    let done = answer[answer.len() - 2].starts_with("DONE");
                    answered.set(answered.get() + usize::from(done));
                }
                ended.set(ended.get() + 1);
            });
        }
        sleep_ms(300).await;
        world.borrow().hosts[0].signal(libc::SIGTERM).unwrap();
        sleep_ms(300).await;
        assert_eq!(readiness(ready).await, "503");
        let began = Instant::now();
        while ended.get() < 8 {
            assert!(began.elapsed() < Duration::from_secs(8), "sessions were not ended");
            sleep_ms(20).await;
        }
        assert_eq!(
            statements_run() - before,
            answered.get(),
            "{} were cut, some had run",
            cut.get()
        );
    });
}

/// Guards against a reload of the settings that ends sessions or transactions.
#[test]
fn a_reload_keeps_sessions_and_transactions() {
    block_on(async {
        let world = start_system(1).await;
        let address = world.borrow().callers[0];
        let mut line = Connection::start(address, "db0", "key-b").await.unwrap();
        assert_eq!(line.query_outcome("BEGIN").await, "DONE T");
        assert_eq!(line.query_outcome("WRITE k6 kept").await, "DONE T");
        world.borrow().hosts[0].signal(libc::SIGHUP).unwrap();
        sleep_ms(300).await;
        assert_eq!(line.query_outcome("COMMIT").await, "DONE I");
        assert_eq!(line.query("READ k6").await.unwrap()[0], "ROW kept");
    });
}

/// A group's leader dies, and writes are refused until a replica leads. Guards against a group
/// that stays without a leader, and against more than one promotion.
#[test]
fn a_dead_leader_is_replaced_by_one_promotion() {
    block_on(async {
        let world = start_system(3).await;
        let address = world.borrow().callers[1];
        let mut line = Connection::start(address, "db0", "key-b").await.unwrap();
        assert_eq!(line.query_outcome("WRITE k5 before").await, "DONE I");
        sleep_ms(100).await;
        world.borrow().stop_leader(0);
        let began = Instant::now();
        while line.query_outcome("WRITE k5 after").await != "DONE I" {
            assert!(began.elapsed() < WAIT_TIMEOUT, "no other server leads");
            sleep_ms(20).await;
        }
        assert_eq!(line.query("READ k5").await.unwrap()[0], "ROW after");
        assert_eq!(world.borrow().groups.borrow().promotions, 1);
    });
}

/// A group's leader accepts connections and closes each at once, like a process about to end, and
/// its entry stays in the list. Guards against a failure detector that only counts refused
/// connections and unanswered statements: no write was served until the entry expired.
#[test]
fn a_leader_that_closes_every_connection_is_replaced() {
    block_on(async {
        let world = start_system(3).await;
        world.borrow().retain_entries.set(true);
        let address = world.borrow().callers[1];
        let mut line = Connection::start(address, "db0", "key-b").await.unwrap();
        assert_eq!(line.query_outcome("WRITE k4 before").await, "DONE I");
        sleep_ms(100).await;
        // The leader's link still accepts connections.
        world.borrow().stop_leader(0);
        let began = Instant::now();
        while line.query_outcome("WRITE k4 after").await != "DONE I" {
            assert!(began.elapsed() < WAIT_TIMEOUT, "no other server leads");
            sleep_ms(20).await;
        }
        assert_eq!(world.borrow().groups.borrow().promotions, 1);
    });
}

/// A group's leader is lost for good while the only host is down. The host starts with a list
/// without a leader and has never seen one itself. Guards against a host that lacks a start time
/// for the absence of a leader and so never requests a promotion.
#[test]
fn a_group_without_a_known_leader_gets_a_leader() {
    block_on(async {
        let world = start_system(1).await;
        world.borrow_mut().hosts[0].kill();
        world.borrow().stop_leader(0);
        // Longer than the leader's entry stays in the list.
        sleep_ms(2500).await;
        world.borrow_mut().hosts[0].start().unwrap();
        let address = world.borrow().callers[0];
        let began = Instant::now();
        loop {
            if let Ok(mut line) = Connection::start(address, "db0", "key-b").await
                && line
                    .query("WRITE k3 after")
                    .await
                    .is_ok_and(|lines| lines[0].starts_with("DONE"))
            {
                break;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "no server leads");
            sleep_ms(50).await;
        }
    });
}

/// A caller reports a request by its id. Guards against a log without a line for the id or without
/// what decided its outcome, and against missing counters and latencies.
#[test]
fn a_statement_is_logged_with_its_id() {
    block_on(async {
        let world = start_system(1).await;
        let (address, metrics) = (world.borrow().callers[0], world.borrow().metrics[0]);
        let mut line = Connection::start(address, "db0", "key-b").await.unwrap();
        line.send("QUERY c0ffee READ k1\r\n").await.unwrap();
        line.answer().await.unwrap();
        let began = Instant::now();
        let entry = loop {
            let log = world.borrow().hosts[0].log();
            let lines: Vec<serde_json::Value> =
                log.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
            if let Some(entry) = lines.into_iter().find(|line| line["id"] == "c0ffee") {
                break entry;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "the statement is not in the log");
            sleep_ms(50).await;
        };
        assert_eq!(entry["account"], "baobab");
        assert_eq!(entry["group"], "g0");
        assert_eq!(entry["outcome"], "done");
        assert!(entry["version"].is_u64() && entry["ms"].is_u64(), "{entry}");
        let text = get(metrics, "/metrics").await;
        assert!(
            text.contains("bergamottrack_statement_seconds_count{account=\"baobab\"}"),
            "{text}"
        );
    });
}

/// Guards against hundreds of restarting hosts that wait for each other's rows in the store.
#[test]
fn a_host_restart_makes_no_changes_to_the_store() {
    block_on(async {
        let world = start_system(2).await;
        let before = world.borrow().store.borrow().changes;
        world.borrow_mut().hosts[1].kill();
        world.borrow_mut().hosts[1].start().unwrap();
        let address = world.borrow().callers[1];
        let began = Instant::now();
        while Connection::start(address, "db0", "key-b").await.is_err() {
            assert!(began.elapsed() < WAIT_TIMEOUT, "the host does not serve");
            sleep_ms(50).await;
        }
        assert_eq!(world.borrow().store.borrow().changes, before);
    });
}
