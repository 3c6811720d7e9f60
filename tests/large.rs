//! Answers of tens of megabytes to slow callers.

use std::time::{Duration, Instant};

use lab::{
    raw::RawCaller,
    system::{self, Plan, System},
};
use pgwire::messages::simplequery::Query;

/// Number of rows of the large answer.
const ROWS: usize = 2_000;

/// Length of each row in bytes.
const ROW_LEN: usize = 10_000;

/// Starts a system with a table of `ROWS` rows. One of its two hosts is the home of the group, so
/// answers are tested with and without a hop between hosts.
async fn start() -> System {
    let plan = Plan { hosts: 2, policy: "request_ms = 1500".into(), ..Plan::default() };
    let system = System::start(plan).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS portfolio (id INTEGER, page TEXT)")
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

/// Guards against hosts that hold a whole large answer. A caller requests 20 MB and reads them at
/// about 8 MB a second. Other callers must not wait, and the caller gets the whole answer although
/// that takes longer than the timeout of a request.
#[tokio::test]
async fn large_answer_to_slow_caller_is_complete_and_not_buffered_by_hosts() {
    let system = start().await;
    let other = system.connect(1, "hartwell", "g1").await.unwrap();
    let pids: Vec<u32> = system.hosts.iter().map(|host| host.pid().unwrap()).collect();
    let before: Vec<u64> = pids.iter().map(|pid| lab::usage::resident(*pid)).collect();
    for host in 0..2 {
        let mut caller = RawCaller::login(&system, host, "baobab").await.unwrap();
        caller.send(&Query::new("SELECT page FROM portfolio".into())).await.unwrap();
        let (mut rows, mut bytes, mut max_growth) = (0, 0, 0);
        let mut max_latency = Duration::ZERO;
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
                let growth = pids
                    .iter()
                    .zip(&before)
                    .map(|(pid, b)| lab::usage::resident(*pid).saturating_sub(*b));
                max_growth = max_growth.max(growth.max().unwrap());
                let start = Instant::now();
                other.simple_query("SELECT 1").await.unwrap();
                max_latency = max_latency.max(start.elapsed());
                tokio::time::sleep(Duration::from_millis(250)).await;
            }
        }
        assert_eq!(rows, ROWS);
        assert!(bytes > ROWS * ROW_LEN);
        assert!(max_growth < 8 << 20, "a host grew by {max_growth} bytes");
        assert!(max_latency < Duration::from_secs(2), "another caller waited {max_latency:?}");
    }
}

/// Guards against slots held by callers that do not read. Each caller requests 20 MB and reads none
/// of it; its request ends at its timeout, and the server's slot is free again.
#[tokio::test]
async fn request_of_caller_that_does_not_read_ends_at_its_timeout() {
    let system = start().await;
    let other = system.connect(1, "hartwell", "g1").await.unwrap();
    let mut callers = Vec::new();
    // One caller for each slot of the server.
    for _ in 0..5 {
        let mut caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
        let set = "SET bergamottrack.deadline = '1s'";
        caller.send(&Query::new(set.into())).await.unwrap();
        caller.until_ready().await.unwrap();
        caller.send(&Query::new("SELECT page FROM portfolio".into())).await.unwrap();
        callers.push(caller);
    }
    system::run_until_ok(&other, "INSERT INTO portfolio VALUES (2, 'y')").await.unwrap();
}
