//! Callers that send too much, too fast or too slowly, and never read or end what they began, beside
//! ordinary ones. No process may end, hang or exceed the memory of its machine, and ordinary callers are
//! served.

mod crowd;
mod hosts;

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crowd::{Crowd, Ordinary, Peak, Requests, Session, Task, Watch, repeated, statement};
use hosts::{Connection, WAIT_TIMEOUT, block_on, sleep_ms, soak_args, start_system};
use lab::soak::{
    self,
    world::{FILE_DESCRIPTORS, MEMORY_MB},
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Length of a large value: almost the greatest length of a message.
const LARGE: usize = 1_000_000;

/// Length of a value above the usual size, which ordinary callers send and read.
const MEDIUM: usize = 20_000;

/// Greatest length of a message, with its end.
const MAX_MESSAGE: usize = 1 << 20;

/// Time for which a crowd plays.
const PLAY: Duration = Duration::from_secs(6);

/// Time of ordinary requests before the crowd comes, and after it has gone.
const CALM: Duration = Duration::from_millis(1500);

/// Time within which a route is to answer, and its timeout, as in the configuration of the system.
const TARGET_LATENCY: Duration = Duration::from_millis(300);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2000);

/// Time for which a caller of a crowd keeps a connection that it does not use.
const HOLD: Duration = Duration::from_secs(120);

/// Grace period of a stopping host, as in its settings.
const GRACE: Duration = Duration::from_secs(4);

/// Serialises the crowds: each uses the processors on which another is measured.
fn turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What processes used and how ordinary requests fared beside a crowd.
struct Play {
    /// Greatest use of each host; the crowd connects to the first.
    peaks: Vec<Peak>,
    /// Caller of another account with a session at the same host.
    other: Requests,
    /// The same with a new session for each request.
    fresh: Requests,
    /// Caller of the crowd's account at the same host.
    same: Requests,
    /// Caller of another account at another host.
    elsewhere: Requests,
}

/// Plays a crowd against the first of three hosts.
fn play(name: &str, crowd: impl FnOnce(Addresses) -> Vec<Task>) -> Play {
    let _turn = turn();
    block_on(async {
        let world = start_system(3).await;
        let (pids, addresses) = {
            let world = world.borrow();
            world.groups.borrow_mut().unrecorded = true;
            let pids: Vec<u32> = world.hosts.iter().map(|host| host.pid().unwrap()).collect();
            let (callers, readiness) = (world.callers[0], world.readiness[0]);
            (pids, Addresses { callers, readiness, metrics: world.metrics[0] })
        };
        let other_host = world.borrow().callers[1];
        let mut setup = Connection::start(addresses.callers, "db0", "key-b").await.unwrap();
        for (item, len) in [("row-large", LARGE), ("row-medium", MEDIUM)] {
            let answer = setup.query(&format!("WRITE {item} {}", "x".repeat(len))).await.unwrap();
            assert!(answer[0].starts_with("DONE"), "{answer:?}");
        }
        drop(setup);
        let watch = Watch::start(pids, MEMORY_MB * 1_000_000);
        let ordinary = |address, key, is_fresh| Ordinary::start(address, key, MEDIUM, is_fresh);
        let other = ordinary(addresses.callers, "key-h", false);
        let fresh = ordinary(addresses.callers, "key-h", true);
        let same = ordinary(addresses.callers, "key-b", false);
        let elsewhere = ordinary(other_host, "key-h", false);
        sleep_ms(CALM.as_millis() as u64).await;
        let crowd = Crowd::start(crowd(addresses));
        sleep_ms(PLAY.as_millis() as u64).await;
        // Ends the connections of the crowd on another thread.
        let ending = std::thread::spawn(move || drop(crowd));
        sleep_ms(CALM.as_millis() as u64).await;
        // This thread serves the stand-ins until the last request has its answer.
        let callers = [&other, &fresh, &same, &elsewhere];
        callers.into_iter().for_each(Ordinary::stop);
        while !callers.into_iter().all(Ordinary::has_ended) || !ending.is_finished() {
            sleep_ms(10).await;
        }
        let (other, fresh) = (other.requests(), fresh.requests());
        let (same, elsewhere) = (same.requests(), elsewhere.requests());
        let play = Play { peaks: watch.end(), other, fresh, same, elsewhere };
        play.report(name);
        for (number, host) in world.borrow_mut().hosts.iter_mut().enumerate() {
            assert!(host.is_running(), "{name}: host {number} has ended\n{}", tail(&host.log()));
        }
        play
    })
}

fn tail(log: &str) -> String {
    let lines: Vec<&str> = log.lines().rev().take(5).collect();
    lines.join("\n")
}

/// Addresses of the host that a crowd connects to.
#[derive(Clone, Copy)]
struct Addresses {
    callers: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
}

