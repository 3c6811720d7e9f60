//! A real host on stand-ins of the users' platform: store, servers, operator.

mod hosts;

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use hosts::{Line, PATIENCE, args, on_runtime, pause, system};
use lab::soak::{self, SoakArgs};
use monoio::{io::IntoPollIo, net::TcpStream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The whole path without any fault: every answer is the server's own to that very
/// statement, reads show what they must, values and names are the session's own.
#[test]
fn a_calm_system_keeps_every_promise() {
    let outcome = on_runtime(soak::soak(1, &SoakArgs { calm: true, ..args(2, 6, 3) })).unwrap();
    assert!(outcome.broken.is_empty(), "{:#?}", outcome.broken);
    assert!(outcome.served > 300, "{outcome:?}");
    assert_eq!(outcome.promotions, 0);
}

/// Faults of fixed seeds, which never changes what they do.
#[test]
fn faults_of_fixed_seeds_break_no_promise() {
    for seed in [3, 8] {
        let outcome = on_runtime(soak::soak(seed, &args(3, 4, 5))).unwrap();
        assert!(outcome.broken.is_empty(), "seed {seed}: {:#?}", outcome.broken);
    }
}

/// A leader comes back just when its successor dies, and was taken up again though
/// its term was over: reads missed acknowledged writes.
#[test]
fn faults_of_the_seed_with_an_old_leader_break_no_promise() {
    let outcome = on_runtime(soak::soak(147, &args(4, 8, 10))).unwrap();
    assert!(outcome.broken.is_empty(), "{:#?}", outcome.broken);
}

/// All hosts die together, twice within a window of the limit, while an account asks for
/// more than its rate and leaders and their successors die. Hosts that came back each
/// took the whole rate, and a leader that had been replaced was taken up again.
#[test]
fn hosts_that_die_together_break_no_promise() {
    let args = SoakArgs { herd: true, ..args(4, 8, 9) };
    let outcome = on_runtime(soak::soak(1, &args)).unwrap();
    assert!(outcome.broken.is_empty(), "{:#?}", outcome.broken);
}

#[test]
fn unknown_names_and_keys_are_told_apart() {
    on_runtime(async {
        let world = system(1).await;
        let address = world.borrow().callers[0];
        let told = |result: std::io::Result<Line>| result.err().unwrap().to_string();
        let none = told(Line::start(address, "nowhere", "key-b").await);
        assert!(none.starts_with("ERROR NODATABASE"), "{none}");
        let denied = told(Line::start(address, "db0", "wrong").await);
        assert!(denied.starts_with("ERROR FORBIDDEN"), "{denied}");
    });
}

/// Callers send garbage, a line without end, several statements at once and half
/// of one. Each gets a clear end or its answers in order; another session goes on.
#[test]
fn odd_lines_end_clearly_and_harm_nobody() {
    on_runtime(async {
        let world = system(1).await;
        let address = world.borrow().callers[0];
        let mut other = Line::start(address, "db0", "key-b").await.unwrap();

        let mut garbage = Line::connect(address).await.unwrap();
        garbage.send("GET / HTTP/1.1\r\n").await.unwrap();
        assert!(garbage.next().await.unwrap().starts_with("ERROR MALFORMED"));
        assert!(garbage.next().await.is_err(), "the connection was not closed");

        let mut long = Line::start(address, "db0", "key-b").await.unwrap();
        // The host may close before it has read all of it.
        let _ = long.send(&"x".repeat((1 << 20) + 1)).await;
        let told = long.next().await;
        assert!(told.is_err() || told.unwrap().starts_with("ERROR TOOBIG"));

        let mut eager = Line::start(address, "db0", "key-b").await.unwrap();
        eager
            .send("QUERY a1 SET v 1\r\nQUERY a2 READ k1\r\nQUERY a3 nonsense\r\nQUERY a4 RE")
            .await
            .unwrap();
        for word in ["DONE", "DONE", "ERROR MALFORMED"] {
            let told = eager.answer().await.unwrap();
            assert!(told[told.len() - 2].starts_with(word), "{told:?}");
        }
        eager.send("AD k1\r\n").await.unwrap();
        assert!(eager.answer().await.unwrap()[0].starts_with("DONE"));

        assert_eq!(other.short("READ k1").await, "DONE I");
    });
}

/// A statement of a transaction fails and the caller goes on as if it had not.
/// Nothing more may run until the transaction is ended.
#[test]
fn a_failed_transaction_does_nothing_until_it_ends() {
    on_runtime(async {
        let world = system(1).await;
        let address = world.borrow().callers[0];
        let mut line = Line::start(address, "db0", "key-b").await.unwrap();
        assert_eq!(line.short("BEGIN").await, "DONE T");
        assert_eq!(line.short("WRITE k9 kept").await, "DONE T");
        assert_eq!(line.short("EXECUTE nothing k9").await, "UNKNOWN E");
        assert_eq!(line.short("WRITE k9 again").await, "MALFORMED E");
        assert_eq!(line.short("COMMIT").await, "ABORTED I");
        assert_eq!(line.ask("READ k9").await.unwrap().len(), 2, "a row was kept");
    });
}

/// A caller writes within a transaction and vanishes. Nothing of it is kept, and
/// the connection it used serves others.
#[test]
fn a_caller_that_leaves_keeps_nothing() {
    on_runtime(async {
        let world = system(1).await;
        let address = world.borrow().callers[0];
        for _ in 0..20 {
            let mut line = Line::start(address, "db0", "key-b").await.unwrap();
            assert_eq!(line.short("BEGIN").await, "DONE T");
            assert_eq!(line.short("WRITE k8 lost").await, "DONE T");
        }
        let mut other = Line::start(address, "db0", "key-b").await.unwrap();
        assert_eq!(other.ask("READ k8").await.unwrap().len(), 2, "a row was kept");
    });
}

/// A caller rests within a transaction for longer than it may. It holds a
/// connection that others wait for, so its transaction is ended; it is told at its
/// next statement, since nothing may be sent unasked.
#[test]
fn a_transaction_that_rests_too_long_is_ended() {
    on_runtime(async {
        let world = system(1).await;
        let address = world.borrow().callers[0];
        let mut line = Line::start(address, "db0", "key-b").await.unwrap();
        assert_eq!(line.short("BEGIN").await, "DONE T");
        assert_eq!(line.short("WRITE k7 never").await, "DONE T");
        pause(3500).await;
        assert_eq!(line.short("READ k7").await, "ABORTED E");
        assert_eq!(line.short("ROLLBACK").await, "DONE I");
        assert_eq!(line.ask("READ k7").await.unwrap().len(), 2, "a row was kept");
    });
}

/// An operator withdraws a key while its caller is connected and idle. The next
/// statements are refused within the bound, on the open session too.
#[test]
fn a_withdrawn_key_stops_on_an_open_session() {
    on_runtime(async {
        let world = system(1).await;
        let address = world.borrow().callers[0];
        let mut line = Line::start(address, "db0", "key-h").await.unwrap();
        assert_eq!(line.short("READ k1").await, "DONE I");
        world.borrow().withdraw_key();
        let began = Instant::now();
        while line.short("READ k1").await != "FORBIDDEN I" {
            assert!(began.elapsed() < Duration::from_secs(3), "the key still works");
            pause(50).await;
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

/// A host is told to stop under load. It says at once that it is not ready, goes
/// on answering, closes sessions between transactions only, and ends in time. A statement
/// that it has read is answered; one that was under way when its session was closed was
/// not, and must not have run.
#[test]
fn a_planned_stop_cuts_no_statement() {
    on_runtime(async {
        let world = system(1).await;
        let (address, ready) = (world.borrow().callers[0], world.borrow().readiness[0]);
        assert_eq!(readiness(ready).await, "200");
        let statements_run =
            || (0..3).map(|place| world.borrow().statements_run(place)).sum::<usize>();
        let before = statements_run();
        let cut = Rc::new(Cell::new(0));
        let answered = Rc::new(Cell::new(0));
        let ended = Rc::new(Cell::new(0));
        // Some pause between statements, the others are within one when they are closed.
        for pause_ms in [15, 15, 15, 15, 0, 0, 0, 0] {
            let (cut, answered, ended) = (cut.clone(), answered.clone(), ended.clone());
            monoio::spawn(async move {
                let mut line = Line::start(address, "db0", "key-b").await.unwrap();
                loop {
                    // A close between statements is no failure: looked for first.
                    let look = Duration::from_millis(pause_ms);
                    let idle = monoio::time::timeout(look, line.next()).await;
                    if idle.is_ok() {
                        break;
                    }
                    let Ok(told) = line.ask("READ k1").await else {
                        cut.set(cut.get() + 1);
                        break;
                    };
                    let done = told[told.len() - 2].starts_with("DONE");
                    answered.set(answered.get() + usize::from(done));
                }
                ended.set(ended.get() + 1);
            });
        }
        pause(300).await;
        world.borrow().hosts[0].signal(libc::SIGTERM).unwrap();
        pause(300).await;
        assert_eq!(readiness(ready).await, "503");
        let began = Instant::now();
        while ended.get() < 8 {
            assert!(began.elapsed() < Duration::from_secs(8), "sessions were not ended");
            pause(20).await;
        }
        assert_eq!(
            statements_run() - before,
            answered.get(),
            "{} were cut, some had run",
            cut.get()
        );
    });
}

/// An operator has the settings read again; sessions and transactions go on.
#[test]
fn a_reload_cuts_nothing() {
    on_runtime(async {
        let world = system(1).await;
        let address = world.borrow().callers[0];
        let mut line = Line::start(address, "db0", "key-b").await.unwrap();
        assert_eq!(line.short("BEGIN").await, "DONE T");
        assert_eq!(line.short("WRITE k6 kept").await, "DONE T");
        world.borrow().hosts[0].signal(libc::SIGHUP).unwrap();
        pause(300).await;
        assert_eq!(line.short("COMMIT").await, "DONE I");
        assert_eq!(line.ask("READ k6").await.unwrap()[0], "ROW kept");
    });
}

/// A group's leader dies. Hosts refuse writes for a moment, with the truth, and
/// serve again as soon as a replica leads; just one promotion is asked for.
#[test]
fn a_leader_that_dies_is_replaced() {
    on_runtime(async {
        let world = system(3).await;
        let address = world.borrow().callers[1];
        let mut line = Line::start(address, "db0", "key-b").await.unwrap();
        assert_eq!(line.short("WRITE k5 before").await, "DONE I");
        pause(100).await;
        world.borrow().stop_leader(0);
        let began = Instant::now();
        while line.short("WRITE k5 after").await != "DONE I" {
            assert!(began.elapsed() < PATIENCE, "no other server leads");
            pause(20).await;
        }
        assert_eq!(line.ask("READ k5").await.unwrap()[0], "ROW after");
        assert_eq!(world.borrow().groups.borrow().promotions, 1);
    });
}

/// A group's leader accepts connections and closes each at once, as a process does
/// that is about to end, and its entry stays in the list. No connection was ever
/// refused and no statement ever silent, so nobody noticed, and no write went
/// through until the entry lapsed.
#[test]
fn a_leader_that_closes_each_connection_is_replaced() {
    on_runtime(async {
        let world = system(3).await;
        world.borrow().retain_entries.set(true);
        let address = world.borrow().callers[1];
        let mut line = Line::start(address, "db0", "key-b").await.unwrap();
        assert_eq!(line.short("WRITE k4 before").await, "DONE I");
        pause(100).await;
        // Behind its link, which still accepts.
        world.borrow().stop_leader(0);
        let began = Instant::now();
        while line.short("WRITE k4 after").await != "DONE I" {
            assert!(began.elapsed() < PATIENCE, "no other server leads");
            pause(20).await;
        }
        assert_eq!(world.borrow().groups.borrow().promotions, 1);
    });
}

/// A group's leader is lost for good while the only host is down. The host starts
/// with a list in which no server says that it leads, and has never known a leader
/// itself: without a time since which there is none, nothing was ever done about it.
#[test]
fn a_group_that_no_host_knew_a_leader_of_gets_one() {
    on_runtime(async {
        let world = system(1).await;
        world.borrow_mut().hosts[0].kill();
        world.borrow().stop_leader(0);
        // Until its entry is gone.
        pause(2500).await;
        world.borrow_mut().hosts[0].start().unwrap();
        let address = world.borrow().callers[0];
        let began = Instant::now();
        loop {
            if let Ok(mut line) = Line::start(address, "db0", "key-b").await
                && line.ask("WRITE k3 after").await.is_ok_and(|told| told[0].starts_with("DONE"))
            {
                break;
            }
            assert!(began.elapsed() < PATIENCE, "no server leads");
            pause(50).await;
        }
    });
}

/// A caller complains and names its request. Its line must be found by that id, with
/// what decided it, and counters and latencies must be served.
#[test]
fn a_statement_is_found_by_its_id() {
    on_runtime(async {
        let world = system(1).await;
        let (address, metrics) = (world.borrow().callers[0], world.borrow().metrics[0]);
        let mut line = Line::start(address, "db0", "key-b").await.unwrap();
        line.send("QUERY c0ffee READ k1\r\n").await.unwrap();
        line.answer().await.unwrap();
        let began = Instant::now();
        let told = loop {
            let log = world.borrow().hosts[0].log();
            let lines: Vec<serde_json::Value> =
                log.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
            if let Some(told) = lines.into_iter().find(|line| line["id"] == "c0ffee") {
                break told;
            }
            assert!(began.elapsed() < PATIENCE, "the statement is not in the log");
            pause(50).await;
        };
        assert_eq!(told["account"], "baobab");
        assert_eq!(told["group"], "g0");
        assert_eq!(told["outcome"], "done");
        assert!(told["version"].is_u64() && told["ms"].is_u64(), "{told}");
        let text = get(metrics, "/metrics").await;
        assert!(
            text.contains("bergamottrack_statement_seconds_count{account=\"baobab\"}"),
            "{text}"
        );
    });
}

/// Guards against hundreds of hosts that wait for each other's rows when they start again.
#[test]
fn a_host_that_starts_again_changes_nothing() {
    on_runtime(async {
        let world = system(2).await;
        let before = world.borrow().store.borrow().changes;
        world.borrow_mut().hosts[1].kill();
        world.borrow_mut().hosts[1].start().unwrap();
        let address = world.borrow().callers[1];
        let began = Instant::now();
        while Line::start(address, "db0", "key-b").await.is_err() {
            assert!(began.elapsed() < PATIENCE, "the host does not serve");
            pause(50).await;
        }
        assert_eq!(world.borrow().store.borrow().changes, before);
    });
}
