//! Answers of tens of megabytes over slow ways.

use std::time::{Duration, Instant};

use lab::{
    raw::RawCaller,
    system::{self, Plan, System},
};
use pgwire::messages::simplequery::Query;

const ROWS: usize = 2_000;
const ROW_LEN: usize = 10_000;

/// One of the two hosts is the home, so answers go both ways: with and without a hop.
async fn start() -> System {
    let plan = Plan { hosts: 2, policy: "request_ms = 1500".into(), ..Plan::default() };
    let system = System::start(plan).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::until_runs(&client, "CREATE TABLE IF NOT EXISTS portfolio (id INTEGER, page TEXT)")
        .await
        .unwrap();
    let page = "x".repeat(ROW_LEN);
    let values: Vec<String> = (0..20).map(|_| format!("(1, '{page}')")).collect();
    for _ in 0..ROWS / 20 {
        let insert = format!("INSERT INTO portfolio VALUES {}", values.join(", "));
        client.batch_execute(&insert).await.unwrap();
    }
    system
}

/// A caller asks for 20 MB and takes them at about 8 MB a second. The hosts must
/// not hold the whole answer meanwhile, other callers must not wait, and the
/// caller gets all of it, though that takes longer than a request may.
#[tokio::test]
async fn a_large_answer_to_a_slow_caller_is_whole_and_held_by_no_host() {
    let system = start().await;
    let other = system.connect(1, "hartwell", "g1").await.unwrap();
    let pids: Vec<u32> = system.hosts.iter().map(|host| host.pid().unwrap()).collect();
    let before: Vec<u64> = pids.iter().map(|pid| lab::usage::resident(*pid)).collect();
    for host in 0..2 {
        let mut caller = RawCaller::login(&system, host, "baobab").await.unwrap();
        caller.send(&Query::new("SELECT page FROM portfolio".into())).await.unwrap();
        let (mut rows, mut bytes, mut most) = (0, 0, 0);
        let mut slowest = Duration::ZERO;
        loop {
            let frame = caller.next().await.unwrap();
            bytes += frame.raw.len();
            match frame.tag {
                b'D' => rows += 1,
                b'E' => panic!("{}", String::from_utf8_lossy(frame.body())),
                b'Z' => break,
                _ => {}
            }
            if rows % 200 == 0 && frame.tag == b'D' {
                let now = pids
                    .iter()
                    .zip(&before)
                    .map(|(pid, b)| lab::usage::resident(*pid).saturating_sub(*b));
                most = most.max(now.max().unwrap());
                let began = Instant::now();
                other.simple_query("SELECT 1").await.unwrap();
                slowest = slowest.max(began.elapsed());
                tokio::time::sleep(Duration::from_millis(250)).await;
            }
        }
        assert_eq!(rows, ROWS);
        assert!(bytes > ROWS * ROW_LEN);
        assert!(most < 8 << 20, "a host grew by {most} bytes");
        assert!(slowest < Duration::from_secs(2), "another caller waited {slowest:?}");
    }
}

/// A caller asks for 20 MB and takes none of it. It is given up when its request's
/// time is over, and the server's slot is free again.
#[tokio::test]
async fn a_caller_that_takes_nothing_is_given_up() {
    let system = start().await;
    let other = system.connect(1, "hartwell", "g1").await.unwrap();
    let mut callers = Vec::new();
    // As many as the server has slots.
    for _ in 0..5 {
        let mut caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
        let set = "SET bergamottrack.deadline = '1s'";
        caller.send(&Query::new(set.into())).await.unwrap();
        caller.until_ready().await.unwrap();
        caller.send(&Query::new("SELECT page FROM portfolio".into())).await.unwrap();
        callers.push(caller);
    }
    system::until_runs(&other, "INSERT INTO portfolio VALUES (2, 'y')").await.unwrap();
}