impl Play {
    fn report(&self, name: &str) {
        let mb = |bytes: u64| bytes / 1_000_000;
        let peaks = self.peaks.iter().map(|peak| {
            format!("{} MB ({} unread), {} fds", mb(peak.memory), mb(peak.unread), peak.descriptors)
        });
        eprintln!("{name}: {}", peaks.collect::<Vec<_>>().join("; "));
        let callers = [
            ("other", &self.other),
            ("fresh", &self.fresh),
            ("same", &self.same),
            ("elsewhere", &self.elsewhere),
        ];
        for (caller, requests) in callers {
            let all = requests.served.len() + requests.failed.len();
            eprintln!(
                "  {caller}: {} of {all}, median {} ms, 95 % {} ms, longest {} ms; {:?}",
                requests.served.len(),
                requests.quantile(0.5).as_millis(),
                requests.quantile(0.95).as_millis(),
                requests.quantile(1.0).as_millis(),
                requests.failed.iter().take(3).collect::<Vec<_>>(),
            );
        }
    }

    /// Checks the memory and the descriptors of the hosts, and the requests of ordinary callers: at most
    /// one in twenty is not served, half of them within the latency that the route aims at. Those of the
    /// crowd's own account may be over its rate, but are answered in time.
    fn check(&self) {
        for (number, peak) in self.peaks.iter().enumerate() {
            assert!(peak.memory <= MEMORY_MB * 1_000_000, "host {number}: {peak:?}");
            assert!(peak.descriptors < FILE_DESCRIPTORS - 200, "host {number}: {peak:?}");
        }
        let others =
            [("other", &self.other), ("fresh", &self.fresh), ("elsewhere", &self.elsewhere)];
        for (name, requests) in others {
            assert!(requests.share() >= 0.95, "{name}: {:?}", requests.failed);
            assert!(requests.quantile(0.5) <= TARGET_LATENCY, "{name}");
        }
        let unanswered =
            self.same.failed.iter().filter(|text| !text.contains("ERROR BUSY not run"));
        let (unanswered, all) =
            (unanswered.count(), self.same.served.len() + self.same.failed.len());
        assert!(unanswered * 20 <= all, "same: {:?}", self.same.failed);
    }
}

async fn hold(session: Session) -> std::io::Result<()> {
    tokio::time::sleep(HOLD).await;
    drop(session);
    Ok(())
}

/// Sends statements ahead on a session without reading an answer.
fn ahead(
    address: SocketAddr,
    callers: usize,
    statements: usize,
    text: impl Fn(usize) -> String + Clone + Send + 'static,
) -> Vec<Task> {
    repeated(callers, move |number| {
        let text = text(number);
        async move {
            let mut session = Session::start(address, "db0", "key-b").await?;
            for _ in 0..statements {
                session.send(statement(&text).as_bytes()).await?;
            }
            hold(session).await
        }
    })
}

/// Guards against limits that ordinary callers meet.
#[test]
fn ordinary_callers_alone() {
    let play = play("calm", |_| Vec::new());
    play.check();
}

/// Guards against statements that were sent ahead and fill the system's receive buffers, which count as
/// memory of the process.
#[test]
fn large_statements_sent_ahead_without_reading() {
    let play = play("200 KB ahead", |addresses| {
        ahead(addresses.callers, 300, 100, |number| {
            format!("WRITE k{number} {}", "x".repeat(200_000))
        })
    });
    play.check();
}

/// Guards against large answers that nobody reads: each is held until it is written.
#[test]
fn large_rows_that_are_not_read() {
    let play = play("rows of 1 MB, unread", |addresses| {
        ahead(addresses.callers, 1_000, 20, |_| "READ row-large".into())
    });
    play.check();
}

/// Guards against one caller's statements that are answered one after the other before anyone else's and
/// before the host's own messages, so that it loses its leases and tokens.
#[test]
fn short_statements_sent_ahead_without_reading() {
    let play = play("short reads ahead", |addresses| {
        ahead(addresses.callers, 300, 100_000, |_| "READ k1".into())
    });
    play.check();
}

/// Guards against the same from few callers, whose statements arrive faster.
#[test]
fn short_statements_sent_ahead_by_few() {
    let play = play("short reads ahead by 30", |addresses| {
        ahead(addresses.callers, 30, 1_000_000, |_| "READ k1".into())
    });
    play.check();
}

/// Guards against refusals that cost more than the work that they save: each is received as a whole.
#[test]
fn large_writes_one_after_the_other() {
    let play = play("writes of 1 MB in turn", |addresses| {
        repeated(200, move |number| async move {
            let mut session = Session::start(addresses.callers, "db0", "key-b").await?;
            let text = format!("WRITE k{number} {}", "x".repeat(LARGE));
            loop {
                session.query(&text).await?;
            }
        })
    });
    play.check();
}

