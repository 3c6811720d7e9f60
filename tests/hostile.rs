//! Callers that send garbage, nothing, too much or too slowly. Each may lose
//! its own connection; nobody else may notice.

use bytes::{BufMut, BytesMut};
use lab::{
    raw::RawCaller,
    system::{self, Plan, System},
};
use tokio_postgres::Client;

async fn start() -> (System, Client) {
    let system = System::start(Plan { hosts: 1, ..Plan::default() }).await.unwrap();
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
    let mut caller = RawCaller::login(&system, 0, "baobab").await.unwrap();
    caller.writer.send(&message(b'Q', b"")).await.unwrap();
    caller.is_closed().await;
    other.simple_query("SELECT id FROM visit").await.unwrap();
}
