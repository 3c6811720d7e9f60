//! Callers of `bergamottrack serve` that send too much, too fast or too slowly, and never read or end what they
//! began, beside ordinary ones. The process stays within the memory of the smallest machine, and ordinary
//! callers are served.

mod crowd;

use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::{BufMut, BytesMut};
use crowd::{Requests, Watch};
use lab::{
    raw::RawCaller,
    system::{self, Plan, System},
};
use tokio::{io::AsyncWriteExt, net::TcpStream, sync::Mutex};

/// Memory of the machine in bytes.
const MEMORY: u64 = 160_000_000;

/// Time for which a crowd plays, and time of ordinary requests before and after it.
const PLAY: Duration = Duration::from_secs(6);
const CALM: Duration = Duration::from_millis(1500);

/// Time within which half of the ordinary requests have their answers, and that after which one is given up.
const TARGET_LATENCY: Duration = Duration::from_millis(300);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between the requests of an ordinary caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// Time for which a caller of a crowd keeps a connection that it does not use.
const HOLD: Duration = Duration::from_secs(120);

/// Serialises the crowds: each uses the processors on which another is measured.
static TURN: Mutex<()> = Mutex::const_new(());

type Task = Pin<Box<dyn Future<Output = ()>>>;

/// Returns a message of the protocol with this type byte and body.
fn message(tag: u8, body: &[u8]) -> BytesMut {
    let mut out = BytesMut::new();
    out.put_u8(tag);
    out.put_u32(body.len() as u32 + 4);
    out.put_slice(body);
    out
}

/// Returns a query whose answer is a row of `len` bytes.
fn query(len: usize) -> BytesMut {
    message(b'Q', format!("SELECT '{}'\0", "x".repeat(len)).as_bytes())
}