/// Guards against messages of a legal size that arrive in many small pieces.
#[test]
fn large_writes_in_small_pieces() {
    let play = play("writes of 1 MB in pieces of 1 KB", |addresses| {
        repeated(300, move |number| async move {
            let mut session = Session::start(addresses.callers, "db0", "key-b").await?;
            loop {
                let message = statement(&format!("WRITE k{number} {}", "x".repeat(LARGE)));
                for piece in message.as_bytes().chunks(1000) {
                    session.send(piece).await?;
                    tokio::task::yield_now().await;
                }
                session.answer().await?;
            }
        })
    });
    play.check();
}

/// Guards against messages far over the limit that are held, in place of closing the connection.
#[test]
fn messages_far_over_the_limit() {
    let play = play("64 MB lines", |addresses| {
        repeated(300, move |number| async move {
            let mut session = match number % 3 {
                0 => Session::connect(addresses.callers).await?,
                _ => Session::start(addresses.callers, "db0", "key-b").await?,
            };
            let piece = if number % 3 == 1 { vec![b'\n'; 1 << 16] } else { vec![b'x'; 1 << 16] };
            session.send(b"START ").await?;
            for _ in 0..1024 {
                session.send(&piece).await?;
            }
            hold(session).await
        })
    });
    play.check();
}

/// Guards against connections without a session that leave no descriptor for servers, the platform and
/// other hosts.
#[test]
fn connections_that_stop_within_the_start_message() {
    let play = play("stopped within START", |addresses| {
        repeated(4_600, move |_| async move {
            let mut session = Session::connect(addresses.callers).await?;
            session.send(b"START d").await?;
            hold(session).await
        })
    });
    play.check();
}

/// Guards against sessions that occupy all places of a host for good: new callers are served.
#[test]
fn sessions_that_stay_idle() {
    let play = play("idle sessions", |addresses| {
        repeated(4_600, move |_| async move {
            hold(Session::start(addresses.callers, "db0", "key-b").await?).await
        })
    });
    play.check();
}

/// Guards against incomplete messages that occupy the memory for messages above the usual size.
#[test]
fn messages_that_stop_half_way() {
    let play = play("stopped half-way in 1 MB", |addresses| {
        repeated(1_000, move |number| async move {
            let mut session = Session::start(addresses.callers, "db0", "key-b").await?;
            let message = statement(&format!("WRITE k{number} {}", "x".repeat(LARGE)));
            session.send(&message.as_bytes()[..LARGE / 2]).await?;
            hold(session).await
        })
    });
    play.check();
}

