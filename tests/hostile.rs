//! Callers that send garbage, nothing, too much or too slowly. Each may lose its own connection; no
//! other caller may be affected.

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
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
    (system, client)
}

/// Returns a message of the protocol with this type byte and body.
fn message(tag: u8, body: &[u8]) -> BytesMut {
    let mut out = BytesMut::new();
    out.put_u8(tag);
    out.put_u32(body.len() as u32 + 4);
    out.put_slice(body);
    out
}

/// Returns the text of all messages that the host sends until it closes the connection.
async fn read_until_closed(mut caller: RawCaller) -> String {
    let mut text = String::new();
    while let Ok(frame) = caller.next().await {
        text += &String::from_utf8_lossy(frame.body());
    }
    text
}

/// Guards against a host that ends with all its callers: the codec panics on messages whose bodies
/// are shorter than the counts inside them, and the panic ended the host.
#[tokio::test]
async fn truncated_message_bodies_affect_their_sender_only() {
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

/// Guards against unbounded memory for one caller, which announces a message of 1 GB or sends an
/// unknown message type or length. It gets an error at once; otherwise the host would hold whatever
/// it sends.
#[tokio::test]
async fn oversized_or_unknown_message_closes_the_connection_with_an_error() {
    let (system, other) = start().await;
    let mut caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
    caller.writer.send(b"Q\x40\0\0\0SELECT").await.unwrap();
    assert!(read_until_closed(caller).await.contains("08P01"));
    let mut caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
    caller.writer.send(&message(b'?', b"what")).await.unwrap();
    assert!(read_until_closed(caller).await.contains("08P01"));
    let mut caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
    // The length field is smaller than its own size of 4 bytes.
    caller.writer.send(b"Q\0\0\0\x01").await.unwrap();
    assert!(read_until_closed(caller).await.contains("08P01"));
    other.simple_query("SELECT id FROM visit").await.unwrap();
}

/// Guards against memory held for callers that have not proven a key: any garbage in place of a
/// startup message closes that one connection.
#[tokio::test]
async fn garbage_in_place_of_startup_message_closes_the_connection() {
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

/// Guards against disclosure of which accounts and keys exist: a wrong key and an unknown one get
/// the same answer.
#[tokio::test]
async fn wrong_key_and_unknown_key_get_the_same_answer() {
    let (system, _other) = start().await;
    let mut answers = Vec::new();
    for (user, key) in [("baobab.k1", "wrong"), ("baobab.k9", "wrong"), ("nobody.k1", "wrong")] {
        let mut config = system.caller(0, "baobab", "g1");
        config.user(user).password(key);
        let Err(error) = config.connect(tokio_postgres::NoTls).await else {
            panic!("{user} was accepted")
        };
        let error = error.as_db_error().unwrap();
        answers.push((error.code().code().to_owned(), error.message().to_owned()));
    }
    assert_eq!(answers[0].0, "28P01");
    assert!(answers.iter().all(|answer| *answer == answers[0]), "{answers:?}");
}

/// Guards against a flood of connections that stops other callers. 200 connections send nothing or
/// part of a startup message. Connections above the limit are refused with "not run", connected
/// callers are served, and when the flood is over new callers can connect again.
#[tokio::test]
async fn connection_flood_does_not_affect_connected_callers() {
    let (system, other) = start().await;
    let mut flood = Vec::new();
    for i in 0..200 {
        let mut caller = RawCaller::open(&system, 0).await.unwrap();
        let bytes = &b"\0\0\0\x30\0\x03\0\0user\0baobab.k1"[..];
        // May be closed already: far above the limit connections are closed without an answer.
        let _ = caller.writer.send(&bytes[..(i % 3) * 11]).await;
        flood.push(caller);
    }
    for i in 0..20 {
        other.simple_query(&format!("INSERT INTO visit VALUES ({i})")).await.unwrap();
    }
    let mut refused = 0;
    for _ in 0..5 {
        match system.caller(0, "baobab", "g1").connect(tokio_postgres::NoTls).await {
            Ok(_) => panic!("a caller above the limit was accepted"),
            Err(error) => {
                let detail = error.as_db_error().and_then(|e| e.detail()).unwrap_or_default();
                refused += usize::from(detail == "not run");
            }
        }
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    }
    assert!(refused > 0, "no caller above the limit was refused with \"not run\"");
    drop(flood);
    system.connect(0, "baobab", "g1").await.unwrap();
}

/// Guards against a host that runs out of memory and ends with all its callers. A client account's
/// 30 callers each announce a message of 15 MB and send all but its end; the host would hold 450 MB
/// for them.
#[tokio::test]
async fn incomplete_large_messages_share_a_memory_limit() {
    let (system, other) = start().await;
    let pid = system.hosts[0].pid().unwrap();
    let body = vec![b'x'; 15 << 20];
    let mut callers = Vec::new();
    for _ in 0..30 {
        callers.push(RawCaller::login(&system, 0, "baobab").await.unwrap());
    }
    let sends = callers.into_iter().map(async |mut caller| {
        // Fails when the host has closed the connection.
        let head = [0x51, 0x00, 0xF0, 0x00, 0x10];
        let sent =
            caller.writer.send(&head).await.is_ok() && caller.writer.send(&body).await.is_ok();
        (caller, sent)
    });
    let mut accepted = Vec::new();
    for (caller, sent) in futures_util::future::join_all(sends).await {
        other.simple_query("SELECT id FROM visit").await.unwrap();
        if sent {
            accepted.push(caller);
        }
    }
    assert!(accepted.len() < 30, "all messages were accepted");
    let memory = lab::usage::resident(pid);
    assert!(memory < 200 << 20, "the host holds {memory} bytes");
    drop(accepted);
    system::run_until_ok(&other, &format!("SELECT '{}'", "y".repeat(10 << 20))).await.unwrap();
}

/// Guards against unbounded memory for prepared statements: a caller that prepares them without end
/// is refused at a limit, and its other statements still work.
#[tokio::test]
async fn prepared_statements_of_a_caller_are_limited() {
    let (system, _other) = start().await;
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    let mut prepared = Vec::new();
    let error = loop {
        let sql = format!("SHOW bergamottrack.session -- {}", prepared.len());
        match client.prepare(&sql).await {
            Ok(statement) => prepared.push(statement),
            Err(error) => break error,
        }
        assert!(prepared.len() <= 1_000, "prepared statements are not limited");
    };
    assert_eq!(error.code().unwrap().code(), "54000");
    client.query("SHOW bergamottrack.session", &[]).await.unwrap_err();
    client.simple_query("SELECT id FROM visit").await.unwrap();
    prepared.clear();
    client.simple_query("SELECT id FROM visit").await.unwrap();
    client.query("SHOW bergamottrack.session", &[]).await.unwrap();
}