/// Returns `count` tasks that repeat what `once` does, after a pause when it ends.
fn repeated<F>(count: usize, once: impl Fn(usize) -> F + Clone + 'static) -> Vec<Task>
where
    F: Future<Output = anyhow::Result<()>> + 'static,
{
    let task = |number: usize| -> Task {
        let once = once.clone();
        Box::pin(async move {
            loop {
                // The connection was refused or closed, which is what a caller of a crowd expects.
                let _ = once(number).await;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        })
    };
    (0..count).map(task).collect()
}

/// Opens a session of the crowd's account.
async fn login(address: SocketAddr) -> anyhow::Result<RawCaller> {
    let stream = TcpStream::connect(address).await?;
    RawCaller::from_stream(Box::new(stream)).start("baobab").await
}

async fn hold<T>(connection: T) -> anyhow::Result<()> {
    tokio::time::sleep(HOLD).await;
    drop(connection);
    Ok(())
}

/// Sends requests of an ordinary caller, by turns reads and writes, until `ended` is set. Connects again after
/// a failure.
async fn requests(system: &System, ended: &AtomicBool) -> Requests {
    let (mut requests, mut client, mut number) = (Requests::default(), None, 0);
    while !ended.load(Ordering::Relaxed) {
        number += 1;
        let text = match number % 3 {
            0 => format!("INSERT INTO visit VALUES ({number})"),
            1 => format!("SELECT '{}'", "y".repeat(20_000)),
            _ => "SELECT id FROM visit WHERE id = 3".to_owned(),
        };
        let began = Instant::now();
        let request = async {
            if client.is_none() {
                client = Some(system.connect(0, "hartwell", "g1").await?);
            }
            client.as_ref().unwrap().simple_query(&text).await?;
            anyhow::Ok(())
        };
        match tokio::time::timeout(REQUEST_TIMEOUT, request).await {
            Ok(Ok(())) => requests.served.push(began.elapsed()),
            Ok(Err(error)) => {
                requests.failed.push(format!("{error:#}").chars().take(120).collect());
                client = client.filter(|client| !client.is_closed());
            }
            Err(_) => {
                requests.failed.push(format!("no answer within {REQUEST_TIMEOUT:?}"));
                client = None;
            }
        }
        tokio::time::sleep(REQUEST_INTERVAL.saturating_sub(began.elapsed())).await;
    }
    requests
}

/// Plays a crowd against a process and checks its memory and the requests of an ordinary caller.
async fn play(
    name: &str,
    crowd: impl FnOnce(SocketAddr, SocketAddr) -> Vec<Task> + Send + 'static,
) {
    let _turn = TURN.lock().await;
    let mut system = System::start(Plan {
        hosts: 1,
        host_args: vec!["--memory-mb=160".into()],
        ..Plan::default()
    })
    .await
    .unwrap();
    let client = system.connect(0, "hartwell", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
    drop(client);
    let (callers, operator) = (system.addresses[0].callers, system.addresses[0].operator);
    let watch = Watch::start(vec![system.hosts[0].pid().unwrap()], MEMORY);
    let (ended, over) = (AtomicBool::new(false), Arc::new(AtomicBool::new(false)));
    let played = async {
        tokio::time::sleep(CALM).await;
        let stop = over.clone();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let tasks = tokio::task::LocalSet::new();
            tasks.block_on(&runtime.unwrap(), async move {
                crowd(callers, operator)
                    .into_iter()
                    .for_each(|task| drop(tokio::task::spawn_local(task)));
                while !stop.load(Ordering::Relaxed) {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            });
        });
        tokio::time::sleep(PLAY).await;
        over.store(true, Ordering::Relaxed);
        tokio::time::sleep(CALM).await;
        ended.store(true, Ordering::Relaxed);
        thread
    };
    let (requests, thread) = tokio::join!(requests(&system, &ended), played);
    thread.join().unwrap();
    let peak = watch.end()[0];
    eprintln!(
        "{name}: {} MB ({} unread), {} fds; {} of {}, median {} ms, longest {} ms; {:?}",
        peak.memory / 1_000_000,
        peak.unread / 1_000_000,
        peak.descriptors,
        requests.served.len(),
        requests.served.len() + requests.failed.len(),
        requests.quantile(0.5).as_millis(),
        requests.quantile(1.0).as_millis(),
        requests.failed.iter().take(3).collect::<Vec<_>>(),
    );
    assert!(system.hosts[0].is_running(), "{name}: the host has ended");
    assert!(peak.memory <= MEMORY, "{name}: {peak:?}");
    let unanswered = requests.failed.iter().any(|text| text.starts_with("no answer"));
    assert!(!unanswered && requests.share() >= 0.95, "{name}: {:?}", requests.failed);
    assert!(requests.quantile(0.5) <= TARGET_LATENCY, "{name}");
}

/// Guards against statements that were sent ahead and fill the buffers of the process and the system.
#[tokio::test(flavor = "multi_thread")]
async fn large_queries_sent_ahead_without_reading() {
    play("serve, 200 KB ahead", |callers, _| {
        repeated(300, move |_| async move {
            let mut caller = login(callers).await?;
            let query = query(200_000);
            for _ in 0..100 {
                caller.writer.send(&query).await?;
            }
            hold(caller).await
        })
    })
    .await;
}

/// Guards against answers that nobody reads and that hold the slots of a server meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_of_one_account_leave_slots_to_others() {
    play("serve, rows of 1 MB, unread", |callers, _| {
        repeated(200, move |_| async move {
            let mut caller = login(callers).await?;
            for _ in 0..5 {
                caller.writer.send(&query(1_000_000)).await?;
            }
            hold(caller).await
        })
    })
    .await;
}

/// Guards against one caller's statements that are answered one after the other before anyone else's.
#[tokio::test(flavor = "multi_thread")]
async fn short_queries_sent_ahead_without_reading() {
    play("serve, short statements ahead", |callers, _| {
        repeated(100, move |number| async move {
            let mut caller = login(callers).await?;
            let text = if number % 2 == 0 { "SELECT 1\0" } else { "SHOW bergamottrack.session\0" };
            let many: Vec<u8> = message(b'Q', text.as_bytes()).repeat(1000);
            loop {
                caller.writer.send(&many).await?;
            }
        })
    })
    .await;
}

/// Guards against messages of the extended protocol that are collected without an end.
#[tokio::test(flavor = "multi_thread")]
async fn extended_messages_without_an_end() {
    play("serve, extended messages without Sync", |callers, _| {
        repeated(100, move |_| async move {
            let mut caller = login(callers).await?;
            let parse =
                message(b'P', format!("\0SELECT '{}'\0\0\0", "x".repeat(10_000)).as_bytes());
            let bind = message(b'B', b"\0\0\0\0\0\0\0\0");
            let execute = message(b'E', b"\0\0\0\0\0");
            loop {
                caller.writer.send(&[&parse[..], &bind, &execute].concat()).await?;
            }
        })
    })
    .await;
}

/// Guards against messages of 15 MB that stop half-way.
#[tokio::test(flavor = "multi_thread")]
async fn large_messages_that_stop_half_way() {
    play("serve, stopped half-way in 15 MB", |callers, _| {
        repeated(60, move |_| async move {
            let mut caller = login(callers).await?;
            let query = query(15 << 20);
            caller.writer.send(&query[..12 << 20]).await?;
            hold(caller).await
        })
    })
    .await;
}

/// Guards against connections that never authenticate and keep others out.
#[tokio::test(flavor = "multi_thread")]
async fn logins_that_stop_half_way() {
    play("serve, logins stopped half-way", |callers, _| {
        repeated(4_500, move |number| async move {
            let mut stream = TcpStream::connect(callers).await?;
            stream.write_all(&b"\0\0\0\x30\0\x03\0\0user\0baobab.k1"[..(number % 3) * 11]).await?;
            hold(stream).await
        })
    })
    .await;
}

/// Guards against cancel requests, which need no key, in crowds.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_requests_in_crowds() {
    play("serve, cancel requests", |callers, _| {
        repeated(200, move |number| async move {
            let mut stream = TcpStream::connect(callers).await?;
            let mut request = BytesMut::new();
            request.put_u32(16);
            request.put_u32(80_877_102);
            request.put_u32(number as u32);
            request.put_u32(7);
            stream.write_all(&request).await?;
            Ok(())
        })
    })
    .await;
}

/// Guards against requests to the operators' address that never end.
#[tokio::test(flavor = "multi_thread")]
async fn incomplete_requests_to_the_address_for_operators() {
    play("serve, operators' address", |_, operator| {
        repeated(1_000, move |_| async move {
            let mut stream = TcpStream::connect(operator).await?;
            stream
                .write_all(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n")
                .await?;
            stream.write_all(&vec![b'x'; 3_000_000]).await?;
            hold(stream).await
        })
    })
    .await;
}

/// Guards against query strings of many tokens, each of which occupies many times its length.
#[tokio::test(flavor = "multi_thread")]
async fn queries_of_very_many_tokens() {
    play("serve, 4 MB of words", |callers, _| {
        repeated(20, move |_| async move {
            let mut caller = login(callers).await?;
            let text = "a ".repeat(2 << 20) + "\0";
            loop {
                caller.writer.send(&message(b'Q', text.as_bytes())).await?;
                caller.until_ready().await?;
            }
        })
    })
    .await;
}
