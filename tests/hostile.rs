//! Callers that send garbage, nothing, too much or too slowly. Each may lose
//! its own connection; nobody else may notice.

use bytes::{BufMut, BytesMut};
use lab::{
    raw::RawCaller,
    system::{self, Plan, System},
};
use tokio_postgres::Client;

async fn start() -> (System, Client) {
    let plan = Plan { hosts: 1, host_args: vec!["--callers=40".into()], ..Plan::default() };
    let system = System::start(plan).await.unwrap();
    let client = system.connect(0, "hartwell", "g1").await.unwrap();
    system::until_runs(&client, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
    (system, client)
}

fn message(tag: u8, body: &[u8]) -> BytesMut {
    let mut out = BytesMut::new();
    out.put_u8(tag);
    out.put_u32(body.len() as u32 + 4);
    out.put_slice(body);
    out
}

/// What the host says until it closes the connection.
async fn last_words(mut caller: RawCaller) -> String {
    let mut words = String::new();
    while let Ok(frame) = caller.next().await {
        words += &String::from_utf8_lossy(frame.body());
    }
    words
}

/// A caller sends messages whose bodies are shorter than their own counts say.
/// The codec panics on these, and the panic ended the host with all callers.
#[tokio::test]
async fn damaged_messages_are_told_to_their_sender_only() {
    let (system, other) = start().await;
    for tag in [b'P', b'B', b'D', b'E', b'C'] {
        for body in [&b""[..], b"\0", b"a\0", b"a\0b\0\xff\xff", b"\0\0\0\x01\0\0"] {
            let mut caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
            caller.writer.send(&message(tag, body)).await.unwrap();
            caller.writer.send(&message(b'S', b"")).await.unwrap();
            caller.until_ready().await.unwrap();
        }
    }
    other.simple_query("SELECT id FROM visit").await.unwrap();
}

/// A caller announces a message of 1 GB, or sends what is no message at all.
/// It is told so at once: the host would else hold whatever it sends.
#[tokio::test]
async fn messages_that_are_too_long_or_unknown_end_the_connection_with_a_reason() {
    let (system, other) = start().await;
    let mut caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
    caller.writer.send(b"Q\x40\0\0\0SELECT").await.unwrap();
    assert!(last_words(caller).await.contains("08P01"));
    let mut caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
    caller.writer.send(&message(b'?', b"what")).await.unwrap();
    assert!(last_words(caller).await.contains("08P01"));
    let mut caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
    // Its own length is below that of the length.
    caller.writer.send(b"Q\0\0\0\x01").await.unwrap();
    assert!(last_words(caller).await.contains("08P01"));
    other.simple_query("SELECT id FROM visit").await.unwrap();
}

/// Before a key is proved nobody may make the host hold more than a little, and
/// whatever is sent ends that one connection.
#[tokio::test]
async fn garbage_in_place_of_a_start_up_is_refused() {
    let (system, other) = start().await;
    let garbage: [&[u8]; 6] = [
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"\0\0\0\x08\0\0\0\0",
        b"\0\0\0\x09\0\x03\0\0x",
        b"\xff\xff\xff\xff\xff\xff\xff\xff",
        b"\0\0\0\x04",
        b"\0\0\x40\0\0\x03\0\0user\0",
    ];
    for bytes in garbage {
        let mut caller = RawCaller::open(&system, 0).await.unwrap();
        caller.writer.send(bytes).await.unwrap();
        caller.writer.send(&[b'x'; 20_000]).await.unwrap();
        assert!(caller.is_closed().await, "{bytes:?}");
    }
    other.simple_query("SELECT id FROM visit").await.unwrap();
}

/// A caller mistypes its key, or names one that does not exist: it cannot tell
/// which of the two it was.
#[tokio::test]
async fn a_wrong_key_and_an_unknown_one_get_the_same_answer() {
    let (system, _other) = start().await;
    let mut answers = Vec::new();
    for (user, key) in [("baobab.k1", "wrong"), ("baobab.k9", "wrong"), ("nobody.k1", "wrong")] {
        let mut config = system.caller(0, "baobab", "g1");
        config.user(user).password(key);
        let Err(error) = config.connect(tokio_postgres::NoTls).await else {
            panic!("{user} was let in")
        };
        let error = error.as_db_error().unwrap();
        answers.push((error.code().code().to_owned(), error.message().to_owned()));
    }
    assert_eq!(answers[0].0, "28P01");
    assert!(answers.iter().all(|answer| *answer == answers[0]), "{answers:?}");
}

/// Two hundred connections are opened that say nothing, half of a start-up, or
/// all of it. Those above the limit are told so; callers that are there go on,
/// and when the flood is over new ones come in again.
#[tokio::test]
async fn a_flood_of_connections_leaves_callers_alone() {
    let (system, other) = start().await;
    let mut flood = Vec::new();
    for i in 0..200 {
        let mut caller = RawCaller::open(&system, 0).await.unwrap();
        let bytes = &b"\0\0\0\x30\0\x03\0\0user\0baobab.k1"[..];
        // May be closed already: far above the limit nothing is answered.
        let _ = caller.writer.send(&bytes[..(i % 3) * 11]).await;
        flood.push(caller);
    }
    for i in 0..20 {
        other.simple_query(&format!("INSERT INTO visit VALUES ({i})")).await.unwrap();
    }
    let mut refused = 0;
    for _ in 0..5 {
        match system.caller(0, "baobab", "g1").connect(tokio_postgres::NoTls).await {
            Ok(_) => panic!("a caller above the limit was let in"),
            Err(error) => {
                let detail = error.as_db_error().and_then(|e| e.detail()).unwrap_or_default();
                refused += usize::from(detail == "not run");
            }
        }
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    }
    assert!(refused > 0, "nobody above the limit was told so");
    drop(flood);
    system.connect(0, "baobab", "g1").await.unwrap();
}

/// A tenant's thirty callers each announce a message of 15 MB and send all but
/// its end. The host would hold 450 MB for them, and end with all its callers.
#[tokio::test]
async fn large_messages_share_a_limited_memory() {
    let (system, other) = start().await;
    let pid = system.hosts[0].pid().unwrap();
    let body = vec![b'x'; 15 << 20];
    let mut callers = Vec::new();
    for _ in 0..30 {
        callers.push(RawCaller::login(&system, 0, "baobab").await.unwrap());
    }
    let senders = callers.into_iter().map(async |mut caller| {
        // Fails when the host has closed the connection.
        let head = [0x51, 0x00, 0xF0, 0x00, 0x10];
        let sent =
            caller.writer.send(&head).await.is_ok() && caller.writer.send(&body).await.is_ok();
        (caller, sent)
    });
    let mut there = Vec::new();
    for (caller, sent) in futures_util::future::join_all(senders).await {
        other.simple_query("SELECT id FROM visit").await.unwrap();
        if sent {
            there.push(caller);
        }
    }
    assert!(there.len() < 30, "all were taken");
    let most = lab::usage::resident(pid);
    assert!(most < 200 << 20, "the host holds {most} bytes");
    drop(there);
    system::until_runs(&other, &format!("SELECT '{}'", "y".repeat(10 << 20))).await.unwrap();
}

/// A caller prepares statements without end. It is refused before the host's
/// memory is, and its other statements still work.
#[tokio::test]
async fn prepared_statements_are_bounded() {
    let (system, _other) = start().await;
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    let mut kept = Vec::new();
    let error = loop {
        let sql = format!("SHOW bergamottrack.session -- {}", kept.len());
        match client.prepare(&sql).await {
            Ok(statement) => kept.push(statement),
            Err(error) => break error,
        }
        assert!(kept.len() <= 1_000, "there is no limit");
    };
    assert_eq!(error.code().unwrap().code(), "54000");
    client.query("SHOW bergamottrack.session", &[]).await.unwrap_err();
    client.simple_query("SELECT id FROM visit").await.unwrap();
    kept.clear();
    client.simple_query("SELECT id FROM visit").await.unwrap();
    client.query("SHOW bergamottrack.session", &[]).await.unwrap();
}