/// Guards against a timeout of a message that begins anew with each byte.
#[test]
fn messages_that_arrive_very_slowly() {
    let play = play("slow senders", |addresses| {
        repeated(600, move |number| async move {
            let mut session = match number % 2 {
                0 => Session::connect(addresses.callers).await?,
                _ => Session::start(addresses.callers, "db0", "key-b").await?,
            };
            session.send(b"QUERY q WRITE k ").await?;
            loop {
                session.send(&[b'x'; 500]).await?;
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        })
    });
    play.check();
}

/// Guards against answers that are read very slowly, which occupy memory for as long.
#[test]
fn large_rows_that_are_read_very_slowly() {
    let play = play("slow readers", |addresses| {
        repeated(400, move |_| async move {
            let mut session = Session::start(addresses.callers, "db0", "key-b").await?;
            session.send(statement("READ row-large").repeat(20).as_bytes()).await?;
            loop {
                session.read(1000).await?;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        })
    });
    play.check();
}

/// Guards against session values that occupy the memory for those of other callers.
#[test]
fn session_values_of_the_greatest_length() {
    let play = play("values of 1 MB", |addresses| {
        repeated(300, move |number| async move {
            let mut session = Session::start(addresses.callers, "db0", "key-b").await?;
            session.query(&format!("SET v{number} {}", "x".repeat(LARGE))).await?;
            loop {
                session.query("READ k1").await?;
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
        })
    });
    play.check();
}

/// Guards against transactions that hold connections to servers.
#[test]
fn transactions_that_are_left_open() {
    let play = play("open transactions", |addresses| {
        repeated(300, move |_| async move {
            let mut session = Session::start(addresses.callers, "db0", "key-b").await?;
            session.query("BEGIN").await?;
            session.query("READ k1").await?;
            hold(session).await
        })
    });
    play.check();
}

/// Guards against callers that connect and close without a pause.
#[test]
fn connections_that_are_closed_at_once() {
    let play = play("connect and close", |addresses| {
        repeated(200, move |_| async move {
            drop(Session::connect(addresses.callers).await?);
            Ok(())
        })
    });
    play.check();
}

/// The kinds of clients that hold most, together.
fn mixed(address: SocketAddr, callers: usize) -> Vec<Task> {
    repeated(callers, move |number| async move {
        let mut session = Session::start(address, "db0", "key-b").await?;
        let large = "x".repeat(LARGE);
        match number % 5 {
            0 => {
                session
                    .send(&statement(&format!("WRITE k {large}")).as_bytes()[..LARGE / 2])
                    .await?;
            }
            1 => drop(session.query(&format!("SET v {large}")).await?),
            2 => session.send(statement("READ row-large").repeat(20).as_bytes()).await?,
            3 => loop {
                session.query(&format!("WRITE k{number} {large}")).await?;
            },
            _ => loop {
                session.send(statement("READ k1").as_bytes()).await?;
            },
        }
        hold(session).await
    })
}

/// Guards against kinds of clients that are harmless alone and not together.
#[test]
fn mixed_crowd() {
    play("mixed", |addresses| mixed(addresses.callers, 800)).check();
}

/// Guards against a readiness address that a crowd keeps from the platform, which then sends no callers
/// to the host.
#[test]
fn incomplete_requests_to_the_readiness_and_metrics_addresses() {
    let play = play("readiness and metrics", |addresses| {
        repeated(3_000, move |number| async move {
            let address = if number % 2 == 0 { addresses.readiness } else { addresses.metrics };
            let mut stream = TcpStream::connect(address).await?;
            stream.write_all(b"POST /-/readiness HTTP/1.1\r\nHost: h\r\n").await?;
            if number % 3 == 0 {
                stream.write_all(b"Content-Length: 4000000\r\n\r\n").await?;
                stream.write_all(&vec![b'x'; 3_000_000]).await?;
            }
            loop {
                stream.write_all(b"X: y\r\n").await?;
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        })
    });
    play.check();
}

/// Guards against a host that a crowd keeps from stopping in time.
#[test]
fn host_beside_a_crowd_stops_in_time() {
    let _turn = turn();
    block_on(async {
        let world = start_system(2).await;
        world.borrow().groups.borrow_mut().unrecorded = true;
        let address = world.borrow().callers[0];
        let crowd = Crowd::start(mixed(address, 300));
        sleep_ms(2000).await;
        world.borrow().hosts[0].signal(libc::SIGTERM).unwrap();
        let began = Instant::now();
        while world.borrow_mut().hosts[0].is_running() {
            assert!(began.elapsed() < GRACE, "the host has not ended in its grace period");
            sleep_ms(20).await;
        }
        eprintln!("stop beside a crowd: {} ms", began.elapsed().as_millis());
        assert_eq!(world.borrow_mut().hosts[0].wait().unwrap(), Some(0));
        std::thread::spawn(move || drop(crowd)).join().unwrap();
    });
}

/// Guards against limits that refuse what the protocol allows: single messages of exactly the greatest
/// length are served, and one byte more is not.
#[test]
fn single_message_of_the_greatest_length_is_served_in_calm() {
    let _turn = turn();
    block_on(async {
        let world = start_system(2).await;
        world.borrow().groups.borrow_mut().unrecorded = true;
        let address = world.borrow().callers[0];
        let mut session = Connection::start(address, "db0", "key-h").await.unwrap();
        let fill = |text: &str, len: usize| {
            let message = statement(text);
            let fill = "x".repeat(len - message.len());
            message.replace("\r\n", &format!("{fill}\r\n"))
        };
        for text in ["WRITE row ", "SET v "] {
            let message = fill(text, MAX_MESSAGE);
            assert_eq!(message.len(), MAX_MESSAGE);
            let began = Instant::now();
            session.send(&message).await.unwrap();
            let answer = session.answer().await.unwrap();
            assert!(answer[0].starts_with("DONE "), "{text}: {answer:?}");
            assert!(began.elapsed() < ROUTE_TIMEOUT, "{text}: {:?}", began.elapsed());
        }
        let mut session = Connection::start(address, "db0", "key-h").await.unwrap();
        let began = Instant::now();
        let answer = session.query("READ row").await.unwrap();
        assert!(answer[0].starts_with("ROW xxx") && answer[1].starts_with("DONE "));
        assert!(began.elapsed() < WAIT_TIMEOUT);
        session.send(&fill("WRITE row ", MAX_MESSAGE + 1)).await.unwrap();
        let answer = session.next().await.unwrap();
        assert!(answer.starts_with("ERROR TOOBIG "), "{answer:?}");
    });
}

/// Guards against crowds that break a guarantee while hosts die, stop and lose the store or servers.
#[test]
fn crowds_beside_faults_break_no_guarantee() {
    let _turn = turn();
    block_on(async {
        let args = soak::SoakArgs { crowds: true, ..soak_args(3, 4, 8) };
        let outcome = soak::soak(7, &args).await.unwrap();
        assert!(outcome.broken.is_empty(), "{:#?}", outcome.broken);
    });
}
